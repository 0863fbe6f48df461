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
