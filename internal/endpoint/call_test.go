package endpoint_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

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
