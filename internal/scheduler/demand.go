package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
)

// reportNoFreeSlots wakes the sender to a peer that has requests waiting for a service
// if the last number of free slots of the service that was sent to it is above zero, but
// no slot is free any more.
func (s *Scheduler) reportNoFreeSlots(peer string, now time.Time) {
	p := s.peer(peer)
	for service, sentFree := range p.sentFreeSlots {
		if sentFree > 0 && s.home.Free(service, now) == 0 && s.Ledger.PeerWaits(peer, service) {
			s.wake(peer)
			return
		}
	}
}

// maxUrgentHomes is the number of homes without free slots that are notified
// immediately when a request begins to wait; the others are informed by the
// next heartbeat. It bounds the number of messages per request in a large fleet.
const maxUrgentHomes = 2

// candidateHome is a home whose slots could serve the requests that wait here.
type candidateHome struct {
	name       string
	sameDomain bool
	freeSlots  int
	notified   bool
}

// notifyHomes notifies homes of the requests of an account that wait here: the best
// candidate that reported free slots or, if none did, up to maxUrgentHomes of them.
func (s *Scheduler) notifyHomes(k share.Key) {
	if s.Queue.Len(k) == 0 || s.slotExpectedSoon(k.Service) {
		return
	}
	homes := s.candidateHomes(k)
	notified := 0
	for _, h := range homes {
		if h.notified && h.freeSlots > 0 {
			return
		}
		if h.notified {
			notified++
		}
	}
	for _, h := range homes {
		if h.notified {
			continue
		}
		if h.freeSlots > 0 {
			s.wake(h.name)
			return
		}
		if notified < maxUrgentHomes {
			notified++
			s.wake(h.name)
		}
	}
}

// maxLocalWaitSeconds is the longest expected wait for a slot held here, in seconds,
// for which the homes are not notified immediately. Otherwise short requests would
// cost more messages than service.
const maxLocalWaitSeconds = 0.005

// slotExpectedSoon reports whether a slot held here is expected to become free within
// maxLocalWaitSeconds.
func (s *Scheduler) slotExpectedSoon(service string) bool {
	inUse := s.inUse[service]
	return inUse > 0 && s.Ledger.Duration(service) <= maxLocalWaitSeconds*float64(inUse)
}

// candidateHomes returns the peers that are the home of an endpoint of an account's
// service, the best first: those with free slots, then those in the same failure
// domain, then those with the most free slots.
func (s *Scheduler) candidateHomes(k share.Key) []candidateHome {
	var homes []candidateHome
	domains := s.domains(k)
	for name, sameDomain := range s.peerHomes[k.Service] {
		if domains != nil && !s.grantsIn(name, k.Service, domains) {
			continue
		}
		p := s.peer(name)
		homes = append(homes, candidateHome{name, sameDomain, p.receivedFreeSlots[k.Service], p.sentState.Waiting(k) > 0})
	}
	slices.SortFunc(homes, func(a, b candidateHome) int {
		switch {
		case (a.freeSlots > 0) != (b.freeSlots > 0):
			return compareBool(b.freeSlots > 0, a.freeSlots > 0)
		case a.sameDomain != b.sameDomain:
			return compareBool(b.sameDomain, a.sameDomain)
		case a.freeSlots != b.freeSlots:
			return b.freeSlots - a.freeSlots
		}
		return strings.Compare(a.name, b.name)
	})
	return homes
}

// grantsIn reports whether a peer is the home of an open endpoint of a service in one of the given
// failure domains.
func (s *Scheduler) grantsIn(home, service string, domains map[string]bool) bool {
	for name, e := range s.endpoints {
		if s.owners[name] == home && e.Service == service && !e.Closed && domains[e.Domain] {
			return true
		}
	}
	return false
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

// notifyAllHomes calls notifyHomes for all accounts with requests waiting here,
// because a home reported other free slots than before.
func (s *Scheduler) notifyAllHomes() {
	for service := range s.peerHomes {
		for _, k := range s.Queue.Keys(service) {
			s.notifyHomes(k)
		}
	}
}
