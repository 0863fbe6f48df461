package endpoint_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// TestTransportDoesNotRetryCallWithIdempotencyKey checks that a call runs only once.
// By itself, the transport of net/http retries a request with an Idempotency-Key and
// no body when an idle connection breaks, although the endpoint may have executed it.
func TestTransportDoesNotRetryCallWithIdempotencyKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs atomic.Int32
		network := &standin.MemoryNetwork{}
		address, stop := serve(t, network, func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) > 1 {
				panic(http.ErrAbortHandler)
			}
		})
		defer stop()
		c := endpoint.NewClient(network.Dial)
		defer c.Close()
		call := func() error {
			req, err := http.NewRequest(http.MethodPost, "http://"+address+"/order", nil)
			require.NoError(t, err)
			req.Header.Set("Idempotency-Key", "k")
			resp, err := c.Call(context.Background(), "p0", req, false)
			if err == nil {
				_ = resp.Body.Close()
			}
			return err
		}
		require.NoError(t, call())
		var failure *endpoint.Failure
		require.ErrorAs(t, call(), &failure)
		require.True(t, failure.Reached)
		require.Equal(t, int32(2), runs.Load(), "the second call must run only once")
	})
}

func TestFailedDialIsReportedAsNotReached(t *testing.T) {
	c := endpoint.NewClient((&standin.MemoryNetwork{}).Dial)
	req, err := http.NewRequest(http.MethodPost, "http://127.1.0.9:80/", strings.NewReader("x"))
	require.NoError(t, err)
	_, err = c.Call(t.Context(), "p0", req, false)
	var failure *endpoint.Failure
	require.ErrorAs(t, err, &failure)
	require.False(t, failure.Reached)
}

// TestConnectionsToRetiredAddressAreClosed checks that neither idle connections stay open nor
// those that are in use, once they are no longer.
func TestConnectionsToRetiredAddressAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &standin.MemoryNetwork{}
		var closed atomic.Int32
		end := make(chan struct{})
		l, err := network.Listen()
		require.NoError(t, err)
		s := &http.Server{
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/long" {
					<-end
				}
			}),
			ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateClosed {
					closed.Add(1)
				}
			},
		}
		go func() { _ = s.Serve(l) }()
		defer func() { _ = s.Close(); network.Close() }()
		c := endpoint.NewClient(network.Dial)
		defer c.Close()
		call := func(path string) {
			req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+path, nil)
			require.NoError(t, err)
			resp, err := c.Call(context.Background(), "p0", req, true)
			require.NoError(t, err)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			call("/long")
		}()
		synctest.Wait()
		call("/")
		synctest.Wait()
		require.Zero(t, closed.Load())
		c.Retire(l.Addr().String())
		synctest.Wait()
		require.EqualValues(t, 1, closed.Load(), "the idle connection")
		close(end)
		<-done
		synctest.Wait()
		require.EqualValues(t, 2, closed.Load())
	})
}

// TestCallIsWithheldAfterSlowDial checks that a request is not sent if the endpoint was closed
// while the connection was being made.
func TestCallIsWithheldAfterSlowDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &standin.MemoryNetwork{}
		var runs atomic.Int32
		address, stop := serve(t, network, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		defer stop()
		var left atomic.Bool
		c := endpoint.NewClient(func(ctx context.Context, protocol, address string) (net.Conn, error) {
			time.Sleep(time.Second)
			return network.Dial(ctx, protocol, address)
		})
		c.Permit = func(name string) error {
			if left.Load() {
				return &endpoint.Withheld{Endpoint: name, Verdict: endpoint.Verdict{Reason: endpoint.ReasonLeaving}}
			}
			return nil
		}
		defer c.Close()
		time.AfterFunc(500*time.Millisecond, func() { left.Store(true) })
		req, err := http.NewRequest(http.MethodPost, "http://"+address+"/", strings.NewReader("x"))
		require.NoError(t, err)
		_, err = c.Call(context.Background(), "p0", req, false)
		var withheld *endpoint.Withheld
		require.ErrorAs(t, err, &withheld)
		require.Equal(t, "p0", withheld.Endpoint)
		require.Zero(t, runs.Load())
	})
}

func serve(t *testing.T, network *standin.MemoryNetwork, h http.HandlerFunc) (string, func()) {
	l, err := network.Listen()
	require.NoError(t, err)
	s := &http.Server{Handler: h}
	go func(l net.Listener) { _ = s.Serve(l) }(l)
	return l.Addr().String(), func() {
		_ = s.Close()
		network.Close()
	}
}

// A connection that takes longer than the start of a cold endpoint may be used carries no request.
func TestCallIsWithheldAfterItsStartExpired(t *testing.T) {
	for name, c := range map[string]struct{ dial, lifetime time.Duration }{
		"slow dial":          {200 * time.Millisecond, 80 * time.Millisecond},
		"expired before":     {0, -time.Millisecond},
		"in time":            {50 * time.Millisecond, 80 * time.Millisecond},
		"dial without limit": {200 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var arrived atomic.Int32
				network := &standin.MemoryNetwork{}
				address, stop := serve(t, network, func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
				defer stop()
				client := endpoint.NewClient(func(ctx context.Context, n, a string) (net.Conn, error) {
					time.Sleep(c.dial)
					return network.Dial(ctx, n, a)
				})
				client.Permit = func(string) error { return nil }
				defer client.Close()
				req, err := http.NewRequest(http.MethodPost, "http://"+address+"/order", strings.NewReader("x"))
				require.NoError(t, err)
				ctx := t.Context()
				if c.lifetime != 0 {
					ctx = endpoint.WithExpiry(ctx, time.Now().Add(c.lifetime))
				}
				resp, err := client.Call(ctx, "p0", req, false)
				time.Sleep(time.Second)
				if c.lifetime == 0 || c.dial < c.lifetime {
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
					require.EqualValues(t, 1, arrived.Load())
					return
				}
				var withheld *endpoint.Withheld
				require.ErrorAs(t, err, &withheld)
				require.Zero(t, arrived.Load())
			})
		})
	}
}
