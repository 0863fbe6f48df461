package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
)

// askForQuiet refuses a request and asks for a time without requests.
func askForQuiet(w io.Writer, r *http.Request, quiet time.Duration) {
	fmt.Fprintf(w, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\nQuiet-Millis: %d\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), quiet.Milliseconds())
}

// arrivals records when requests reach an endpoint.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

// add returns how many requests have arrived, this one included.
func (a *arrivals) add() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
	return len(a.times)
}

// between returns how many requests have arrived from one time until before another.
func (a *arrivals) between(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// addQuiet adds the endpoint i-1, which refuses its first request, with the header line notRun, and asks for quiet.
func (g *testGateway) addQuiet(notRun string, quiet time.Duration) *arrivals {
	seen := &arrivals{}
	g.addEndpoint("i-1", func(r *http.Request, body string, w io.Writer) bool {
		if seen.add() > 1 {
			return serveWell(r, body, w)
		}
		fmt.Fprintf(w, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\n%sQuiet-Millis: %d\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), notRun, quiet.Milliseconds())
		return true
	})
	return seen
}

// An endpoint that refuses a request and asks for quiet gets nothing until the end of that time,
// whether it says that it did not run the request or not: no first attempt, no retry and no
// connection. Then it gets requests again.
func TestQuietEndpointGetsNothing(t *testing.T) {
	const quiet = 3 * time.Second
	for name, notRun := range map[string]string{"not run": "Not-Run: 1\r\n", "may have run": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGateway(t, unaryConfig())
				seen := g.addQuiet(notRun, quiet)
				var dials atomic.Int64
				g.handler.Pool.OnDial = func(string) { dials.Add(1) }
				g.post("/", "first")
				end := time.Now().Add(quiet)
				alone := end.Add(-quiet / 2)
				for n := 0; time.Now().Before(alone); n++ {
					resp, _ := g.post("/", fmt.Sprint("alone", n))
					require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
					time.Sleep(100 * time.Millisecond)
				}
				require.EqualValues(t, 1, dials.Load())
				// Of the other endpoint's answers, every second one makes a retry necessary.
				var n atomic.Int64
				g.addEndpoint("i-2", func(r *http.Request, body string, w io.Writer) bool {
					if n.Add(1)%2 == 0 {
						fmt.Fprintf(w, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
						return true
					}
					return serveWell(r, body, w)
				})
				for n := 0; time.Now().Before(end.Add(-time.Millisecond)); n++ {
					g.post("/", fmt.Sprint("with another", n))
					time.Sleep(100 * time.Millisecond)
				}
				require.Equal(t, 1, seen.between(time.Time{}, end))
				g.balancer.Remove("i-2", "gone")
				resp, _ := g.post("/", "after")
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.Equal(t, 1, seen.between(end, end.Add(time.Second)))
			})
		})
	}
}

// Two requests run at an endpoint when it asks for quiet in both answers: the later end holds, in
// whichever order the answers come.
func TestLatestEndOfQuietHolds(t *testing.T) {
	for name, times := range map[string][2]time.Duration{
		"longer first": {4 * time.Second, time.Second},
		"longer last":  {time.Second, 4 * time.Second},
		"equal ends":   {4100 * time.Millisecond, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGateway(t, unaryConfig())
				var seen arrivals
				g.addEndpoint("i-1", func(r *http.Request, body string, w io.Writer) bool {
					n := seen.add()
					if n > 2 {
						return serveWell(r, body, w)
					}
					time.Sleep(time.Duration(n) * 100 * time.Millisecond)
					askForQuiet(w, r, times[n-1])
					return true
				})
				start := time.Now()
				var wg sync.WaitGroup
				for n := range 2 {
					wg.Go(func() { g.post("/", fmt.Sprint(n)) })
				}
				wg.Wait()
				end := start.Add(max(100*time.Millisecond+times[0], 200*time.Millisecond+times[1]))
				for time.Now().Before(end.Add(500 * time.Millisecond)) {
					g.post("/", fmt.Sprint(time.Now().UnixNano()))
					time.Sleep(50 * time.Millisecond)
				}
				require.Equal(t, 2, seen.between(time.Time{}, end))
				require.Positive(t, seen.between(end, end.Add(time.Minute)))
			})
		})
	}
}

// retryAfter returns the delay after which a refused caller should retry.
func retryAfter(t *testing.T, resp *http.Response) time.Duration {
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	return time.Duration(seconds * float64(time.Second))
}

// All endpoints of a service ask for quiet: callers are refused at once, with the time at which the
// first of them takes requests again.
func TestAllEndpointsQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, unaryConfig())
		var seen arrivals
		for id, quiet := range map[string]time.Duration{"i-1": 6 * time.Second, "i-2": 9 * time.Second} {
			g.addEndpoint(id, func(r *http.Request, _ string, w io.Writer) bool {
				seen.add()
				askForQuiet(w, r, quiet)
				return true
			})
		}
		start := time.Now()
		resp, _ := g.post("/", "refused by both")
		require.Equal(t, 2, seen.between(start, time.Now().Add(time.Second)))
		requireTrue := func(resp *http.Response) {
			at := time.Now().Add(retryAfter(t, resp))
			require.False(t, at.Before(start.Add(6*time.Second)), at.Sub(start))
			require.LessOrEqual(t, at.Sub(start), 7100*time.Millisecond)
		}
		requireTrue(resp)
		for n := range 50 {
			time.Sleep(100 * time.Millisecond)
			arrived := time.Now()
			resp, body := g.post("/", fmt.Sprint(n))
			require.Equal(t, "no-endpoint\n", body)
			require.Zero(t, time.Since(arrived))
			requireTrue(resp)
		}
		require.Equal(t, 2, seen.between(start, time.Now().Add(time.Second)))
	})
}

// Many callers wait for the end of the quiet time, and as many arrive just then: the endpoint does
// not get them all at the same moment, and gets its usual number a second later.
func TestCallersReturnGraduallyAfterQuiet(t *testing.T) {
	const callers = 40
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, unaryConfig())
		var seen arrivals
		g.addEndpoint("i-1", func(r *http.Request, body string, w io.Writer) bool {
			if seen.add() == 1 {
				askForQuiet(w, r, 2*time.Second)
				return true
			}
			time.Sleep(50 * time.Millisecond)
			return serveWell(r, body, w)
		})
		g.post("/", "first")
		end := time.Now().Add(2 * time.Second)
		var wg sync.WaitGroup
		var served atomic.Int64
		for n := range callers {
			wg.Go(func() {
				for attempt := range 5 {
					resp, _ := g.post("/", fmt.Sprint("waiting", n, "-", attempt))
					if resp.StatusCode == http.StatusOK {
						served.Add(1)
						return
					}
					time.Sleep(retryAfter(t, resp))
				}
			})
			wg.Go(func() {
				time.Sleep(time.Until(end))
				g.post("/", fmt.Sprint("new", n))
			})
		}
		wg.Wait()
		require.Equal(t, 1, seen.between(time.Time{}, end))
		require.Equal(t, 1, seen.between(end, end.Add(50*time.Millisecond)))
		for at := end; at.Before(end.Add(time.Second)); at = at.Add(50 * time.Millisecond) {
			require.LessOrEqual(t, seen.between(at, at.Add(50*time.Millisecond)), 4, at.Sub(end))
		}
		require.Greater(t, served.Load(), int64(callers*3/4))
	})
}

// An endpoint that asked for quiet has not failed: after that time it is preferred as before.
func TestQuietIsNoFailure(t *testing.T) {
	for name, notRun := range map[string]string{"not run": "Not-Run: 1\r\n", "may have run": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGateway(t, unaryConfig())
				seen := g.addQuiet(notRun, 300*time.Millisecond)
				g.post("/", "first")
				counts := g.balancer.Services(time.Now())["portal"]
				require.Equal(t, placement.Counts{Listed: 1, Quiet: 1, Slots: 4}, counts)
				time.Sleep(300 * time.Millisecond)
				g.addEndpoint("i-2", serveWell)
				g.balancer.SetInstanceWork("p", map[string]placement.Work{"i-2": {Runs: 3}}, true, time.Now())
				g.post("/", "second")
				require.Equal(t, 2, seen.between(time.Time{}, time.Now().Add(time.Second)))
			})
		})
	}
}

// A stream breaks off while the only other endpoint is quiet: it is not resumed there.
func TestQuietEndpointGetsNoResumption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, streamConfig())
		quiet := g.addCounted("i-1", func(r *http.Request, _ string, w io.Writer) bool {
			askForQuiet(w, r, 10*time.Second)
			return true
		})
		_, err := g.stream(30 * time.Second)
		require.NoError(t, err)
		g.addEndpoint("i-2", func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			_ = writeChunk(w, "id: 1\ndata: a\n\n")
			return false
		})
		_, err = g.stream(30 * time.Second)
		require.Error(t, err)
		require.EqualValues(t, 1, quiet.Load())
	})
}
