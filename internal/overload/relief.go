package overload

import (
	"sync"
	"time"
)

const (
	// noticeTime is how long the load balancer takes to send no new connections to an instance
	// that is not ready: a connection that is closed earlier may come back at once.
	noticeTime = 2200 * time.Millisecond
	// moveRate is the fraction of the callers' connections that are closed a second.
	moveRate = 0.25
	// maxBusyShare is the fraction of the other instances of a failure domain that may be
	// overloaded for callers to be moved: beyond it, they would move to overloaded ones.
	maxBusyShare = 0.34
)

// Relief decides which connections of callers an overloaded instance closes after their responses, so
// that these callers connect to instances that are not overloaded. While it is overloaded, it is out of
// the load balancer's rotation. The zero value is ready to use. It is safe for concurrent use.
type Relief struct {
	mu         sync.Mutex
	overloaded bool
	since      time.Time // when it became overloaded
	open       int       // connections of callers at the last Update
	permitted  bool      // enough other instances of the domain are not overloaded
	budget     float64   // connections that may be closed now
	updated    time.Time
	moved      int64
}

// Update has to be called several times a second, with whether the instance is overloaded, how many
// connections callers have open, how many instances of its failure domain are live, itself included,
// and how many others of these are overloaded.
func (r *Relief) Update(overloaded bool, open, live, others int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if overloaded && !r.overloaded {
		r.since = now
	}
	elapsed := now.Sub(r.updated)
	r.overloaded, r.open, r.updated = overloaded, open, now
	r.permitted = live > 1 && float64(others) < maxBusyShare*float64(live-1)
	if !r.moving(now) {
		r.budget = 0
		return
	}
	r.budget = min(r.budget+moveRate*float64(open)*min(elapsed.Seconds(), 1), moveRate*float64(open))
}

// moving reports whether callers are moved now. The caller holds the lock.
func (r *Relief) moving(now time.Time) bool {
	return r.overloaded && r.permitted && now.Sub(r.since) >= noticeTime
}

// MoveCaller reports whether the connection of a response that is about to begin has to be closed
// after it.
func (r *Relief) MoveCaller(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.moving(now) || r.budget < 1 {
		return false
	}
	r.budget--
	r.moved++
	return true
}

// Moved returns how many callers were moved so far.
func (r *Relief) Moved() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved
}
