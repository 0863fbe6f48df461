package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
)

// disappoint tells a peer that counted on free slots here that there are none.
func (s *Scheduler) disappoint(peer string, now time.Time) {
	l := s.link(peer)
	for service, told := range l.told {
		if told > 0 && s.home.Free(service, now) == 0 && s.Book.PeerWaits(peer, service) {
			s.wake(peer)
			return
		}
	}
}

// urgentHomes is how many homes without free slots are told at once about work that
// begins to wait; the others learn of it with the next heartbeat. It bounds the
// messages that a request costs in a large fleet.
const urgentHomes = 2

// candidateHome is a home that could serve what waits here.
type candidateHome struct {
	name string
	near bool
	free int
	told bool
}

// seek tells homes about work that waits here: first one that reported free
// slots, the nearest with the most; if none did, a few of them.
func (s *Scheduler) seek(k share.Key) {
	if s.Queue.Len(k) == 0 || s.soon(k.Service) {
		return
	}
	homes := s.candidates(k)
	told := 0
	for _, h := range homes {
		if h.told && h.free > 0 {
			return
		}
		if h.told {
			told++
		}
	}
	for _, h := range homes {
		if h.told {
			continue
		}
		if h.free > 0 {
			s.wake(h.name)
			return
		}
		if told < urgentHomes {
			told++
			s.wake(h.name)
		}
	}
}

// seekTime is how long a request may wait for a slot held here, in seconds, before
// other instances are told at once. Short calls would otherwise cost more messages
// than service.
const seekTime = 0.005

// soon tells whether a slot held here is expected to come free within seekTime.
func (s *Scheduler) soon(service string) bool {
	held := s.inUse[service]
	return held > 0 && s.Book.Duration(service) <= seekTime*float64(held)
}

// candidates returns the peers that are home of an endpoint of an account's
// service, the best first: with free slots, near, with the most free slots.
func (s *Scheduler) candidates(k share.Key) []candidateHome {
	var homes []candidateHome
	for name, near := range s.homes[k.Service] {
		l := s.link(name)
		homes = append(homes, candidateHome{name, near, l.free[k.Service], l.sent.Waiting(k) > 0})
	}
	slices.SortFunc(homes, func(a, b candidateHome) int {
		switch {
		case (a.free > 0) != (b.free > 0):
			return compareBool(b.free > 0, a.free > 0)
		case a.near != b.near:
			return compareBool(b.near, a.near)
		case a.free != b.free:
			return b.free - a.free
		}
		return strings.Compare(a.name, b.name)
	})
	return homes
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return 1
	}
	return -1
}

// seekAll seeks slots for everything that waits here, because a home reported other
// free slots than before.
func (s *Scheduler) seekAll() {
	for service := range s.homes {
		for _, k := range s.Queue.Keys(service) {
			s.seek(k)
		}
	}
}
