package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// bodyGateway is a gateway with room for a number of bytes of bodies, and an endpoint that takes a
// second for each request.
func bodyGateway(t *testing.T, maxBytes, maxBodyBytes int64) *testGateway {
	g := newTestGateway(t, arrangement.Config{
		Routes: []arrangement.Route{{Name: "r", Path: "/", Targets: []arrangement.Target{{Service: "portal", Weight: 1}}, Repeat: arrangement.RepeatNever, Attempts: 1}},
		Limits: arrangement.Limits{MaxBodyBytes: maxBodyBytes},
	})
	g.handler.Bodies.MaxBytes = maxBytes
	g.addEndpoint("i-1", func(r *http.Request, body string, w io.Writer) bool {
		time.Sleep(time.Second)
		writeResponse(w, r, http.StatusOK, fmt.Sprint(len(body)))
		return true
	})
	return g
}

// send sends a body, in chunks if its length is not to be known, and returns the status and the
// response.
func (g *testGateway) send(size int, chunked bool) (status int, body, retryAfter string) {
	var reader io.Reader = strings.NewReader(strings.Repeat("x", size))
	if chunked {
		reader = io.MultiReader(reader)
	}
	r, err := http.NewRequest(http.MethodPost, "http://h/", reader)
	require.NoError(g.t, err)
	r.Header.Set("Request-Id", "1")
	resp, err := g.client.Do(r)
	require.NoError(g.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(g.t, err)
	return resp.StatusCode, strings.TrimSpace(string(data)), resp.Header.Get("Retry-After")
}

// Many callers send the largest bodies that the configuration allows at the same time: the process
// exceeded its memory and ended with all its requests. Bodies that find no room are refused, small
// ones still find some.
func TestBodiesOfManyCallersStayWithinMemory(t *testing.T) {
	const maxBytes, large, small = 3 << 20, 1 << 20, 60_000
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked %t", chunked), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				g := bodyGateway(t, maxBytes, large)
				var served, refused atomic.Int64
				var all sync.WaitGroup
				for range 12 {
					all.Go(func() {
						status, body, retryAfter := g.send(large, chunked)
						if status == http.StatusOK {
							require.Equal(t, fmt.Sprint(large), body)
							served.Add(1)
							return
						}
						require.Equal(t, http.StatusServiceUnavailable, status)
						require.Equal(t, "body-memory-short", body)
						require.NotEmpty(t, retryAfter)
						refused.Add(1)
					})
				}
				time.Sleep(500 * time.Millisecond)
				require.LessOrEqual(t, g.handler.Bodies.Used(), int64(maxBytes))
				require.Positive(t, g.handler.Bodies.Used())
				for range 10 {
					all.Go(func() {
						status, body, _ := g.send(small, chunked)
						require.Equal(t, http.StatusOK, status, body)
						require.Equal(t, fmt.Sprint(small), body)
					})
				}
				all.Wait()
				require.EqualValues(t, 12, served.Load()+refused.Load())
				require.InDelta(t, 2, served.Load(), 1)
				require.Zero(t, g.handler.Bodies.Used())
				status, _, _ := g.send(large, chunked)
				require.Equal(t, http.StatusOK, status, "there is room again")
			})
		})
	}
}

// Bodies of any size up to the limit arrive unchanged, longer ones are rejected, and no memory
// stays reserved.
func TestBodySizes(t *testing.T) {
	const limit = 300_000
	for _, chunked := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			defer time.Sleep(time.Minute)
			g := bodyGateway(t, 1<<20, limit)
			for _, size := range []int{0, 1, 8<<10 - 1, 8 << 10, 8<<10 + 1, 64 << 10, 256<<10 - 1, 256 << 10, limit - 1, limit} {
				status, body, _ := g.send(size, chunked)
				require.Equal(t, http.StatusOK, status, "%d bytes: %s", size, body)
				require.Equal(t, fmt.Sprint(size), body)
				require.Zero(t, g.handler.Bodies.Used())
			}
			for _, size := range []int{limit + 1, 2 * limit} {
				status, body, _ := g.send(size, chunked)
				require.Equal(t, http.StatusRequestEntityTooLarge, status)
				require.Equal(t, "body-too-large", body)
				require.Zero(t, g.handler.Bodies.Used())
			}
		})
	}
}
