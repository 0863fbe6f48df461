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

// On a route without streams a response that calls itself one is relayed as it is, event by event, whatever ends its lines.
func TestEventsOfAnyLineEnding(t *testing.T) {
	for name, newline := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				g := newTestGateway(t, unaryConfig())
				want := strings.ReplaceAll("data: a|data: b||data: c||", "|", newline)
				arrived := make(chan bool, 1)
				g.addEndpoint("i-1", func(r *http.Request, _ string, w io.Writer) bool {
					startStream(w, r)
					for _, b := range []byte(want[:len(want)-1]) {
						_ = writeChunk(w, string(b))
					}
					<-arrived
					_ = writeChunk(w, want[len(want)-1:])
					_ = writeChunk(w, "")
					return true
				})
				r, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader("q"))
				require.NoError(t, err)
				r.Header.Set("Request-Id", "1")
				resp, err := g.client.Do(r)
				require.NoError(t, err)
				first := make([]byte, strings.Index(want, "data: c"))
				_, err = io.ReadFull(resp.Body, first)
				require.NoError(t, err)
				arrived <- true
				rest, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, want, string(first)+string(rest))
				require.Equal(t, http.StatusOK, resp.StatusCode)
			})
		})
	}
}
