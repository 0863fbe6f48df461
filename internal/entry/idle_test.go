package entry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/backlog"
	"github.com/greengagestep/greengagestep/internal/outlet"
)

const idleTimeout = 15 * time.Second

func newIdleConns(maxConns int) *idleConns {
	return &idleConns{MaxConns: maxConns, IdleTimeout: func() time.Duration { return idleTimeout }}
}

// openIdle opens a connection that has had one request and is idle now. It returns the
// response's headers.
func openIdle(t *testing.T, i *idleConns, handled *int) http.Header {
	server, client := net.Pipe()
	t.Cleanup(func() { _ = client.Close() })
	c := &callerConn{Conn: server, conns: i}
	ctx := i.register(t.Context(), c)
	h := i.wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { *handled++ }))
	i.track(c, http.StateNew)
	w := httptest.NewRecorder()
	i.track(c, http.StateActive)
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx))
	i.track(c, http.StateIdle)
	return w.Header()
}

// expiredCount returns how many idle connections the server closes.
func (i *idleConns) expiredCount() int {
	n := 0
	for c := range i.idleSince {
		if c.expired.Load() {
			n++
		}
	}
	return n
}

// bufferedConn is a connection whose data arrives in a buffer, as in an operating system: it
// can be read after the deadline of an earlier Read has passed.
type bufferedConn struct {
	net.Conn
	arrived  []byte
	deadline time.Time
}

func (c *bufferedConn) SetReadDeadline(at time.Time) error {
	c.deadline = at
	return nil
}

func (c *bufferedConn) Read(p []byte) (int, error) {
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) || len(c.arrived) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(p, c.arrived)
	c.arrived = c.arrived[n:]
	return n, nil
}

// Guards against requests without a response. A request that has arrived when its idle
// connection expires is read and has a connection without a deadline; if nothing has arrived,
// nothing is read later.
func TestExpiredConnectionReadsRequestThatHasArrived(t *testing.T) {
	for _, arrived := range []bool{true, false} {
		i := newIdleConns(0)
		conn := &bufferedConn{}
		c := &callerConn{Conn: conn, conns: i}
		i.track(c, http.StateNew)
		i.track(c, http.StateActive)
		i.track(c, http.StateIdle)
		if arrived {
			conn.arrived = []byte("GET / HTTP/1.1\r\n")
		}
		i.sweep(time.Now().Add(time.Second))
		require.Equal(t, 1, i.expiredCount())
		n, err := c.Read(make([]byte, 100))
		if !arrived {
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, 16, n)
		require.Equal(t, 1, i.busyCount())
		require.Empty(t, i.idleSince)
		require.Zero(t, conn.deadline)
		i.track(c, http.StateActive)
		require.Equal(t, 1, i.busyCount(), "its handler has not been called yet")
		i.track(c, http.StateIdle)
		require.Zero(t, i.busyCount())
	}
}

// Guards against running out of connections when callers open one for each request and leave
// it idle. The more connections are open, the shorter the idle time that is stated to
// callers; no connection is closed before the time stated to its caller.
func TestIdleTimeShrinksAsConnectionsOpen(t *testing.T) {
	i, handled := newIdleConns(100), 0
	header := openIdle(t, i, &handled)
	require.Equal(t, "timeout=15", header.Get("Keep-Alive"))
	for range 73 {
		header = openIdle(t, i, &handled)
	}
	require.Equal(t, "timeout=8", header.Get("Keep-Alive"))
	for range 25 {
		header = openIdle(t, i, &handled)
	}
	require.Equal(t, "timeout=2", header.Get("Keep-Alive"))
	for range 5 {
		header = openIdle(t, i, &handled)
	}
	require.Equal(t, "close", header.Get("Connection"))
	require.Empty(t, header.Get("Keep-Alive"))
	i.open = 0 // so that MaxConns has no effect on sweep
	i.sweep(time.Now().Add(2 * time.Second))
	require.Zero(t, i.expiredCount())
	before := len(i.idleSince)
	i.sweep(time.Now().Add(9 * time.Second))
	require.Equal(t, 78, before-i.expiredCount(), "connections with a stated idle time of less than nine seconds are closed")
}

// The server closes a connection whose caller has not read the response: the socket stays, up to closeTime of package outlet, and
// the connection counted as closed.
func TestConnectionWithUnreadResponseCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newIdleConns(100)
		server, client := net.Pipe()
		c := &callerConn{Conn: outlet.New(server, &backlog.Account{}, nil), conns: i}
		i.track(c, http.StateNew)
		_, err := c.Write([]byte("response"))
		require.NoError(t, err)
		require.NoError(t, c.Close())
		i.track(c, http.StateClosed)
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, i.openCount())
		_, err = io.ReadAll(client)
		require.NoError(t, err)
		synctest.Wait()
		require.Zero(t, i.openCount())
	})
}

// An overloaded instance asks a caller to connect elsewhere: the response states that its connection
// closes, and no time for which it may be idle.
func TestMovedCallerIsToldToReconnect(t *testing.T) {
	i, handled := newIdleConns(100), 0
	move := true
	i.MoveCaller = func(time.Time) bool { return move }
	h := openIdle(t, i, &handled)
	require.Equal(t, "close", h.Get("Connection"))
	require.Empty(t, h.Get("Keep-Alive"))
	move = false
	h = openIdle(t, i, &handled)
	require.Empty(t, h.Get("Connection"))
	require.Equal(t, 2, handled, "both requests are served")
}
