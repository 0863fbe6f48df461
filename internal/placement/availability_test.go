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

// incarnation returns the record of an endpoint's start.
func incarnation(born int64) placement.Endpoint {
	return placement.Endpoint{ID: "i-0", EndpointInfo: fleet.EndpointInfo{Service: "model", Address: "e0", Domain: "a", Slots: 8, Born: born}}
}

// begin sends a request, which must be possible.
func begin(t *testing.T, b *placement.Balancer) *placement.Run {
	t.Helper()
	now := time.Now()
	run, reason := b.Begin(choose(t, b, newRequest(1), now), newRequest(1), now)
	require.Empty(t, reason)
	return run
}

func requireUnavailable(t *testing.T, b *placement.Balancer) {
	t.Helper()
	_, ok := b.Choose(newRequest(1), time.Now())
	require.False(t, ok)
	require.False(t, b.Grant("p", fleet.Reservation{Endpoint: "i-0", MaxWait: time.Hour}, time.Now()))
}

// An endpoint that said that it leaves is not brought back by records that say less: by one that
// calls it ready, nor by one that lapsed and was written again.
func TestRecordDoesNotBringLeavingEndpointBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		b.Put(incarnation(1))
		run := begin(t, b)
		run.RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
		requireUnavailable(t, b)
		b.Put(incarnation(1))
		requireUnavailable(t, b)
		time.Sleep(time.Minute)
		b.Remove("i-0", "no record")
		time.Sleep(time.Minute)
		b.Put(incarnation(1))
		requireUnavailable(t, b)
		run.End(placement.ResultAnswered, time.Now())
		requireUnavailable(t, b)
	})
}

// The answer that says so may arrive while the record is missing.
func TestEndpointSaysThatItLeavesWithoutRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		b.Put(incarnation(1))
		early, late := begin(t, b), begin(t, b)
		b.Remove("i-0", "no record")
		early.RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
		b.Put(incarnation(1))
		requireUnavailable(t, b)
		late.RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
		requireUnavailable(t, b)
	})
}

// What the record says holds until the next one.
func TestRecordTakesLeavingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		e := incarnation(1)
		e.Leaving = true
		b.Put(e)
		requireUnavailable(t, b)
		b.Put(incarnation(1))
		begin(t, b)
	})
}

// A new start, and another endpoint under the same ID, begins without what was said before, and
// late answers of the earlier one do not concern it.
func TestNewIncarnationStartsClean(t *testing.T) {
	for name, change := range map[string]func(*placement.Endpoint){
		"restart":         func(e *placement.Endpoint) { e.Born = 2 },
		"another address": func(e *placement.Endpoint) { e.Address = "e1" },
		"another service": func(e *placement.Endpoint) { e.Service = "model" },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &placement.Balancer{}
				first := incarnation(1)
				if name == "another service" {
					first.Service = "other"
				}
				b.Put(first)
				c, ok := b.Choose(placement.Request{Service: first.Service}, time.Now())
				require.True(t, ok)
				early, _ := b.Begin(c, placement.Request{Service: first.Service}, time.Now())
				late, _ := b.Begin(c, placement.Request{Service: first.Service}, time.Now())
				early.RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
				next := first
				change(&next)
				b.Put(next)
				begin(t, b)
				late.RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
				begin(t, b)
			})
		})
	}
}

// A request that was chosen an endpoint before that became unavailable is not sent to it.
func TestBeginRefusesEndpointThatBecameUnavailable(t *testing.T) {
	for reason, change := range map[placement.Unavailability]func(*placement.Balancer, *placement.Run){
		placement.UnavailableRemoved: func(b *placement.Balancer, _ *placement.Run) { b.Remove("i-0", "no record") },
		placement.UnavailableLeavingByAnswer: func(_ *placement.Balancer, run *placement.Run) {
			run.RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
		},
		placement.UnavailableLeavingByRecord: func(b *placement.Balancer, _ *placement.Run) {
			e := incarnation(1)
			e.Leaving = true
			b.Put(e)
		},
		placement.UnavailableDown: func(b *placement.Balancer, _ *placement.Run) { b.RecordProbe("i-0", false, time.Now()) },
	} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &placement.Balancer{}
				b.Put(incarnation(1))
				run := begin(t, b)
				c := choose(t, b, newRequest(1), time.Now())
				change(b, run)
				refused, got := b.Begin(c, newRequest(1), time.Now())
				require.Nil(t, refused)
				require.Equal(t, reason, got)
			})
		})
	}
}

// The endpoint's own word takes precedence over what the record and failed connections say, and an
// endpoint that is down is not probed any more once it leaves.
func TestLeavingEndpointThatIsDownIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		b.Put(incarnation(1))
		run := begin(t, b)
		b.RecordProbe("i-0", false, time.Now())
		time.Sleep(time.Minute)
		require.Len(t, b.Probes(time.Now()), 1)
		require.True(t, run.MayProbe())
		run.RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
		time.Sleep(time.Minute)
		require.Empty(t, b.Probes(time.Now()))
		require.False(t, run.MayProbe())
		require.Equal(t, placement.UnavailableLeavingByAnswer, run.Unavailability())
	})
}

// What is remembered of endpoints without a record is bounded in number and in time.
func TestFormerEndpointsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		leave := func(e placement.Endpoint) {
			b.Put(e)
			run := begin(t, b)
			run.RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
			b.Remove(e.ID, "no record")
		}
		leave(incarnation(1))
		time.Sleep(time.Hour)
		b.Put(incarnation(1))
		begin(t, b)
		b.Remove("i-0", "no record")
		for i := range 5000 {
			e := incarnation(int64(i))
			e.ID = fmt.Sprint("many-", i)
			leave(e)
		}
		first, last := incarnation(0), incarnation(4999)
		first.ID, last.ID = "many-0", "many-4999"
		b.Put(last)
		_, ok := b.Choose(newRequest(1), time.Now())
		require.False(t, ok)
		b.Put(first)
		begin(t, b)
	})
}
