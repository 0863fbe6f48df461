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

// A probe and a load report of the start before come late. They made the restarted endpoint
// unavailable, or full, until the next probe or answer.
func TestEarlierStartDoesNotSpeakForNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		b.Put(incarnation(1))
		first := listedEndpoint(b, "i-0")
		b.Put(incarnation(2))
		b.RecordProbe(first, false, time.Now())
		b.RecordLoad(first, fleet.ResponseAttrs{HasLoad: true, Running: 8, Waiting: 9, Slots: 3}, time.Now())
		begin(t, b)
		require.Equal(t, placement.Counts{Listed: 1, Runs: 1, Slots: 8}, b.Services(time.Now())["model"])
		b.RecordProbe(listedEndpoint(b, "i-0"), false, time.Now())
		requireUnavailable(t, b)
		b.RecordProbe(first, true, time.Now())
		requireUnavailable(t, b)
	})
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
		placement.UnavailableQuiet: func(_ *placement.Balancer, run *placement.Run) {
			run.RecordHead(fleet.ResponseAttrs{QuietFor: time.Second}, time.Now())
		},
		placement.UnavailableDown: func(b *placement.Balancer, _ *placement.Run) {
			b.RecordProbe(listedEndpoint(b, "i-0"), false, time.Now())
		},
		placement.UnavailableSilent: func(_ *placement.Balancer, run *placement.Run) {
			run.End(placement.ResultSilent, time.Now())
		},
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
		b.RecordProbe(listedEndpoint(b, "i-0"), false, time.Now())
		time.Sleep(time.Minute)
		require.Len(t, b.Probes(time.Now()), 1)
		require.True(t, run.MayProbe(time.Now()))
		run.RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
		time.Sleep(time.Minute)
		require.Empty(t, b.Probes(time.Now()))
		require.False(t, run.MayProbe(time.Now()))
		require.Equal(t, placement.UnavailableLeavingByAnswer, run.Unavailability(time.Now()))
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

// departures returns what an instance tells another one that has just started.
func departures(b *placement.Balancer) []placement.Departure {
	list, _, _ := b.DeparturesSince(0, true, time.Now())
	return list
}

// Other instances stop sending to an endpoint that told one of them that it leaves, whether they
// have read its record or not, but not to its next start.
func TestDeparturesConcernTheirIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two, three := &placement.Balancer{}, &placement.Balancer{}, &placement.Balancer{}
		one.Put(incarnation(1))
		two.Put(incarnation(1))
		three.Put(incarnation(2))
		begin(t, one).RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
		time.Sleep(time.Second)
		learned := departures(one)
		require.Len(t, learned, 1)
		require.Equal(t, time.Second, learned[0].Age)
		for range 2 {
			two.MergeDepartures(learned, time.Now())
			three.MergeDepartures(learned, time.Now())
		}
		requireUnavailable(t, two)
		begin(t, three)
		two.Put(incarnation(2))
		begin(t, two)
		three.Put(incarnation(1))
		requireUnavailable(t, three)
		require.Len(t, departures(two), 1)
		require.Len(t, departures(three), 1)
		own, _, _ := two.DeparturesSince(0, false, time.Now())
		require.Empty(t, own)
	})
}

// Departures are bounded in number, in a message and in time.
func TestDeparturesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const all = 3000
		b := &placement.Balancer{}
		for i := range all {
			e := incarnation(1)
			e.ID = fmt.Sprint("many-", i)
			b.Put(e)
			begin(t, b).RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
		}
		sent, position, more := 0, 0, true
		for more {
			var list []placement.Departure
			list, position, more = b.DeparturesSince(position, false, time.Now())
			require.LessOrEqual(t, len(list), 32)
			sent += len(list)
		}
		require.Equal(t, all, position)
		require.LessOrEqual(t, sent, 1024)
		require.GreaterOrEqual(t, sent, 768)
		time.Sleep(time.Hour)
		require.Empty(t, departures(b))
		for _, age := range []time.Duration{-1, time.Hour, 1 << 62} {
			d := placement.Departure{Incarnation: placement.Incarnation{ID: "many-0", Born: 2, Service: "model", Address: "e0"}, Age: age}
			b.MergeDepartures([]placement.Departure{d}, time.Now())
		}
		b.Put(placement.Endpoint{ID: "many-0", EndpointInfo: fleet.EndpointInfo{Service: "model", Address: "e0", Slots: 8, Born: 2}})
		begin(t, b)
	})
}

// That an endpoint wants no requests from this instance for a while is no concern of others: they
// are not told, and the home of the endpoint goes on granting its slots to them.
func TestQuietConcernsOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		b.Put(incarnation(1))
		run := begin(t, b)
		run.RecordHead(fleet.ResponseAttrs{QuietFor: time.Second}, time.Now())
		run.End(placement.ResultRefused, time.Now())
		_, ok := b.Choose(newRequest(1), time.Now())
		require.False(t, ok)
		require.Empty(t, departures(b))
		require.True(t, b.Grant("p", reservation("i-0"), time.Now()))
		require.Equal(t, 8.0, b.Services(time.Now())["model"].Slots)
		b.RecordProbe(listedEndpoint(b, "i-0"), false, time.Now())
		require.False(t, b.Grant("p", reservation("i-0"), time.Now()), "it is down")
	})
}

// An endpoint that is down is not probed in its quiet time, and right after it.
func TestQuietEndpointThatIsDownIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		b.Put(incarnation(1))
		run := begin(t, b)
		run.RecordHead(fleet.ResponseAttrs{QuietFor: time.Minute}, time.Now())
		b.RecordProbe(listedEndpoint(b, "i-0"), false, time.Now())
		time.Sleep(time.Minute - time.Nanosecond)
		require.Empty(t, b.Probes(time.Now()))
		require.False(t, run.MayProbe(time.Now()))
		at, ok := b.AvailableFrom(placement.Request{Service: "model"}, time.Now())
		require.True(t, ok)
		require.Equal(t, time.Now().Add(time.Nanosecond), at)
		time.Sleep(time.Nanosecond)
		require.Len(t, b.Probes(time.Now()), 1)
	})
}

// A record that lapses and comes back does not end the quiet time; a new start does.
func TestQuietOutlivesRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &placement.Balancer{}
		b.Put(incarnation(1))
		begin(t, b).RecordHead(fleet.ResponseAttrs{QuietFor: time.Minute}, time.Now())
		b.Remove("i-0", "no record")
		b.Put(incarnation(1))
		_, ok := b.Choose(newRequest(1), time.Now())
		require.False(t, ok)
		b.Put(incarnation(2))
		begin(t, b)
		b.Put(incarnation(1))
		time.Sleep(time.Minute)
		begin(t, b)
	})
}

// What changes is reported once for each source, with its age.
func TestChangesNameSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []string
		b := &placement.Balancer{OnChange: func(c placement.Change) {
			got = append(got, fmt.Sprintf("%s %s age=%s for=%s: %s", c.To, c.Reason, c.Age, c.For, c.Cause))
		}}
		e := incarnation(1)
		b.Put(e)
		run := begin(t, b)
		for range 2 {
			run.RecordHead(fleet.ResponseAttrs{QuietFor: time.Second}, time.Now())
		}
		run.End(placement.ResultRefused, time.Now())
		time.Sleep(time.Second)
		run = begin(t, b)
		e.Leaving, e.Seen = true, time.Now().Add(-2*time.Second)
		i := placement.Incarnation{ID: "i-0", Born: 1, Service: "model", Address: "e0"}
		for range 2 {
			b.Put(e)
			b.MergeDepartures([]placement.Departure{{Incarnation: i, Age: time.Second}}, time.Now())
			run.RecordHead(fleet.ResponseAttrs{Leaving: true, QuietFor: time.Second}, time.Now())
		}
		b.Remove("i-0", "no record")
		b.Put(incarnation(1))
		require.Equal(t, []string{
			"listed  age=0s for=0s: its directory record",
			"quiet quiet age=0s for=1s: its answer",
			"up  age=0s for=0s: first request after it was quiet",
			"leaving leaving-by-record age=2s for=0s: its directory record",
			"leaving leaving-by-peer age=1s for=0s: its answer to another instance",
			"leaving leaving-by-answer age=0s for=0s: its answer",
			"gone removed age=0s for=0s: no record",
			"listed  age=0s for=0s: its directory record",
			"leaving leaving-by-answer age=0s for=0s: its answer before the record lapsed",
		}, got)
	})
}
