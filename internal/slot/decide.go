package slot

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
)

// Decide grants free slots to waiting work, lowest order first, until no slot is
// free or nothing waits. It returns the entry instances that have new grants.
func (h *Home) Decide(order Order, now time.Time) []string {
	touched := map[string]bool{}
	for _, service := range h.services() {
		blocked := map[demand]bool{}
		for free := h.Free(service, now); free > 0; {
			e, k, ok := h.pick(service, order, blocked)
			if !ok {
				break
			}
			at := h.choose(e, k, now)
			if at == nil {
				blocked[demand{e.name, k}] = true
				continue
			}
			h.grant(e, k, at)
			touched[e.name] = true
			free--
		}
	}
	names := make([]string, 0, len(touched))
	for name := range touched {
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

// demand is what waits of one account at one entry instance.
type demand struct {
	entry string
	key   share.Key
}

// choose returns the endpoint for a grant: the one with the largest share of free
// slots, or nil if only endpoints that were declined lately have any.
func (h *Home) choose(e *entry, k share.Key, now time.Time) *endpoint {
	var best *endpoint
	bestFree := 0.0
	for _, at := range h.endpoints {
		free := at.free(now)
		if at.service != k.Service || free == 0 || e.avoids(k, at.name, now) {
			continue
		}
		part := float64(free) / float64(at.slots)
		if best == nil || part > bestFree || (part == bestFree && at.name < best.name) {
			best, bestFree = at, part
		}
	}
	return best
}

// avoids reports whether a slot of an endpoint was declined lately.
func (e *entry) avoids(k share.Key, endpoint string, now time.Time) bool {
	a := avoided{k, endpoint}
	until, known := e.avoid[a]
	if known && now.After(until) {
		delete(e.avoid, a)
		return false
	}
	return known
}

// pick returns the entry instance and account to serve next. Among entry
// instances with work of the same account it prefers the own failure domain,
// then the one with the most of it waiting.
// Blocked demand is passed over.
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
			left := waiting - e.pending[k]
			if k.Service != service || left <= 0 || blocked[demand{e.name, k}] {
				continue
			}
			first, second := order(k, pendingCustomer[k.Customer], pendingKind[k])
			c := candidate{entry: e, key: k, first: first, second: second, near: e.domain == h.Domain, left: left}
			if best.entry == nil || c.before(best) {
				best = c
			}
		}
	}
	return best.entry, best.key, best.entry != nil
}

type candidate struct {
	entry  *entry
	key    share.Key
	first  float64
	second float64
	near   bool
	left   int
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
	if c.near != other.near {
		return c.near
	}
	if c.left != other.left {
		return c.left > other.left
	}
	return cmp.Less(c.entry.name, other.entry.name)
}

func (h *Home) grant(e *entry, k share.Key, at *endpoint) {
	h.next++
	l := &lease{number: h.next, entry: e.name, endpoint: at.name, key: k}
	e.leases[l.number] = l
	at.leases[l.number] = l
	e.pending[k]++
	e.outbox = append(e.outbox, Grant{Number: l.number, Entry: e.name, Endpoint: at.name, Key: k})
}
