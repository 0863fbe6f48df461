package entry

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that arrives while its idle connection is being closed is not run: its
// caller gets no answer.
func TestRequestCrossesClose(t *testing.T) {
	i := &idlers{}
	near, far := net.Pipe()
	defer far.Close()
	ctx := i.remember(t.Context(), near)
	i.track(near, http.StateNew)
	i.track(near, http.StateIdle)
	ran := 0
	h := i.guard(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ }))
	r := httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx)
	h.ServeHTTP(httptest.NewRecorder(), r)
	require.Equal(t, 1, ran)
	i.sweep(0, time.Now().Add(time.Second))
	i.track(near, http.StateActive)
	require.Panics(t, func() { h.ServeHTTP(httptest.NewRecorder(), r) })
	require.Equal(t, 1, ran)
	i.track(near, http.StateClosed)
	require.Empty(t, i.closed)
	require.Zero(t, i.count())
}
