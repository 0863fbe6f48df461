package scheduler

import (
	"time"

	"github.com/greengagestep/greengagestep/internal/slot"
)

// idleLeaseTimeout is how long a slot that became free is kept for the next request
// that arrives here, as long as no request waits anywhere. Without it, every short
// request would cost a round trip to the home, in time and in messages.
const idleLeaseTimeout = time.Second

// idleLease is a slot that is held here and not in use.
type idleLease struct {
	lease *slot.Lease
	since time.Time
}

// keepIdle keeps a slot for the next request. It returns false if a request waits for
// the service anywhere in the fleet or if this instance is leaving.
func (s *Scheduler) keepIdle(l *slot.Lease, now time.Time) bool {
	if _, waits := s.Ledger.Lowest(l.Service); waits || s.Table.Self.Leaving {
		return false
	}
	s.idleLeases = append(s.idleLeases, idleLease{l, now})
	return true
}

// useIdle starts the next request of a service in a slot kept here. The most recently
// kept slot is used first, so that the others can expire.
func (s *Scheduler) useIdle(service string, now time.Time) {
	for i := len(s.idleLeases) - 1; i >= 0; i-- {
		if s.idleLeases[i].lease.Service == service {
			l := s.idleLeases[i].lease
			s.idleLeases = append(s.idleLeases[:i], s.idleLeases[i+1:]...)
			s.reuse(l, now)
			return
		}
	}
}

// returnIdleLeases returns idle slots of services for which requests wait at other
// instances: one slot per service at a time, since other instances do the same.
func (s *Scheduler) returnIdleLeases(now time.Time) {
	returned := map[string]bool{}
	remaining := s.idleLeases[:0]
	var leases []*slot.Lease
	for _, idle := range s.idleLeases {
		service := idle.lease.Service
		_, waits := s.Ledger.Lowest(service)
		if waits && !returned[service] {
			returned[service] = true
			leases = append(leases, idle.lease)
			continue
		}
		remaining = append(remaining, idle)
	}
	s.idleLeases = remaining
	for _, l := range leases {
		s.reuse(l, now)
	}
}

// expireIdleLeases returns the slots that were not used for idleLeaseTimeout or that
// may no longer be used.
func (s *Scheduler) expireIdleLeases(now time.Time) {
	remaining := s.idleLeases[:0]
	var leases []*slot.Lease
	for _, idle := range s.idleLeases {
		if now.Sub(idle.since) < idleLeaseTimeout && s.mayReuse(idle.lease, now) && !s.Table.Self.Leaving {
			remaining = append(remaining, idle)
			continue
		}
		leases = append(leases, idle.lease)
	}
	s.idleLeases = remaining
	for _, l := range leases {
		s.release(l)
	}
}
