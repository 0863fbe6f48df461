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
)

// Events may end with either line ending. The endpoint that resumes a stream repeats events that
// the caller already has: they must be left out.
func TestResumedEventsAreNotRepeated(t *testing.T) {
	for name, newline := range map[string]string{"LF": "\n", "CRLF": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				g := newTestGateway(t, streamConfig())
				serve := func(r *http.Request, _ string, w io.Writer) bool {
					startStream(w, r)
					for n := 1; n <= 4; n++ {
						_ = writeChunk(w, fmt.Sprintf("id: %d%sdata: x%s%s", n, newline, newline, newline))
						if n == 2 && r.Header.Get("After") == "" {
							return false
						}
					}
					_ = writeChunk(w, "")
					return false
				}
				g.addEndpoint("i-1", serve)
				g.addEndpoint("i-2", serve)
				body, err := g.stream(30 * time.Second)
				require.NoError(t, err)
				ids := ""
				for line := range strings.Lines(body) {
					if id, ok := strings.CutPrefix(line, "id: "); ok {
						ids += strings.TrimSpace(id)
					}
				}
				require.Equal(t, "1234", ids)
			})
		})
	}
}
