// Package share keeps the service accounts of customers and computes the order in
// which weighted fair queueing serves them.
//
// Service is charged as it is delivered. Each instance counts the service that it
// delivered in grow-only counters and sends them to its peers. From all counters,
// each instance computes a virtual time per customer and kind. Among the customers
// with waiting requests, the one with the lowest virtual time is served first.
package share

import (
	"math"
	"slices"
	"time"
)

// Key identifies an account: a customer's requests of one kind at one service.
type Key struct {
	Service  string
	Customer string
	Kind     string
}

// Row is the state that one instance reports about one account. Delivered never
// decreases during the lifetime of the instance's process.
type Row struct {
	Key       Key
	Delivered float64 // units of service, cumulative
	Waiting   int     // requests queued at the reporting instance
	Running   int     // requests running under leases of the reporting instance
}

// partitionTimeout is the time without a report after which a peer counts as
// partitioned. What it delivered in the meantime is not charged: the customer got
// that service on the other side of the partition and does not have to make up
// for it (docs/design/shares.md).
const partitionTimeout = 2 * time.Second

// leadSmoothing is the smoothing factor with which the leads here move towards those
// in a report of the reference instance.
const leadSmoothing = 0.3

// Policy holds the scheduling parameters of one service, taken from the configuration.
type Policy struct {
	// AdvanceCharge is charged in advance for each running request, in units,
	// but never more than the mean cost of a request. It distributes slots that
	// become free at the same time over several customers and keeps the shares
	// from oscillating.
	AdvanceCharge float64
	// SlotRate is the usual service per slot, in units per second, used until
	// the rate has been measured.
	SlotRate float64
	// MaxLag is the largest lag behind the waiting customer with the highest
	// virtual time that a customer is ever compensated for, in units. Zero means
	// no limit. Standing.Lead is measured the other way, from the lowest one.
	MaxLag float64
}

// Ledger holds the accounts known to one instance. It is not safe for concurrent
// use. Set the fields before the first call.
type Ledger struct {
	// Weight returns a customer's weight; nil means 1 for all customers.
	Weight func(customer string) float64
	// Policy returns the parameters of a service; nil means the zero Policy for all.
	Policy func(service string) Policy
	// Bonus returns the priority bonus of a kind over the customer's other kinds
	// at a service, in units. It is subtracted from the virtual time of the kind;
	// nil means no bonus.
	Bonus func(service, kind string) float64
	// ChargeAfterPartition charges deliveries from the other side of a partition
	// in full once it has healed, instead of not charging them. It exists for
	// comparison in benchmarks.
	ChargeAfterPartition bool

	services map[string]*service
	peers    map[string]*peer
	epoch    time.Time
	now      float64 // seconds since epoch
}

type service struct {
	name       string
	minVirtual float64 // minimum virtual time of the waiting customers, never decreases
	slotRate   float64 // estimated service per slot, in units per second
	meanCost   float64 // moving average of the cost of requests that ended here, in units; 0 if none ended
	customers  map[string]*customer
}

type customer struct {
	name        string
	virtualTime float64
	minVirtual  float64 // minimum virtual time of the accounts with waiting requests, never decreases
	accounts    map[string]*account
	waiting     int
	running     int
	// remoteRate is the weighted service per second that peers deliver according
	// to their last reports. remoteOffset is the sum, over these reports, of rate
	// times report time, so that remoteRate*now-remoteOffset estimates the service
	// delivered since the reports.
	remoteRate   float64
	remoteOffset float64
	// waitingSince is the time at which the customer last changed from no waiting
	// requests to some, in seconds since the epoch. raisedBy is the amount by which
	// its virtual time was raised then; it already accounts for service that peers
	// delivered before that time and report later.
	waitingSince float64
	raisedBy     float64
}

type account struct {
	key         Key
	virtualTime float64
	// delivered, waiting and running are the counts of this instance alone.
	delivered float64
	waiting   int
	running   int
	// fleetWaiting and fleetRunning include the counts that peers reported.
	fleetWaiting int
	fleetRunning int
}

type peer struct {
	incarnation uint32
	lastReport  time.Time
	rows        map[Key]Row
	keys        map[int]Key // by the account numbers that the peer assigned
	rates       map[Key]deliveryRate
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{services: map[string]*service{}, peers: map[string]*peer{}}
}

// Advance sets the current time for the calls that follow.
func (l *Ledger) Advance(now time.Time) {
	if l.epoch.IsZero() {
		l.epoch = now
	}
	l.now = now.Sub(l.epoch).Seconds()
}

// virtualNow returns a customer's estimated virtual time now. Peers report only
// periodically, so the service that they delivered since their last report is
// estimated from their rate. Without the estimate each instance would favour the
// customers of other instances, whose service it learns of late.
func (l *Ledger) virtualNow(c *customer) float64 {
	return c.virtualTime + math.Max(0, c.remoteRate*l.now-c.remoteOffset)
}

func (l *Ledger) weight(name string) float64 {
	if l.Weight == nil {
		return 1
	}
	if w := l.Weight(name); w > 0 {
		return w
	}
	return 1
}

func (l *Ledger) policy(service string) Policy {
	if l.Policy == nil {
		return Policy{}
	}
	return l.Policy(service)
}

func (l *Ledger) bonus(service, kind string) float64 {
	if l.Bonus == nil {
		return 0
	}
	return l.Bonus(service, kind)
}

func (l *Ledger) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{name: name, slotRate: l.policy(name).SlotRate, customers: map[string]*customer{}}
		l.services[name] = s
	}
	return s
}

func (s *service) customer(name string) *customer {
	c := s.customers[name]
	if c == nil {
		c = &customer{name: name, virtualTime: s.minVirtual, accounts: map[string]*account{}}
		s.customers[name] = c
	}
	return c
}

func (c *customer) account(k Key) *account {
	a := c.accounts[k.Kind]
	if a == nil {
		a = &account{key: k, virtualTime: c.minVirtual}
		c.accounts[k.Kind] = a
	}
	return a
}

func (l *Ledger) lookup(k Key) (*service, *customer, *account) {
	s := l.service(k.Service)
	c := s.customer(k.Customer)
	return s, c, c.account(k)
}

// Charge adds service that this instance delivered to an account, in units.
// Negative units are ignored.
func (l *Ledger) Charge(k Key, units float64) {
	if units <= 0 {
		return
	}
	_, c, a := l.lookup(k)
	a.delivered += units
	l.addVirtual(c, a, units)
}

func (l *Ledger) addVirtual(c *customer, a *account, units float64) {
	c.virtualTime += units / l.weight(c.name)
	a.virtualTime += units
}

// meanCostSmoothing is the smoothing factor of one request in the mean cost.
const meanCostSmoothing = 0.02

// RecordCost records the cost of a request that ended at this instance, in units.
func (l *Ledger) RecordCost(service string, cost float64) {
	s := l.service(service)
	if s.meanCost == 0 {
		s.meanCost = cost
		return
	}
	s.meanCost += meanCostSmoothing * (cost - s.meanCost)
}

// Duration returns the expected run time of a request of a service, in seconds, or
// infinity if no request has ended here or the service has no slot rate.
func (l *Ledger) Duration(service string) float64 {
	s := l.service(service)
	rate := l.policy(service).SlotRate
	if s.meanCost == 0 || rate == 0 {
		return math.Inf(1)
	}
	return s.meanCost / rate
}

// advanceCharge returns the units charged in advance for each running request.
func (l *Ledger) advanceCharge(s *service) float64 {
	advanceCharge := l.policy(s.name).AdvanceCharge
	if s.meanCost == 0 {
		return advanceCharge
	}
	return math.Min(advanceCharge, s.meanCost)
}

// SetLocalCounts records how many requests of an account wait and run at this instance.
func (l *Ledger) SetLocalCounts(k Key, waiting, running int) {
	s, c, a := l.lookup(k)
	l.adjustCounts(s, c, a, waiting-a.waiting, running-a.running)
	a.waiting = waiting
	a.running = running
}

// adjustCounts applies a change of the waiting and running counts of the fleet. When
// a customer changes from no waiting requests to some, its virtual time is raised to
// that of the service, so that idle customers accumulate no credit. The same holds
// for a kind within its customer.
func (l *Ledger) adjustCounts(s *service, c *customer, a *account, waitingDelta, runningDelta int) {
	if waitingDelta > 0 && c.waiting == 0 {
		l.raiseMinVirtual(s)
		c.raisedBy = math.Max(0, s.minVirtual-l.virtualNow(c))
		c.waitingSince = l.now
		c.virtualTime += c.raisedBy
	}
	if waitingDelta > 0 && a.fleetWaiting == 0 {
		raiseMinKindVirtual(c)
		a.virtualTime = math.Max(a.virtualTime, c.minVirtual)
	}
	a.fleetWaiting += waitingDelta
	a.fleetRunning += runningDelta
	c.waiting += waitingDelta
	c.running += runningDelta
}

func (l *Ledger) raiseMinVirtual(s *service) {
	lowest := math.Inf(1)
	for _, c := range s.customers {
		if c.waiting > 0 {
			lowest = math.Min(lowest, l.virtualNow(c))
		}
	}
	if !math.IsInf(lowest, 1) {
		s.minVirtual = math.Max(s.minVirtual, lowest)
	}
}

func raiseMinKindVirtual(c *customer) {
	lowest := math.Inf(1)
	for _, a := range c.accounts {
		if a.fleetWaiting > 0 {
			lowest = math.Min(lowest, a.virtualTime)
		}
	}
	if !math.IsInf(lowest, 1) {
		c.minVirtual = math.Max(c.minVirtual, lowest)
	}
}

// Order returns the sort key of an account as two numbers that are compared one after
// the other: the customer's and the kind's. Lower is served earlier. pendingCustomer
// and pendingKind count grants that the caller has made and that no report shows yet.
func (l *Ledger) Order(k Key, pendingCustomer, pendingKind int) (float64, float64) {
	s, c, a := l.lookup(k)
	advanceCharge := l.advanceCharge(s)
	first := l.virtualNow(c) + advanceCharge*float64(c.running+pendingCustomer)/l.weight(c.name)
	second := a.virtualTime + advanceCharge*float64(a.fleetRunning+pendingKind) - l.bonus(k.Service, k.Kind)
	return first, second
}

// Lowest returns the lowest customer sort key (the first number of Order) among the
// customers with requests waiting for a service anywhere in the fleet, and false if
// no request waits.
func (l *Ledger) Lowest(service string) (float64, bool) {
	s := l.services[service]
	if s == nil {
		return 0, false
	}
	lowest := math.Inf(1)
	advanceCharge := l.advanceCharge(s)
	for _, c := range s.customers {
		if c.waiting > 0 {
			lowest = math.Min(lowest, l.virtualNow(c)+advanceCharge*float64(c.running)/l.weight(c.name))
		}
	}
	return lowest, !math.IsInf(lowest, 1)
}

// BoundLags limits how far the waiting customers of each service lag behind the one
// with the highest virtual time to the service's MaxLag.
func (l *Ledger) BoundLags() {
	for _, s := range l.services {
		maxLag := l.policy(s.name).MaxLag
		if maxLag <= 0 {
			continue
		}
		highest := math.Inf(-1)
		for _, c := range s.customers {
			if c.waiting > 0 {
				highest = math.Max(highest, l.virtualNow(c))
			}
		}
		for _, c := range s.customers {
			if c.waiting > 0 {
				c.virtualTime += math.Max(0, highest-maxLag-l.virtualNow(c))
			}
		}
	}
}

// Standing is a customer's position in the schedule of a service.
type Standing struct {
	Service  string
	Customer string
	// Lead is the weighted service by which the customer is ahead of the waiting
	// customer with the lowest virtual time, in units; 0 if no customer waits.
	Lead    float64
	Waiting int
	Running int
}

// Standings returns the customers with requests waiting or running in the fleet,
// ordered by service and name.
func (l *Ledger) Standings() []Standing {
	var all []Standing
	for _, s := range l.services {
		lowest := l.lowestWaiting(s)
		for _, c := range s.customers {
			if c.waiting == 0 && c.running == 0 {
				continue
			}
			lead := l.virtualNow(c) - lowest
			if math.IsInf(lowest, 1) {
				lead = 0
			}
			all = append(all, Standing{s.name, c.name, lead, c.waiting, c.running})
		}
	}
	slices.SortFunc(all, func(x, y Standing) int {
		return compareKeys(Key{Service: x.Service, Customer: x.Customer}, Key{Service: y.Service, Customer: y.Customer})
	})
	return all
}
