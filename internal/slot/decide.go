package slot

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
)

// Decide grants free slots to waiting requests, lowest order first, until no slot is
// free or no request waits. It returns the entry instances that have new grants, sorted.
func (h *Home) Decide(order Order, now time.Time) []string {
	granted := map[string]bool{}
	for _, service := range h.services() {
		blocked := map[demand]bool{}
		for free := h.Free(service, now); free > 0; {
			e, k, ok := h.pick(service, order, blocked)
			if !ok {
				break
			}
			ep := h.chooseEndpoint(e, k, now)
			if ep == nil {
				blocked[demand{e.name, k}] = true
				continue
			}
			h.grant(e, k, ep)
			ep.delayStart(now)
			granted[e.name] = true
			free--
		}
	}
	names := make([]string, 0, len(granted))
	for name := range granted {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (h *Home) services() []string {
	var names []string
	for _, e := range h.endpoints {
		if !slices.Contains(names, e.service) {
			names = append(names, e.service)
		}
	}
	slices.Sort(names)
	return names
}

// demand identifies the waiting requests of one account at one entry instance.
type demand struct {
	entry string
	key   share.Key
}

// chooseEndpoint returns the endpoint for a grant: the one with the largest fraction of
// free slots, or nil if only endpoints that were declined recently or are not allowed have some.
func (h *Home) chooseEndpoint(e *entry, k share.Key, now time.Time) *endpoint {
	var best *endpoint
	bestFraction := 0.0
	for _, ep := range h.endpoints {
		free := ep.freeSlots(now)
		if ep.service != k.Service || free == 0 || e.avoids(k, ep.name, now) || h.Allows != nil && !h.Allows(k, ep.name) {
			continue
		}
		freeFraction := float64(free) / float64(ep.slots)
		if best == nil || freeFraction > bestFraction || (freeFraction == bestFraction && ep.name < best.name) {
			best, bestFraction = ep, freeFraction
		}
	}
	return best
}

// avoids reports whether the entry instance declined a slot of an endpoint for an
// account within avoidDuration.
func (e *entry) avoids(k share.Key, endpoint string, now time.Time) bool {
	a := avoidKey{k, endpoint}
	until, known := e.avoidUntil[a]
	if known && now.After(until) {
		delete(e.avoidUntil, a)
		return false
	}
	return known
}

// pick returns the entry instance and account to serve next. Among entry instances with
// waiting requests of the same account it prefers those in the home's failure domain,
// then the one with the most requests not covered by grants. Blocked demand is skipped.
func (h *Home) pick(service string, order Order, blocked map[demand]bool) (*entry, share.Key, bool) {
	pendingCustomer := map[string]int{}
	pendingKind := map[share.Key]int{}
	for _, e := range h.entries {
		for k, n := range e.pending {
			if k.Service == service {
				pendingCustomer[k.Customer] += n
				pendingKind[k] += n
			}
		}
	}
	var best candidate
	for _, e := range h.entries {
		for k, waiting := range e.demand {
			unserved := waiting - e.pending[k]
			if k.Service != service || unserved <= 0 || blocked[demand{e.name, k}] {
				continue
			}
			first, second := order(k, pendingCustomer[k.Customer], pendingKind[k])
			c := candidate{entry: e, key: k, first: first, second: second, sameDomain: e.domain == h.Domain, unserved: unserved}
			if best.entry == nil || c.before(best) {
				best = c
			}
		}
	}
	return best.entry, best.key, best.entry != nil
}

type candidate struct {
	entry      *entry
	key        share.Key
	first      float64
	second     float64
	sameDomain bool
	unserved   int
}

func (c candidate) before(other candidate) bool {
	if c.first != other.first {
		return c.first < other.first
	}
	if c.key.Customer != other.key.Customer {
		return c.key.Customer < other.key.Customer
	}
	if c.second != other.second {
		return c.second < other.second
	}
	if c.key.Kind != other.key.Kind {
		return c.key.Kind < other.key.Kind
	}
	if c.sameDomain != other.sameDomain {
		return c.sameDomain
	}
	if c.unserved != other.unserved {
		return c.unserved > other.unserved
	}
	return cmp.Less(c.entry.name, other.entry.name)
}

func (h *Home) grant(e *entry, k share.Key, ep *endpoint) {
	h.lastNumber++
	l := &lease{number: h.lastNumber, entry: e.name, endpoint: ep.name, key: k}
	e.leases[l.number] = l
	ep.leases[l.number] = l
	e.pending[k]++
	e.outbox = append(e.outbox, Grant{Number: l.number, Entry: e.name, Endpoint: ep.name, Key: k})
}
