// Package slot leases the slots of endpoints to entry instances. Each endpoint has one
// home: the entry instance of its failure domain that owns the endpoint's slots, and
// the only one that grants them. An entry instance holds a granted slot under a lease
// and may use it for several requests, one after the other, before it releases it.
package slot

import (
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
)

// leaseDuration is how long a home keeps a slot reserved for an entry instance from
// which it receives no messages.
const leaseDuration = 3 * time.Second

// leaseMargin is how much earlier the holder regards a lease as expired than the home
// does. It covers the transit time of the message that renewed the lease.
const leaseMargin = 500 * time.Millisecond

// Order determines which account is served next: it returns the sort key of an account as two
// numbers that are compared one after the other, given the grants that no report shows
// yet. Lower is served earlier.
type Order func(k share.Key, pendingCustomer, pendingKind int) (float64, float64)

// Grant is a slot that a home assigns to an entry instance for one request.
type Grant struct {
	// Number is unique within an incarnation of the home and increases.
	Number   uint64
	Entry    string
	Endpoint string
	Key      share.Key
}

// Home manages the slots of the endpoints that this instance is the home of. It is not
// safe for concurrent use.
type Home struct {
	// Domain is the failure domain of the instance. Among entry instances with
	// requests of the same account, those of this domain are preferred.
	Domain string
	// Allows reports whether an endpoint may run the requests of an account; nil means that all may.
	Allows func(k share.Key, endpoint string) bool

	endpoints  map[string]*endpoint
	entries    map[string]*entry
	lastNumber uint64
}

type endpoint struct {
	name    string
	service string
	slots   int
	// closed endpoints get no grants: they are leaving, ejected or not ready.
	closed bool
	// startInterval is the time between two grants, zero for none; startAfter is when the next
	// one may be given.
	startInterval time.Duration
	startAfter    time.Time
	// grantableFrom is the time from which slots that no entry instance has
	// reported as held count as free.
	grantableFrom time.Time
	leases        map[uint64]*lease
	// foreign counts the slots that each entry instance holds under an earlier home.
	foreign map[string]int
	// excess holds, for the most recent load reports, how many more requests were
	// running than slots were known to be in use.
	excess []int
}

type lease struct {
	number   uint64
	entry    string
	endpoint string
	key      share.Key
}

// entry is the state that a home keeps about one entry instance.
type entry struct {
	name        string
	domain      string
	lastMessage time.Time
	// received is the highest grant number that the entry instance has received.
	received   uint64
	demand     map[share.Key]int
	leases     map[uint64]*lease
	pending    map[share.Key]int // grants in outbox per account
	outbox     []Grant           // grants that the entry instance has not received yet
	needsList  bool              // the next message requests the full list of leases
	avoidUntil map[avoidKey]time.Time
}

// avoidKey identifies an endpoint whose slot an entry instance declined for an account.
type avoidKey struct {
	key      share.Key
	endpoint string
}

// avoidDuration is how long no slot of an endpoint is granted to an account again after
// the entry instance declined one.
const avoidDuration = time.Second

// NewHome returns a home without endpoints.
func NewHome(domain string) *Home {
	return &Home{Domain: domain, endpoints: map[string]*endpoint{}, entries: map[string]*entry{}}
}

// AddEndpoint makes the instance the home of an endpoint. Its slots are granted from
// grantableFrom on; until then entry instances report what they hold under the earlier
// home. Adding an endpoint again updates it and keeps its leases.
func (h *Home) AddEndpoint(name, service string, slots int, grantableFrom time.Time) {
	e := h.endpoints[name]
	if e == nil {
		e = &endpoint{name: name, grantableFrom: grantableFrom, leases: map[uint64]*lease{}, foreign: map[string]int{}}
		h.endpoints[name] = e
	}
	e.service = service
	e.slots = slots
	e.grantableFrom = grantableFrom
}

// RemoveEndpoint ends the instance's role as home of an endpoint. The leases stay with
// their holders, who report them to the next home.
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

// SetClosed stops (true) or resumes (false) the granting of an endpoint's slots.
func (h *Home) SetClosed(name string, closed bool) {
	if e := h.endpoints[name]; e != nil {
		e.closed = closed
	}
}

// SetStartInterval sets the time between two grants of slots of an endpoint; zero means none.
func (h *Home) SetStartInterval(name string, d time.Duration) {
	if e := h.endpoints[name]; e != nil {
		e.startInterval = d
	}
}

// Endpoints returns the names of the endpoints that the instance is home of, sorted.
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
			name:       name,
			demand:     map[share.Key]int{},
			leases:     map[uint64]*lease{},
			pending:    map[share.Key]int{},
			avoidUntil: map[avoidKey]time.Time{},
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

// Release frees a slot that an entry instance has released. An unknown lease number is
// ignored.
func (h *Home) Release(name string, number uint64) {
	e := h.entry(name)
	l := e.leases[number]
	if l == nil {
		return
	}
	h.removeLease(e, l)
}

// Decline frees a slot whose endpoint the requests must avoid, and grants the account
// no slots of that endpoint for avoidDuration.
func (h *Home) Decline(name string, number uint64, now time.Time) {
	e := h.entry(name)
	l := e.leases[number]
	if l == nil {
		return
	}
	e.avoidUntil[avoidKey{l.key, l.endpoint}] = now.Add(avoidDuration)
	h.removeLease(e, l)
}

// ReleaseUnused frees a slot for whose account no request waits at the entry instance.
// The account's demand there counts as zero until it is reported again, so that a wrong
// report cannot cause an endless series of grants.
func (h *Home) ReleaseUnused(name string, number uint64) {
	e := h.entry(name)
	l := e.leases[number]
	if l == nil {
		return
	}
	delete(e.demand, l.key)
	h.removeLease(e, l)
}

func (h *Home) removeLease(e *entry, l *lease) {
	delete(e.leases, l.number)
	if ep := h.endpoints[l.endpoint]; ep != nil {
		delete(ep.leases, l.number)
	}
}

// Renew records that a message of an entry instance arrived, which renews its leases,
// and the highest grant number that it had received by then. held is how many of those
// grants it still holds; if the number differs from the home's, the home requests a full
// list.
func (h *Home) Renew(name string, received uint64, held int, now time.Time) {
	e := h.entry(name)
	e.lastMessage = now
	h.recordReceived(e, received)
	expected := 0
	for number := range e.leases {
		if number <= e.received {
			expected++
		}
	}
	e.needsList = expected != held
}

func (h *Home) recordReceived(e *entry, received uint64) {
	if received <= e.received {
		return
	}
	e.received = received
	e.outbox = slices.DeleteFunc(e.outbox, func(g Grant) bool { return g.Number <= received })
	clear(e.pending)
	for _, g := range e.outbox {
		e.pending[g.Key]++
	}
}

// ReplaceLeases replaces the home's record of an entry instance's leases, up to the
// grants that it has received, by the instance's full list (lease number to endpoint).
func (h *Home) ReplaceLeases(name string, all map[uint64]string) {
	e := h.entry(name)
	for number, l := range e.leases {
		if _, ok := all[number]; !ok && number <= e.received {
			h.removeLease(e, l)
		}
	}
	for number, endpoint := range all {
		ep := h.endpoints[endpoint]
		if ep == nil || e.leases[number] != nil {
			continue
		}
		l := &lease{number: number, entry: name, endpoint: endpoint}
		e.leases[number] = l
		ep.leases[number] = l
	}
	e.needsList = false
}

// SetForeign records how many slots per endpoint an entry instance holds under earlier
// homes.
func (h *Home) SetForeign(name string, counts map[string]int) {
	for _, ep := range h.endpoints {
		n := counts[ep.name]
		if n == 0 {
			delete(ep.foreign, name)
			continue
		}
		ep.foreign[name] = n
	}
}

// RemoveEntry frees all slots of an entry instance that restarted or whose leases
// expired.
func (h *Home) RemoveEntry(name string) {
	e := h.entries[name]
	if e == nil {
		return
	}
	for _, l := range e.leases {
		h.removeLease(e, l)
	}
	for _, ep := range h.endpoints {
		delete(ep.foreign, name)
	}
	delete(h.entries, name)
}

// Tick removes the entry instances whose leases have expired and returns their names,
// sorted. self, the instance of the home, never expires.
func (h *Home) Tick(now time.Time, self string) []string {
	var expired []string
	for name, e := range h.entries {
		if name != self && now.Sub(e.lastMessage) > leaseDuration && (len(e.leases) > 0 || len(e.demand) > 0) {
			expired = append(expired, name)
		}
	}
	slices.Sort(expired)
	for _, name := range expired {
		h.RemoveEntry(name)
	}
	return expired
}

// excessReports is how many consecutive load reports must show more running requests
// than known slots in use before fewer slots are granted. Reports are delayed, so a
// single one is not conclusive.
const excessReports = 3

// ObserveRunning records how many requests an endpoint reports as running. They may
// include requests of instances whose leases have expired.
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

func (e *endpoint) freeSlots(now time.Time) int {
	if e.closed || now.Before(e.grantableFrom) || e.startInterval > 0 && now.Before(e.startAfter) {
		return 0
	}
	excess := 0
	if len(e.excess) == excessReports {
		excess = slices.Min(e.excess)
	}
	free := max(0, e.slots-e.used()-excess)
	if e.startInterval > 0 {
		return min(free, 1)
	}
	return free
}

// delayStart sets when the next slot of a cold endpoint may be granted. A grant that came late is made
// up, but there is at least half of the interval between two.
func (e *endpoint) delayStart(now time.Time) {
	e.startAfter = e.startAfter.Add(e.startInterval)
	if soonest := now.Add(e.startInterval / 2); e.startAfter.Before(soonest) {
		e.startAfter = soonest
	}
}

// Free returns the number of slots of a service that could be granted now.
func (h *Home) Free(service string, now time.Time) int {
	free := 0
	for _, e := range h.endpoints {
		if e.service == service {
			free += e.freeSlots(now)
		}
	}
	return free
}

// Used returns the number of slots in use and the total number of slots of an endpoint;
// both are zero for an unknown endpoint.
func (h *Home) Used(name string) (used, slots int) {
	e := h.endpoints[name]
	if e == nil {
		return 0, 0
	}
	return e.used(), e.slots
}
