package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// pathConn is a connection over a path that may be lost: what is sent then stays unacknowledged.
type pathConn struct {
	net.Conn
	unacknowledged *atomic.Int64
}

// Unacknowledged returns how many bytes the peer has not acknowledged.
func (c pathConn) Unacknowledged() int { return int(c.unacknowledged.Load()) }

// A request over a path that carries nothing for a second or so was given up though its endpoint
// was sound. One over a path that is lost must not wait for its deadline, and must not be sent by
// the kernel after it was given up.
func TestRequestIsGivenUpOnlyIfItsPathIsLost(t *testing.T) {
	const lost, backlog = 2 * time.Second, 3 * time.Second
	for _, c := range []struct {
		name string
		// unacknowledged returns how many bytes are unacknowledged some time after the
		// request was sent.
		unacknowledged func(after time.Duration) int64
		answerAfter    time.Duration
		givenUp        bool
		lostAt         time.Duration // when the path is lost for good, after the request was sent
	}{
		{"endpoint works for long", func(time.Duration) int64 { return 0 }, 20 * time.Second, false, 0},
		{"path lost for 1.5 s", func(after time.Duration) int64 {
			if after < 1500*time.Millisecond {
				return 300
			}
			return 0
		}, 1600 * time.Millisecond, false, 0},
		{"long body sent slowly", func(after time.Duration) int64 { return max(0, int64(backlog-after)) }, 4 * time.Second, false, 0},
		{"path lost", func(time.Duration) int64 { return 300 }, 20 * time.Second, true, 0},
		{"path lost behind acknowledged bytes", func(after time.Duration) int64 {
			if after < 500*time.Millisecond {
				return 900
			}
			return 300
		}, 20 * time.Second, true, 0},
		{"path lost for 1.4 s during a long body", func(after time.Duration) int64 {
			switch {
			case after < 900*time.Millisecond:
				return int64(backlog - after)
			case after < 2300*time.Millisecond:
				return int64(backlog - 900*time.Millisecond)
			}
			return max(0, int64(backlog+1400*time.Millisecond-after))
		}, 6 * time.Second, false, 0},
		{"path lost during a long body", func(after time.Duration) int64 {
			return int64(backlog - min(after, 1200*time.Millisecond))
		}, 20 * time.Second, true, 1200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				defer client.Close()
				defer server.Close()
				unacknowledged := &atomic.Int64{}
				p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: func(context.Context, string, string) (net.Conn, error) {
					return pathConn{client, unacknowledged}, nil
				}}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				start := time.Now()
				go func() {
					for ctx.Err() == nil {
						unacknowledged.Store(c.unacknowledged(time.Since(start)))
						select {
						case <-time.After(10 * time.Millisecond):
						case <-ctx.Done():
						}
					}
				}()
				closed := make(chan time.Duration, 1)
				go func() {
					defer server.Close()
					br := bufio.NewReader(server)
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					answered := time.AfterFunc(c.answerAfter, func() { writeResponse(server, "1", "ok") })
					_, _ = br.ReadByte()
					answered.Stop()
					closed <- time.Since(start)
				}()
				body, err := post(p, "1", "x")
				if !c.givenUp {
					require.NoError(t, err)
					require.Equal(t, "ok", body)
					require.Equal(t, c.answerAfter, time.Since(start))
					p.Close()
					return
				}
				require.ErrorContains(t, err, "did not acknowledge")
				var f *upstream.Failure
				require.ErrorAs(t, err, &f)
				require.True(t, f.Reached, "it may have arrived")
				require.Equal(t, fleet.ReasonEndpointFailed, f.Reason, "nothing was answered")
				require.Less(t, time.Since(start), lost+c.lostAt)
				require.Less(t, <-closed, lost+c.lostAt, "the connection is closed")
			})
		})
	}
}

// A connection whose bytes were all taken in by the peer's host has nothing unacknowledged.
func TestAcknowledgedRequestOverTCPIsNotGivenUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	received := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		close(received)
		writeResponse(conn, "1", "ok")
		_, _ = conn.Read(make([]byte, 1))
	}()
	p := &upstream.Pool{HeaderCodec: requestIDCodec{}}
	defer p.Close()
	a, err := p.Send(t.Context(), listener.Addr().String(), upstream.Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("x"),
	}, "1")
	require.NoError(t, err)
	defer a.Close()
	<-received
	require.Zero(t, a.Unacknowledged())
}
