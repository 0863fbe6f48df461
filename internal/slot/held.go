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
	homes map[string]*source
}

// source is what an entry instance knows about one home.
type source struct {
	incarnation uint32
	heard       time.Time
	seen        uint64
	leases      map[uint64]*Lease
	released    []uint64
	declined    []uint64
	unused      []uint64
	list        bool
}

// NewHeldLeases returns an empty set of leases.
func NewHeldLeases() *HeldLeases {
	return &HeldLeases{homes: map[string]*source{}}
}

func (h *HeldLeases) source(name string) *source {
	s := h.homes[name]
	if s == nil {
		s = &source{leases: map[uint64]*Lease{}}
		h.homes[name] = s
	}
	return s
}

// RecordMessage records a message of a home. A new incarnation knows nothing of the
// leases of the earlier one: they run out and are reported to the endpoint's
// home as foreign.
func (h *HeldLeases) RecordMessage(name string, incarnation uint32, now time.Time) {
	s := h.source(name)
	if s.incarnation != incarnation {
		orphans := s.leases
		*s = source{incarnation: incarnation, leases: map[uint64]*Lease{}}
		h.disown(name, orphans)
	}
	s.heard = now
}

// orphanHome is the name under which leases of replaced home incarnations are
// kept until their requests end.
const orphanHome = "\x00orphans"

func (h *HeldLeases) disown(name string, leases map[uint64]*Lease) {
	if len(leases) == 0 {
		return
	}
	o := h.source(orphanHome)
	for _, l := range leases {
		o.seen++
		l.Home = orphanHome
		l.Number = o.seen
		o.leases[l.Number] = l
	}
}

// AddGrant records a grant. It returns nil for one that was received before.
func (h *HeldLeases) AddGrant(home string, g Grant) *Lease {
	s := h.source(home)
	if g.Number <= s.seen {
		return nil
	}
	s.seen = g.Number
	l := &Lease{Home: home, Number: g.Number, Endpoint: g.Endpoint, Service: g.Key.Service, Key: g.Key}
	s.leases[g.Number] = l
	return l
}

// Valid reports whether a lease may be used for a further request: its home was
// heard recently, so it still counts the slot as used.
func (h *HeldLeases) Valid(l *Lease, self string, now time.Time) bool {
	if l.Home == orphanHome {
		return false
	}
	if l.Home == self {
		return true
	}
	return now.Sub(h.source(l.Home).heard) < leaseTerm-leaseMargin
}

// Release gives a lease back; its home learns it with the next message.
func (h *HeldLeases) Release(l *Lease) {
	if s := h.giveUp(l); s != nil {
		s.released = append(s.released, l.Number)
	}
}

// ReleaseUnused gives a lease back for whose account nothing waits here.
func (h *HeldLeases) ReleaseUnused(l *Lease) {
	if s := h.giveUp(l); s != nil {
		s.unused = append(s.unused, l.Number)
	}
}

// Decline gives a lease back that the requests it was granted for must not use.
func (h *HeldLeases) Decline(l *Lease) {
	if s := h.giveUp(l); s != nil {
		s.declined = append(s.declined, l.Number)
	}
}

// giveUp forgets a lease and returns the home that has to be told, or nil if there is
// none or the lease was given back before.
func (h *HeldLeases) giveUp(l *Lease) *source {
	s := h.source(l.Home)
	if s.leases[l.Number] != l {
		return nil
	}
	delete(s.leases, l.Number)
	if l.Home == orphanHome {
		return nil
	}
	return s
}

// Count returns how many slots are held in all.
func (h *HeldLeases) Count() int {
	n := 0
	for _, s := range h.homes {
		n += len(s.leases)
	}
	return n
}

// foreign counts the slots per endpoint that are held under other homes than the
// named one, of the endpoints that owns accepts.
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

func (s *source) numbers() []uint64 {
	all := make([]uint64, 0, len(s.leases))
	for number := range s.leases {
		all = append(all, number)
	}
	slices.Sort(all)
	return all
}
