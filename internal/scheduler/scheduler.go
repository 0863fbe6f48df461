// Package scheduler makes the scheduling decisions of one entry instance: it queues
// requests, determines which account is served next across the fleet, grants the
// slots of the endpoints that the instance is home of, and tracks the slots that it
// holds. It does no I/O and reads no clock: callers pass in the time, messages and
// events, and a Port carries out the decisions.
package scheduler

import (
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/queue"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/internal/slot"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// TickInterval is the interval at which Tick must be called.
const TickInterval = 250 * time.Millisecond

// reportInterval is the interval of the regular reports to each peer, which contain
// all changed counters. A message that is sent anyway when a report is due includes
// it and replaces the heartbeat.
const reportInterval = 500 * time.Millisecond

// recoveryTimeout is the longest time that the new home of an endpoint waits for the
// reports of the slots that are held under the earlier home.
const recoveryTimeout = 3 * time.Second

// Run is a request together with the endpoint whose slot it may use.
type Run struct {
	Request  queue.Request
	Endpoint string
}

// Port carries out the scheduler's decisions. Its methods are called while the caller
// of the scheduler holds the scheduler's lock, so they must not call the scheduler.
type Port interface {
	// Start starts a request at an endpoint. Finish must be called once it has ended.
	Start(run Run)
	// Refuse rejects a request that was dropped from the queue.
	Refuse(r queue.Request, reason fleet.Reason)
	// Wake requests that Compose be called for a peer soon.
	Wake(peer string)
}

// Endpoint describes an endpoint to the scheduler.
type Endpoint struct {
	Name    string
	Service string
	Domain  string
	Slots   int
	// Closed endpoints get no new requests.
	Closed bool
	// Quiet endpoints get no new requests of this instance, which may still grant their
	// slots to others.
	Quiet bool
	// Limit is how many requests of this instance may run there at a time; zero means
	// no limit besides the slots.
	Limit int
	// StartInterval is the time between two slots that its home grants of a cold endpoint, each for
	// one request. Zero means that the endpoint is warm.
	StartInterval time.Duration
}

// Policy holds the parts of the configuration that affect scheduling.
type Policy struct {
	// Unit returns the unit in which a service's cost is counted; nil means tokens.
	Unit func(service string) fleet.Unit
	// Slack returns by how many units the sort key of a customer (see
	// share.Ledger.Order) may exceed the lowest one in the fleet while the customer
	// is still served next from a slot that became free here; nil means none. It
	// saves the round trip to the home.
	Slack func(service string) float64
	// Domains returns the failure domains whose endpoints may run the requests of a
	// customer; nil means all.
	Domains func(customer string) map[string]bool
}

// Scheduler holds the scheduling state of one entry instance. It is not safe for
// concurrent use. Set the exported fields before the first call.
type Scheduler struct {
	Port   Port
	Policy Policy
	Table  *member.Table
	Ledger *share.Ledger
	Queue  *queue.Queue
	// Order determines which account is served next; nil means the ledger's order. It exists so
	// that benchmarks can compare other orders.
	Order slot.Order
	// OnLeasesExpired is called for each entry instance whose leases expired at this
	// home. It may be nil.
	OnLeasesExpired func(name string)

	home       *slot.Home
	heldLeases *slot.HeldLeases
	runs       map[string]*run
	running    map[share.Key]int
	inUse      map[string]int // slots in use here, by service
	suspects   map[string]int // running suspect requests, by endpoint
	prefixes   *prefixHistory
	endpoints  map[string]Endpoint
	owners     map[string]string          // name of the home of each endpoint
	peerHomes  map[string]map[string]bool // see homesByService
	homeSince  map[string]time.Time       // when this instance became the home, by endpoint
	peers      map[string]*peerState
	recovering map[string]bool // endpoints here whose slots are not granted yet
	idleLeases []idleLease
	started    time.Time
	stopping   bool
}

type run struct {
	request      queue.Request
	lease        *slot.Lease
	chargedUntil time.Time
	cost         float64 // charged so far, in units
}

// New returns a scheduler for an instance that starts at now.
func New(self member.Member, now time.Time) *Scheduler {
	s := &Scheduler{
		Table:      member.New(self),
		Ledger:     share.New(),
		Queue:      queue.New(),
		home:       slot.NewHome(self.Domain),
		heldLeases: slot.NewHeldLeases(),
		runs:       map[string]*run{},
		running:    map[share.Key]int{},
		inUse:      map[string]int{},
		suspects:   map[string]int{},
		prefixes:   newPrefixHistory(),
		endpoints:  map[string]Endpoint{},
		owners:     map[string]string{},
		homeSince:  map[string]time.Time{},
		peers:      map[string]*peerState{},
		recovering: map[string]bool{},
		started:    now,
	}
	s.home.Allows = s.allows
	return s
}

func (s *Scheduler) self() string { return s.Table.Self.Name }

func (s *Scheduler) unit(service string) fleet.Unit {
	if s.Policy.Unit == nil {
		return fleet.UnitTokens
	}
	return s.Policy.Unit(service)
}

func (s *Scheduler) slack(service string) float64 {
	if s.Policy.Slack == nil {
		return 0
	}
	return s.Policy.Slack(service)
}

func (s *Scheduler) order(k share.Key, pendingCustomer, pendingKind int) (float64, float64) {
	if s.Order != nil {
		return s.Order(k, pendingCustomer, pendingKind)
	}
	return s.Ledger.Order(k, pendingCustomer, pendingKind)
}

// Arrive queues a request. It returns a *queue.Refusal if the request cannot be
// queued.
func (s *Scheduler) Arrive(r queue.Request, now time.Time) error {
	if s.stopping {
		return &queue.Refusal{Reason: fleet.ReasonStopping}
	}
	return s.enqueue(r, now)
}

// Requeue queues a request for a further attempt. Unlike Arrive, it also accepts
// requests while the instance is stopping, because they were accepted before. It
// returns a *queue.Refusal if the request cannot be queued.
func (s *Scheduler) Requeue(r queue.Request, now time.Time) error {
	return s.enqueue(r, now)
}

func (s *Scheduler) enqueue(r queue.Request, now time.Time) error {
	s.Ledger.Advance(now)
	if err := s.Queue.Push(r); err != nil {
		return err
	}
	s.updateCounts(r.Key)
	s.useIdle(r.Key.Service, now)
	s.grantSlots(now)
	s.notifyHomes(r.Key)
	return nil
}

// Cancel removes a waiting request. It returns false if the request is no longer
// waiting.
func (s *Scheduler) Cancel(id string) bool {
	r, ok := s.Queue.Remove(id)
	if ok {
		s.updateCounts(r.Key)
	}
	return ok
}

// updateCounts records the number of an account's requests that wait and run here in
// the ledger, and the waiting ones as demand on the endpoints that this instance is
// the home of.
func (s *Scheduler) updateCounts(k share.Key) {
	waiting := s.Queue.Len(k)
	s.Ledger.SetLocalCounts(k, waiting, s.running[k])
	s.home.SetDemand(s.self(), s.Table.Self.Domain, k, waiting)
}

// Charge adds delivered service, in units, to the account of a running request. It
// does nothing for services that are charged by time or for runs that have ended.
func (s *Scheduler) Charge(id string, units float64) {
	r := s.runs[id]
	if r == nil || s.unit(r.request.Key.Service) == fleet.UnitTime {
		return
	}
	s.charge(r, units)
}

func (s *Scheduler) charge(r *run, units float64) {
	r.cost += max(0, units)
	s.Ledger.Charge(r.request.Key, units)
}

func (s *Scheduler) chargeTime(r *run, now time.Time) {
	if s.unit(r.request.Key.Service) != fleet.UnitTime {
		return
	}
	s.charge(r, now.Sub(r.chargedUntil).Seconds()*1000)
	r.chargedUntil = now
}

// Finish ends a run and uses its slot for the next request or returns it. An unknown
// run is ignored.
func (s *Scheduler) Finish(id string, now time.Time) {
	r := s.runs[id]
	if r == nil {
		return
	}
	s.Ledger.Advance(now)
	s.chargeTime(r, now)
	s.Ledger.RecordCost(r.request.Key.Service, r.cost)
	delete(s.runs, id)
	if r.request.Suspect {
		s.suspects[r.lease.Endpoint]--
	}
	k := r.request.Key
	s.inUse[k.Service]--
	s.running[k]--
	if s.running[k] == 0 {
		delete(s.running, k)
	}
	s.updateCounts(k)
	s.reuse(r.lease, now)
	s.grantSlots(now)
}

// useGrant starts a request in a slot that was granted for its account. If no request
// of the account waits any more, the slot serves another account or is returned.
func (s *Scheduler) useGrant(l *slot.Lease, now time.Time) {
	if e := s.endpoints[l.Endpoint]; e.Closed || s.withholds(e) {
		s.decline(l, now)
		return
	}
	if s.start(l, l.Key, now) {
		return
	}
	if s.Queue.Len(l.Key) > 0 {
		s.decline(l, now)
		return
	}
	if l.Home != s.self() && (len(s.Queue.Keys(l.Service)) == 0 || !s.mayReuse(l, now)) {
		// A home that goes by an old report would grant the slot again and again.
		s.heldLeases.ReleaseUnused(l)
		s.peer(l.Home).sentState.Invalidate(l.Key)
		s.wake(l.Home)
		return
	}
	s.reuse(l, now)
}

// decline returns a slot that no waiting request may use, because its endpoint is
// closed here or because earlier attempts of the requests failed there.
func (s *Scheduler) decline(l *slot.Lease, now time.Time) {
	if l.Home == s.self() {
		s.heldLeases.Release(l)
		s.home.Decline(s.self(), l.Number, now)
		return
	}
	s.heldLeases.Decline(l)
	s.wake(l.Home)
}

// reuse starts the next request in a slot held here if no other instance has waiting
// requests that go first. Otherwise it keeps the slot idle or returns it.
func (s *Scheduler) reuse(l *slot.Lease, now time.Time) {
	if s.mayReuse(l, now) {
		k, ok := s.bestAccount(l)
		if ok && s.start(l, k, now) {
			return
		}
		if s.keepIdle(l, now) {
			return
		}
	}
	s.release(l)
}

// release returns a slot to its home.
func (s *Scheduler) release(l *slot.Lease) {
	s.heldLeases.Release(l)
	if l.Home == s.self() {
		s.home.Release(s.self(), l.Number)
		return
	}
	s.wake(l.Home)
}

func (s *Scheduler) mayReuse(l *slot.Lease, now time.Time) bool {
	e, known := s.endpoints[l.Endpoint]
	if !known || e.Closed || e.StartInterval > 0 || s.withholds(e) || s.owners[l.Endpoint] != l.Home {
		return false
	}
	return s.heldLeases.Valid(l, s.self(), now)
}

// withholds reports whether an endpoint that is not closed gets no further request of this
// instance now.
func (s *Scheduler) withholds(e Endpoint) bool {
	if e.Quiet || e.Limit == 0 {
		return e.Quiet
	}
	running := 0
	for _, r := range s.runs {
		if r.lease.Endpoint == e.Name {
			running++
		}
	}
	return running >= e.Limit
}

// RefuseWaiting refuses the requests of an account that wait here.
func (s *Scheduler) RefuseWaiting(k share.Key, reason fleet.Reason) {
	for _, r := range s.Queue.RemoveAll(k) {
		s.updateCounts(k)
		s.Port.Refuse(r, reason)
	}
}

// bestAccount returns the account to serve next in a slot held here, among those with requests
// waiting here that its endpoint may run. It returns false if there is none or if another instance has waiting requests
// whose sort key is lower by more than the slack.
func (s *Scheduler) bestAccount(l *slot.Lease) (share.Key, bool) {
	service := l.Service
	var best share.Key
	var bestCustomerKey, bestKindKey float64
	found := false
	for _, k := range s.Queue.Keys(service) {
		if !s.allows(k, l.Endpoint) {
			continue
		}
		customerKey, kindKey := s.order(k, 0, 0)
		if !found || customerKey < bestCustomerKey || (customerKey == bestCustomerKey && (kindKey < bestKindKey || (kindKey == bestKindKey && less(k, best)))) {
			best, bestCustomerKey, bestKindKey, found = k, customerKey, kindKey, true
		}
	}
	if !found {
		return best, false
	}
	lowest, ok := s.Ledger.Lowest(service)
	return best, !ok || bestCustomerKey <= lowest+s.slack(service)
}

func less(a, b share.Key) bool {
	if a.Customer != b.Customer {
		return a.Customer < b.Customer
	}
	return a.Kind < b.Kind
}

func (s *Scheduler) start(l *slot.Lease, k share.Key, now time.Time) bool {
	if !s.allows(k, l.Endpoint) {
		return false
	}
	r, ok := s.Queue.Pop(k, queue.Target{
		Endpoint:     l.Endpoint,
		Suspects:     s.suspects[l.Endpoint],
		PrefixCached: func(hash uint64) bool { return s.prefixes.contains(l.Endpoint, hash) },
	})
	if !ok {
		return false
	}
	s.prefixes.add(l.Endpoint, r.PrefixHash)
	if r.Suspect {
		s.suspects[l.Endpoint]++
	}
	l.Key = k
	s.runs[r.ID] = &run{request: r, lease: l, chargedUntil: now}
	s.running[k]++
	s.inUse[k.Service]++
	s.updateCounts(k)
	s.Port.Start(Run{Request: r, Endpoint: l.Endpoint})
	return true
}

// grantSlots grants the free slots of the endpoints that this instance is the home
// of, starts requests in those granted to the instance itself and wakes the peers that
// received grants.
func (s *Scheduler) grantSlots(now time.Time) {
	for {
		recipients := s.home.Decide(s.order, now)
		for _, name := range recipients {
			if name != s.self() {
				s.wake(name)
			}
		}
		if !slices.Contains(recipients, s.self()) {
			return
		}
		s.acceptOwnGrants(now)
	}
}

func (s *Scheduler) acceptOwnGrants(now time.Time) {
	grants := slices.Clone(s.home.Outbox(s.self()))
	for _, g := range grants {
		l := s.heldLeases.AddGrant(s.self(), g)
		s.home.Renew(s.self(), g.Number, 0, now)
		if l != nil {
			s.useGrant(l, now)
		}
	}
}

// Leave begins the planned stop: all tasks of this instance move to its peers.
// Requests are still accepted until Close is called.
func (s *Scheduler) Leave(now time.Time) {
	s.Table.Leave()
	s.assignHomes(now)
	s.WakeAll()
}

// WakeAll wakes the senders to all peers, because another component has something to
// send.
func (s *Scheduler) WakeAll() {
	for _, m := range s.Table.Peers() {
		s.wake(m.Name)
	}
}

// Close makes the scheduler reject new requests. Requests that wait or run here are
// still served.
func (s *Scheduler) Close() { s.stopping = true }

// Tick performs all work that depends on time alone, such as charges by time,
// deadlines, timeouts and regular reports. It must be called every TickInterval.
func (s *Scheduler) Tick(now time.Time) {
	s.Ledger.Advance(now)
	for _, r := range s.runs {
		s.chargeTime(r, now)
	}
	for _, r := range s.Queue.Expire(now) {
		s.updateCounts(r.Key)
		s.Port.Refuse(r, fleet.ReasonDeadline)
	}
	s.Table.Tick(now)
	for _, m := range s.Table.Peers() {
		if m.State == member.StateGone {
			s.Ledger.ClearPeer(m.Name)
		}
	}
	s.Ledger.BoundLags()
	s.expireIdleLeases(now)
	for _, name := range s.home.Tick(now, s.self()) {
		if s.OnLeasesExpired != nil {
			s.OnLeasesExpired(name)
		}
	}
	s.assignHomes(now)
	s.grantSlots(now)
	for _, m := range s.Table.Peers() {
		if s.peer(m.Name).due(now) {
			s.wake(m.Name)
		}
	}
}
