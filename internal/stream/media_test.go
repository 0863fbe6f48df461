package stream_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/stream"
)

// A type that a proxy has joined with another one, or whose parameter follows without a semicolon, was not
// taken for that of event streams.
func TestMediaTypeOfOddlyWrittenLines(t *testing.T) {
	for _, c := range []struct {
		lines []string
		want  string
	}{
		{nil, ""},
		{[]string{""}, ""},
		{[]string{"Text/Event-Stream; charset=utf-8"}, stream.MediaTypeEvents},
		{[]string{" text/event-stream\tcharset=utf-8"}, stream.MediaTypeEvents},
		{[]string{"text/event-stream, text/plain"}, stream.MediaTypeEvents},
		{[]string{"application/json", "text/event-stream"}, stream.MediaTypeEvents},
		{[]string{"application/json", "text/plain"}, "application/json"},
		{[]string{"text/event-streaming"}, "text/event-streaming"},
	} {
		require.Equal(t, c.want, stream.MediaType(http.Header{"Content-Type": c.lines}), "%q", c.lines)
	}
}
