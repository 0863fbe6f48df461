package placement_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// endpointIn returns the record of an endpoint in a failure domain, at a later start if born is
// larger.
func endpointIn(id, domain string, born int64) placement.Endpoint {
	return placement.Endpoint{ID: id, EndpointInfo: fleet.EndpointInfo{Service: "model", Address: "at " + id, Domain: domain, Slots: 8, Born: born}}
}

// A failure domain is emptied while a request for it has been chosen and another one waits for its
// connection: neither is sent, and no slot is granted there. What runs there goes on.
func TestEvacuationReachesEveryStepOfARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		b.Put(endpointIn("i-0", "a", 1))
		running, dialing := begin(t, b), begin(t, b)
		chosen := choose(t, b, newRequest(1), time.Now())
		b.SetEvacuated("a", true, time.Now())
		_, reason := b.Begin(chosen, newRequest(1), time.Now())
		require.Equal(t, placement.UnavailableEvacuated, reason)
		require.Equal(t, placement.UnavailableEvacuated, dialing.Unavailability(time.Now()))
		requireUnavailable(t, b)
		require.Equal(t, 1, b.Services(time.Now())["model"].Evacuated)
		running.RecordFirst(time.Now())
		running.End(placement.ResultAnswered, time.Now())
		b.SetEvacuated("a", false, time.Now())
		begin(t, b)
	})
}

// A home says that a domain is emptied, ahead of the operator's record: also an endpoint that is listed or restarts within the lead
// gets nothing. One in another domain does, and so does this one once the lead is over.
func TestEvacuationByHomeConcernsDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		b.Put(endpointIn("i-0", "a", 1))
		b.RecordEvacuated("i-0", time.Now())
		b.Put(endpointIn("i-1", "a", 1))
		b.Put(endpointIn("i-0", "a", 2))
		requireUnavailable(t, b)
		b.Put(endpointIn("i-1", "b", 1))
		require.Equal(t, "i-1", choose(t, b, newRequest(1), time.Now()).Endpoint.ID)
		b.Remove("i-1", "no record")
		b.SetEvacuated("a", true, time.Now())
		b.SetEvacuated("a", false, time.Now())
		b.Put(endpointIn("i-1", "a", 1))
		begin(t, b)
	})
}

// It concerns every endpoint of the domain: those that are listed later, restart, come back after
// their records lapsed, or move into it. One that moves out takes requests.
func TestEvacuationConcernsDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		b.SetEvacuated("a", true, time.Now())
		b.Put(endpointIn("i-0", "a", 1))
		requireUnavailable(t, b)
		b.Put(endpointIn("i-0", "a", 2))
		requireUnavailable(t, b)
		b.Remove("i-0", "no record")
		b.Put(endpointIn("i-0", "a", 2))
		requireUnavailable(t, b)
		b.Put(endpointIn("i-0", "b", 2))
		begin(t, b)
		b.Put(endpointIn("i-0", "a", 2))
		requireUnavailable(t, b)
	})
}

// An endpoint of an emptied domain that is down is probed, so that it is known to be reachable when
// the domain is taken back, but not while it wants no requests.
func TestEvacuatedEndpointIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		b.Put(endpointIn("i-0", "a", 1))
		run := begin(t, b)
		b.SetEvacuated("a", true, time.Now())
		b.RecordProbe(listedEndpoint(b, "i-0"), false, time.Now())
		time.Sleep(time.Second)
		require.True(t, run.MayProbe(time.Now()))
		require.Len(t, b.Probes(time.Now()), 1)
		run.RecordHead(fleet.ResponseAttrs{QuietFor: time.Minute}, time.Now())
		time.Sleep(10 * time.Second)
		require.False(t, run.MayProbe(time.Now()))
		require.Empty(t, b.Probes(time.Now()))
	})
}

// Requests of a region reach endpoints only there. An endpoint whose domain is in no known region
// gets none of them, and one whose allowed regions exclude each other reaches no endpoint.
func TestRequestStaysInItsRegions(t *testing.T) {
	now := time.Now()
	b := &placement.Balancer{Regions: map[string]string{"a": "north", "b": "south"}, LocalDomain: "b"}
	for id, domain := range map[string]string{"i-0": "a", "i-1": "b", "i-2": "elsewhere"} {
		b.Put(endpointIn(id, domain, 1))
	}
	// The others have nothing to do.
	b.SetInstanceWork("p", map[string]placement.Work{"i-0": {Runs: 80, Tokens: 100000}}, true, now)
	for _, tc := range []struct {
		regions []string
		allowed []string
	}{
		{nil, []string{"i-0", "i-1", "i-2"}},
		{[]string{"north"}, []string{"i-0"}},
		{[]string{"south", "west"}, []string{"i-1"}},
		{[]string{""}, nil},
		{[]string{}, nil},
	} {
		for key := range uint64(20) {
			r := newRequest(key)
			r.Regions = tc.regions
			c, ok := b.Choose(r, now)
			require.Equal(t, tc.allowed != nil, ok, tc.regions)
			if ok {
				require.Contains(t, tc.allowed, c.Endpoint.ID)
			}
		}
	}
}

// A refusal names why there is no endpoint.
func TestRefusalNamesEvacuationOrRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{Regions: map[string]string{"a": "north", "b": "south"}}
		r := newRequest(1)
		r.Regions = []string{"north"}
		require.Equal(t, fleet.ReasonNoEndpoint, b.RefusalReason(r, time.Now()))
		b.Put(endpointIn("i-0", "a", 1))
		run := begin(t, b)
		b.Put(endpointIn("i-1", "b", 1))
		b.RecordProbe(listedEndpoint(b, "i-0"), false, time.Now())
		require.Equal(t, fleet.ReasonRegion, b.RefusalReason(r, time.Now()))
		b.RecordProbe(listedEndpoint(b, "i-0"), true, time.Now())
		b.SetEvacuated("a", true, time.Now())
		require.Equal(t, fleet.ReasonEvacuated, b.RefusalReason(r, time.Now()))
		b.SetEvacuated("b", true, time.Now())
		require.Equal(t, fleet.ReasonEvacuated, b.RefusalReason(newRequest(1), time.Now()))
		require.True(t, b.AllEvacuated())
		b.SetEvacuated("a", false, time.Now())
		run.RecordHead(fleet.ResponseAttrs{QuietFor: time.Minute}, time.Now())
		require.Equal(t, fleet.ReasonNoEndpoint, b.RefusalReason(r, time.Now()))
		at, ok := b.AvailableFrom(r, time.Now())
		require.True(t, ok)
		require.Equal(t, time.Now().Add(time.Minute), at)
		r.Regions = []string{"south"}
		_, ok = b.AvailableFrom(r, time.Now())
		require.False(t, ok)
	})
}

// A domain that was taken back may have become cold: requests need a start of the home. An explanation
// says so, and that no endpoint is left while the next start has to wait. Where a request may not go
// at all, that is the reason of the refusal.
func TestDomainTakenBackMayBeCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWarmth()
		b.SetEvacuated("a", true, time.Now())
		b.SetEvacuated("a", false, time.Now())
		explained := b.Explain(placement.Request{Service: "model"}, time.Now())[0]
		require.True(t, explained.Cold)
		require.Empty(t, explained.Excluded)
		require.Equal(t, fleet.ReasonRegion, b.RefusalReason(placement.Request{Service: "model", Regions: []string{"north"}}, time.Now()))
		require.Equal(t, "cold", b.Explain(placement.Request{Service: "model", Warm: true}, time.Now())[0].Excluded)
		b.DelayStart("i-0", time.Second, time.Now())
		require.Equal(t, "cold", b.Explain(placement.Request{Service: "model"}, time.Now())[0].Excluded)
	})
}

// BenchmarkSetEvacuated empties and takes back a failure domain of 706 endpoints among 12,000.
func BenchmarkSetEvacuated(bench *testing.B) {
	b := &placement.Balancer{}
	for n := range 12_000 {
		domain := "other"
		if n < 706 {
			domain = "a"
		}
		b.Put(endpointIn(fmt.Sprint("i-", n), domain, 1))
	}
	for bench.Loop() {
		b.SetEvacuated("a", true, time.Now())
		b.SetEvacuated("a", false, time.Now())
	}
}
