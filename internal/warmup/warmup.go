// Package warmup limits the requests that are started at endpoints which are cold: an endpoint
// that has just started is slow for a while and fails under a rate that it serves later. One
// instance, the home of the endpoint, grants the starts; the package holds its decisions, without
// a network and on explicit time.
package warmup

import (
	"math"
	"sync"
	"time"
)

const (
	// GrantLifetime is how long a start may be used, from when it was requested. A start
	// that is older must not be used.
	GrantLifetime = 80 * time.Millisecond
	// Window is the sliding time in which a home grants no more than Limit.Starts: the
	// requests sent in one second were granted within it.
	Window = time.Second + GrantLifetime
	// MaxHomes is how many instances may take themselves for the home of one endpoint at the
	// same time, on the two sides of a cut or during a change of membership.
	MaxHomes = 2
)

// Limit bounds the requests that are started at one cold endpoint.
type Limit struct {
	// Rate is the number of requests per second that a cold endpoint is to get. Zero or less
	// means that there is no limit.
	Rate float64
	// Over and Slack give the bound that must not be exceeded: Rate x Over + Slack requests
	// of the whole fleet in any second. An Over under 1 counts as 1, a Slack under 0 as 0. If
	// the bound is under MaxHomes, cold endpoints get no requests.
	Over, Slack float64
	// Share is the part of the bound that the homes of one part of a cut fleet may grant, from 0 to 1. More
	// than 1 / MaxHomes counts as that, and so does zero.
	Share float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

// Starts returns how many starts one home grants in any Window: about the rate, but so few that
// MaxHomes homes together stay within the bound, and those of all parts of a cut fleet.
func (l Limit) Starts() int {
	bound := l.Rate*max(l.Over, 1) + max(l.Slack, 0)
	share := 1.0 / MaxHomes
	if l.Share > 0 {
		share = min(share, l.Share)
	}
	return int(min(math.Floor(bound*share), math.Ceil(l.Rate*Window.Seconds())))
}

// asksPerStart is how many instances on average request each start of a cold endpoint: enough that few
// starts stay unused, however many instances there are.
const asksPerStart = 4

// Spread returns the time over which the given number of instances spread their requests for the starts
// at one endpoint.
func (l Limit) Spread(instances int) time.Duration {
	return time.Duration(float64(Window) / float64(max(l.Starts(), 1)) * float64(max(instances-1, 0)) / asksPerStart)
}

// Home grants the starts of the endpoints of which an instance is the home. The zero value is ready
// to use. It is safe for concurrent use.
type Home struct {
	mu       sync.Mutex
	limiters map[string]*limiter
	granted  int64
	refused  int64
	sweptAt  time.Time
}

// Start decides whether a request may be started at an endpoint now. If not, it returns after which
// time the next start is free.
func (h *Home) Start(endpoint string, l Limit, now time.Time) (wait time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sweep(now)
	n := l.Starts()
	if n <= 0 {
		h.refused++
		return Window, false
	}
	if h.limiters == nil {
		h.limiters = map[string]*limiter{}
	}
	m := h.limiters[endpoint]
	if m == nil {
		m = &limiter{}
		h.limiters[endpoint] = m
	}
	if wait := m.next(n).Sub(now); wait > 0 {
		h.refused++
		return wait, false
	}
	h.granted++
	m.add(now, n)
	return 0, true
}

// Refuse counts a start that was refused without a decision of Start.
func (h *Home) Refuse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused++
}

// Counts returns the number of starts that were granted and refused.
func (h *Home) Counts() (granted, refused int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.granted, h.refused
}

// sweep forgets endpoints without starts in the last Window.
func (h *Home) sweep(now time.Time) {
	if now.Sub(h.sweptAt) < Window {
		return
	}
	h.sweptAt = now
	for id, m := range h.limiters {
		if len(m.starts) == 0 || now.Sub(m.starts[len(m.starts)-1]) > Window {
			delete(h.limiters, id)
		}
	}
}

// limiter holds the newest starts at one endpoint, oldest first.
type limiter struct {
	starts []time.Time
}

// next returns when the next start is free if a Window holds n of them. Between two starts there is
// at least half of their mean interval, so that they do not bunch and a start that nobody asked for
// can be made up.
func (m *limiter) next(n int) time.Time {
	if len(m.starts) == 0 {
		return time.Time{}
	}
	at := m.starts[len(m.starts)-1].Add(Window / time.Duration(2*n))
	if len(m.starts) >= n {
		if free := m.starts[len(m.starts)-n].Add(Window); free.After(at) {
			at = free
		}
	}
	return at
}

func (m *limiter) add(now time.Time, n int) {
	m.starts = append(m.starts, now)
	if excess := len(m.starts) - n; excess > 0 {
		m.starts = append(m.starts[:0], m.starts[excess:]...)
	}
}
