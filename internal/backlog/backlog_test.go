package backlog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagestep/greengagestep/internal/backlog"
)

const piece = 4 << 10

var start = time.Unix(1_000_000, 0)

// fill makes a reader hold bytes until it has to wait, or limit are held.
func fill(a *backlog.Account, r *backlog.Reader, limit int64) (held int64, victims []backlog.Victim) {
	for held+piece <= limit {
		ok, v := a.Hold(r, piece, start)
		victims = append(victims, v...)
		if !ok {
			break
		}
		held += piece
	}
	return held, victims
}

// Answers the load of callers that all fall behind at once, as after a cut of their network: each may
// leave less unread the more of them there are, a few do not take the whole account, and those that took
// most go first when it is full.
func TestWindowShrinksAsReadersFallBehind(t *testing.T) {
	a := &backlog.Account{MaxBytes: 32 << 20}
	earliest := &backlog.Reader{}
	first, victims := fill(a, earliest, 1<<30)
	require.Empty(t, victims)
	require.InDelta(t, 32<<20/9, first, 2*piece)
	var last int64
	for range 30 {
		last, victims = fill(a, &backlog.Reader{}, 1<<30)
		require.Empty(t, victims)
	}
	require.GreaterOrEqual(t, last, int64(64<<10))
	require.Less(t, last, first/10)
	for len(victims) == 0 {
		last, victims = fill(a, &backlog.Reader{}, 1<<30)
	}
	require.Equal(t, backlog.Victim{Reader: earliest, Reason: backlog.ReasonFull}, victims[0])
	require.GreaterOrEqual(t, last, int64(64<<10))
	require.LessOrEqual(t, a.Unread(), a.MaxBytes)
}

// Answers the load of many callers that leave their responses unread until the account is full: the one
// that needs the longest to read what it holds is given up, not the one that has just fallen behind, and
// not the one that holds most but reads.
func TestLongestToReadIsGivenUpFirst(t *testing.T) {
	a := &backlog.Account{MaxBytes: 1 << 20}
	most, silent := &backlog.Reader{}, &backlog.Reader{}
	held, _ := fill(a, most, 96<<10)
	require.EqualValues(t, 96<<10, held)
	held, _ = fill(a, silent, 80<<10)
	require.EqualValues(t, 80<<10, held)
	a.Read(most, 96<<10, 0, start)
	for range 16 {
		if _, victims := fill(a, &backlog.Reader{}, 64<<10); len(victims) > 0 {
			require.Equal(t, []backlog.Victim{{Reader: silent, Reason: backlog.ReasonFull}}, victims)
			break
		}
	}
	require.LessOrEqual(t, a.Unread(), a.MaxBytes)
	require.Greater(t, a.Unread(), a.MaxBytes*9/10)
}

// Answers the load of one customer whose callers stop reading, or send large bodies, beside those of
// others: it gets half of the account and loses its own callers first; alone it may use all of it.
func TestCustomerIsLimitedBesideOthers(t *testing.T) {
	a := &backlog.Account{MaxBytes: 1 << 20}
	readers := make([]*backlog.Reader, 12)
	for n := range readers {
		readers[n] = &backlog.Reader{}
		a.Assign(readers[n], "saar")
		_, victims := fill(a, readers[n], 64<<10)
		require.Empty(t, victims)
	}
	ok, victims := a.ReserveBody("koit", 0, 32<<10, start)
	require.True(t, ok)
	require.Empty(t, victims)
	ok, _ = a.ReserveBody("saar", 0, 32<<10, start)
	require.False(t, ok)
	next := &backlog.Reader{}
	a.Assign(next, "saar")
	_, victims = a.Hold(next, piece, start)
	require.NotEmpty(t, victims)
	for _, v := range victims {
		require.Equal(t, backlog.ReasonCustomer, v.Reason)
	}
	require.LessOrEqual(t, a.Unread(), a.MaxBytes/2)
}

// Answers the load of callers that read nothing beside requests with bodies: these find their room.
func TestBodiesFindRoomBesideUnreadResponses(t *testing.T) {
	a := &backlog.Account{MaxBytes: 1 << 20, MaxBodyBytes: 768 << 10}
	for range 16 {
		fill(a, &backlog.Reader{}, 64<<10)
	}
	require.Greater(t, a.Unread(), int64(900<<10))
	givenUp := 0
	for n := range 7 {
		ok, victims := a.ReserveBody(fmt.Sprint("customer ", n%2), 0, 100<<10, start)
		require.True(t, ok)
		givenUp += len(victims)
	}
	require.Positive(t, givenUp)
	require.LessOrEqual(t, a.Unread()+a.Bodies(), a.MaxBytes)
	ok, victims := a.ReserveBody("saar", 0, 100<<10, start)
	require.False(t, ok)
	require.Empty(t, victims)
}

// Whatever callers do, the account stays within its bound, and is empty once all is given back.
func TestAccountAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &backlog.Account{MaxBytes: 512 << 10, MaxBodyBytes: 400 << 10}
		readers := make([]*backlog.Reader, 8)
		held := map[*backlog.Reader]int64{}
		for n := range readers {
			readers[n] = &backlog.Reader{}
		}
		type body struct {
			customer string
			bytes    int64
		}
		var bodies []body
		now := start
		drop := func(victims []backlog.Victim) {
			for _, v := range victims {
				held[v.Reader] = 0
			}
		}
		customer := rapid.SampledFrom([]string{"", "saar", "koit"})
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "millis")) * time.Millisecond)
			r := rapid.SampledFrom(readers).Draw(t, "reader")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				n := int64(rapid.IntRange(1, 100).Draw(t, "kB")) << 10
				ok, victims := a.Hold(r, n, now)
				drop(victims)
				if ok {
					held[r] += n
				}
			case 2:
				n := min(held[r], int64(rapid.IntRange(1, 100).Draw(t, "kB"))<<10)
				a.Read(r, n, n, now)
				held[r] -= n
			case 3:
				a.Assign(r, customer.Draw(t, "customer"))
			case 4:
				b := body{customer.Draw(t, "customer"), int64(rapid.IntRange(1, 400).Draw(t, "kB")) << 10}
				ok, victims := a.ReserveBody(b.customer, 0, b.bytes, now)
				drop(victims)
				if ok {
					bodies = append(bodies, b)
				}
			case 5:
				a.Drop(r)
				held[r] = 0
			}
			var unread int64
			for _, n := range held {
				unread += n
			}
			require.Equal(t, unread, a.Unread())
			require.LessOrEqual(t, a.Unread()+a.Bodies(), a.MaxBytes)
			require.LessOrEqual(t, a.Bodies(), a.MaxBodyBytes)
		}
		for _, r := range readers {
			a.Drop(r)
		}
		for _, b := range bodies {
			a.ReleaseBody(b.customer, b.bytes)
		}
		require.Zero(t, a.Unread())
		require.Zero(t, a.Bodies())
	})
}

// BenchmarkHold measures the decision on one piece of a caller that has just fallen behind, at an account
// that is full of others.
func BenchmarkHold(b *testing.B) {
	for _, readers := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(readers, " readers"), func(b *testing.B) {
			a := &backlog.Account{MaxBytes: int64(readers) * 64 << 10}
			for range readers {
				fill(a, &backlog.Reader{}, 64<<10)
			}
			for b.Loop() {
				next := &backlog.Reader{}
				_, victims := a.Hold(next, piece, start)
				a.Drop(next)
				for _, v := range victims {
					fill(a, v.Reader, 64<<10)
				}
			}
			require.LessOrEqual(b, a.Unread(), a.MaxBytes)
		})
	}
}
