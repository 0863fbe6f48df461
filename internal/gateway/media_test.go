package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
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

// An operator tells blocks that the check of a stream knows from a response that names another
// media type: neither counters nor log lines had either.
func TestStreamResponsesAreCountedByMediaTypeAndBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, streamConfig())
		core, logs := observer.New(zapcore.DebugLevel)
		g.handler.Logger = zap.New(core)
		types := []string{"Content-Type: Text/Event-Stream; charset=utf-8\r\n", "", "Content-Type: text/plain\r\n"}
		answered := 0
		g.addEndpoint("i-1", func(r *http.Request, _ string, w io.Writer) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\n%sTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"), types[answered])
			answered++
			_ = writeChunk(w, "\nid: 1\ndata: a\n\n: c\n\nretry: 1\n\n: c\nevent: x\nretry: 1\n\nid: 2\ndata: a\n\n")
			_ = writeChunk(w, "")
			return true
		})
		for range types {
			_, err := g.stream(30 * time.Second)
			require.NoError(t, err)
		}
		var text strings.Builder
		g.handler.Metrics.Write(&text)
		for _, label := range []string{`type="event-stream"`, `type="none"`, `type="other"`} {
			require.Contains(t, text.String(), fmt.Sprintf("greengagestep_stream_responses_total{%s} 1\n", label))
		}
		for _, kind := range []string{"empty", "comment", "setting", "name"} {
			require.Contains(t, text.String(), fmt.Sprintf("greengagestep_stream_blocks_without_event_total{kind=%q} 3\n", kind))
		}
		var media []any
		for _, line := range logs.FilterMessage(event.Request).All() {
			media = append(media, line.ContextMap()["media"])
		}
		require.Equal(t, []any{"text/event-stream", "none", "text/plain"}, media)
	})
}

// A response without a Content-Type reached the caller with a type that net/http guessed from its first bytes: a
// stream of events came as plain text.
func TestMissingContentTypeIsNotGuessed(t *testing.T) {
	for _, config := range []arrangement.Config{streamConfig(), {Routes: []arrangement.Route{{Name: "r", Path: "/", Targets: []arrangement.Target{{Service: "portal", Weight: 1}}}}}} {
		synctest.Test(t, func(t *testing.T) {
			defer time.Sleep(time.Minute)
			g := newTestGateway(t, config)
			g.addEndpoint("i-1", func(r *http.Request, _ string, w io.Writer) bool {
				writeResponse(w, r, http.StatusOK, "id: 1\ndata: a\n\n")
				return true
			})
			req, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader("body"))
			require.NoError(t, err)
			req.Header.Set("Request-Id", "1")
			resp, err := g.client.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, "id: 1\ndata: a\n\n", string(body))
			require.NotContains(t, resp.Header, "Content-Type")
		})
	}
}
