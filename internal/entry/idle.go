package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagestep/greengagestep/internal/outlet"
)

const (
	// idleMargin is added to the time for which a caller may leave its connection idle, so
	// that a caller that observes this time closes the connection first.
	idleMargin = 500 * time.Millisecond
	// fullTimeoutUtilization is the fraction of MaxConns up to which callers may leave
	// their connections idle for as long as the configuration says.
	fullTimeoutUtilization = 0.5
	// minIdle is how long callers may leave their connections idle when almost MaxConns
	// are open.
	minIdle = 2 * time.Second
)

// idleConns closes connections of callers that are idle for too long. A Keep-Alive header
// states to callers how long their connections may be idle: for the limit of the configuration
// in force, or less when many are open. A later configuration does not change what was
// stated. Exported fields are set before the first connection. It is safe for concurrent use.
type idleConns struct {
	// MaxConns bounds the connections of callers; zero means no bound.
	MaxConns int
	// MoveCaller reports whether the connection of a request that has just arrived is closed
	// after its response, so that its caller connects to another instance; nil means never.
	MoveCaller func(now time.Time) bool
	// IdleTimeout returns how long the configuration lets connections be idle.
	IdleTimeout func() time.Duration

	mu        sync.Mutex
	open      int
	idleSince map[*callerConn]time.Time
	busy      int // connections from which a request is being read or answered
}

// callerConn is a connection of a caller. While it is idle, its server waits in Read for the
// next request: a connection is closed by making that call fail, so that a request is either
// not read at all or gets a response.
type callerConn struct {
	net.Conn
	conns *idleConns
	// allowedIdleNanos is how long the connection may be idle after its last response.
	allowedIdleNanos atomic.Int64
	// waiting is set while nothing of the next request has been read.
	waiting atomic.Bool
	// expired is set while Read is to fail unless a request has arrived.
	expired atomic.Bool
	// busy is set from the first byte of a request until its response has been written: the
	// server calls the handler some time after it has read the headers. It is guarded by conns.mu.
	busy bool
}

// lastReadTimeout is how long Read waits, before it fails on an expired connection, for a
// request that has arrived already.
const lastReadTimeout = time.Millisecond

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.waiting.Load() && c.expired.Load() {
		_ = c.SetReadDeadline(time.Now().Add(lastReadTimeout))
		n, err = c.Conn.Read(p)
	}
	if n > 0 && c.waiting.Load() {
		c.conns.received(c)
	}
	return n, err
}

// CloseWrite shuts down the writing side, if the connection can. The server does so before it
// closes a connection from which the caller's body has not been read whole.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	conns *idleConns
	// wrap wraps each connection.
	wrap func(net.Conn) *outlet.Conn
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: l.wrap(c), conns: l.conns}
	conn.waiting.Store(true)
	return conn, nil
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// register is the server's ConnContext.
func (i *idleConns) register(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*callerConn); ok {
		if out, ok := conn.Conn.(*outlet.Conn); ok {
			ctx = outlet.NewContext(ctx, out)
		}
	}
	return context.WithValue(ctx, connectionKey{}, c)
}

// wrap states in responses how long their connections may be idle.
func (i *idleConns) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*callerConn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		limit := i.IdleTimeout()
		allowed := i.allowedIdle(limit)
		if allowed > 0 && i.MoveCaller != nil && i.MoveCaller(time.Now()) {
			allowed = 0
		}
		switch seconds := int(allowed.Seconds()); {
		case allowed == 0:
			// The server closes the connection itself.
			w.Header().Set("Connection", "close")
			allowed = limit
		case seconds > 0:
			w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
		}
		c.allowedIdleNanos.Store(int64(allowed))
		next.ServeHTTP(w, r)
	})
}

// allowedIdle returns how long a connection may be idle now: limit, or less in whole seconds;
// zero means that the connection has to be closed after the response.
func (i *idleConns) allowedIdle(limit time.Duration) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.MaxConns == 0 {
		return limit
	}
	excess := (float64(i.open)/float64(i.MaxConns) - fullTimeoutUtilization) / (1 - fullTimeoutUtilization)
	switch {
	case excess <= 0:
		return limit
	case excess >= 1:
		return 0
	}
	return max(limit-time.Duration(excess*float64(limit-minIdle)), minIdle).Truncate(time.Second)
}

// received records that a part of a request has been read from a connection.
func (i *idleConns) received(c *callerConn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.idleSince, c)
	if !c.busy {
		c.busy = true
		i.busy++
	}
	c.resume()
}

// resume records that a connection is no longer idle.
func (c *callerConn) resume() {
	c.waiting.Store(false)
	if c.expired.CompareAndSwap(true, false) {
		_ = c.SetReadDeadline(time.Time{})
	}
}

// track records the states of connections. It is the server's ConnState.
func (i *idleConns) track(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	i.record(c, s)
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	if out, ok := c.Conn.(*outlet.Conn); ok {
		// Its socket stays open until the caller has read the last response.
		out.AfterClose(i.closed)
		return
	}
	i.closed()
}

// record records a state of a connection, but not that its socket is closed.
func (i *idleConns) record(c *callerConn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch s {
	case http.StateNew:
		i.open++
		return
	case http.StateActive:
		c.resume()
		delete(i.idleSince, c)
		return
	case http.StateIdle:
		if i.idleSince == nil {
			i.idleSince = map[*callerConn]time.Time{}
		}
		i.idleSince[c] = time.Now()
		c.waiting.Store(true)
	default:
		delete(i.idleSince, c)
	}
	if c.busy {
		c.busy = false
		i.busy--
	}
}

// closed records that the socket of a connection is closed.
func (i *idleConns) closed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.open--
}

// sweep closes connections that are idle for longer than they may be, and the longest idle ones
// if more than MaxConns are open.
func (i *idleConns) sweep(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, at := range i.idleSince {
		if now.Sub(at) > time.Duration(c.allowedIdleNanos.Load())+idleMargin {
			c.expire()
		}
	}
	if i.MaxConns > 0 && i.open > i.MaxConns {
		i.expireLongestIdle(i.open - i.MaxConns)
	}
}

// closeIdle closes all idle connections.
func (i *idleConns) closeIdle() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.idleSince {
		c.expire()
	}
}

func (i *idleConns) expireLongestIdle(n int) {
	idle := make([]*callerConn, 0, len(i.idleSince))
	for c := range i.idleSince {
		idle = append(idle, c)
	}
	slices.SortFunc(idle, func(a, b *callerConn) int { return i.idleSince[a].Compare(i.idleSince[b]) })
	for _, c := range idle[:min(n, len(idle))] {
		c.expire()
	}
}

// expire makes the server close an idle connection unless a request has arrived. The server
// may clear the deadline when it begins to wait for a request, so that expire is called again
// until the connection is closed.
func (c *callerConn) expire() {
	c.expired.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// openCount returns how many connections of callers are open.
func (i *idleConns) openCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.open
}

// busyCount returns from how many connections a request is being read or answered.
func (i *idleConns) busyCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.busy
}
