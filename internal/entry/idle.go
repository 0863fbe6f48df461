package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// idleSlack is added to the limit of the configuration, so that a caller that keeps
// to it closes first.
const idleSlack = 500 * time.Millisecond

// idlers closes the connections of callers that are idle for too long, by the limit
// of the configuration in force, and the ones idle longest when there are too many.
// It is safe for concurrent use.
type idlers struct {
	// Most bounds the connections of callers; zero means no bound.
	Most int

	mu     sync.Mutex
	open   int
	since  map[net.Conn]time.Time
	closed map[net.Conn]*atomic.Bool
}

// closedKey is the key of a request's context under which it is noted whether its
// connection was closed as an idle one.
type closedKey struct{}

// remember notes a new connection. It is the server's ConnContext.
func (i *idlers) remember(ctx context.Context, c net.Conn) context.Context {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed == nil {
		i.closed = map[net.Conn]*atomic.Bool{}
	}
	closed := &atomic.Bool{}
	i.closed[c] = closed
	return context.WithValue(ctx, closedKey{}, closed)
}

// guard drops requests that arrived just as their connection was closed: their callers
// get no answer, so that they must not run.
func (i *idlers) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if closed, ok := r.Context().Value(closedKey{}).(*atomic.Bool); ok && closed.Load() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// track follows the states of connections. It is the server's ConnState.
func (i *idlers) track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.since == nil {
		i.since = map[net.Conn]time.Time{}
	}
	switch s {
	case http.StateNew:
		i.open++
	case http.StateIdle:
		i.since[c] = time.Now()
		return
	case http.StateClosed, http.StateHijacked:
		i.open--
		delete(i.closed, c)
	}
	delete(i.since, c)
}

// sweep closes what is idle for longer than limit.
func (i *idlers) sweep(limit time.Duration, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, at := range i.since {
		if now.Sub(at) > limit {
			i.close(c)
		}
	}
	if i.Most > 0 && i.open > i.Most {
		i.closeOldest(i.open - i.Most)
	}
}

func (i *idlers) closeOldest(n int) {
	conns := make([]net.Conn, 0, len(i.since))
	for c := range i.since {
		conns = append(conns, c)
	}
	slices.SortFunc(conns, func(a, b net.Conn) int { return i.since[a].Compare(i.since[b]) })
	for _, c := range conns[:min(n, len(conns))] {
		i.close(c)
	}
}

// close closes an idle connection. The server counts it when it notices.
func (i *idlers) close(c net.Conn) {
	delete(i.since, c)
	if closed := i.closed[c]; closed != nil {
		closed.Store(true)
	}
	_ = c.Close()
}

// count returns how many connections of callers are open.
func (i *idlers) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.open
}
