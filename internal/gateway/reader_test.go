package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/greengagestep/greengagestep/internal/overload"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// ask sends a request on a new connection and reads nothing.
func (g *testGateway) ask(timeout time.Duration) net.Conn {
	conn := g.dial()
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nKey: k\r\nWait: %d\r\nContent-Length: 1\r\n\r\nq", timeout.Milliseconds())
	require.NoError(g.t, err)
	return conn
}

// readAnswer reads the response on a connection to its end.
func readAnswer(conn net.Conn) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// observe returns the log lines that the gateway writes from now on.
func (g *testGateway) observe() *observer.ObservedLogs {
	core, logs := observer.New(zap.DebugLevel)
	g.handler.Logger = zap.New(core)
	return logs
}

// lastEnd returns how the last request ended, and why.
func lastEnd(logs *observer.ObservedLogs) (how, reason any) {
	lines := logs.FilterMessage("request").All()
	fields := lines[len(lines)-1].ContextMap()
	return fields["how"], fields["reason"]
}

// eventsOf returns n events of about a hundred bytes.
func eventsOf(first, n int) string {
	var b strings.Builder
	for id := first; id < first+n; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 90))
	}
	return b.String()
}

// writeEvents writes events of a stream one by one.
func writeEvents(w io.Writer, first, n int) error {
	for id := first; id < first+n; id++ {
		if err := writeChunk(w, eventsOf(id, 1)); err != nil {
			return err
		}
	}
	return nil
}

// A caller pauses for some seconds: its endpoint could not send the rest of the response, which it then
// cuts off, and kept a slot for it.
func TestEndpointIsReadWhileCallerPauses(t *testing.T) {
	stream := func(w io.Writer, r *http.Request) {
		startStream(w, r)
		_ = writeEvents(w, 1, 60)
		_ = writeChunk(w, "")
	}
	long := strings.Repeat("y", 200_000)
	for name, c := range map[string]struct {
		config  arrangement.Config
		respond func(w io.Writer, r *http.Request)
		want    string
	}{
		"stream": {streamConfig(), stream, eventsOf(1, 60)},
		"body":   {unaryConfig(), func(w io.Writer, r *http.Request) { writeResponse(w, r, http.StatusOK, long) }, long},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				g := newTestGateway(t, c.config)
				logs := g.observe()
				var sent atomic.Int64
				g.addEndpoint("i-1", func(r *http.Request, _ string, w io.Writer) bool {
					c.respond(w, r)
					sent.Add(1)
					return true
				})
				// The pause outlasts the time limit of the request: what is complete is delivered.
				conn := g.ask(4 * time.Second)
				time.Sleep(500 * time.Millisecond)
				require.EqualValues(t, 1, sent.Load(), "the endpoint has sent its response")
				require.Positive(t, g.handler.Backlog.Unread())
				time.Sleep(7 * time.Second)
				body, err := readAnswer(conn)
				require.NoError(t, err)
				require.Equal(t, c.want, body)
				synctest.Wait()
				require.Zero(t, g.handler.Backlog.Unread())
				require.Zero(t, g.handler.Active())
				how, _ := lastEnd(logs)
				require.Equal(t, "answer", how)
				_ = conn.Close()
			})
		})
	}
}

// A caller stops reading for good, without closing its connection: no write had a bound. The caller is
// cut off, and what it has cannot pass as complete.
func TestCallerThatStopsReadingIsCutOff(t *testing.T) {
	for name, config := range map[string]arrangement.Config{"stream": streamConfig(), "body": unaryConfig()} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				config.Customers = []arrangement.Customer{{Name: "saar", Keys: []string{"k"}}}
				g := newTestGateway(t, config)
				logs := g.observe()
				requests := g.addCounted("i-1", func(r *http.Request, _ string, w io.Writer) bool {
					if name == "body" {
						writeResponse(w, r, http.StatusOK, strings.Repeat("y", 200_000))
						return true
					}
					startStream(w, r)
					_ = writeEvents(w, 1, 60)
					_ = writeChunk(w, "")
					return true
				})
				conn := g.ask(5 * time.Second)
				time.Sleep(9 * time.Second)
				require.EqualValues(t, 1, g.handler.Active())
				time.Sleep(2 * time.Second)
				require.Zero(t, g.handler.Active())
				require.Zero(t, g.handler.Backlog.Unread())
				_, err := readAnswer(conn)
				require.Error(t, err)
				how, reason := lastEnd(logs)
				require.Equal(t, []any{"broken", "response-unread"}, []any{how, reason})
				require.Equal(t, "saar stalled", <-g.givenUp)
				require.EqualValues(t, 1, requests.Load())
				_ = conn.Close()
			})
		})
	}
}

// A caller reads slowly without a pause, for longer than any one pause may take: it is served.
func TestSlowCallerGetsWholeStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		g.addEndpoint("i-1", func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			_ = writeEvents(w, 1, 200)
			_ = writeChunk(w, "")
			return true
		})
		conn := g.ask(5 * time.Second)
		body, err := readAnswer(slowConn{conn})
		require.NoError(t, err)
		require.Equal(t, eventsOf(1, 200), body)
		_ = conn.Close()
	})
}

// slowConn is read slowly.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(8 * time.Second)
	return c.Conn.Read(p[:min(len(p), 1000)])
}

// An endpoint breaks off while a part of the stream waits for its caller: another one resumes it after
// the last event that was relayed, and the caller gets each event once.
func TestStreamIsResumedBehindUnreadEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		respond := func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			if r.Header.Get("After") == "" {
				_ = writeEvents(w, 1, 30)
				return false
			}
			if r.Header.Get("After") != "30" {
				return false
			}
			_ = writeEvents(w, 31, 30)
			_ = writeChunk(w, "")
			return true
		}
		g.addEndpoint("i-1", respond)
		g.addEndpoint("i-2", respond)
		conn := g.ask(5 * time.Second)
		time.Sleep(3 * time.Second)
		body, err := readAnswer(conn)
		require.NoError(t, err)
		require.Equal(t, eventsOf(1, 60), body)
		_ = conn.Close()
	})
}

// An endpoint breaks off a stream that nobody resumes while a part of it waits for its caller: the
// caller gets that part, and no end.
func TestBrokenStreamHasNoEndBehindUnreadEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		config := streamConfig()
		config.Routes[0].Attempts = 1
		g := newTestGateway(t, config)
		g.addEndpoint("i-1", func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			_ = writeEvents(w, 1, 30)
			return false
		})
		conn := g.ask(5 * time.Second)
		time.Sleep(3 * time.Second)
		body, err := readAnswer(conn)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Equal(t, eventsOf(1, 30), body)
		_ = conn.Close()
	})
}

// A caller whose response has to wait closes its connection: the endpoint is told within half a second.
func TestEndpointIsCanceledWhileWriteWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		g.handler.Backlog.MaxBytes = 256 << 10
		canceled := make(chan time.Time, 1)
		g.addEndpoint("i-1", func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			err := writeEvents(w, 1, 10_000)
			canceled <- time.Now()
			require.True(t, errors.Is(err, io.ErrClosedPipe), "%v", err)
			return false
		})
		conn := g.ask(time.Minute)
		time.Sleep(2 * time.Second)
		require.Empty(t, canceled)
		require.LessOrEqual(t, g.handler.Backlog.Unread(), int64(80<<10))
		closed := time.Now()
		require.NoError(t, conn.Close())
		time.Sleep(time.Second)
		require.WithinDuration(t, closed, <-canceled, 500*time.Millisecond)
		require.Zero(t, g.handler.Active())
		require.Zero(t, g.handler.Backlog.Unread())
	})
}

// Callers that stopped reading fill the account: they are given up for one that reads, which gets its
// response, and for bodies.
func TestReadersAreServedWhileOthersStopReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		g.handler.Backlog.MaxBytes, g.handler.Backlog.MaxBodyBytes = 1<<20, 768<<10
		respond := func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			_ = writeEvents(w, 1, 1500)
			_ = writeChunk(w, "")
			return true
		}
		for id := range 8 {
			g.addEndpoint(fmt.Sprint("i-", id), respond)
		}
		var silent []net.Conn
		for range 12 {
			silent = append(silent, g.ask(time.Minute))
		}
		time.Sleep(time.Second)
		require.Greater(t, g.handler.Backlog.Unread(), int64(512<<10))
		require.LessOrEqual(t, g.handler.Backlog.Unread(), int64(1<<20))
		body, err := g.stream(time.Minute)
		require.NoError(t, err)
		require.Equal(t, eventsOf(1, 1500), body)
		ok, victims := g.handler.Backlog.ReserveBody("saar", 0, 500<<10, time.Now())
		require.True(t, ok)
		require.NotEmpty(t, victims)
		for _, c := range silent {
			_ = c.Close()
		}
	})
}

// A request is read so late, beside a processor that lags, that its caller could not get the answer in
// time: it was sent to an endpoint all the same.
func TestRequestWithoutTimeLeftIsNotSent(t *testing.T) {
	for _, wait := range []time.Duration{40 * time.Millisecond, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			defer time.Sleep(time.Minute)
			g := newTestGateway(t, unaryConfig())
			g.handler.Overload = &overload.Meter{}
			// Below the lag from which requests are refused whatever their time limit.
			g.handler.Overload.Record(35 * time.Millisecond)
			requests := g.addCounted("i-1", serveWell)
			conn := g.ask(wait)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			_ = resp.Body.Close()
			_ = conn.Close()
			if wait > 100*time.Millisecond {
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.EqualValues(t, 1, requests.Load())
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			require.Zero(t, requests.Load())
		})
	}
}

// An endpoint takes only the beginning of a long body and sends nothing, and the request has no time
// limit: it waited for good, and held its body. Another endpoint gets the whole body.
func TestEndpointThatDoesNotReadBodyIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		config := unaryConfig()
		config.Routes[0].TimeoutMillis = 0
		g := newTestGateway(t, config)
		l, err := g.network.Listen()
		require.NoError(t, err)
		g.listeners["i-1"] = l
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 1000))
			}
		}()
		g.balancer.Put(placement.Endpoint{ID: "i-1", EndpointInfo: fleet.EndpointInfo{Service: "portal", Address: l.Addr().String(), Domain: "a", Slots: 1000}})
		sent := time.Now()
		// The first endpoint is the only one until the request has been sent.
		time.AfterFunc(time.Second, func() {
			g.addEndpoint("i-2", func(r *http.Request, body string, w io.Writer) bool {
				writeResponse(w, r, http.StatusOK, fmt.Sprint(len(body)))
				return true
			})
		})
		g.client.Timeout = 30 * time.Second
		status, body, _ := g.send(100_000, false)
		require.Equal(t, http.StatusOK, status, body)
		require.Equal(t, "100000", body)
		require.WithinDuration(t, sent, time.Now(), 12*time.Second)
		require.Zero(t, g.handler.Backlog.Bodies())
	})
}
