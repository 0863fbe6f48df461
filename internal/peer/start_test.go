package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/warmup"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	coldEndpoints  = 30
	coldTime       = 3 * time.Second
	requestsPerSec = 40 // to each endpoint, of all callers
)

var startLimit = warmup.Limit{Rate: 12, Over: 1.5, Slack: 5}

// arrivals are the times of the requests that reached each endpoint.
type arrivals struct {
	mu   sync.Mutex
	byID map[string][]time.Time
}

func (a *arrivals) add(id string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id] = append(a.byID[id], at)
}

// busiest returns the most requests to one endpoint in any second between two times.
func (a *arrivals) busiest(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for _, list := range a.byID {
		first := 0
		for i, at := range list {
			for at.Sub(list[first]) >= time.Second || list[first].Before(from) && first < i {
				first++
			}
			if !at.Before(from) && at.Before(to) {
				most = max(most, i-first+1)
			}
		}
	}
	return most
}

func (a *arrivals) count(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, list := range a.byID {
		for _, at := range list {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
	}
	return n
}

// returnCold makes all endpoints come back cold at all members, as their records say.
func (f *fleetInMemory) returnCold(born int64) {
	for i := range coldEndpoints {
		for _, x := range f.members {
			x.Balancer.Put(placement.Endpoint{ID: fmt.Sprintf("i-%d", i), Seen: time.Now(), EndpointInfo: fleet.EndpointInfo{
				Service: "m", Address: fmt.Sprintf("e%d", i), Domain: "1", Slots: 24, Born: born, Sequence: 1, Cold: coldTime,
			}})
		}
	}
}

// call sends a request as the gateway does: a cold endpoint needs a start, which has to be used within
// its lifetime after a time for the connection.
func call(ctx context.Context, x *peer.Exchange, connect time.Duration, a *arrivals) {
	r := placement.Request{Service: "m", Tokens: 10, Stream: true}
	for range 4 {
		c, ok := x.Balancer.Choose(r, time.Now())
		if !ok {
			return
		}
		if c.Cold {
			requested := time.Now()
			if x.Reserve(ctx, fleet.Reservation{Endpoint: c.Endpoint.ID, Tokens: 10, MaxWait: time.Hour, Start: true}) != fleet.GrantStart {
				continue
			}
			c.StartUntil = requested.Add(warmup.GrantLifetime)
		}
		time.Sleep(connect)
		run, reason := x.Balancer.Begin(c, r, time.Now())
		if reason != "" {
			continue
		}
		if run.Permit(time.Now()) == "" {
			a.add(c.Endpoint.ID, time.Now())
			time.Sleep(50 * time.Millisecond)
			run.RecordFirst(time.Now())
			run.End(placement.ResultAnswered, time.Now())
			return
		}
		run.End(placement.ResultCanceled, time.Now())
	}
}

// startCallers sends requests at every member until ctx is done.
func (f *fleetInMemory) startCallers(ctx context.Context, a *arrivals) {
	interval := time.Duration(float64(time.Second) * float64(len(f.members)) / (requestsPerSec * coldEndpoints))
	for i, x := range f.members {
		go func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for ctx.Err() == nil {
				time.Sleep(time.Duration(random.Float64() * 2 * float64(interval)))
				go call(ctx, x, time.Duration(random.IntN(20))*time.Millisecond, a)
			}
		}()
	}
}

func newColdFleet(t *testing.T, n int) *fleetInMemory {
	f := newFleetInMemory(t, n)
	for _, x := range f.members {
		x.Balancer.Instances = func() int { return 1 + x.Peers(time.Now()) }
		for _, y := range f.members {
			x.AddPeer(y.Self, time.Now())
		}
		x.Balancer.HeartbeatInterval = 1200 * time.Millisecond
		x.Balancer.SetStartup(map[string]placement.Startup{"m": {Limit: startLimit, Time: coldTime}}, time.Now())
	}
	time.Sleep(3 * time.Second)
	for _, x := range f.members {
		require.Equal(t, n-1, x.Peers(time.Now()))
		// The balancer learns the number of instances.
		_, _ = x.Balancer.Choose(placement.Request{Service: "m"}, time.Now())
	}
	return f
}

// A whole failure domain returns cold under full load: the fleet keeps within the bound in every
// second and uses most of the rate.
func TestFailureDomainReturnsCold(t *testing.T) {
	for _, n := range []int{5, 25, 75} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newColdFleet(t, n)
				defer f.stopAll()
				ctx, stop := context.WithCancel(t.Context())
				a := &arrivals{byID: map[string][]time.Time{}}
				f.returnCold(1)
				from := time.Now()
				f.startCallers(ctx, a)
				time.Sleep(coldTime)
				stop()
				time.Sleep(time.Second)
				to := from.Add(coldTime)
				require.LessOrEqual(t, a.busiest(from, to), 23)
				require.GreaterOrEqual(t, float64(a.count(from, to)), 0.8*12*coldTime.Seconds()*coldEndpoints)
			})
		})
	}
}

// Half of the endpoints return cold. When they become warm, with little work, they are the best choice
// of all instances at once: load returns to them over a second or two, without a rush.
func TestLoadReturnsGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(t, 25)
		defer f.stopAll()
		for i := range coldEndpoints {
			for _, x := range f.members {
				x.Balancer.Put(placement.Endpoint{ID: fmt.Sprintf("w-%d", i), EndpointInfo: fleet.EndpointInfo{
					Service: "m", Address: fmt.Sprintf("w%d", i), Domain: "2", Slots: 24, Born: 1, Sequence: 1,
				}})
			}
		}
		ctx, stop := context.WithCancel(t.Context())
		a := &arrivals{byID: map[string][]time.Time{}}
		f.returnCold(1)
		warm := time.Now().Add(coldTime)
		f.startCallers(ctx, a)
		f.startCallers(ctx, a)
		time.Sleep(coldTime + 4*time.Second)
		stop()
		time.Sleep(time.Second)
		a.mu.Lock()
		for i := range coldEndpoints {
			delete(a.byID, fmt.Sprintf("w-%d", i))
		}
		a.mu.Unlock()
		usual := a.count(warm.Add(3*time.Second), warm.Add(4*time.Second))
		require.Less(t, a.count(warm, warm.Add(500*time.Millisecond)), usual/2)
		require.LessOrEqual(t, a.count(warm.Add(500*time.Millisecond), warm.Add(1500*time.Millisecond)), usual*11/10)
		require.Greater(t, a.count(warm.Add(1500*time.Millisecond), warm.Add(2500*time.Millisecond)), usual*8/10)
		require.LessOrEqual(t, a.busiest(warm, warm.Add(time.Second)), a.busiest(warm.Add(3*time.Second), warm.Add(4*time.Second)))
	})
}

// The endpoints return cold beside messages that are lost, a cut between two halves of the fleet, homes
// that are killed, and instances that stand still and wake again.
func TestBoundHoldsBesideFailures(t *testing.T) {
	for name, fail := range map[string]func(f *fleetInMemory){
		"loss": func(f *fleetInMemory) {
			random := rand.New(rand.NewPCG(1, 1))
			f.setLink(func(_, _ string) bool { return random.IntN(3) > 0 })
		},
		"cut": func(f *fleetInMemory) {
			side := map[string]bool{}
			for i, x := range f.members {
				side[x.Self.Address] = i%2 == 0
			}
			f.setLink(func(from, to string) bool { return side[from] == side[to] })
			time.Sleep(2 * time.Second)
		},
		"three parts": func(f *fleetInMemory) {
			side := map[string]int{}
			for i, x := range f.members {
				side[x.Self.Address] = i % 3
			}
			f.setLink(func(from, to string) bool { return side[from] == side[to] })
			time.Sleep(30 * time.Second)
		},
		"scattered": func(f *fleetInMemory) {
			f.setLink(func(_, _ string) bool { return false })
			time.Sleep(2 * time.Second)
		},
		"kill": func(f *fleetInMemory) {
			for i := 1; i < len(f.members); i += 5 {
				f.kill(i)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newColdFleet(t, 25)
				defer f.stopAll()
				ctx, stop := context.WithCancel(t.Context())
				a := &arrivals{byID: map[string][]time.Time{}}
				fail(f)
				f.returnCold(1)
				from := time.Now()
				f.startCallers(ctx, a)
				time.Sleep(time.Second)
				f.setLink(nil)
				time.Sleep(coldTime - time.Second)
				stop()
				time.Sleep(time.Second)
				require.LessOrEqual(t, a.busiest(from, from.Add(coldTime)), 23)
				if name == "three parts" {
					require.GreaterOrEqual(t, a.count(from, from.Add(time.Second)), 12*coldEndpoints, "each part grants its share")
				}
			})
		})
	}
}

// Endpoints of which only their home knows that they are cold get starts at its rate, and the others
// learn it from its answers.
func TestHomeTellsThatEndpointIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(t, 5)
		defer f.stopAll()
		f.returnCold(1)
		time.Sleep(coldTime)
		e, _ := f.members[0].Balancer.Endpoint("i-1")
		home := f.home(e)
		for _, x := range f.members {
			require.NotEqual(t, fleet.GrantStart, x.Reserve(t.Context(), fleet.Reservation{Endpoint: "i-1", MaxWait: time.Hour}))
		}
		e.Sequence, e.Cold, e.Seen = 2, coldTime, time.Now()
		home.Balancer.Put(e)
		started := 0
		for _, x := range f.members {
			if x.Reserve(t.Context(), fleet.Reservation{Endpoint: "i-1", MaxWait: time.Hour}) == fleet.GrantStart {
				started++
			}
			cold, _ := x.Balancer.LearnCold("i-1", 0, time.Now())
			require.Positive(t, cold)
		}
		require.Equal(t, 1, started)
	})
}
