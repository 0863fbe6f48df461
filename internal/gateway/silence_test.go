package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// soundSilences are pauses after which a sound endpoint goes on.
var soundSilences = []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond}

// A sound endpoint sends nothing for a second or so, at any point of its stream, and goes on: the
// stream must not be started again at another endpoint.
func TestStreamOfSilentEndpointIsNotRestarted(t *testing.T) {
	for _, silence := range soundSilences {
		for _, point := range []string{"after the head", "between two events", "within an event"} {
			t.Run(fmt.Sprint(silence, " ", point), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					defer time.Sleep(time.Minute)
					g := newTestGateway(t, streamConfig())
					var runs atomic.Int64
					pauseAt := func(at string) {
						if at == point {
							time.Sleep(silence)
						}
					}
					serve := func(r *http.Request, _ string, w io.Writer) bool {
						runs.Add(1)
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

// An endpoint stays silent in a stream that another one can resume: its work must be ended before
// the other one begins, and the caller, who leaves after two seconds, must get the rest in time.
func TestSilentStreamMovesBeforeCallerLeaves(t *testing.T) {
	const callerPatience = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		var silentSince, endedAt, resumedAt time.Time
		serve := func(r *http.Request, _ string, w io.Writer) bool {
			if r.Header.Get("After") != "" {
				resumedAt = time.Now()
				startStream(w, r)
				time.Sleep(200 * time.Millisecond)
				_ = writeChunk(w, "id: 2\ndata: b\n\n")
				_ = writeChunk(w, "")
				return true
			}
			startStream(w, r)
			_ = writeChunk(w, "id: 1\ndata: a\n\n")
			silentSince = time.Now()
			_, _ = w.(io.Reader).Read(make([]byte, 1))
			endedAt = time.Now()
			return false
		}
		g.addEndpoint("i-1", serve)
		g.addEndpoint("i-2", serve)
		body, err := g.stream(30 * time.Second)
		require.NoError(t, err)
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
		require.Less(t, time.Since(silentSince), callerPatience)
		require.False(t, resumedAt.Before(endedAt), "resumed at %s, ended at %s", resumedAt, endedAt)
	})
}
