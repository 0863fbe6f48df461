package scheduler

import (
	"time"

	"github.com/greengagestep/greengagestep/internal/slot"
)

// spareTerm is how long a slot that came free is kept for the next request to
// arrive here, as long as no work waits anywhere. Without it every short call would
// cost a way to the home and back, in time and in messages.
const spareTerm = time.Second

// spare is a slot that is held here and not used.
type spare struct {
	lease *slot.Lease
	since time.Time
}

// keepSpare keeps a slot for the next request. It returns false if work waits
// somewhere or the slot may not be used any more.
func (s *Scheduler) keepSpare(l *slot.Lease, now time.Time) bool {
	if _, waits := s.Book.Lowest(l.Service); waits || s.Table.Self.Leaving {
		return false
	}
	s.spares = append(s.spares, spare{l, now})
	return true
}

// useSpare starts the next request of a service in a slot kept here. The slot that
// was kept last is taken first, so that the others can expire.
func (s *Scheduler) useSpare(service string, now time.Time) {
	for i := len(s.spares) - 1; i >= 0; i-- {
		if s.spares[i].lease.Service == service {
			l := s.spares[i].lease
			s.spares = append(s.spares[:i], s.spares[i+1:]...)
			s.reuse(l, now)
			return
		}
	}
}

// shedSpares gives slots back for which work waits at other instances: for each
// waiting service one at a time, since other instances do the same.
func (s *Scheduler) shedSpares(now time.Time) {
	shed := map[string]bool{}
	kept := s.spares[:0]
	var back []*slot.Lease
	for _, sp := range s.spares {
		service := sp.lease.Service
		_, waits := s.Book.Lowest(service)
		if waits && !shed[service] {
			shed[service] = true
			back = append(back, sp.lease)
			continue
		}
		kept = append(kept, sp)
	}
	s.spares = kept
	for _, l := range back {
		s.reuse(l, now)
	}
}

// expireSpares gives back what was not used for a while.
func (s *Scheduler) expireSpares(now time.Time) {
	kept := s.spares[:0]
	var back []*slot.Lease
	for _, sp := range s.spares {
		if now.Sub(sp.since) < spareTerm && s.mayReuse(sp.lease, now) && !s.Table.Self.Leaving {
			kept = append(kept, sp)
			continue
		}
		back = append(back, sp.lease)
	}
	s.spares = kept
	for _, l := range back {
		s.giveBack(l)
	}
}
