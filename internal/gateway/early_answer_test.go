package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/greengagestep/greengagestep/internal/upstream"
)

// earlyAnswerPlays is how often an exchange is repeated: which call on a connection gets the kernel's report of a reset varies.
const earlyAnswerPlays = 20

// An endpoint answers a long upload at once, without a length, and its connection is reset while the upload is written. The caller
// got the part that had arrived as a complete response. One that the endpoint has ended is complete, whatever becomes of the upload.
func TestResetBesideUploadIsNoEnd(t *testing.T) {
	answers := map[string]string{
		"short": "answer", "long": strings.Repeat("answer", 20_000), "events": "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
	}
	for _, c := range []struct {
		name     string
		end      func(endpoint *net.TCPConn, finished <-chan struct{})
		complete bool
	}{
		{"reset", func(endpoint *net.TCPConn, _ <-chan struct{}) { _ = endpoint.SetLinger(0) }, false},
		{"closed with upload unread", func(*net.TCPConn, <-chan struct{}) {}, false},
		{"ended, then reset", func(endpoint *net.TCPConn, _ <-chan struct{}) {
			_ = endpoint.CloseWrite()
			awaitAcknowledged(endpoint)
			_ = endpoint.SetLinger(0)
		}, true},
		{"ended, upload read", func(endpoint *net.TCPConn, _ <-chan struct{}) {
			_ = endpoint.CloseWrite()
			_, _ = io.Copy(io.Discard, endpoint)
		}, true},
		{"ended, upload not read", func(endpoint *net.TCPConn, finished <-chan struct{}) {
			_ = endpoint.CloseWrite()
			<-finished
		}, true},
	} {
		for kind, answer := range answers {
			t.Run(c.name+" "+kind, func(t *testing.T) {
				config := bodyConfig(4 << 20)
				config.Routes[0].Stream = kind == "events"
				g := newTestGateway(t, config)
				g.handler.Pool = &upstream.Pool{HeaderCodec: plainHeaderCodec{}}
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				g.put("i-1", listener)
				go serveEarly(listener, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nSeal: s\r\n\r\n"+answer, func(endpoint *net.TCPConn) { c.end(endpoint, t.Context().Done()) })
				wrong := 0
				for range earlyAnswerPlays {
					body, err := g.upload(3 << 20)
					if complete := err == nil && body == answer; complete != c.complete {
						wrong++
					}
				}
				require.Zero(t, wrong, "wrong of %d", earlyAnswerPlays)
			})
		}
	}
}

// serveEarly answers each request once its first line has arrived. Function end is called before the connection is closed.
func serveEarly(l net.Listener, answer string, end func(*net.TCPConn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			// The small buffer leaves most of the request unread: closing the connection then resets it.
			if _, err := bufio.NewReaderSize(conn, 16).ReadString('\n'); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer)
			end(conn.(*net.TCPConn))
		}()
	}
}

// awaitAcknowledged returns once the other side has received all that was written, and the end.
func awaitAcknowledged(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	for queued := 1; err == nil && queued > 0; runtime.Gosched() {
		err = raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	}
}

// upload sends a request and returns the body of the response. The error says that it is a failure or broken off.
func (g *testGateway) upload(size int) (string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader(strings.Repeat("x", size)))
	require.NoError(g.t, err)
	r.Header.Set("Request-Id", "1")
	resp, err := g.client.Do(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
