package entry

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const idleTimeout = 15 * time.Second

func newIdleConns(maxConns int) *idleConns {
	return &idleConns{MaxConns: maxConns, IdleTimeout: func() time.Duration { return idleTimeout }}
}

// openIdle opens a connection that has had one request and is idle now. It returns the
// response's headers and a function that sends another request.
func openIdle(t *testing.T, i *idleConns, handled *int) (http.Header, func()) {
	server, client := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	ctx := i.register(t.Context(), server)
	h := i.wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { *handled++ }))
	i.track(server, http.StateNew)
	w := httptest.NewRecorder()
	request := func() {
		i.track(server, http.StateActive)
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx))
	}
	request()
	i.track(server, http.StateIdle)
	return w.Header(), request
}

// A request that arrives while its idle connection is being closed must not be handled: its
// caller gets no response.
func TestRequestOnClosingConnectionIsNotHandled(t *testing.T) {
	i, handled := newIdleConns(0), 0
	_, request := openIdle(t, i, &handled)
	require.Equal(t, 1, handled)
	i.sweep(0, time.Now().Add(time.Second))
	require.Panics(t, request)
	require.Equal(t, 1, handled)
}

// Guards against running out of connections when callers open one for each request and leave
// it idle. The more connections are open, the shorter the idle time that is stated to
// callers; no connection is closed before the time stated to its caller.
func TestIdleTimeShrinksAsConnectionsOpen(t *testing.T) {
	i, handled := newIdleConns(100), 0
	header, _ := openIdle(t, i, &handled)
	require.Empty(t, header.Get("Keep-Alive"))
	for range 73 {
		header, _ = openIdle(t, i, &handled)
	}
	require.Equal(t, "timeout=8", header.Get("Keep-Alive"))
	for range 25 {
		header, _ = openIdle(t, i, &handled)
	}
	require.Equal(t, "timeout=2", header.Get("Keep-Alive"))
	for range 5 {
		header, _ = openIdle(t, i, &handled)
	}
	require.Equal(t, "close", header.Get("Connection"))
	require.Empty(t, header.Get("Keep-Alive"))
	idleCount := func() int { return len(i.idleSince) }
	i.open = 0 // so that MaxConns has no effect on sweep
	before := idleCount()
	i.sweep(idleTimeout, time.Now().Add(2*time.Second))
	require.Equal(t, before, idleCount())
	i.sweep(idleTimeout, time.Now().Add(9*time.Second))
	require.Equal(t, 78, idleCount(), "connections with a stated idle time of less than nine seconds are closed")
}
