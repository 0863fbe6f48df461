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
	"github.com/greengagestep/greengagestep/internal/budget"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// soundSilences are pauses after which a sound endpoint goes on.
var soundSilences = []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond}

// A sound endpoint sends nothing for a second or so, at any point of its stream, and goes on: the
// stream must not be started again at another endpoint.
func TestStreamOfSilentEndpointIsNotRestarted(t *testing.T) {
	for _, silence := range soundSilences {
		for _, point := range []string{"before the head", "after the head", "between two events", "within an event"} {
			t.Run(fmt.Sprint(silence, " ", point), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					defer time.Sleep(time.Minute)
					config := streamConfig()
					config.Routes[0].TargetLatencyMillis = 100
					g := newTestGateway(t, config)
					var runs atomic.Int64
					pauseAt := func(at string) {
						if at == point {
							time.Sleep(silence)
						}
					}
					serve := func(r *http.Request, _ string, w io.Writer) bool {
						runs.Add(1)
						pauseAt("before the head")
						startStream(w, r)
						pauseAt("after the head")
						_ = writeChunk(w, "id: 1\ndata: a\n\n")
						pauseAt("between two events")
						_ = writeChunk(w, "id: 2\nda")
						pauseAt("within an event")
						_ = writeChunk(w, "ta: b\n\n")
						_ = writeChunk(w, "")
						return true
					}
					g.addEndpoint("i-1", serve)
					g.addEndpoint("i-2", serve)
					body, err := g.stream(30 * time.Second)
					require.NoError(t, err)
					require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
					require.EqualValues(t, 1, runs.Load())
				})
			})
		}
	}
}

// A sound endpoint is silent in the middle of a stream for longer than another one would wait to
// take over, but none can: there is no other endpoint, or no retry is left. The stream was cut off.
func TestSilentStreamThatCannotMoveGoesOn(t *testing.T) {
	const silence = 2300 * time.Millisecond
	for name, prepare := range map[string]func(g *testGateway, serve endpointFunc){
		"no other endpoint": func(*testGateway, endpointFunc) {},
		"no retry left": func(g *testGateway, serve endpointFunc) {
			g.addEndpoint("i-2", serve)
			g.handler.Budget = &budget.Budget{Ratio: 1e-9}
		},
		"others leave": func(g *testGateway, serve endpointFunc) {
			g.addEndpoint("i-2", serve)
			for _, e := range g.balancer.Endpoints() {
				e.Leaving = e.ID == "i-2"
				g.balancer.Put(e)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				g := newTestGateway(t, streamConfig())
				var runs atomic.Int64
				serve := func(r *http.Request, _ string, w io.Writer) bool {
					runs.Add(1)
					startStream(w, r)
					_ = writeChunk(w, "id: 1\ndata: a\n\n")
					time.Sleep(silence)
					_ = writeChunk(w, "id: 2\ndata: b\n\n")
					_ = writeChunk(w, "")
					return true
				}
				g.addEndpoint("i-1", serve)
				prepare(g, serve)
				body, err := g.stream(30 * time.Second)
				require.NoError(t, err)
				require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
				require.EqualValues(t, 1, runs.Load())
			})
		})
	}
}

// Another endpoint becomes available while the first one is silent: the stream moves then.
func TestSilentStreamMovesOnceItCan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		serve := func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			if r.Header.Get("After") != "" {
				_ = writeChunk(w, "id: 2\ndata: b\n\n")
				_ = writeChunk(w, "")
				return true
			}
			_ = writeChunk(w, "id: 1\ndata: a\n\n")
			_, _ = w.(io.Reader).Read(make([]byte, 1))
			return false
		}
		g.addEndpoint("i-1", serve)
		time.AfterFunc(5*time.Second, func() { g.addEndpoint("i-2", serve) })
		start := time.Now()
		body, err := g.stream(30 * time.Second)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
		require.Less(t, time.Since(start), 5500*time.Millisecond)
	})
}

// An endpoint stays silent in a stream that another one can resume: its work must be ended before
// the other one begins, and the caller, who leaves after two seconds, must get the rest in time.
func TestSilentStreamMovesBeforeCallerLeaves(t *testing.T) {
	const callerPatience = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		// Each receives one time.
		silent, ended, resumed := make(chan time.Time, 1), make(chan time.Time, 1), make(chan time.Time, 1)
		serve := func(r *http.Request, _ string, w io.Writer) bool {
			if r.Header.Get("After") != "" {
				resumed <- time.Now()
				startStream(w, r)
				time.Sleep(200 * time.Millisecond)
				_ = writeChunk(w, "id: 2\ndata: b\n\n")
				_ = writeChunk(w, "")
				return true
			}
			startStream(w, r)
			_ = writeChunk(w, "id: 1\ndata: a\n\n")
			silent <- time.Now()
			_, _ = w.(io.Reader).Read(make([]byte, 1))
			ended <- time.Now()
			return false
		}
		g.addEndpoint("i-1", serve)
		g.addEndpoint("i-2", serve)
		body, err := g.stream(30 * time.Second)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
		require.Less(t, time.Since(<-silent), callerPatience)
		endedAt, resumedAt := <-ended, <-resumed
		require.False(t, resumedAt.Before(endedAt), "resumed at %s, ended at %s", resumedAt, endedAt)
	})
}

// A sound endpoint sends nothing for a second or so before its response: the request must not be
// sent to another endpoint as well, unless its caller leaves so soon that the other one's response
// would come too late.
func TestRequestAtSilentEndpointIsNotRepeated(t *testing.T) {
	for _, silence := range soundSilences {
		t.Run(silence.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				route := arrangement.Route{
					Name: "r", Path: "/", Targets: []arrangement.Target{{Service: "portal", Weight: 1}},
					Repeat: arrangement.RepeatAny, Attempts: 3, TargetLatencyMillis: 100, TimeoutMillis: 10_000,
				}
				g := newTestGateway(t, arrangement.Config{Routes: []arrangement.Route{route}})
				var runs atomic.Int64
				serve := func(r *http.Request, _ string, w io.Writer) bool {
					runs.Add(1)
					time.Sleep(silence)
					writeResponse(w, r, http.StatusOK, "ok")
					return true
				}
				g.addEndpoint("i-1", serve)
				g.addEndpoint("i-2", serve)
				r, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader("q"))
				require.NoError(t, err)
				r.Header.Set("Request-Id", "1")
				resp, err := g.client.Do(r)
				require.NoError(t, err)
				defer resp.Body.Close()
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.EqualValues(t, 1, runs.Load())
			})
		})
	}
}

// Connections to an endpoint time out during a silence of a second. The endpoint must serve requests
// again as soon as it goes on with a stream, though several of them failed to connect.
func TestSilentEndpointIsPreferredAgain(t *testing.T) {
	const silence, shorts = time.Second, 3
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		var silent atomic.Bool
		served := map[string]int{}
		var mu sync.Mutex
		serve := func(id string) endpointFunc {
			return func(r *http.Request, body string, w io.Writer) bool {
				mu.Lock()
				served[id]++
				mu.Unlock()
				startStream(w, r)
				_ = writeChunk(w, "id: 1\ndata: a\n\n")
				if body == "long" {
					silent.Store(true)
					time.Sleep(silence)
					silent.Store(false)
					for n := 2; n <= 10; n++ {
						_ = writeChunk(w, fmt.Sprintf("id: %d\ndata: b\n\n", n))
						time.Sleep(50 * time.Millisecond)
					}
				}
				_ = writeChunk(w, "")
				return true
			}
		}
		g.addEndpoint("near", serve("near"))
		g.addEndpoint("far", serve("far"))
		near, far := g.listeners["near"].Addr().String(), g.listeners["far"].Addr().String()
		g.balancer.Put(placement.Endpoint{ID: "near", EndpointInfo: fleet.EndpointInfo{Service: "portal", Address: near, Domain: "a", Slots: 64}})
		g.balancer.Put(placement.Endpoint{ID: "far", EndpointInfo: fleet.EndpointInfo{Service: "portal", Address: far, Domain: "b", Slots: 4}})
		g.handler.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == near && silent.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return g.network.Dial(ctx, network, address)
		}
		send := func(body string) {
			r, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader(body))
			require.NoError(t, err)
			r.Header.Set("Request-Id", "1")
			resp, err := g.client.Do(r)
			require.NoError(t, err)
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode, "%s", data)
		}
		var requests sync.WaitGroup
		requests.Go(func() { send("long") })
		time.Sleep(50 * time.Millisecond)
		for range shorts {
			requests.Go(func() { send("short") })
		}
		time.Sleep(silence)
		mu.Lock()
		require.Equal(t, map[string]int{"near": 1, "far": shorts}, served)
		mu.Unlock()
		send("short")
		requests.Wait()
		require.Equal(t, map[string]int{"near": 2, "far": shorts}, served)
	})
}

// Endpoints close a connection and accept none for a second, each at another time and with a request
// like the others: they have not crashed, and such requests must not be refused.
func TestSilentEndpointHasNotCrashed(t *testing.T) {
	const silence, breaks = time.Second, 3
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		config := streamConfig()
		config.Routes[0].Repeat = arrangement.RepeatNever
		g := newTestGateway(t, config)
		g.handler.Quarantine = quarantine.New(&audit.Trail{})
		silentUntil := map[string]time.Time{}
		var mu sync.Mutex
		requests := 0
		for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
			g.addEndpoint(id, func(r *http.Request, _ string, w io.Writer) bool {
				startStream(w, r)
				_ = writeChunk(w, "id: 1\ndata: a\n\n")
				mu.Lock()
				defer mu.Unlock()
				if requests++; requests <= breaks {
					silentUntil[g.listeners[id].Addr().String()] = time.Now().Add(silence)
					return false
				}
				_ = writeChunk(w, "")
				return true
			})
		}
		g.handler.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			mu.Lock()
			wait := time.Until(silentUntil[address])
			mu.Unlock()
			select {
			case <-time.After(wait):
				return g.network.Dial(ctx, network, address)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		for range breaks {
			_, err := g.stream(30 * time.Second)
			require.Error(t, err)
			time.Sleep(5 * time.Second)
		}
		body, err := g.stream(30 * time.Second)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: a\n\n", body)
	})
}

// A stream is taken from a silent endpoint that has others: that the connection ended here is no sign
// of life from the endpoint, which must go on counting as stalled.
func TestStreamGivenUpIsNoSignOfLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		ended := make(chan struct{}, 2)
		g.addEndpoint("silent", func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			_ = writeChunk(w, "id: 1\ndata: a\n\n")
			_, _ = w.(io.Reader).Read(make([]byte, 1))
			ended <- struct{}{}
			return false
		})
		var streams sync.WaitGroup
		for range 2 {
			streams.Go(func() { _, _ = g.stream(30 * time.Second) })
			time.Sleep(600 * time.Millisecond)
		}
		<-ended
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, 1, g.balancer.Services(time.Now())["portal"].Stalled)
		<-ended
		streams.Wait()
	})
}
