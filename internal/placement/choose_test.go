package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func board(endpoints int) *placement.Board {
	b := &placement.Board{Self: "a"}
	for i := range endpoints {
		b.Put(placement.Endpoint{ID: fmt.Sprintf("i-%d", i), Entry: fleet.Entry{Service: "model", Address: fmt.Sprintf("e%d", i), Domain: "a", Slots: 8}})
	}
	return b
}

func plan(subject uint64) placement.Request {
	return placement.Request{
		Service: "model", Subject: subject, Tokens: 12000, Stream: true, Aim: 600 * time.Millisecond,
		Shared: []fleet.Part{{ID: 1, Tokens: 500}, {ID: subject, Tokens: 5000}},
	}
}

// send places one request and lets its prompt be read at once.
func send(t *testing.T, b *placement.Board, r placement.Request, now time.Time) (placement.Choice, *placement.Run) {
	c, ok := b.Choose(r, now)
	require.True(t, ok)
	run := b.Begin(c, r, now)
	run.First(now.Add(50 * time.Millisecond))
	return c, run
}

// Pattern: many requests on few subjects, light load. Each subject is read once.
func TestSubjectsStayAtHome(t *testing.T) {
	b := board(10)
	homes := map[uint64]string{}
	for i := range 400 {
		subject := uint64(100 + i%40)
		c, run := send(t, b, plan(subject), start)
		if home, known := homes[subject]; known {
			require.Equal(t, home, c.Endpoint.ID)
			require.Zero(t, c.Missing)
		}
		homes[subject] = c.Endpoint.ID
		run.End(placement.ResultAnswered, start)
	}
	used := map[string]bool{}
	for _, home := range homes {
		used[home] = true
	}
	require.Greater(t, len(used), 5, "subjects must spread over endpoints")
}

// Pattern: two instances meet the same subjects. What one has sent is not read again
// by the other.
func TestInstancesShareReads(t *testing.T) {
	one, two := board(10), board(10)
	for i := range 40 {
		c, run := send(t, one, plan(uint64(100+i)), start)
		run.End(placement.ResultAnswered, start)
		reads, _ := one.ReadsSince(int64(i))
		two.HearReads(reads, start)
		other, ok := two.Choose(plan(uint64(100+i)), start)
		require.True(t, ok)
		require.Equal(t, c.Endpoint.ID, other.Endpoint.ID)
		require.Zero(t, other.Missing)
	}
}

// Pattern: one subject gets most of the traffic. It widens to more endpoints before
// its home makes anybody late.
func TestHotSubjectWidens(t *testing.T) {
	b := board(10)
	used := map[string]int{}
	for range 60 {
		c, ok := b.Choose(plan(7), start)
		require.True(t, ok)
		b.Begin(c, plan(7), start)
		used[c.Endpoint.ID]++
	}
	require.Greater(t, len(used), 4)
	for id, n := range used {
		require.LessOrEqual(t, n, 20, "%s got too much", id)
	}
}

// The work of other instances counts as much as one's own.
func TestWorkOfOthersIsAvoided(t *testing.T) {
	b := board(3)
	b.Hear("peer", map[string]placement.Work{"i-0": {Runs: 20, Tokens: 90000}, "i-1": {Runs: 20, Tokens: 90000}}, true, start)
	c, ok := b.Choose(plan(1), start)
	require.True(t, ok)
	require.Equal(t, "i-2", c.Endpoint.ID)
	b.Forget("peer", start)
	c, _ = b.Choose(plan(1), start)
	require.Zero(t, c.Runs)
}

func TestLeavingAndGoneGetNothing(t *testing.T) {
	b := board(2)
	b.Put(placement.Endpoint{ID: "i-0", Entry: fleet.Entry{Service: "model", Address: "e0", Domain: "a", Leaving: true}})
	for i := range 20 {
		c, ok := b.Choose(plan(uint64(i)), start)
		require.True(t, ok)
		require.Equal(t, "i-1", c.Endpoint.ID)
	}
	b.Remove("i-1", "record removed")
	_, ok := b.Choose(plan(1), start)
	require.False(t, ok)
}

// An endpoint that starts again under its ID keeps nothing of before.
func TestRebornEndpointKeepsNothing(t *testing.T) {
	b := board(1)
	_, run := send(t, b, plan(1), start)
	run.End(placement.ResultAnswered, start)
	c, _ := b.Choose(plan(1), start)
	require.Zero(t, c.Missing)
	b.Put(placement.Endpoint{ID: "i-0", Entry: fleet.Entry{Service: "model", Address: "e0", Domain: "a", Slots: 8, Born: 5}})
	c, _ = b.Choose(plan(1), start)
	require.Equal(t, 5500, c.Missing)
}

// Pattern: an endpoint fails half of its requests while its load looks best.
func TestFailingEndpointIsAvoided(t *testing.T) {
	b := board(4)
	at := start
	used := map[string]int{}
	for i := range 200 {
		at = at.Add(10 * time.Millisecond)
		c, ok := b.Choose(placement.Request{Service: "model", Tokens: 500, Stream: true}, at)
		require.True(t, ok)
		run := b.Begin(c, placement.Request{Service: "model", Tokens: 500, Stream: true}, at)
		run.First(at)
		used[c.Endpoint.ID]++
		if c.Endpoint.ID == "i-0" && i%2 == 0 {
			run.End(placement.ResultFailed, at)
			continue
		}
		run.End(placement.ResultAnswered, at)
	}
	require.Less(t, used["i-0"], 30)
	require.Positive(t, used["i-1"]+used["i-2"]+used["i-3"])
}

// An endpoint without a connection gets nothing until a probe has made one.
func TestUnreachableEndpointIsProbed(t *testing.T) {
	b := board(1)
	c, _ := b.Choose(plan(1), start)
	b.Begin(c, plan(1), start).End(placement.ResultUnreachable, start)
	_, ok := b.Choose(plan(1), start.Add(time.Minute))
	require.False(t, ok)
	require.Empty(t, b.Probes(start))
	due := b.Probes(start.Add(time.Second))
	require.Len(t, due, 1)
	b.Probed("i-0", true, start.Add(time.Second))
	_, ok = b.Choose(plan(1), start.Add(time.Second))
	require.True(t, ok)
}

// An endpoint that runs requests and says nothing is no choice beside one that does.
func TestQuietEndpointIsAvoided(t *testing.T) {
	b := board(2)
	c, _ := b.Choose(plan(1), start)
	b.Begin(c, plan(1), start)
	other, _ := b.Choose(plan(1), start.Add(2*time.Second))
	require.NotEqual(t, c.Endpoint.ID, other.Endpoint.ID)
}

// Pattern: the instance stands still for seconds while first events are under way, so
// that all come late. What it learns of that passes, also when nobody is sent on.
func TestErrorFadesWithoutRequests(t *testing.T) {
	b := board(2)
	for range 100 {
		c, _ := b.Choose(plan(1), start)
		run := b.Begin(c, plan(1), start)
		run.First(start.Add(4 * time.Second))
		run.End(placement.ResultAnswered, start.Add(4*time.Second))
	}
	c, _ := b.Choose(plan(1), start.Add(4*time.Second))
	b.Begin(c, plan(1), start.Add(4*time.Second))
	c, _ = b.Choose(plan(1), start.Add(4*time.Second))
	b.Begin(c, plan(1), start.Add(4*time.Second))
	c, _ = b.Choose(plan(1), start.Add(4*time.Second))
	require.Greater(t, c.Wait, 100*time.Millisecond)
	work := c.Wait
	c, _ = b.Choose(plan(1), start.Add(20*time.Second))
	require.Less(t, c.Wait, work/2)
}

// Pattern: calls to a plain service hang at times. Others are not refused beside free
// places.
func TestNoWaitBesideFreePlaces(t *testing.T) {
	b := board(2)
	call := placement.Request{Service: "model", Aim: 100 * time.Millisecond}
	for range 100 {
		c, _ := b.Choose(call, start)
		run := b.Begin(c, call, start)
		run.First(start.Add(900 * time.Millisecond))
		run.End(placement.ResultAnswered, start.Add(900*time.Millisecond))
	}
	c, ok := b.Choose(call, start.Add(time.Second))
	require.True(t, ok)
	require.Zero(t, c.Wait)
}
