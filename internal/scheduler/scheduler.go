// Package scheduler combines the decisions of one entry instance: what waits
// here, who is served next across the fleet, which slots are granted and which
// are held. It does no I/O and reads no clock: callers pass the time, messages
// and events, and a Port carries out what it decides.
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

// TickInterval is how often Tick must be called.
const TickInterval = 250 * time.Millisecond

// reportInterval is how often every peer gets the changed counters. A message that
// is due anyway carries them along and takes the place of the heartbeat.
const reportInterval = 500 * time.Millisecond

// settleTerm is how long a new home waits for the reports of what is held under
// the earlier home, at the most.
const settleTerm = 3 * time.Second

// Run is a request with the slot that it may use.
type Run struct {
	Request  queue.Request
	Endpoint string
}

// Port carries out decisions. Its methods are called with the scheduler's lock
// held by the caller, so they must not call back.
type Port interface {
	// Start begins to run a request at an endpoint. Finish must be called
	// once it has ended.
	Start(run Run)
	// Refuse answers a request that was dropped from the queue.
	Refuse(r queue.Request, reason fleet.Reason)
	// Wake asks for Compose to be called for a peer soon.
	Wake(peer string)
}

// Endpoint is what the scheduler must know about an endpoint.
type Endpoint struct {
	Name    string
	Service string
	Domain  string
	Slots   int
	// Closed endpoints get no new work.
	Closed bool
}

// Policy is the part of the configuration that scheduling depends on.
type Policy struct {
	// Unit returns how a service's cost is counted; nil means tokens.
	Unit func(service string) fleet.Unit
	// Slack returns by how many units a customer may stand above the lowest
	// one in the fleet and still be served next from a slot that came free
	// here; nil means none. It saves the way to the home and back.
	Slack func(service string) float64
}

// Scheduler is the decision state of one entry instance. It is not safe for
// concurrent use. Exported fields are set before the first call.
type Scheduler struct {
	Port   Port
	Policy Policy
	Table  *member.Table
	Book   *share.Ledger
	Queue  *queue.Queue
	// Order decides who is served next; nil means the book's order. It exists
	// so that other orders can be measured against.
	Order slot.Order
	// OnLapse is called for each entry instance whose leases lapsed here; nil
	// is allowed.
	OnLapse func(name string)

	home      *slot.Home
	held      *slot.HeldLeases
	runs      map[string]*run
	running   map[share.Key]int
	inUse     map[string]int // slots in use here by service
	suspects  map[string]int // suspect requests that run, by endpoint
	warm      *warmth
	endpoints map[string]Endpoint
	owners    map[string]string // home of each endpoint
	homes     map[string]map[string]bool
	adopted   map[string]time.Time
	links     map[string]*link
	unsettled map[string]bool // endpoints whose slots are not granted yet
	spares    []spare
	started   time.Time
	stopping  bool
}

type run struct {
	request queue.Request
	lease   *slot.Lease
	charged time.Time
	cost    float64 // charged so far, in units
}

// New returns a scheduler for an instance that starts now.
func New(self member.Member, now time.Time) *Scheduler {
	return &Scheduler{
		Table:     member.New(self),
		Book:      share.New(),
		Queue:     queue.New(),
		home:      slot.NewHome(self.Domain),
		held:      slot.NewHeldLeases(),
		runs:      map[string]*run{},
		running:   map[share.Key]int{},
		inUse:     map[string]int{},
		suspects:  map[string]int{},
		warm:      newWarmth(),
		endpoints: map[string]Endpoint{},
		owners:    map[string]string{},
		adopted:   map[string]time.Time{},
		links:     map[string]*link{},
		unsettled: map[string]bool{},
		started:   now,
	}
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
	return s.Book.Order(k, pendingCustomer, pendingKind)
}

// Arrive queues a request. It returns a *queue.Refusal if it cannot be taken.
func (s *Scheduler) Arrive(r queue.Request, now time.Time) error {
	if s.stopping {
		return &queue.Refusal{Reason: fleet.ReasonStopping}
	}
	return s.enqueue(r, now)
}

// Again queues a request for a further attempt. Unlike Arrive it also takes
// requests while the instance is stopping, because they were accepted before.
func (s *Scheduler) Again(r queue.Request, now time.Time) error {
	return s.enqueue(r, now)
}

func (s *Scheduler) enqueue(r queue.Request, now time.Time) error {
	s.Book.Advance(now)
	if err := s.Queue.Push(r); err != nil {
		return err
	}
	s.count(r.Key)
	s.useSpare(r.Key.Service, now)
	s.decide(now)
	s.seek(r.Key)
	return nil
}

// Cancel drops a waiting request. It returns false if the request does not wait
// any more.
func (s *Scheduler) Cancel(id string) bool {
	r, ok := s.Queue.Remove(id)
	if ok {
		s.count(r.Key)
	}
	return ok
}

// count tells the book and the own home what waits and runs for an account here.
func (s *Scheduler) count(k share.Key) {
	waiting := s.Queue.Len(k)
	s.Book.SetLocalCounts(k, waiting, s.running[k])
	s.home.SetDemand(s.self(), s.Table.Self.Domain, k, waiting)
}

// Charge adds delivered service to the account of a running request, in units.
// It does nothing for services that are charged by time or for runs that ended.
func (s *Scheduler) Charge(id string, units float64) {
	r := s.runs[id]
	if r == nil || s.unit(r.request.Key.Service) == fleet.UnitTime {
		return
	}
	s.charge(r, units)
}

func (s *Scheduler) charge(r *run, units float64) {
	r.cost += max(0, units)
	s.Book.Charge(r.request.Key, units)
}

func (s *Scheduler) chargeTime(r *run, now time.Time) {
	if s.unit(r.request.Key.Service) != fleet.UnitTime {
		return
	}
	s.charge(r, now.Sub(r.charged).Seconds()*1000)
	r.charged = now
}

// Finish ends a run and uses its slot for the next request or gives it back.
func (s *Scheduler) Finish(id string, now time.Time) {
	r := s.runs[id]
	if r == nil {
		return
	}
	s.Book.Advance(now)
	s.chargeTime(r, now)
	s.Book.RecordCost(r.request.Key.Service, r.cost)
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
	s.count(k)
	s.reuse(r.lease, now)
	s.decide(now)
}

// use starts a request in a slot that was granted for its account. If none waits
// any more the slot goes to another account or back.
func (s *Scheduler) use(l *slot.Lease, now time.Time) {
	if s.endpoints[l.Endpoint].Closed {
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
	if l.Home != s.self() && len(s.Queue.Keys(l.Service)) == 0 {
		s.held.ReleaseUnused(l)
		s.link(l.Home).sent.Invalidate(l.Key)
		s.wake(l.Home)
		return
	}
	s.reuse(l, now)
}

// decline returns a slot that no waiting request may use, because its endpoint is
// closed here or their earlier attempts failed there.
func (s *Scheduler) decline(l *slot.Lease, now time.Time) {
	if l.Home == s.self() {
		s.held.Release(l)
		s.home.Decline(s.self(), l.Number, now)
		return
	}
	s.held.Decline(l)
	s.wake(l.Home)
}

// reuse starts the next request in a slot held here if no other instance has
// work waiting that goes before it, and gives the slot back otherwise.
func (s *Scheduler) reuse(l *slot.Lease, now time.Time) {
	if s.mayReuse(l, now) {
		k, ok := s.best(l.Service)
		if ok && s.start(l, k, now) {
			return
		}
		if s.keepSpare(l, now) {
			return
		}
	}
	s.giveBack(l)
}

// giveBack returns a slot to its home.
func (s *Scheduler) giveBack(l *slot.Lease) {
	s.held.Release(l)
	if l.Home == s.self() {
		s.home.Release(s.self(), l.Number)
		return
	}
	s.wake(l.Home)
}

func (s *Scheduler) mayReuse(l *slot.Lease, now time.Time) bool {
	e, known := s.endpoints[l.Endpoint]
	if !known || e.Closed || s.owners[l.Endpoint] != l.Home {
		return false
	}
	return s.held.Valid(l, s.self(), now)
}

// best returns the account that goes first among those waiting here, and false
// if another instance has work that goes before it by more than the slack.
func (s *Scheduler) best(service string) (share.Key, bool) {
	var best share.Key
	var bestFirst, bestSecond float64
	found := false
	for _, k := range s.Queue.Keys(service) {
		first, second := s.order(k, 0, 0)
		if !found || first < bestFirst || (first == bestFirst && (second < bestSecond || (second == bestSecond && less(k, best)))) {
			best, bestFirst, bestSecond, found = k, first, second, true
		}
	}
	if !found {
		return best, false
	}
	lowest, ok := s.Book.Lowest(service)
	return best, !ok || bestFirst <= lowest+s.slack(service)
}

func less(a, b share.Key) bool {
	if a.Customer != b.Customer {
		return a.Customer < b.Customer
	}
	return a.Kind < b.Kind
}

func (s *Scheduler) start(l *slot.Lease, k share.Key, now time.Time) bool {
	r, ok := s.Queue.Pop(k, queue.Target{
		Endpoint:     l.Endpoint,
		Suspects:     s.suspects[l.Endpoint],
		PrefixCached: func(head uint64) bool { return s.warm.holds(l.Endpoint, head) },
	})
	if !ok {
		return false
	}
	s.warm.note(l.Endpoint, r.PrefixHash)
	if r.Suspect {
		s.suspects[l.Endpoint]++
	}
	l.Key = k
	s.runs[r.ID] = &run{request: r, lease: l, charged: now}
	s.running[k]++
	s.inUse[k.Service]++
	s.count(k)
	s.Port.Start(Run{Request: r, Endpoint: l.Endpoint})
	return true
}

// decide lets the own home grant what is free, and wakes the peers that got
// something.
func (s *Scheduler) decide(now time.Time) {
	for {
		touched := s.home.Decide(s.order, now)
		for _, name := range touched {
			if name != s.self() {
				s.wake(name)
			}
		}
		if !slices.Contains(touched, s.self()) {
			return
		}
		s.takeOwn(now)
	}
}

func (s *Scheduler) takeOwn(now time.Time) {
	grants := slices.Clone(s.home.Outbox(s.self()))
	for _, g := range grants {
		l := s.held.AddGrant(s.self(), g)
		s.home.Renew(s.self(), g.Number, 0, now)
		if l != nil {
			s.use(l, now)
		}
	}
}

// Leave begins the planned stop: all duties move to the peers. Requests are still
// taken until Close.
func (s *Scheduler) Leave(now time.Time) {
	s.Table.Leave()
	s.assign(now)
	s.WakeAll()
}

// WakeAll sends something to every peer soon, because another duty has news.
func (s *Scheduler) WakeAll() {
	for _, m := range s.Table.Peers() {
		s.wake(m.Name)
	}
}

// Close refuses further requests. What waits and runs here is still served.
func (s *Scheduler) Close() { s.stopping = true }

// Tick advances everything that depends on time alone. It must be called every
// TickInterval.
func (s *Scheduler) Tick(now time.Time) {
	s.Book.Advance(now)
	for _, r := range s.runs {
		s.chargeTime(r, now)
	}
	for _, r := range s.Queue.Expire(now) {
		s.count(r.Key)
		s.Port.Refuse(r, fleet.ReasonDeadline)
	}
	s.Table.Tick(now)
	for _, m := range s.Table.Peers() {
		if m.State == member.StateGone {
			s.Book.ClearPeer(m.Name)
		}
	}
	s.Book.BoundLags()
	s.expireSpares(now)
	for _, name := range s.home.Tick(now, s.self()) {
		if s.OnLapse != nil {
			s.OnLapse(name)
		}
	}
	s.assign(now)
	s.decide(now)
	for _, m := range s.Table.Peers() {
		if s.link(m.Name).due(now) {
			s.wake(m.Name)
		}
	}
}
