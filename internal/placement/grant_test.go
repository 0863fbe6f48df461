package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

func reservation(endpoint string) fleet.Reservation {
	return fleet.Reservation{Endpoint: endpoint, Tokens: 8000, MaxWait: 150 * time.Millisecond}
}

// Thundering herd: 25 instances with the same outdated load see the same endpoint empty and
// choose it at the same time. Its home must grant only as many requests as can start in
// time; without a home all 25 are sent.
func TestHomeLimitsThunderingHerd(t *testing.T) {
	home := newBalancer(1)
	granted := 0
	for i := range 25 {
		requester := newBalancer(1)
		c, ok := requester.Choose(newRequest(uint64(i)), start)
		require.True(t, ok)
		require.Zero(t, c.Wait, "the load is outdated: the endpoint seems empty")
		if home.Grant(fmt.Sprint(i), reservation(c.Endpoint.ID), start) {
			granted++
		}
	}
	require.GreaterOrEqual(t, granted, 2)
	require.LessOrEqual(t, granted, 4, "8000 tokens take some 90 ms, and a request may wait for 150 ms")
}

// A granted slot counts until its holder reports the request, and not twice after that.
func TestGrantsEndWhenReported(t *testing.T) {
	home := newBalancer(1)
	runs := func(now time.Time) float64 { return home.Services(now)["model"].Runs }
	require.True(t, home.Grant("p", reservation("i-0"), start))
	require.InDelta(t, 1.0, runs(start), 0.3)
	home.SetInstanceWork("p", map[string]placement.Work{}, true, start.Add(5*time.Millisecond))
	require.InDelta(t, 1, runs(start.Add(5*time.Millisecond)), 0.3, "the message may be older than the grant")
	home.SetInstanceWork("p", map[string]placement.Work{"i-0": {Runs: 1}}, true, start.Add(100*time.Millisecond))
	require.InDelta(t, 1.0, runs(start.Add(100*time.Millisecond)), 0.3)
	home.SetInstanceWork("p", map[string]placement.Work{}, true, start.Add(200*time.Millisecond))
	require.Zero(t, runs(start.Add(200*time.Millisecond)))
}

// A slot granted to an instance that crashes before it reports the request must become free.
func TestGrantsExpire(t *testing.T) {
	home := newBalancer(1)
	require.True(t, home.Grant("p", reservation("i-0"), start))
	require.Zero(t, home.Services(start.Add(2 * time.Second))["model"].Runs)
}

// For a short time the work reported by the home takes precedence over older reports of
// other instances.
func TestHomeWorkTakesPrecedence(t *testing.T) {
	requester := newBalancer(2)
	requester.SetInstanceWork("p", map[string]placement.Work{"i-0": {Runs: 1, Tokens: 100}}, true, start)
	requester.SetHomeWork(map[string]placement.Work{"i-0": {Runs: 9, Tokens: 90000}}, start)
	require.Equal(t, 9.0, requester.Services(start)["model"].Runs)
	require.Less(t, requester.Services(start.Add(time.Second))["model"].Runs, 1.0)
	c, ok := requester.Choose(newRequest(1), start)
	require.True(t, ok)
	require.Equal(t, "i-1", c.Endpoint.ID)
}

// An incomplete list of work leaves the endpoints that it does not name unchanged.
func TestIncompleteWorkKeepsOtherEndpoints(t *testing.T) {
	b := newBalancer(2)
	b.SetInstanceWork("p", map[string]placement.Work{"i-0": {Runs: 3}, "i-1": {Runs: 4}}, true, start)
	b.SetInstanceWork("p", map[string]placement.Work{"i-0": {}}, false, start)
	require.Equal(t, 4.0, b.Services(start)["model"].Runs)
}

// A home grants no slot at an endpoint that is leaving or unknown.
func TestNoGrantAtLeavingOrUnknownEndpoint(t *testing.T) {
	home := newBalancer(1)
	require.False(t, home.Grant("p", reservation("i-9"), start))
	home.Put(placement.Endpoint{ID: "i-0", EndpointInfo: fleet.EndpointInfo{Service: "model", Address: "e0", Domain: "a", Slots: 8, Leaving: true}})
	require.False(t, home.Grant("p", reservation("i-0"), start))
}

// Endpoints are full and the reports are some time old. Some of the reported requests have
// ended since, so no request may wait for slots that are free.
func TestReportedRunsDecay(t *testing.T) {
	b := newBalancer(1)
	b.SetInstanceWork("p", map[string]placement.Work{"i-0": {Runs: 9}}, true, start)
	wait := func(after time.Duration) time.Duration {
		c, ok := b.Choose(placement.Request{Service: "model", Tokens: 100, Stream: true}, start.Add(after))
		require.True(t, ok)
		return c.Wait
	}
	require.NotZero(t, wait(0))
	require.Zero(t, wait(200*time.Millisecond), "requests take half a second")
}
