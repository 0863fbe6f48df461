package router_test

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// All endpoints of a service return cold at once while callers at all instances compete for them. Each gets
// its start-up rate, neither more nor much less, also if an instance is killed meanwhile.
func TestColdEndpointsAreServedAtTheirRate(t *testing.T) {
	const rate, startup, learning = 10, 8 * time.Second, 1500 * time.Millisecond
	for name, kill := range map[string]bool{"calm": false, "beside a kill": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := &demo.Site{Network: &standin.MemoryNetwork{}, InstanceCount: 5, DomainCount: 2, EngineCount: 1, PlainCount: 3, PlainSlots: 8, CallTime: 30 * time.Millisecond}
				require.NoError(t, site.Start())
				text := strings.Replace(demo.ConfigText(), "    slots: 4\n", "    slots: 4\n    starts: 10\n    startup: 8\n", 1)
				_, err := site.Publish(t.Context(), text, 0)
				require.NoError(t, err)
				time.Sleep(2 * startup)
				// The home of an endpoint is killed; callers use the others.
				isVictim := func(n *demo.Node) bool {
					status, err := n.OperatorClient().Status(t.Context())
					require.NoError(t, err)
					return slices.Contains(status.HomeEndpoints, "p0")
				}
				victim := site.Nodes[slices.IndexFunc(site.Nodes, isVictim)]
				others := slices.DeleteFunc(slices.Clone(site.Nodes), func(n *demo.Node) bool { return n == victim })
				stop := make(chan struct{})
				var callers sync.WaitGroup
				for n := range 40 {
					callers.Go(func() {
						for {
							select {
							case <-stop:
								return
							default:
								order(t, site, others[n%len(others)], "key-0")
								time.Sleep(5 * time.Millisecond)
							}
						}
					})
				}
				time.Sleep(time.Second)
				for _, p := range site.PlainServices {
					// The instances read the list within a second.
					p.TurnCold(startup, learning)
					site.ReplaceEndpoint(p.Name)
				}
				time.Sleep(learning)
				counted := 5 * time.Second
				if kill {
					victim.Kill()
				}
				time.Sleep(counted)
				type arrivals struct{ peak, total int }
				var cold []arrivals
				for _, p := range site.PlainServices {
					peak, total := p.ColdArrivals()
					cold = append(cold, arrivals{peak, total})
				}
				status, statusErr := others[0].OperatorClient().Status(t.Context())
				time.Sleep(startup)
				before := site.PlainServices[0].Total()
				time.Sleep(time.Second)
				warm := site.PlainServices[0].Total() - before
				close(stop)
				callers.Wait()
				require.NoError(t, site.Close())

				t.Logf("peak second and total: %v, warm: %d a second", cold, warm)
				for _, c := range cold {
					require.LessOrEqual(t, c.peak, 2*rate+1)
					if !kill {
						require.LessOrEqual(t, c.peak, rate+1)
						require.GreaterOrEqual(t, float64(c.total), 0.8*rate*counted.Seconds())
					}
				}
				require.NoError(t, statusErr)
				for _, e := range status.Endpoints {
					require.Equal(t, e.Service == "portal", e.Cold, e.Name)
				}
				require.Greater(t, warm, 3*rate)
			})
		})
	}
}
