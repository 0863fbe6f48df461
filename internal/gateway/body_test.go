package gateway_test

import (
	"bufio"
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

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// bodyConfig has one route, whose requests run once, for bodies of up to a number of bytes.
func bodyConfig(maxBodyBytes int64) arrangement.Config {
	return arrangement.Config{
		Routes: []arrangement.Route{{Name: "r", Path: "/", Targets: []arrangement.Target{{Service: "portal", Weight: 1}}, Repeat: arrangement.RepeatNever, Attempts: 1}},
		Limits: arrangement.Limits{MaxBodyBytes: maxBodyBytes},
	}
}

// bodyGateway is a gateway with room for a number of bytes of bodies, and an endpoint that takes a
// second for each request.
func bodyGateway(t *testing.T, maxBytes, maxBodyBytes int64) *testGateway {
	g := newTestGateway(t, bodyConfig(maxBodyBytes))
	g.handler.Backlog.MaxBytes = maxBytes
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
				require.LessOrEqual(t, g.handler.Backlog.Bodies(), int64(maxBytes))
				require.Positive(t, g.handler.Backlog.Bodies())
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
				require.Zero(t, g.handler.Backlog.Bodies())
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
				require.Zero(t, g.handler.Backlog.Bodies())
			}
			for _, size := range []int{limit + 1, 2 * limit} {
				status, body, _ := g.send(size, chunked)
				require.Equal(t, http.StatusRequestEntityTooLarge, status)
				require.Equal(t, "body-too-large", body)
				require.Zero(t, g.handler.Backlog.Bodies())
			}
		})
	}
}

// The body of a request stops arriving: the server reads the rest of it before it responds on a
// connection that it keeps, so that the response was held back until the caller closed the connection.
func TestResponseIsNotHeldBackForRestOfBody(t *testing.T) {
	for _, c := range []struct {
		path     string
		status   int
		answered time.Duration
	}{
		{"/", http.StatusRequestTimeout, 10 * time.Second},
		{"/closed/", http.StatusUnauthorized, 0},
		{"/empty/", http.StatusServiceUnavailable, 0},
	} {
		for _, framing := range []string{"Content-Length: 2\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
			synctest.Test(t, func(t *testing.T) {
				g := refusingGateway(t)
				conn := g.dial()
				sent := time.Now()
				_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n%s", c.path, framing)
				require.NoError(t, err)
				require.NoError(t, conn.SetReadDeadline(sent.Add(time.Minute)))
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				answered := time.Since(sent)
				_ = conn.Close()
				time.Sleep(time.Minute)
				require.NoError(t, err)
				_ = resp.Body.Close()
				require.Equal(t, c.status, resp.StatusCode)
				require.Less(t, answered, c.answered+200*time.Millisecond)
			})
		}
	}
}

// A request whose body arrives whole, if a little later than its head, is refused on a connection that
// stays open for the next one.
func TestRefusalWithWholeBodyKeepsConnection(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := refusingGateway(t)
			conn := g.dial()
			responses := bufio.NewReader(conn)
			var statuses []int
			for _, path := range []string{"/closed/", "/empty/", "/"} {
				_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\n", path)
				require.NoError(t, err)
				go func() {
					time.Sleep(pause)
					_, _ = io.WriteString(conn, "xx")
				}()
				resp, err := http.ReadResponse(responses, nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				require.NoError(t, err)
				require.False(t, resp.Close)
				statuses = append(statuses, resp.StatusCode)
				// Longer than any time limit for the body.
				time.Sleep(15 * time.Second)
			}
			_ = conn.Close()
			time.Sleep(time.Minute)
			require.Equal(t, []int{http.StatusUnauthorized, http.StatusServiceUnavailable, http.StatusOK}, statuses)
		})
	}
}

// refusingGateway is a gateway with a route that serves requests, one that needs a key, and one whose
// service has no endpoint.
func refusingGateway(t *testing.T) *testGateway {
	g := newTestGateway(t, arrangement.Config{
		Customers: []arrangement.Customer{{Name: "saar", Keys: []string{"k"}}},
		Routes: []arrangement.Route{
			{Name: "open", Path: "/", Public: true, Targets: []arrangement.Target{{Service: "portal", Weight: 1}}},
			{Name: "closed", Path: "/closed/", Targets: []arrangement.Target{{Service: "portal", Weight: 1}}},
			{Name: "empty", Path: "/empty/", Public: true},
		},
	})
	g.addEndpoint("i-1", func(r *http.Request, body string, w io.Writer) bool {
		writeResponse(w, r, http.StatusOK, body)
		return true
	})
	return g
}

// dial opens a connection of a caller.
func (g *testGateway) dial() net.Conn {
	conn, err := g.client.Transport.(*http.Transport).DialContext(g.t.Context(), "tcp", "")
	require.NoError(g.t, err)
	return conn
}
