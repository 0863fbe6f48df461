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

func newBalancer(endpoints int) *placement.Balancer {
	b := &placement.Balancer{LocalDomain: "a"}
	for i := range endpoints {
		b.Put(placement.Endpoint{ID: fmt.Sprintf("i-%d", i), EndpointInfo: fleet.EndpointInfo{Service: "model", Address: fmt.Sprintf("e%d", i), Domain: "a", Slots: 8}})
	}
	return b
}

func newRequest(key uint64) placement.Request {
	return placement.Request{
		Service: "model", AffinityKey: key, Tokens: 12000, Stream: true, TargetLatency: 600 * time.Millisecond,
		// 500 tokens are common to all requests, 5000 to those with the same key.
		Shared: []fleet.PromptPart{{ID: 1, Tokens: 500}, {ID: key, Tokens: 5000}},
	}
}

// send places one request; its first event comes after 50 ms.
func send(t *testing.T, b *placement.Balancer, r placement.Request, now time.Time) (placement.Choice, *placement.Run) {
	c, ok := b.Choose(r, now)
	require.True(t, ok)
	run, _ := b.Begin(c, r, now)
	run.RecordFirst(now.Add(50 * time.Millisecond))
	return c, run
}

// Many requests with few affinity keys under light load: the parts of each key must be
// processed by one endpoint only, once.
func TestAffinityKeysStayAtOneEndpoint(t *testing.T) {
	b := newBalancer(10)
	endpointByKey := map[uint64]string{}
	for i := range 400 {
		key := uint64(100 + i%40)
		c, run := send(t, b, newRequest(key), start)
		if endpoint, known := endpointByKey[key]; known {
			require.Equal(t, endpoint, c.Endpoint.ID)
			require.Zero(t, c.MissingTokens)
		}
		endpointByKey[key] = c.Endpoint.ID
		run.End(placement.ResultAnswered, start)
	}
	used := map[string]bool{}
	for _, endpoint := range endpointByKey {
		used[endpoint] = true
	}
	require.Greater(t, len(used), 5, "affinity keys must spread over endpoints")
}

// Two instances get requests with the same affinity keys: the second must choose the
// endpoint that has cached the parts after a request of the first.
func TestInstancesShareCacheFills(t *testing.T) {
	one, two := newBalancer(10), newBalancer(10)
	for i := range 40 {
		c, run := send(t, one, newRequest(uint64(100+i)), start)
		run.End(placement.ResultAnswered, start)
		fills, _ := one.CacheFillsSince(int64(i))
		two.MergeCacheFills(fills, start)
		other, ok := two.Choose(newRequest(uint64(100+i)), start)
		require.True(t, ok)
		require.Equal(t, c.Endpoint.ID, other.Endpoint.ID)
		require.Zero(t, other.MissingTokens)
	}
}

// One affinity key gets most of the traffic: its requests must spread to more endpoints
// before those at its preferred endpoint become late.
func TestHotAffinityKeySpreads(t *testing.T) {
	b := newBalancer(10)
	used := map[string]int{}
	for range 60 {
		c, ok := b.Choose(newRequest(7), start)
		require.True(t, ok)
		b.Begin(c, newRequest(7), start)
		used[c.Endpoint.ID]++
	}
	require.Greater(t, len(used), 4)
	for id, n := range used {
		require.LessOrEqual(t, n, 20, "%s got too many requests", id)
	}
}

// The work of other instances counts as much as that of this one.
func TestWorkOfOtherInstancesCounts(t *testing.T) {
	b := newBalancer(3)
	b.SetInstanceWork("peer", map[string]placement.Work{"i-0": {Runs: 20, Tokens: 90000}, "i-1": {Runs: 20, Tokens: 90000}}, true, start)
	c, ok := b.Choose(newRequest(1), start)
	require.True(t, ok)
	require.Equal(t, "i-2", c.Endpoint.ID)
	b.ForgetInstance("peer", start)
	c, _ = b.Choose(newRequest(1), start)
	require.Zero(t, c.Runs)
}

func TestLeavingAndRemovedEndpointsGetNoRequests(t *testing.T) {
	b := newBalancer(2)
	b.Put(placement.Endpoint{ID: "i-0", EndpointInfo: fleet.EndpointInfo{Service: "model", Address: "e0", Domain: "a", Leaving: true}})
	for i := range 20 {
		c, ok := b.Choose(newRequest(uint64(i)), start)
		require.True(t, ok)
		require.Equal(t, "i-1", c.Endpoint.ID)
	}
	b.Remove("i-1", "record removed")
	_, ok := b.Choose(newRequest(1), start)
	require.False(t, ok)
}

// An endpoint that restarts under the same ID has nothing cached.
func TestRestartedEndpointHasNothingCached(t *testing.T) {
	b := newBalancer(1)
	_, run := send(t, b, newRequest(1), start)
	run.End(placement.ResultAnswered, start)
	c, _ := b.Choose(newRequest(1), start)
	require.Zero(t, c.MissingTokens)
	b.Put(placement.Endpoint{ID: "i-0", EndpointInfo: fleet.EndpointInfo{Service: "model", Address: "e0", Domain: "a", Slots: 8, Born: 5}})
	c, _ = b.Choose(newRequest(1), start)
	require.Equal(t, 5500, c.MissingTokens)
}

// An endpoint fails half of its requests while its load seems the lowest: it must be avoided.
func TestFailingEndpointIsAvoided(t *testing.T) {
	b := newBalancer(4)
	at := start
	used := map[string]int{}
	for i := range 200 {
		at = at.Add(10 * time.Millisecond)
		c, ok := b.Choose(placement.Request{Service: "model", Tokens: 500, Stream: true}, at)
		require.True(t, ok)
		run, _ := b.Begin(c, placement.Request{Service: "model", Tokens: 500, Stream: true}, at)
		run.RecordFirst(at)
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

// An endpoint to which no connection was made gets no requests until a probe connects.
func TestUnreachableEndpointIsProbed(t *testing.T) {
	b := newBalancer(1)
	c, _ := b.Choose(newRequest(1), start)
	run, _ := b.Begin(c, newRequest(1), start)
	run.End(placement.ResultUnreachable, start)
	_, ok := b.Choose(newRequest(1), start.Add(time.Minute))
	require.False(t, ok)
	require.Empty(t, b.Probes(start))
	due := b.Probes(start.Add(time.Second))
	require.Len(t, due, 1)
	b.RecordProbe(listedEndpoint(b, "i-0"), true, start.Add(time.Second))
	_, ok = b.Choose(newRequest(1), start.Add(time.Second))
	require.True(t, ok)
}

// An endpoint that runs requests and sends nothing is not chosen if there is another.
func TestStalledEndpointIsAvoided(t *testing.T) {
	b := newBalancer(2)
	c, _ := b.Choose(newRequest(1), start)
	b.Begin(c, newRequest(1), start)
	other, _ := b.Choose(newRequest(1), start.Add(2*time.Second))
	require.NotEqual(t, c.Endpoint.ID, other.Endpoint.ID)
}

// The instance is suspended for seconds while first events are in transit, so that all of
// them are seen late. The bias learned from that must decay, even if no requests are sent.
func TestLatencyBiasDecaysWithoutRequests(t *testing.T) {
	b := newBalancer(2)
	for range 100 {
		c, _ := b.Choose(newRequest(1), start)
		run, _ := b.Begin(c, newRequest(1), start)
		run.RecordFirst(start.Add(4 * time.Second))
		run.End(placement.ResultAnswered, start.Add(4*time.Second))
	}
	c, _ := b.Choose(newRequest(1), start.Add(4*time.Second))
	b.Begin(c, newRequest(1), start.Add(4*time.Second))
	c, _ = b.Choose(newRequest(1), start.Add(4*time.Second))
	b.Begin(c, newRequest(1), start.Add(4*time.Second))
	c, _ = b.Choose(newRequest(1), start.Add(4*time.Second))
	require.Greater(t, c.Wait, 100*time.Millisecond)
	wait := c.Wait
	c, _ = b.Choose(newRequest(1), start.Add(20*time.Second))
	require.Less(t, c.Wait, wait/2)
}

// Calls to a service that does not stream hang at times: others must not be refused while
// slots are free.
func TestNoWaitWithFreeSlots(t *testing.T) {
	b := newBalancer(2)
	call := placement.Request{Service: "model", TargetLatency: 100 * time.Millisecond}
	for range 100 {
		c, _ := b.Choose(call, start)
		run, _ := b.Begin(c, call, start)
		run.RecordFirst(start.Add(900 * time.Millisecond))
		run.End(placement.ResultAnswered, start.Add(900*time.Millisecond))
	}
	c, ok := b.Choose(call, start.Add(time.Second))
	require.True(t, ok)
	require.Zero(t, c.Wait)
}

// A caller stated fewer prompt tokens than the shared parts of its prompt have, or none. Where they were
// cached, the request counted as negative work: the endpoint looked faster than an empty one to
// all other requests.
func TestUnderstatedPromptIsNoNegativeWork(t *testing.T) {
	for _, stated := range []int{0, 100, 5500} {
		b, now := newBalancer(1), time.Now()
		r := newRequest(7)
		r.Tokens = stated
		_, run := send(t, b, r, now)
		run.End(placement.ResultAnswered, now.Add(80*time.Millisecond))
		empty := choose(t, b, shortRequest(), now)
		c := choose(t, b, r, now)
		require.GreaterOrEqual(t, c.Tokens, 0, "stated %d", stated)
		require.Positive(t, c.Expected, "stated %d", stated)
		sendTo(t, b, r, now)
		require.GreaterOrEqual(t, b.LocalWork()["i-0"].Tokens, 0, "stated %d", stated)
		require.GreaterOrEqual(t, choose(t, b, shortRequest(), now).Expected, empty.Expected, "stated %d", stated)
	}
}

// The prompt is cached at an endpoint with a long queue: the choice says how long it would have waited
// elsewhere.
func TestChoiceHasLeastWait(t *testing.T) {
	b := newBalancer(2)
	r := newRequest(7)
	c, _ := send(t, b, r, start)
	queued := r
	queued.Tokens, queued.Avoid = 16_000, []string{map[string]string{"i-0": "i-1", "i-1": "i-0"}[c.Endpoint.ID]}
	sendTo(t, b, queued, start)
	got := choose(t, b, r, start)
	require.Equal(t, c.Endpoint.ID, got.Endpoint.ID)
	require.Greater(t, got.Wait, 100*time.Millisecond)
	require.Zero(t, got.LeastWait)
}
