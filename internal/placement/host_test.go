package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// listedEndpoint returns the record of an endpoint.
func listedEndpoint(b *placement.Balancer, id string) placement.Endpoint {
	for _, e := range b.Endpoints() {
		if e.ID == id {
			return e
		}
	}
	panic("no endpoint " + id)
}

func reportHost(b *placement.Balancer, id string, slowdown float64, now time.Time) {
	b.RecordLoad(listedEndpoint(b, id), fleet.ResponseAttrs{HasLoad: true, Slots: 8, HostSlowdown: slowdown}, now)
}

// Endpoints share their machines with others, whose load changes several times a second: of
// equal endpoints, the one whose machine reports that work takes long gets no request now and
// gets them again when its report is old.
func TestBusyMachinesGetLessWork(t *testing.T) {
	b := newBalancer(2)
	reportHost(b, "i-0", 2.5, start)
	reportHost(b, "i-1", 1, start)
	r := newRequest(0)
	r.Shared = nil
	chosen := func(now time.Time) map[string]int {
		n := map[string]int{}
		for range 100 {
			c, ok := b.Choose(r, now)
			require.True(t, ok)
			n[c.Endpoint.ID]++
		}
		return n
	}
	require.Zero(t, chosen(start)["i-0"])
	b.Begin(choose(t, b, r, start), r, start)
	later := start.Add(5 * time.Second)
	require.Positive(t, chosen(later)["i-0"], "the old report no longer counts against the idle endpoint")
}

// The speed that is learned from answers is that of the endpoint, not of its machine's
// neighbors: answers that took long while the machine reported to be busy leave no slowdown.
func TestBusyMachinesAreNotLearnedAsSlow(t *testing.T) {
	b := newBalancer(1)
	r := newRequest(0)
	r.Shared = nil
	before := choose(t, b, r, start).Expected
	now := start
	for range 60 {
		reportHost(b, "i-0", 2.5, now)
		run, _ := b.Begin(choose(t, b, r, now), r, now)
		now = now.Add(time.Duration(2.5 * float64(before)))
		reportHost(b, "i-0", 2.5, now)
		run.RecordFirst(now)
		run.End(placement.ResultAnswered, now)
	}
	reportHost(b, "i-0", 1, now)
	require.InEpsilon(t, before, choose(t, b, r, now).Expected, 0.1)
}

func choose(t *testing.T, b *placement.Balancer, r placement.Request, now time.Time) placement.Choice {
	c, ok := b.Choose(r, now)
	require.True(t, ok)
	return c
}
