package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/upstream"
)

// Requests that had been given up reached their endpoints seconds later: a connection that is
// closed the usual way goes on sending what the endpoint has not acknowledged.
func TestGivenUpRequestIsNotSentLater(t *testing.T) {
	request := upstream.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("body")}
	for _, c := range []struct {
		name   string
		giveUp func(t *testing.T, p *upstream.Pool, address string, received <-chan struct{})
	}{
		{"caller left", func(t *testing.T, p *upstream.Pool, address string, received <-chan struct{}) {
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-received
				cancel()
			}()
			_, err := p.Send(ctx, address, request, "1")
			require.Error(t, err)
		}},
		{"no response in time", func(t *testing.T, p *upstream.Pool, address string, _ <-chan struct{}) {
			r := request
			r.HeaderTimeout = time.Millisecond
			_, err := p.Send(t.Context(), address, r, "1")
			require.Error(t, err)
		}},
		{"response abandoned", func(t *testing.T, p *upstream.Pool, address string, _ <-chan struct{}) {
			a, err := p.Send(t.Context(), address, request, "2")
			require.NoError(t, err)
			a.Abandon()
			a.Close()
		}},
		{"response not read", func(t *testing.T, p *upstream.Pool, address string, _ <-chan struct{}) {
			a, err := p.Send(t.Context(), address, request, "2")
			require.NoError(t, err)
			a.Close()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			received, result := make(chan struct{}), make(chan error, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					result <- err
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 1))
				close(received)
				if c.name == "response abandoned" || c.name == "response not read" {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 2\r\nContent-Length: 9\r\n\r\n")
				}
				_, err = io.Copy(io.Discard, conn)
				result <- err
			}()
			p := &upstream.Pool{HeaderCodec: requestIDCodec{}}
			c.giveUp(t, p, listener.Addr().String(), received)
			require.ErrorIs(t, <-result, syscall.ECONNRESET, "the connection is reset, not closed after the rest was sent")
		})
	}
}
