package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

func streamConfig() arrangement.Config {
	return arrangement.Config{Routes: []arrangement.Route{{
		Name: "r", Host: "h", Path: "/", Targets: []arrangement.Target{{Service: "portal", Weight: 1}}, Stream: true,
		Repeat: arrangement.RepeatResume, Attempts: 2, TimeoutMillis: 60_000,
	}}}
}

func (g *testGateway) stream(timeout time.Duration) (string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader("q"))
	require.NoError(g.t, err)
	r.Header.Set("Request-Id", "1")
	r.Header.Set("Wait", fmt.Sprint(timeout.Milliseconds()))
	resp, err := g.client.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func startStream(w io.Writer, r *http.Request) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
}

// writeChunk writes a piece of a stream; an empty one ends it.
func writeChunk(w io.Writer, piece string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(piece), piece)
	return err
}

// A stalled stream that sends a byte or an empty comment now and then makes no progress: it must
// be resumed at another endpoint as one that sends nothing is. A slow stream whose events keep
// coming must not be cut.
func TestStalledStreams(t *testing.T) {
	const slowInterval = time.Second
	// callerPatience is the pause in a stream after which callers leave.
	const callerPatience = 2 * time.Second
	for name, trickle := range map[string]string{"nothing": "", "a byte": "x", "a comment": ": still here\n\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The endpoints end by themselves.
				defer time.Sleep(time.Minute)
				g := newTestGateway(t, streamConfig())
				stalled := func(w io.Writer, r *http.Request) bool {
					startStream(w, r)
					_ = writeChunk(w, "id: 1\ndata: a\n\n")
					for range 40 {
						time.Sleep(300 * time.Millisecond)
						if trickle != "" && writeChunk(w, trickle) != nil {
							break
						}
					}
					return false
				}
				sound := func(w io.Writer, r *http.Request) bool {
					startStream(w, r)
					for n := 2; n <= 5; n++ {
						time.Sleep(slowInterval)
						_ = writeChunk(w, fmt.Sprintf("id: %d\ndata: b\n\n", n))
					}
					_ = writeChunk(w, "")
					return false
				}
				serve := func(r *http.Request, _ string, w io.Writer) bool {
					if r.Header.Get("After") == "" {
						return stalled(w, r)
					}
					return sound(w, r)
				}
				g.addEndpoint("i-1", serve)
				g.addEndpoint("i-2", serve)
				started := time.Now()
				body, err := g.stream(30 * time.Second)
				require.NoError(t, err)
				require.Less(t, time.Since(started), callerPatience+4*slowInterval)
				require.Equal(t, 5, strings.Count(body, "data: "), body)
				require.True(t, strings.HasSuffix(body, "id: 5\ndata: b\n\n"), body)
			})
		})
	}
}

// A sound endpoint sends comments before the first event and between events as a sign of life. With no
// other endpoint to take over, its stream must not be cut, and the comments must not count as events in
// the latency to the first one and in the longest pause.
func TestSignsOfLifeAreNoEvents(t *testing.T) {
	const silence = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		core, logs := observer.New(zapcore.DebugLevel)
		g.handler.Logger = zap.New(core)
		g.addEndpoint("i-1", func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			for n := 1; n <= 2; n++ {
				for range 5 {
					time.Sleep(silence / 6)
					_ = writeChunk(w, ": still here\n\n")
				}
				time.Sleep(silence / 6)
				_ = writeChunk(w, fmt.Sprintf("id: %d\ndata: a\n\n", n))
			}
			_ = writeChunk(w, "")
			return false
		})
		body, err := g.stream(30 * time.Second)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: a\n\n", body)
		lines := logs.FilterMessage(event.Request).All()
		require.Len(t, lines, 1)
		require.Equal(t, silence, lines[0].ContextMap()["first"])
		require.Equal(t, silence, lines[0].ContextMap()["pause"])
	})
}

// An endpoint crashes after several comments and before the first event: the comments must not count as
// events, or the quarantine would take the request for one that the endpoint had answered.
func TestSignsOfLifeBeforeCrashAreNoEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		core, logs := observer.New(zapcore.InfoLevel)
		g.handler.Logger = zap.New(core)
		g.addEndpoint("i-1", func(r *http.Request, _ string, w io.Writer) bool {
			startStream(w, r)
			for range 3 {
				time.Sleep(100 * time.Millisecond)
				_ = writeChunk(w, ": still here\n\n")
			}
			return false
		})
		_, _ = g.stream(30 * time.Second)
		lines := logs.FilterMessage(event.Attempt).All()
		require.NotEmpty(t, lines)
		require.Equal(t, true, lines[0].ContextMap()["begun"])
		require.EqualValues(t, 0, lines[0].ContextMap()["events"])
	})
}

// An endpoint reports that it did not run a request, in a response whose body does not end: the
// request must be sent to another endpoint without waiting for it.
func TestRefusalWithoutEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		var attempts atomic.Int64
		serve := func(r *http.Request, _ string, w io.Writer) bool {
			if attempts.Add(1) > 1 {
				startStream(w, r)
				_ = writeChunk(w, "id: 1\ndata: a\n\n")
				_ = writeChunk(w, "")
				return false
			}
			fmt.Fprintf(w, "HTTP/1.1 503 X\r\nRequest-Id: 1\r\nNot-Run: 1\r\nContent-Length: 1000\r\n\r\n")
			for range 1000 {
				if _, err := io.WriteString(w, "x"); err != nil {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			return false
		}
		g.addEndpoint("i-1", serve)
		g.addEndpoint("i-2", serve)
		started := time.Now()
		body, err := g.stream(30 * time.Second)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: a\n\n", body)
		require.Less(t, time.Since(started), time.Second)
	})
}
