package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Guards against further crashes of endpoints by a request that crashed endpoints before all
// instances were restarted.
func TestRestartedInstanceRefusesRequestsThatCrashedEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.publish(5, "/a/")
		crashes := 0
		for n := range 4 {
			l := f.listen()
			t.Cleanup(func() { _ = l.Close() })
			go serveUntilCrash(l, &crashes)
			f.endpoints.write("i-"+strconv.Itoa(n), &fleet.EndpointInfo{Service: "m", Address: l.Addr().String(), Domain: "a", Slots: 4})
		}
		time.Sleep(3 * time.Second)
		for range 3 {
			f.post("/a/x", "deadly")
			time.Sleep(time.Second)
		}
		f.shutDown()
		crashesBefore := crashes

		f.start()
		time.Sleep(3 * time.Second)
		deadly := f.post("/a/x", "deadly")
		time.Sleep(time.Second)
		sound := f.post("/a/x", "sound")
		f.shutDown()
		require.Equal(t, 2, crashesBefore)
		require.Equal(t, http.StatusServiceUnavailable, deadly)
		require.Equal(t, 2, crashes, "the restarted instance has sent the request to an endpoint")
		require.Equal(t, http.StatusOK, sound)
	})
}

// serveUntilCrash responds to requests until one has the body "deadly".
func serveUntilCrash(l net.Listener, crashes *int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				body, _ := io.ReadAll(r.Body)
				if string(body) == "deadly" {
					*crashes++
					_ = l.Close()
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\nContent-Length: 0\r\n\r\n")
			}
		}()
	}
}

// post sends one request with a body on a connection of its own, and returns the status of
// the response.
func (f *fixture) post(path, body string) int {
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return f.net.Dial(ctx, network, f.callers.Addr().String())
		},
		DisableKeepAlives: true,
	}}
	req, err := http.NewRequest(http.MethodPost, "http://front"+path, strings.NewReader(body))
	require.NoError(f.t, err)
	req.Header.Set("Request-Id", "1")
	req.Header.Set("Key", "k")
	resp, err := client.Do(req)
	require.NoError(f.t, err)
	require.NoError(f.t, resp.Body.Close())
	return resp.StatusCode
}
