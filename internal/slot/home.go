// Package slot hands out the slots of endpoints. Each endpoint has one home among
// the entry instances of its failure domain, and only the home grants its slots.
// An entry instance holds a granted slot under a lease and may use it for several
// requests in turn before it gives the slot back.
package slot

import (
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
)

// leaseTerm is how long a home keeps a slot reserved for an entry instance that
// has fallen silent.
const leaseTerm = 3 * time.Second

// leaseMargin is how much earlier than the home the holder regards a lease as
// lapsed. It covers the way of the message that renewed it.
const leaseMargin = 500 * time.Millisecond

// Order decides who is served next: it returns the position of an account given
// the grants that no report shows yet. Lower is earlier.
type Order func(k share.Key, pendingCustomer, pendingKind int) (float64, float64)

// Grant is a slot that a home gives to an entry instance for one request.
type Grant struct {
	// Number is unique for each incarnation of the home and grows.
	Number   uint64
	Entry    string
	Endpoint string
	Key      share.Key
}

// Home holds the slots of the endpoints that this instance is home of. It is not
// safe for concurrent use.
type Home struct {
	// Domain is the failure domain of the instance; its own entry instances
	// are preferred among equals.
	Domain string

	endpoints map[string]*endpoint
	entries   map[string]*entry
	next      uint64
}

type endpoint struct {
	name    string
	service string
	slots   int
	// closed endpoints get no grants: they leave, are ejected or not ready.
	closed bool
	// settled is when slots that no entry instance has claimed count as free.
	settled time.Time
	leases  map[uint64]*lease
	// foreign counts slots that entry instances hold under an earlier home.
	foreign map[string]int
	// excess holds how many requests beyond the known slots the last load
	// reports showed.
	excess []int
}

type lease struct {
	number   uint64
	entry    string
	endpoint string
	key      share.Key
}

// entry is what the home knows about one entry instance.
type entry struct {
	name   string
	domain string
	heard  time.Time
	// seen is the highest grant that the entry instance has received.
	seen    uint64
	demand  map[share.Key]int
	leases  map[uint64]*lease
	pending map[share.Key]int // grants above seen
	outbox  []Grant
	ask     bool
	avoid   map[avoided]time.Time
}

// avoided is an endpoint whose slot an entry instance declined for an account.
type avoided struct {
	key      share.Key
	endpoint string
}

// avoidTerm is how long an endpoint is not granted again for work that declined it.
const avoidTerm = time.Second

// NewHome returns a home without endpoints.
func NewHome(domain string) *Home {
	return &Home{Domain: domain, endpoints: map[string]*endpoint{}, entries: map[string]*entry{}}
}

// AddEndpoint makes the instance the home of an endpoint. Slots are granted from
// settled on; until then entry instances tell what they hold under the earlier
// home. Adopting an endpoint again keeps its leases.
func (h *Home) AddEndpoint(name, service string, slots int, settled time.Time) {
	e := h.endpoints[name]
	if e == nil {
		e = &endpoint{name: name, settled: settled, leases: map[uint64]*lease{}, foreign: map[string]int{}}
		h.endpoints[name] = e
	}
	e.service = service
	e.slots = slots
	e.settled = settled
}

// RemoveEndpoint ends the duty for an endpoint. Leases stay with their holders, who report
// them to the next home.
func (h *Home) RemoveEndpoint(name string) {
	e := h.endpoints[name]
	if e == nil {
		return
	}
	for number, l := range e.leases {
		delete(h.entry(l.entry).leases, number)
	}
	delete(h.endpoints, name)
}

// SetClosed stops or resumes the granting of an endpoint's slots.
func (h *Home) SetClosed(name string, closed bool) {
	if e := h.endpoints[name]; e != nil {
		e.closed = closed
	}
}

// Endpoints returns the names of the endpoints that the instance is home of.
func (h *Home) Endpoints() []string {
	names := make([]string, 0, len(h.endpoints))
	for name := range h.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (h *Home) entry(name string) *entry {
	e := h.entries[name]
	if e == nil {
		e = &entry{
			name:    name,
			demand:  map[share.Key]int{},
			leases:  map[uint64]*lease{},
			pending: map[share.Key]int{},
			avoid:   map[avoided]time.Time{},
		}
		h.entries[name] = e
	}
	return e
}

// SetDemand records how many requests of an account wait at an entry instance.
func (h *Home) SetDemand(name, domain string, k share.Key, waiting int) {
	e := h.entry(name)
	e.domain = domain
	if waiting <= 0 {
		delete(e.demand, k)
		return
	}
	e.demand[k] = waiting
}

// Release gives a slot back.
func (h *Home) Release(name string, number uint64) {
	e := h.entry(name)
	l := e.leases[number]
	if l == nil {
		return
	}
	h.free(e, l)
}

// Decline takes a slot back whose endpoint the requests must avoid, and prefers
// other endpoints for them for a while.
func (h *Home) Decline(name string, number uint64, now time.Time) {
	e := h.entry(name)
	l := e.leases[number]
	if l == nil {
		return
	}
	e.avoid[avoided{l.key, l.endpoint}] = now.Add(avoidTerm)
	h.free(e, l)
}

// ReleaseUnused takes a slot back for whose account nothing waits at the entry instance. Its
// demand counts as gone until it is reported again, so that a wrong report cannot
// bring about grants without end.
func (h *Home) ReleaseUnused(name string, number uint64) {
	e := h.entry(name)
	l := e.leases[number]
	if l == nil {
		return
	}
	delete(e.demand, l.key)
	h.free(e, l)
}

func (h *Home) free(e *entry, l *lease) {
	delete(e.leases, l.number)
	if at := h.endpoints[l.endpoint]; at != nil {
		delete(at.leases, l.number)
	}
}

// Renew records that an entry instance was heard and which grants it had
// received by then. Held is how many of those it still holds; if the number
// differs from the home's, the home asks for a full list.
func (h *Home) Renew(name string, seen uint64, held int, now time.Time) {
	e := h.entry(name)
	e.heard = now
	h.advance(e, seen)
	known := 0
	for number := range e.leases {
		if number <= e.seen {
			known++
		}
	}
	e.ask = known != held
}

func (h *Home) advance(e *entry, seen uint64) {
	if seen <= e.seen {
		return
	}
	e.seen = seen
	e.outbox = slices.DeleteFunc(e.outbox, func(g Grant) bool { return g.Number <= seen })
	clear(e.pending)
	for _, g := range e.outbox {
		e.pending[g.Key]++
	}
}

// ReplaceLeases replaces what the home knows of an entry instance's leases up to the
// grants that it has seen by its full list.
func (h *Home) ReplaceLeases(name string, all map[uint64]string) {
	e := h.entry(name)
	for number, l := range e.leases {
		if _, ok := all[number]; !ok && number <= e.seen {
			h.free(e, l)
		}
	}
	for number, endpoint := range all {
		at := h.endpoints[endpoint]
		if at == nil || e.leases[number] != nil {
			continue
		}
		l := &lease{number: number, entry: name, endpoint: endpoint}
		e.leases[number] = l
		at.leases[number] = l
	}
	e.ask = false
}

// SetForeign records how many slots per endpoint an entry instance holds under
// earlier homes.
func (h *Home) SetForeign(name string, counts map[string]int) {
	for _, at := range h.endpoints {
		n := counts[at.name]
		if n == 0 {
			delete(at.foreign, name)
			continue
		}
		at.foreign[name] = n
	}
}

// RemoveEntry frees all slots of an entry instance that restarted or lapsed.
func (h *Home) RemoveEntry(name string) {
	e := h.entries[name]
	if e == nil {
		return
	}
	for _, l := range e.leases {
		h.free(e, l)
	}
	for _, at := range h.endpoints {
		delete(at.foreign, name)
	}
	delete(h.entries, name)
}

// Tick forgets the entry instances whose leases lapsed and returns their names.
func (h *Home) Tick(now time.Time, self string) []string {
	var lapsed []string
	for name, e := range h.entries {
		if name != self && now.Sub(e.heard) > leaseTerm && (len(e.leases) > 0 || len(e.demand) > 0) {
			lapsed = append(lapsed, name)
		}
	}
	slices.Sort(lapsed)
	for _, name := range lapsed {
		h.RemoveEntry(name)
	}
	return lapsed
}

// excessReports is how many load reports in a row must show requests beyond the
// known slots before fewer slots are granted. Reports lag, so a single one proves
// nothing.
const excessReports = 3

// ObserveRunning takes in how many requests an endpoint reports to run. Requests of
// instances whose leases lapsed may still run there.
func (h *Home) ObserveRunning(name string, running int) {
	e := h.endpoints[name]
	if e == nil {
		return
	}
	e.excess = append(e.excess, max(0, running-e.used()))
	if len(e.excess) > excessReports {
		e.excess = e.excess[1:]
	}
}

func (e *endpoint) used() int {
	used := len(e.leases)
	for _, n := range e.foreign {
		used += n
	}
	return used
}

func (e *endpoint) free(now time.Time) int {
	if e.closed || now.Before(e.settled) {
		return 0
	}
	excess := 0
	if len(e.excess) == excessReports {
		excess = slices.Min(e.excess)
	}
	return max(0, e.slots-e.used()-excess)
}

// Free returns the slots of a service that could be granted now.
func (h *Home) Free(service string, now time.Time) int {
	free := 0
	for _, e := range h.endpoints {
		if e.service == service {
			free += e.free(now)
		}
	}
	return free
}

// Used returns the slots in use and all slots of an endpoint.
func (h *Home) Used(name string) (used, slots int) {
	e := h.endpoints[name]
	if e == nil {
		return 0, 0
	}
	return e.used(), e.slots
}
