package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/warmup"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// setCold makes the endpoint i-1 cold for a while.
func (g *testGateway) setCold(cold time.Duration) {
	now := time.Now()
	g.balancer.SetStartup(map[string]placement.Startup{"portal": {Limit: warmup.Limit{Rate: 12, Over: 1.5, Slack: 5}, Time: 3 * time.Second}}, now)
	for _, e := range g.balancer.Endpoints() {
		if e.ID == "i-1" {
			e.Sequence, e.Cold, e.Seen = e.Sequence+1, cold, now
			g.balancer.Put(e)
		}
	}
}

// A cold endpoint gets no request without a start that its home granted: neither the first attempt of
// a request nor a retry, on any route. The refusal says when the next start is free.
func TestColdEndpointGetsOnlyGrantedStarts(t *testing.T) {
	for name, config := range map[string]arrangement.Config{"response": unaryConfig(), "stream": streamConfig()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGateway(t, config)
				arrived := g.addCounted("i-1", serveWell)
				g.setCold(3 * time.Second)
				g.handler.Homes = homesFunc(func(r fleet.Reservation) fleet.ReservationResult {
					if !r.Start {
						return fleet.GrantAccepted
					}
					g.balancer.DelayStart(r.Endpoint, 700*time.Millisecond, time.Now())
					return fleet.GrantNoStart
				})
				resp, _ := g.post("/", "1")
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				delay, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.GreaterOrEqual(t, delay, 0.7)
				require.LessOrEqual(t, delay, 1.71)
				require.Zero(t, arrived.Load())
				time.Sleep(3 * time.Second)
				g.post("/", "2")
				require.EqualValues(t, 1, arrived.Load(), "it is warm")
			})
		})
	}
}

func TestRetryAtColdEndpointNeedsStart(t *testing.T) {
	for grant, want := range map[fleet.ReservationResult]int{fleet.GrantStart: http.StatusOK, fleet.GrantNoStart: http.StatusBadGateway, fleet.GrantNoAnswer: http.StatusBadGateway} {
		t.Run(string(grant), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGateway(t, unaryConfig())
				cold := g.addCounted("i-1", serveWell)
				g.addEndpoint("i-2", func(*http.Request, string, io.Writer) bool { return false })
				g.balancer.SetInstanceWork("p", map[string]placement.Work{"i-1": {Runs: 3}}, true, time.Now())
				g.setCold(3 * time.Second)
				asked := 0
				g.handler.Homes = homesFunc(func(r fleet.Reservation) fleet.ReservationResult {
					if r.Start {
						asked++
					}
					return grant
				})
				resp, _ := g.post("/", "1")
				require.Equal(t, want, resp.StatusCode)
				require.Equal(t, want == http.StatusOK, cold.Load() == 1)
				require.Positive(t, asked)
			})
		})
	}
}

// A start that is used too late, after the answer of the home or the connection took long, is not used. If the home refuses a
// request for another reason than its rate, as when it knows of more work there, it is not asked again for the same request.
func TestColdEndpointGetsNothingWithoutStart(t *testing.T) {
	for grant, c := range map[fleet.ReservationResult]struct {
		takes time.Duration
		most  int64 // times that the home is asked
	}{
		fleet.GrantStart:   {warmup.GrantLifetime, 4},
		fleet.GrantRefused: {time.Millisecond, 1},
	} {
		t.Run(string(grant), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGateway(t, unaryConfig())
				arrived := g.addCounted("i-1", serveWell)
				g.setCold(3 * time.Second)
				var asked atomic.Int64
				g.handler.Homes = homesFunc(func(fleet.Reservation) fleet.ReservationResult {
					asked.Add(1)
					time.Sleep(c.takes)
					return grant
				})
				resp, _ := g.post("/", "1")
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.Positive(t, asked.Load())
				require.LessOrEqual(t, asked.Load(), c.most)
				require.Zero(t, arrived.Load())
			})
		})
	}
}

// Thirty endpoints are cold, and their homes refuse a request that another endpoint has failed: it asks
// few of them.
func TestRetryAsksFewHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, unaryConfig())
		g.addEndpoint("w", func(*http.Request, string, io.Writer) bool { return false })
		for n := range 30 {
			g.addCounted("i-1"+strconv.Itoa(n), serveWell)
		}
		g.balancer.SetStartup(map[string]placement.Startup{"portal": {Limit: warmup.Limit{Rate: 12, Over: 1.5, Slack: 5}, Time: 3 * time.Second}}, time.Now())
		for _, e := range g.balancer.Endpoints() {
			if e.ID != "w" {
				e.Sequence, e.Cold, e.Seen = e.Sequence+1, 10*time.Second, time.Now()
				g.balancer.Put(e)
			}
		}
		asked := 0
		g.handler.Homes = homesFunc(func(fleet.Reservation) fleet.ReservationResult {
			asked++
			return fleet.GrantRefused
		})
		for range 40 {
			before := asked
			g.post("/", "1")
			require.LessOrEqual(t, asked-before, 6, "three for the first attempt, three for the retry")
		}
		require.Positive(t, asked)
	})
}
