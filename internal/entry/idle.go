package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
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

// idleConns closes connections of callers that are idle for too long: by the limit of the
// configuration in force, or sooner when many are open. A Keep-Alive header states to callers
// how long their connections may be idle if that is less than the limit. Exported fields are
// set before the first connection. It is safe for concurrent use.
type idleConns struct {
	// MaxConns bounds the connections of callers; zero means no bound.
	MaxConns int
	// IdleTimeout returns how long the configuration lets connections be idle.
	IdleTimeout func() time.Duration

	mu        sync.Mutex
	open      int
	idleSince map[net.Conn]time.Time
	conns     map[net.Conn]*connection
}

// connection is the state of a caller's connection.
type connection struct {
	// closed is set before the connection is closed because it is idle.
	closed atomic.Bool
	// promisedIdleNanos is the idle time that was stated to the caller; zero means that
	// the limit of the configuration applies.
	promisedIdleNanos atomic.Int64
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// register adds a new connection. It is the server's ConnContext.
func (i *idleConns) register(ctx context.Context, c net.Conn) context.Context {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = map[net.Conn]*connection{}
	}
	conn := &connection{}
	i.conns[c] = conn
	return context.WithValue(ctx, connectionKey{}, conn)
}

// wrap aborts requests that arrived just as their connection was closed: their callers get no
// response, so these requests must not run. The responses to all others state how long their
// connections may be idle, unless it is the limit of the configuration.
func (i *idleConns) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if c.closed.Load() {
			panic(http.ErrAbortHandler)
		}
		limit := i.IdleTimeout()
		switch allowed := i.allowedIdle(limit); {
		case allowed == 0:
			w.Header().Set("Connection", "close")
		case allowed < limit:
			w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(allowed.Seconds())))
			c.promisedIdleNanos.Store(int64(allowed))
		default:
			c.promisedIdleNanos.Store(0)
		}
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

// track records the states of connections. It is the server's ConnState.
func (i *idleConns) track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.idleSince == nil {
		i.idleSince = map[net.Conn]time.Time{}
	}
	switch s {
	case http.StateNew:
		i.open++
	case http.StateIdle:
		i.idleSince[c] = time.Now()
		return
	case http.StateClosed, http.StateHijacked:
		i.open--
		delete(i.conns, c)
	}
	delete(i.idleSince, c)
}

// sweep closes connections that are idle for longer than limit or than the time stated to
// their callers, and the longest idle ones if more than MaxConns are open.
func (i *idleConns) sweep(limit time.Duration, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, at := range i.idleSince {
		allowed := limit
		if conn := i.conns[c]; conn != nil && conn.promisedIdleNanos.Load() > 0 {
			allowed = min(limit, time.Duration(conn.promisedIdleNanos.Load())+idleMargin)
		}
		if now.Sub(at) > allowed {
			i.close(c)
		}
	}
	if i.MaxConns > 0 && i.open > i.MaxConns {
		i.closeLongestIdle(i.open - i.MaxConns)
	}
}

func (i *idleConns) closeLongestIdle(n int) {
	idle := make([]net.Conn, 0, len(i.idleSince))
	for c := range i.idleSince {
		idle = append(idle, c)
	}
	slices.SortFunc(idle, func(a, b net.Conn) int { return i.idleSince[a].Compare(i.idleSince[b]) })
	for _, c := range idle[:min(n, len(idle))] {
		i.close(c)
	}
}

// close closes an idle connection. It counts as open until the server calls track.
func (i *idleConns) close(c net.Conn) {
	delete(i.idleSince, c)
	if conn := i.conns[c]; conn != nil {
		conn.closed.Store(true)
	}
	_ = c.Close()
}

// openCount returns how many connections of callers are open.
func (i *idleConns) openCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.open
}
