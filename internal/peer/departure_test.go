package peer_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// listEndpoint adds an endpoint to the view of one instance.
func listEndpoint(b *placement.Balancer, born int64) {
	b.Put(placement.Endpoint{ID: "i-1", EndpointInfo: fleet.EndpointInfo{Service: "m", Address: "e", Domain: "a", Slots: 8, Born: born}})
}

// takesRequests reports whether an instance would send a request to the endpoint.
func takesRequests(b *placement.Balancer) bool {
	_, ok := b.Choose(placement.Request{Service: "m"}, time.Now())
	return ok
}

// answerLeaving makes an instance send a request that the endpoint answers saying that it leaves.
func answerLeaving(t *testing.T, b *placement.Balancer) {
	c, ok := b.Choose(placement.Request{Service: "m"}, time.Now())
	require.True(t, ok)
	run, reason := b.Begin(c, placement.Request{Service: "m"}, time.Now())
	require.Empty(t, reason)
	run.RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
	run.End(placement.ResultAnswered, time.Now())
}

func (f *fleetInMemory) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
	time.Sleep(time.Second)
}

func (f *fleetInMemory) departuresSent() (n, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.departures, f.departureBytes
}

// An endpoint told one instance that it leaves. All others must learn it well within the time for
// which leaving endpoints still serve, though most exchange no messages with that instance, and
// what each sends for that grows no faster than the logarithm of their number. One that restarts
// must learn it again, and an endpoint that restarts under its ID must not be affected.
func TestDeparturesReachLargeFleet(t *testing.T) {
	const drainBound = 2 * time.Second
	const small, large = 34, 100
	sizes := map[int]float64{}
	for _, n := range []int{small, large} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetInMemory(t, n)
			for _, x := range f.members {
				listEndpoint(x.Balancer, 1)
			}
			time.Sleep(8 * time.Second)
			answerLeaving(t, f.members[3].Balancer)
			time.Sleep(drainBound)
			for _, x := range f.members {
				require.False(t, takesRequests(x.Balancer), x.Self.Name)
			}
			time.Sleep(10 * time.Second)
			_, bytes := f.departuresSent()
			sizes[n] = float64(bytes) / float64(n)

			restarted := f.members[n-1]
			f.restart(t, n-1, func(x *peer.Exchange) {
				x.Balancer = &placement.Balancer{}
				listEndpoint(x.Balancer, 1)
			})
			time.Sleep(drainBound)
			require.False(t, takesRequests(restarted.Balancer))
			for _, x := range f.members {
				listEndpoint(x.Balancer, 2)
			}
			time.Sleep(drainBound)
			for _, x := range f.members {
				require.True(t, takesRequests(x.Balancer), x.Self.Name)
			}
			f.stopAll()
		})
	}
	growth := math.Log2(large) / math.Log2(small)
	require.Positive(t, sizes[small])
	require.LessOrEqual(t, sizes[large], 1.1*growth*sizes[small])
}

// In a small fleet the instance that read the answer tells each of the others once, also if
// messages are lost, and those that read such an answer later tell nobody.
func TestInstancesLearnOfDepartureOnce(t *testing.T) {
	const instances = 6
	synctest.Test(t, func(t *testing.T) {
		f := newFleetInMemory(t, instances)
		time.Sleep(5 * time.Second)
		for _, x := range f.members {
			listEndpoint(x.Balancer, 1)
		}
		// Its request is under way when the others learn of the departure.
		late := f.members[1].Balancer
		c, ok := late.Choose(placement.Request{Service: "m"}, time.Now())
		require.True(t, ok)
		run, _ := late.Begin(c, placement.Request{Service: "m"}, time.Now())
		f.mu.Lock()
		f.lose = 2 * instances
		f.mu.Unlock()
		answerLeaving(t, f.members[0].Balancer)
		time.Sleep(2 * time.Second)
		for _, x := range f.members {
			require.False(t, takesRequests(x.Balancer), x.Self.Name)
		}
		run.RecordHead(fleet.ResponseAttrs{Leaving: true}, time.Now())
		require.Equal(t, placement.UnavailableLeavingByAnswer, run.Unavailability(time.Now()))
		time.Sleep(10 * time.Second)
		n, _ := f.departuresSent()
		require.Equal(t, instances-1, n)
		f.stopAll()
	})
}

// An instance that was cut off while an endpoint told another one that it leaves learns of it
// when they exchange messages again.
func TestDepartureReachesInstanceThatWasCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetInMemory(t, 2)
		for _, x := range f.members {
			listEndpoint(x.Balancer, 1)
		}
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		f.lose = math.MaxInt
		f.mu.Unlock()
		answerLeaving(t, f.members[0].Balancer)
		time.Sleep(10 * time.Second)
		require.True(t, takesRequests(f.members[1].Balancer))
		f.mu.Lock()
		f.lose = 0
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		require.False(t, takesRequests(f.members[1].Balancer))
		f.stopAll()
	})
}

// A home that knows that an endpoint leaves says so when it is asked for a slot there.
func TestHomeTellsOfDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetInMemory(t, 2)
		time.Sleep(5 * time.Second)
		members := []peer.Member{f.members[0].Self, f.members[1].Self}
		home, other := f.members[0], f.members[1]
		if peer.Home(placement.Endpoint{ID: "i-1", EndpointInfo: fleet.EndpointInfo{Domain: "a"}}, members) != members[0] {
			home, other = other, home
		}
		for _, x := range f.members {
			listEndpoint(x.Balancer, 1)
		}
		time.Sleep(time.Second)
		answerLeaving(t, home.Balancer)
		require.True(t, takesRequests(other.Balancer))
		require.Equal(t, fleet.GrantRefused, other.Reserve(t.Context(), fleet.Reservation{Endpoint: "i-1", MaxWait: time.Hour}))
		require.False(t, takesRequests(other.Balancer))
		f.stopAll()
	})
}
