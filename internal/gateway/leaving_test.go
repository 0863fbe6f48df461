package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// unaryConfig has one route whose requests may run at two endpoints.
func unaryConfig() arrangement.Config {
	return arrangement.Config{Routes: []arrangement.Route{{
		Name: "r", Host: "h", Path: "/", Targets: []arrangement.Target{{Service: "portal", Weight: 1}},
		Repeat: arrangement.RepeatAny, Attempts: 2, TimeoutMillis: 10_000,
	}}}
}

// post sends a request and returns the response with its body read.
func (g *testGateway) post(path, id string) (*http.Response, string) {
	r, err := http.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("q"))
	require.NoError(g.t, err)
	r.Header.Set("Request-Id", id)
	r.Header.Set("Wait", "9000")
	resp, err := g.client.Do(r)
	require.NoError(g.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(g.t, err)
	return resp, string(body)
}

// addCounted adds an endpoint and returns the number of requests that have reached it.
func (g *testGateway) addCounted(id string, handle endpointFunc) *atomic.Int64 {
	n := &atomic.Int64{}
	g.addEndpoint(id, func(r *http.Request, body string, w io.Writer) bool {
		n.Add(1)
		return handle(r, body, w)
	})
	return n
}

func serveWell(r *http.Request, _ string, w io.Writer) bool {
	writeResponse(w, r, http.StatusOK, "whole")
	return true
}

// Whatever an endpoint answers, and however the answer ends, once its head says that the endpoint
// leaves, no further request reaches it.
func TestLeavingEndpointGetsNoFurtherRequest(t *testing.T) {
	for name, answer := range map[string]string{
		"complete":                  "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"unframed":                  "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nSeal: s\r\nLeaving: 1\r\n\r\nwhole",
		"cut":                       "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nwhole",
		"failed":                    "HTTP/1.1 500 X\r\nRequest-Id: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nno",
		"not run":                   "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"other endpoint":            "HTTP/1.1 421 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
		"to another request":        "HTTP/1.1 200 X\r\nRequest-Id: not-%s\r\nSeal: s\r\nLeaving: 1\r\n\r\nwhole",
		"to another request, whole": "HTTP/1.1 200 X\r\nRequest-Id: not-%[1]s\r\nLeaving: 1\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 X\r\nRequest-Id: %[1]s\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole",
		"informational":             "HTTP/1.1 103 X\r\nLeaving: 1\r\n\r\nHTTP/1.1 200 X\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGateway(t, unaryConfig())
				leaving := g.addCounted("i-1", func(r *http.Request, _ string, w io.Writer) bool {
					fmt.Fprintf(w, answer, r.Header.Get("Request-Id"))
					return name != "cut" && strings.Contains(answer, "Content-Length")
				})
				g.post("/", "1")
				for n := range 3 {
					resp, _ := g.post("/", fmt.Sprint("refused", n))
					require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				}
				g.addCounted("i-2", serveWell)
				for n := range 20 {
					_, body := g.post("/", fmt.Sprint("served", n))
					require.Equal(t, "whole", body)
				}
				require.EqualValues(t, 1, leaving.Load())
			})
		})
	}
}

// leavingStream is an endpoint that says that it leaves at the head of its streams, to whose end
// it holds them.
type leavingStream struct {
	announce, end chan struct{}
	stop          func()
}

func newLeavingStream() *leavingStream {
	l := &leavingStream{announce: make(chan struct{}), end: make(chan struct{})}
	l.stop = sync.OnceFunc(func() { close(l.end) })
	return l
}

func (l *leavingStream) serve(r *http.Request, _ string, w io.Writer) bool {
	select {
	case <-l.announce:
	case <-l.end:
	}
	fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
	_ = writeChunk(w, "id: 1\ndata: a\n\n")
	<-l.end
	_ = writeChunk(w, "id: 2\ndata: b\n\n")
	_ = writeChunk(w, "")
	return true
}

// What runs at an endpoint when it says that it leaves goes on to its end, and counts from the
// head of the answer on: neither a first attempt nor a retry, nor the resumption of a stream,
// reaches the endpoint while that answer is still under way.
func TestRunningStreamAtLeavingEndpointGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, streamConfig())
		l := newLeavingStream()
		defer l.stop()
		leaving := g.addCounted("i-1", l.serve)
		var stream string
		var streamErr error
		done := make(chan struct{})
		go func() {
			defer close(done)
			stream, streamErr = g.stream(30 * time.Second)
		}()
		synctest.Wait()
		close(l.announce)
		time.Sleep(10 * time.Millisecond)

		refused, body := g.post("/", "first attempt")
		require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
		require.Equal(t, "no-endpoint\n", body)

		// i-2 refuses one request and breaks off the next after an event.
		broken := g.addCounted("i-2", func(r *http.Request, _ string, w io.Writer) bool {
			if r.Header.Get("Request-Id") == "retry" {
				fmt.Fprint(w, "HTTP/1.1 503 X\r\nRequest-Id: retry\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
				return true
			}
			startStream(w, r)
			_ = writeChunk(w, "id: 1\ndata: a\n\n")
			return false
		})
		refused, _ = g.post("/", "retry")
		require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
		_, err := g.stream(30 * time.Second)
		require.Error(t, err, "no endpoint can resume the stream")
		require.EqualValues(t, 2, broken.Load())
		require.EqualValues(t, 1, leaving.Load())

		l.stop()
		<-done
		require.NoError(t, streamErr)
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", stream)
	})
}

// homesFunc is a fleet.Homes that calls a function for each reservation.
type homesFunc func(fleet.Reservation) fleet.ReservationResult

func (f homesFunc) Reserve(_ context.Context, r fleet.Reservation) fleet.ReservationResult {
	return f(r)
}
func (homesFunc) Partial() bool { return true }

// An endpoint says that it leaves while a request waits for a slot there: the request moves to
// another endpoint, although the slot is granted.
func TestRequestWaitingForLeavingEndpointMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, streamConfig())
		l := newLeavingStream()
		defer l.stop()
		leaving := g.addCounted("i-1", l.serve)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = g.stream(30 * time.Second)
		}()
		synctest.Wait()
		other := g.addCounted("i-2", func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			_ = writeChunk(w, "id: 1\ndata: a\n\n")
			_ = writeChunk(w, "")
			return true
		})
		// The request chooses i-1 first.
		g.balancer.SetInstanceWork("p", map[string]placement.Work{"i-2": {Runs: 3}}, true, time.Now())
		var asked []string
		g.handler.Homes = homesFunc(func(r fleet.Reservation) fleet.ReservationResult {
			asked = append(asked, r.Endpoint)
			if len(asked) == 1 {
				close(l.announce)
				time.Sleep(10 * time.Millisecond)
			}
			return fleet.GrantAccepted
		})
		body, err := g.stream(30 * time.Second)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: a\n\n", body)
		require.Equal(t, []string{"i-1", "i-2"}, asked)
		require.EqualValues(t, 1, leaving.Load())
		require.EqualValues(t, 1, other.Load())
		l.stop()
		<-done
	})
}

// An endpoint says that it leaves while a connection to it is being made for a request: the
// request moves to another endpoint.
func TestRequestDialingLeavingEndpointMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, unaryConfig())
		leave := make(chan struct{})
		leaving := g.addCounted("i-1", func(r *http.Request, _ string, w io.Writer) bool {
			<-leave
			fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 5\r\n\r\nfirst", r.Header.Get("Request-Id"))
			return true
		})
		first := make(chan string, 1)
		go func() {
			_, body := g.post("/", "1")
			first <- body
		}()
		synctest.Wait()
		g.handler.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == g.listeners["i-1"].Addr().String() {
				close(leave)
				time.Sleep(100 * time.Millisecond)
			}
			return g.network.Dial(ctx, network, address)
		}
		g.balancer.SetInstanceWork("p", map[string]placement.Work{"i-2": {Runs: 3}}, true, time.Now())
		kept := g.countOpen()
		moved := make(chan string)
		go func() {
			_, body := g.post("/", "2")
			moved <- body
		}()
		time.Sleep(50 * time.Millisecond)
		g.addCounted("i-2", serveWell)
		require.Equal(t, "whole", <-moved)
		require.Equal(t, "first", <-first)
		require.EqualValues(t, 1, leaving.Load())
		require.EqualValues(t, 1, kept.Load(), "that to i-2")
	})
}

// An endpoint that said that it leaves breaks a connection off: whether it still accepts
// connections is not probed, for it is about to end.
func TestLeavingEndpointIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, unaryConfig())
		g.addCounted("i-1", func(r *http.Request, _ string, w io.Writer) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\nwhole", r.Header.Get("Request-Id"))
			return false
		})
		var dials atomic.Int64
		g.handler.Pool.OnDial = func(string) { dials.Add(1) }
		resp, _ := g.post("/", "1")
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		time.Sleep(time.Second)
		require.EqualValues(t, 1, dials.Load())
		require.Empty(t, g.balancer.Probes(time.Now().Add(time.Hour)))
	})
}

// connCounter counts the connections that a dialer has open.
type connCounter struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

func (c *connCounter) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// countOpen counts the connections to endpoints that are made from now on and open.
func (g *testGateway) countOpen() *atomic.Int64 {
	open, dial := &atomic.Int64{}, g.handler.Pool.Dial
	g.handler.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		open.Add(1)
		return &connCounter{Conn: c, open: open}, nil
	}
	return open
}

// A connection to an endpoint that leaves is not kept, neither after the answer that says so nor
// after one that had begun before.
func TestConnectionsToLeavingEndpointAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, unaryConfig())
		open := g.countOpen()
		end := make(chan struct{})
		g.addCounted("i-1", func(r *http.Request, _ string, w io.Writer) bool {
			if r.Header.Get("Request-Id") == "long" {
				fmt.Fprint(w, "HTTP/1.1 200 X\r\nRequest-Id: long\r\nSeal: s\r\nContent-Length: 5\r\n\r\nw")
				<-end
				fmt.Fprint(w, "hole")
				return true
			}
			fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 5\r\n\r\nwhole", r.Header.Get("Request-Id"))
			return true
		})
		long := make(chan string, 1)
		go func() {
			_, body := g.post("/", "long")
			long <- body
		}()
		synctest.Wait()
		_, body := g.post("/", "short")
		require.Equal(t, "whole", body)
		kept := open.Load()
		close(end)
		require.Equal(t, "whole", <-long)
		require.EqualValues(t, 1, kept, "that of the long request")
		require.Zero(t, open.Load())
	})
}

// The homes of several endpoints refuse reservations because the endpoints leave, which this
// instance learns by that: they are no reason to refuse the request.
func TestRequestMovesOnFromLeavingEndpoints(t *testing.T) {
	const leaving = 5
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, streamConfig())
		for n := range leaving {
			g.addCounted(fmt.Sprint("leaving-", n), serveWell)
		}
		g.handler.Homes = homesFunc(func(r fleet.Reservation) fleet.ReservationResult {
			if !strings.HasPrefix(r.Endpoint, "leaving") {
				return fleet.GrantAccepted
			}
			i := placement.Incarnation{ID: r.Endpoint, Service: "portal", Address: g.listeners[r.Endpoint].Addr().String()}
			g.balancer.MergeDepartures([]placement.Departure{{Incarnation: i}}, time.Now())
			return fleet.GrantRefused
		})
		g.addCounted("i-1", func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			_ = writeChunk(w, "id: 1\ndata: a\n\n")
			_ = writeChunk(w, "")
			return true
		})
		g.balancer.SetInstanceWork("p", map[string]placement.Work{"i-1": {Runs: 3}}, true, time.Now())
		body, err := g.stream(30 * time.Second)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: a\n\n", body)
	})
}

// A connection breaks off, and while it is probed whether the endpoint has crashed, the endpoint
// says on another one that it leaves: the probes end, and the endpoint has not crashed.
func TestLeavingEndpointHasNotCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := streamConfig()
		config.Routes[0].Repeat = arrangement.RepeatNever
		g := newTestGateway(t, config)
		crashes := quarantine.New(&audit.Trail{})
		var crashed atomic.Int64
		crashes.OnCrash = func(string) { crashed.Add(1) }
		g.handler.Quarantine = crashes
		l := newLeavingStream()
		var requests atomic.Int64
		g.addEndpoint("i-1", func(r *http.Request, body string, w io.Writer) bool {
			if requests.Add(1) == 1 {
				return l.serve(r, body, w)
			}
			startStream(w, r)
			_ = writeChunk(w, "id: 1\ndata: a\n\n")
			return false
		})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = g.stream(30 * time.Second)
		}()
		synctest.Wait()
		broken := make(chan struct{})
		dial := g.handler.Pool.Dial
		g.handler.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			select {
			case <-broken:
				<-ctx.Done()
				return nil, ctx.Err()
			default:
				return dial(ctx, network, address)
			}
		}
		_, err := g.stream(30 * time.Second)
		require.Error(t, err)
		close(broken)
		time.Sleep(600 * time.Millisecond)
		close(l.announce)
		time.Sleep(5 * time.Second)
		require.Zero(t, crashed.Load())
		l.stop()
		<-done
	})
}
