package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/upstream"
)

// fullSocket is a connection of which a part of what was sent has arrived.
type fullSocket struct {
	net.Conn
	arrived bool
}

func (s *fullSocket) Unread() bool { return s.arrived }

// The whole answer has arrived in the time that an exchange may take, but its reader gets the processor only later: it is read. One of
// which the rest has not arrived ends.
func TestAnswerThatHasArrivedIsRead(t *testing.T) {
	for _, arrived := range []bool{true, false} {
		t.Run(fmt.Sprint(arrived), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: func(context.Context, string, string) (net.Conn, error) {
					c, endpoint := net.Pipe()
					go func() {
						_, _ = http.ReadRequest(bufio.NewReader(endpoint))
						fmt.Fprintf(endpoint, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 60000\r\n\r\n%s", strings.Repeat("x", 60000))
						_ = endpoint.Close()
					}()
					return &fullSocket{c, arrived}, nil
				}}
				ends := time.Now().Add(200 * time.Millisecond)
				r := upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, TimeLeft: func() time.Duration { return time.Until(ends) }}
				a, err := p.Send(t.Context(), "e", r, "1")
				require.NoError(t, err)
				defer a.Close()
				time.Sleep(300 * time.Millisecond)
				body, err := io.ReadAll(a)
				if !arrived {
					require.Error(t, err)
					return
				}
				require.NoError(t, err)
				require.Len(t, body, 60000)
			})
		})
	}
}

// How much a socket of the operating system has not delivered is known, and falls when the other side reads.
func TestQueuedOfSocket(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	other, err := l.Accept()
	require.NoError(t, err)
	defer other.Close()
	require.Zero(t, upstream.Queued(c))
	sent := 0
	for upstream.Queued(c) == 0 {
		n, err := c.Write(make([]byte, 20_000))
		require.NoError(t, err)
		sent += n
	}
	_, err = io.CopyN(io.Discard, other, int64(sent))
	require.NoError(t, err)
	for upstream.Queued(c) > 0 {
		// Acknowledged within milliseconds.
		_, err = c.Write(nil)
		require.NoError(t, err)
	}
}
