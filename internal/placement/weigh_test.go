package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// cachedAt returns a balancer in which only the first endpoint has cached the prompt of the request, and
// has so much work that a new request waits for over 200 ms there.
func cachedAt(t *testing.T, endpoints int, r placement.Request) *placement.Balancer {
	b := newBalancer(endpoints)
	var hashes []uint64
	for range 200 {
		// Learn the prefix hashes of the request from a fill of its own.
		if fills, _ := b.CacheFillsSince(0); len(fills) > 0 {
			hashes = fills[0].PrefixHashes
			break
		}
		_, run := send(t, b, r, start)
		run.End(placement.ResultAnswered, start)
	}
	b = newBalancer(endpoints)
	b.MergeCacheFills([]placement.CacheFill{{Endpoint: "i-0", PrefixHashes: hashes}}, start)
	b.SetInstanceWork("peer", map[string]placement.Work{"i-0": {Runs: 3, Tokens: 22_000}}, true, start)
	return b
}

// Load: one endpoint holds the beginning of a prompt that many callers use and is busy, the others are
// idle. A caller must not be refused for the wait at the first.
func TestIdleEndpointsTakeWhatWouldWaitTooLong(t *testing.T) {
	r := newRequest(7)
	r.MaxWait = 150 * time.Millisecond
	b := cachedAt(t, 10, r)
	for range 50 {
		c, ok := b.Choose(r, start)
		require.True(t, ok)
		require.NotEqual(t, placement.WeighingOver, c.Weighing)
		require.NotEqual(t, "i-0", c.Endpoint.ID)
		require.LessOrEqual(t, c.Wait, r.MaxWait)
	}
	r.MaxWait = 0
	c, ok := b.Choose(r, start)
	require.True(t, ok)
	require.Equal(t, "i-0", c.Endpoint.ID, "without a limit the cached prompt is worth the wait")
	require.Equal(t, placement.WeighingKept, c.Weighing)
}

// Load: most endpoints are busy, with waits near the limit. Reading most of a prompt again
// would take time that others use for prompts that are cached: the request is refused. A part that is short
// beside the rest may be read again.
func TestBusyEndpointsReadOnlyLittleAgain(t *testing.T) {
	for _, c := range []struct {
		name     string
		tokens   int
		weighing placement.Weighing
	}{
		{"all of it is shared", 5_600, placement.WeighingOver},
		{"most of it is its own", 60_000, placement.WeighingMoved},
	} {
		r := newRequest(7)
		r.Tokens, r.MaxWait, r.TargetLatency = c.tokens, 150*time.Millisecond, 0
		b := cachedAt(t, 10, r)
		work := map[string]placement.Work{"i-0": {Runs: 3, Tokens: 22_000}}
		for i := 1; i < 8; i++ {
			work[fmt.Sprintf("i-%d", i)] = placement.Work{Runs: 3, Tokens: 9_000}
		}
		b.SetInstanceWork("peer", work, true, start)
		var last placement.Choice
		for range 200 {
			last, _ = b.Choose(r, start)
		}
		require.Equal(t, c.weighing, last.Weighing, "%s: pressure %v", c.name, last.Pressure)
	}
}

// Load: a lasting shortage; no endpoint has a wait within the limit.
func TestNoEndpointWithinTheLimit(t *testing.T) {
	b := newBalancer(3)
	b.SetInstanceWork("peer", map[string]placement.Work{"i-0": {Tokens: 40_000}, "i-1": {Tokens: 40_000}, "i-2": {Tokens: 40_000}}, true, start)
	r := newRequest(7)
	r.MaxWait = 150 * time.Millisecond
	c, ok := b.Choose(r, start)
	require.True(t, ok)
	require.Equal(t, placement.WeighingOver, c.Weighing)
	require.Greater(t, c.LeastWait, r.MaxWait)
}

// Load: a lasting shortage in which as much is refused as served. An endpoint that idles for a moment is not
// used for reading again what another one has cached: those who are refused need it more. One that would read
// the same at both is moved.
func TestShortageKeepsEndpointsForCachedPrompts(t *testing.T) {
	r := newRequest(7)
	r.MaxWait, r.Shortage = 150*time.Millisecond, 1
	c, ok := cachedAt(t, 10, r).Choose(r, start)
	require.True(t, ok)
	require.Equal(t, placement.WeighingOver, c.Weighing)
	r.Shortage = 0.1
	c, _ = cachedAt(t, 10, r).Choose(r, start)
	require.Equal(t, placement.WeighingMoved, c.Weighing)
}

// Load: as much is refused as served. Whatever an endpoint has free is taken at once, so that a request which
// waits too long at the endpoint of its choice has no claim to it, even if it reads nothing again.
func TestFullShortageMovesNothing(t *testing.T) {
	for shortage, weighing := range map[float64]placement.Weighing{0.9: placement.WeighingMoved, 1: placement.WeighingOver} {
		b := &placement.Balancer{LocalDomain: "a"}
		for id, domain := range map[string]string{"near": "a", "far": "b"} {
			b.Put(placement.Endpoint{ID: id, EndpointInfo: fleet.EndpointInfo{Service: "model", Address: id, Domain: domain, Slots: 8}})
		}
		b.SetInstanceWork("peer", map[string]placement.Work{"near": {Runs: 1, Tokens: 2000}, "far": {Runs: 1, Tokens: 1700}}, true, start)
		c, ok := b.Choose(placement.Request{Service: "model", Tokens: 1000, Stream: true, MaxWait: 20 * time.Millisecond, Shortage: shortage}, start)
		require.True(t, ok)
		require.Equal(t, weighing, c.Weighing)
	}
}
