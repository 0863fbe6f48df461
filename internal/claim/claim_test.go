package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/claim"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// hall is a set of desks that ask each other directly.
type hall struct {
	mu    sync.Mutex
	desks map[string]*claim.Desk
	down  map[string]bool
	// owner returns who an instance believes owns a shard.
	owner func(self string, shard int) string
}

func newHall(log *standin.Log, names ...string) *hall {
	h := &hall{desks: map[string]*claim.Desk{}, down: map[string]bool{}}
	h.owner = func(string, int) string { return names[0] }
	for _, name := range names {
		h.start(log, name, 1)
	}
	return h
}

func (h *hall) start(log *standin.Log, name string, incarnation uint32) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[name] = false
	h.desks[name] = &claim.Desk{
		Self: name, Incarnation: incarnation, Log: log, Peers: seat{h, name}, Trail: &audit.Trail{Instance: name},
	}
}

func (h *hall) kill(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[name] = true
}

func (h *hall) desk(name string) *claim.Desk {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.desks[name]
}

// seat is one desk's way to the others.
type seat struct {
	h    *hall
	self string
}

func (s seat) Owner(shard int) string { return s.h.owner(s.self, shard) }

func (s seat) Ask(ctx context.Context, peer, path string, question, answer any) error {
	s.h.mu.Lock()
	down := s.h.down[peer]
	desk := s.h.desks[peer]
	s.h.mu.Unlock()
	if down {
		return errors.New("unreachable")
	}
	return claim.AnswerForTest(ctx, desk, path, question, answer)
}

func begin(t *testing.T, d *claim.Desk, key, print string) claim.Decision {
	t.Helper()
	decision, err := d.Begin(t.Context(), "c0", key, print, "request")
	require.NoError(t, err)
	return decision
}

func TestSecondClaimGetsTheResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHall(&standin.Log{}, "a", "b")
		first := begin(t, h.desk("a"), "k", "p")
		require.NotNil(t, first.Ticket)
		first.Ticket.Done(&claim.Answer{Status: 201, Whole: true})
		second := begin(t, h.desk("b"), "k", "p")
		require.Nil(t, second.Ticket)
		require.Equal(t, claim.StateDone, second.Result.State)
		require.Equal(t, 201, second.Result.Answer.Status)
		require.True(t, begin(t, h.desk("b"), "k", "other").Mismatch)
	})
}

func TestTwoOwnersOfAShardAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHall(&standin.Log{}, "a", "b")
		h.owner = func(self string, _ int) string { return self }
		won := 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, name := range []string{"a", "b"} {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				d, err := h.desk(name).Begin(ctx, "c0", "k", "p", "request")
				mu.Lock()
				defer mu.Unlock()
				if err == nil && d.Ticket != nil {
					won++
				}
			})
		}
		wg.Wait()
		require.Equal(t, 1, won)
	})
}

func TestGoneHolderLeavesTheKeyTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		h := newHall(log, "a", "b")
		require.NotNil(t, begin(t, h.desk("b"), "k", "p").Ticket)
		h.kill("b")
		require.Equal(t, claim.StateGone, begin(t, h.desk("a"), "k", "p").Result.State)
		h.start(log, "b", 2)
		d := begin(t, h.desk("b"), "k", "p")
		require.Nil(t, d.Ticket, "a restart with no memory must not run the key again")
		require.Equal(t, claim.StateGone, d.Result.State)
	})
}

func TestReleasedKeyIsFreeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHall(&standin.Log{}, "a", "b")
		begin(t, h.desk("b"), "k", "p").Ticket.Release()
		time.Sleep(time.Second)
		require.NotNil(t, begin(t, h.desk("a"), "k", "p").Ticket)
	})
}

func TestClaimWhoseAnswerWasLostIsReleasedWhenAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		h := newHall(log, "a", "b")
		log.Set(standin.LogFaults{Delay: 2 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := h.desk("b").Begin(ctx, "c0", "k", "p", "hasty")
		require.ErrorIs(t, err, claim.ErrUnavailable)
		time.Sleep(5 * time.Second)
		log.Set(standin.LogFaults{})
		require.Equal(t, claim.StateReleased, begin(t, h.desk("a"), "k", "p").Result.State)
		time.Sleep(time.Second)
		require.NotNil(t, begin(t, h.desk("a"), "k", "p").Ticket)
	})
}

func TestLogDownDecidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		h := newHall(log, "a")
		log.Set(standin.LogFaults{Down: true})
		_, err := h.desk("a").Begin(t.Context(), "c0", "k", "p", "request")
		require.ErrorIs(t, err, claim.ErrUnavailable)
	})
}

func TestClaimsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{Limit: 300}
		h := newHall(log, "a", "b", "c")
		var wg sync.WaitGroup
		for i := range 2000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				_, err := h.desk([]string{"a", "b", "c"}[i%3]).Begin(t.Context(), "c0", fmt.Sprint(i), "p", "r")
				require.NoError(t, err)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, log.Appends(), int64(2*160+8), "8 shards append at most 20 times a second")
	})
}

// TestAtMostOnce lets instances claim few keys under random faults and checks that
// no key is ever granted twice, unless it was released in between.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { atMostOnce(t, seed) })
		})
	}
}

func atMostOnce(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	log := &standin.Log{}
	names := []string{"a", "b", "c"}
	h := newHall(log, names...)
	// Instances disagree about owners all the time.
	owners := []int{rng.IntN(3), rng.IntN(3), rng.IntN(3)}
	h.owner = func(self string, _ int) string { return names[owners[self[0]-'a']] }
	var mu sync.Mutex
	running := map[string]int{}
	var wg sync.WaitGroup
	for range 300 {
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		switch rng.IntN(12) {
		case 0:
			log.Set(standin.LogFaults{Down: rng.IntN(2) == 0, Lose: rng.IntN(4), Delay: time.Duration(rng.IntN(300)) * time.Millisecond})
		case 1:
			name := names[rng.IntN(3)]
			h.kill(name)
			h.start(log, name, rng.Uint32()|1)
		}
		key, name, wait := fmt.Sprint(rng.IntN(20)), names[rng.IntN(3)], time.Duration(rng.IntN(900))*time.Millisecond
		release := rng.IntN(4) == 0
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			d, err := h.desk(name).Begin(ctx, "c0", key, "p", "r")
			if err != nil || d.Ticket == nil {
				return
			}
			if release {
				d.Ticket.Release()
				return
			}
			mu.Lock()
			running[key]++
			mu.Unlock()
			d.Ticket.Done(nil)
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	for key, n := range running {
		require.LessOrEqual(t, n, 1, "key %s ran %d times", key, n)
	}
}
