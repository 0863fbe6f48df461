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
	// idleSlack is added to the time that a caller may leave its connection idle,
	// so that one that keeps to it closes first.
	idleSlack = 500 * time.Millisecond
	// easyOpen is the part of the connections that may be open up to which
	// callers may leave theirs idle for as long as the configuration says.
	easyOpen = 0.5
	// leastIdle is how long callers may leave their connections idle when almost
	// as many are open as may be.
	leastIdle = 2 * time.Second
)

// idlers closes the connections of callers that are idle for too long: by the limit of
// the configuration in force, or sooner when many are open. Callers are told how long
// they may keep theirs. Exported fields are set before the first connection. It is safe
// for concurrent use.
type idlers struct {
	// Most bounds the connections of callers; zero means no bound.
	Most int
	// Limit returns how long the configuration lets connections be idle.
	Limit func() time.Duration

	mu    sync.Mutex
	open  int
	since map[net.Conn]time.Time
	all   map[net.Conn]*connection
}

// connection is what is noted of a caller's connection.
type connection struct {
	// closed is set before it is closed as an idle one.
	closed atomic.Bool
	// keep is how long the caller was told that it may be idle, in nanoseconds;
	// zero means as long as the configuration says.
	keep atomic.Int64
}

// connectionKey is the key of a request's context for its connection.
type connectionKey struct{}

// remember notes a new connection. It is the server's ConnContext.
func (i *idlers) remember(ctx context.Context, c net.Conn) context.Context {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.all == nil {
		i.all = map[net.Conn]*connection{}
	}
	noted := &connection{}
	i.all[c] = noted
	return context.WithValue(ctx, connectionKey{}, noted)
}

// guard drops requests that arrived just as their connection was closed: their callers
// get no answer, so that they must not run. It tells the others how long they may keep
// their connections.
func (i *idlers) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if c.closed.Load() {
			panic(http.ErrAbortHandler)
		}
		limit := i.Limit()
		switch keep := i.allowance(limit); {
		case keep == 0:
			w.Header().Set("Connection", "close")
		case keep < limit:
			w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(keep.Seconds())))
			c.keep.Store(int64(keep))
		default:
			c.keep.Store(0)
		}
		next.ServeHTTP(w, r)
	})
}

// allowance returns how long a connection may be idle now, in whole seconds unless it is
// the limit; zero means that it has to be closed after the answer.
func (i *idlers) allowance(limit time.Duration) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.Most == 0 {
		return limit
	}
	full := (float64(i.open)/float64(i.Most) - easyOpen) / (1 - easyOpen)
	switch {
	case full <= 0:
		return limit
	case full >= 1:
		return 0
	}
	return max(limit-time.Duration(full*float64(limit-leastIdle)), leastIdle).Truncate(time.Second)
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
		delete(i.all, c)
	}
	delete(i.since, c)
}

// sweep closes what is idle for longer than limit, or than its caller was told.
func (i *idlers) sweep(limit time.Duration, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, at := range i.since {
		allowed := limit
		if noted := i.all[c]; noted != nil && noted.keep.Load() > 0 {
			allowed = min(limit, time.Duration(noted.keep.Load())+idleSlack)
		}
		if now.Sub(at) > allowed {
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
	if noted := i.all[c]; noted != nil {
		noted.closed.Store(true)
	}
	_ = c.Close()
}

// count returns how many connections of callers are open.
func (i *idlers) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.open
}
