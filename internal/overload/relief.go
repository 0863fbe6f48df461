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

// OthersHaveRoom reports whether callers that leave an instance find one with room, by how many instances of
// its failure domain are live, itself included, and how many others of these are overloaded.
func OthersHaveRoom(live, overloaded int) bool {
	return live > 1 && float64(overloaded) < maxBusyShare*float64(live-1)
}

// Relief decides which connections of callers an instance closes after their responses, so that these callers
// connect to instances that are not overloaded. Meanwhile it is out of the load balancer's rotation. The
// zero value is ready to use. It is safe for concurrent use.
type Relief struct {
	// RetriesMove is set if the load balancer sends a caller that retries to another instance at
	// once. It is set before the first Update.
	RetriesMove bool

	mu      sync.Mutex
	out     bool
	since   time.Time // when it left the rotation
	excess  bool      // more callers than it can serve
	open    int       // connections of callers at the last Update
	others  bool      // other instances have room
	budget  float64   // connections that may be closed now
	updated time.Time
	moved   int64
}

// Update has to be called several times a second, with whether the instance is out of the rotation, whether it
// has more callers than it can serve, how many connections they have open and whether other instances have room.
func (r *Relief) Update(out, excess bool, open int, others bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out && !r.out {
		r.since = now
	}
	elapsed := now.Sub(r.updated)
	r.out, r.excess, r.open, r.others, r.updated = out, excess, open, others, now
	if !r.moving(now) {
		r.budget = 0
		return
	}
	r.budget = min(r.budget+moveRate*float64(open)*min(elapsed.Seconds(), 1), moveRate*float64(open))
}

// moving reports whether callers are moved now. The caller holds the lock.
func (r *Relief) moving(now time.Time) bool {
	return r.out && r.excess && r.others && now.Sub(r.since) >= noticeTime
}

// Elsewhere returns after which time a caller that is refused reaches another instance that has room if it
// retries. It returns false if it may reach this one.
func (r *Relief) Elsewhere(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.RetriesMove {
		return 0, r.others
	}
	return max(noticeTime-now.Sub(r.since), 0), r.out && r.others
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
