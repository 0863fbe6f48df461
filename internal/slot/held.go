package slot

import (
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
)

// Lease is a slot that this entry instance holds.
type Lease struct {
	Home     string
	Number   uint64
	Endpoint string
	Service  string
	// Key is the account that the slot serves now.
	Key share.Key
}

// HeldLeases keeps the leases of one entry instance, per home. It is not safe for
// concurrent use.
type HeldLeases struct {
	homes map[string]*homeState
}

// homeState is the state that an entry instance keeps about one home.
type homeState struct {
	incarnation uint32
	lastMessage time.Time
	received    uint64
	leases      map[uint64]*Lease
	released    []uint64
	declined    []uint64
	unused      []uint64
	sendList    bool
}

// NewHeldLeases returns an empty set of leases.
func NewHeldLeases() *HeldLeases {
	return &HeldLeases{homes: map[string]*homeState{}}
}

func (h *HeldLeases) homeState(name string) *homeState {
	s := h.homes[name]
	if s == nil {
		s = &homeState{leases: map[uint64]*Lease{}}
		h.homes[name] = s
	}
	return s
}

// RecordMessage records that a message of a home arrived. A new incarnation of the home
// does not know the leases of the earlier one: they are kept until their requests end and
// are reported to the endpoint's home as foreign.
func (h *HeldLeases) RecordMessage(name string, incarnation uint32, now time.Time) {
	s := h.homeState(name)
	if s.incarnation != incarnation {
		orphans := s.leases
		*s = homeState{incarnation: incarnation, leases: map[uint64]*Lease{}}
		h.keepOrphans(name, orphans)
	}
	s.lastMessage = now
}

// orphanHome is the name under which leases of replaced home incarnations are kept
// until their requests end.
const orphanHome = "\x00orphans"

func (h *HeldLeases) keepOrphans(name string, leases map[uint64]*Lease) {
	if len(leases) == 0 {
		return
	}
	o := h.homeState(orphanHome)
	for _, l := range leases {
		o.received++
		l.Home = orphanHome
		l.Number = o.received
		o.leases[l.Number] = l
	}
}

// AddGrant records a grant as a lease. It returns nil for a grant that was received before.
func (h *HeldLeases) AddGrant(home string, g Grant) *Lease {
	s := h.homeState(home)
	if g.Number <= s.received {
		return nil
	}
	s.received = g.Number
	l := &Lease{Home: home, Number: g.Number, Endpoint: g.Endpoint, Service: g.Key.Service, Key: g.Key}
	s.leases[g.Number] = l
	return l
}

// Valid reports whether a lease may be used for a further request: a message of its home
// arrived recently, so the home still counts the slot as used. Leases of the instance
// itself (self) do not expire.
func (h *HeldLeases) Valid(l *Lease, self string, now time.Time) bool {
	if l.Home == orphanHome {
		return false
	}
	if l.Home == self {
		return true
	}
	return now.Sub(h.homeState(l.Home).lastMessage) < leaseDuration-leaseMargin
}

// Release gives a lease back. The next message to its home reports it.
func (h *HeldLeases) Release(l *Lease) {
	if s := h.remove(l); s != nil {
		s.released = append(s.released, l.Number)
	}
}

// ReleaseUnused gives back a lease for whose account no request waits here.
func (h *HeldLeases) ReleaseUnused(l *Lease) {
	if s := h.remove(l); s != nil {
		s.unused = append(s.unused, l.Number)
	}
}

// Decline gives back a lease whose endpoint must not run the requests that it was granted
// for.
func (h *HeldLeases) Decline(l *Lease) {
	if s := h.remove(l); s != nil {
		s.declined = append(s.declined, l.Number)
	}
}

// remove deletes a lease and returns the state of the home to notify, or nil if there is
// none or the lease was given back before.
func (h *HeldLeases) remove(l *Lease) *homeState {
	s := h.homeState(l.Home)
	if s.leases[l.Number] != l {
		return nil
	}
	delete(s.leases, l.Number)
	if l.Home == orphanHome {
		return nil
	}
	return s
}

// Count returns the total number of slots held.
func (h *HeldLeases) Count() int {
	n := 0
	for _, s := range h.homes {
		n += len(s.leases)
	}
	return n
}

// foreign counts, per endpoint, the slots held under homes other than the named one, for
// the endpoints that owns accepts.
func (h *HeldLeases) foreign(home string, owns func(endpoint string) bool) map[string]int {
	var counts map[string]int
	for name, s := range h.homes {
		if name == home {
			continue
		}
		for _, l := range s.leases {
			if !owns(l.Endpoint) {
				continue
			}
			if counts == nil {
				counts = map[string]int{}
			}
			counts[l.Endpoint]++
		}
	}
	return counts
}

func (s *homeState) leaseNumbers() []uint64 {
	all := make([]uint64, 0, len(s.leases))
	for number := range s.leases {
		all = append(all, number)
	}
	slices.Sort(all)
	return all
}
