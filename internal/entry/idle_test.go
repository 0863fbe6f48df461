package entry

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const limit = 15 * time.Second

func newIdlers(most int) *idlers {
	return &idlers{Most: most, Limit: func() time.Duration { return limit }}
}

// idle opens a connection that has had one request and is idle now. It returns the
// answer's headers and a function that sends another request.
func idle(t *testing.T, i *idlers, ran *int) (http.Header, func()) {
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	ctx := i.remember(t.Context(), near)
	h := i.guard(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { *ran++ }))
	i.track(near, http.StateNew)
	w := httptest.NewRecorder()
	ask := func() {
		i.track(near, http.StateActive)
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx))
	}
	ask()
	i.track(near, http.StateIdle)
	return w.Header(), ask
}

// A request that arrives while its idle connection is being closed is not run: its
// caller gets no answer.
func TestRequestCrossesClose(t *testing.T) {
	i, ran := newIdlers(0), 0
	_, ask := idle(t, i, &ran)
	require.Equal(t, 1, ran)
	i.sweep(0, time.Now().Add(time.Second))
	require.Panics(t, ask)
	require.Equal(t, 1, ran)
}

// Pattern: callers that open a connection for each request and leave it idle. They are
// told to keep theirs for a shorter time the more are open, and none is closed before
// the time that its caller was told.
func TestManyIdleConnections(t *testing.T) {
	i, ran := newIdlers(100), 0
	header, _ := idle(t, i, &ran)
	require.Empty(t, header.Get("Keep-Alive"))
	for range 73 {
		header, _ = idle(t, i, &ran)
	}
	require.Equal(t, "timeout=8", header.Get("Keep-Alive"))
	for range 25 {
		header, _ = idle(t, i, &ran)
	}
	require.Equal(t, "timeout=2", header.Get("Keep-Alive"))
	for range 5 {
		header, _ = idle(t, i, &ran)
	}
	require.Equal(t, "close", header.Get("Connection"))
	require.Empty(t, header.Get("Keep-Alive"))
	left := func() int { return len(i.since) }
	i.open = 0 // the bound is no matter here
	before := left()
	i.sweep(limit, time.Now().Add(2*time.Second))
	require.Equal(t, before, left())
	i.sweep(limit, time.Now().Add(9*time.Second))
	require.Equal(t, 78, left(), "those that were told less than nine seconds are closed")
}
