// Package share keeps the service accounts of customers and decides who is
// served next.
//
// Service is charged as it is delivered. Every instance counts what it delivered
// in grow-only counters and sends them to its peers; every instance derives from
// all counters a virtual time for each customer and kind. Among those with work
// waiting, the lowest virtual time goes first.
package share

import (
	"math"
	"slices"
	"time"
)

// Key names one account: a customer's work of one kind at one service.
type Key struct {
	Service  string
	Customer string
	Kind     string
}

// Row is the state that one instance reports about one account. Delivered only
// grows while the instance lives.
type Row struct {
	Key       Key
	Delivered float64 // units of service
	Waiting   int     // requests that wait at the reporting instance
	Running   int     // requests that run under the reporting instance
}

// cutAfter is the silence after which a peer's deliveries in the meantime are
// not charged any more: they happened on the other side of a partition, and the
// debt is forgiven (docs/design/shares.md).
const cutAfter = 2 * time.Second

// lagBlend is the fraction by which a report of the reference instance moves
// the lags here.
const lagBlend = 0.3

// Terms are the rules of one service, taken from the configuration.
type Terms struct {
	// Ahead is charged in advance for each running request, in units, but not
	// more than the mean cost of a request. It spreads slots that come free
	// together over the customers and keeps the shares from swinging.
	Ahead float64
	// Rate is the usual service of a slot, in units a second, until it has
	// been measured.
	Rate float64
	// Debt is the largest lag behind the furthest waiting customer that is
	// ever paid back, in units. Zero means no limit.
	Debt float64
}

// Book holds the accounts that one instance knows. It is not safe for
// concurrent use. Set the fields before the first call.
type Book struct {
	// Weight returns a customer's weight; nil means 1 for all.
	Weight func(customer string) float64
	// Terms returns the rules of a service; nil means no terms.
	Terms func(service string) Terms
	// Bonus returns the head start of a kind of work at a service within its
	// customer, in units;
	// nil means none.
	Bonus func(service, kind string) float64
	// PayBack charges deliveries from behind a partition in full after the
	// rejoin instead of forgiving them. It exists to be measured against.
	PayBack bool

	services map[string]*service
	peers    map[string]*peer
	epoch    time.Time
	now      float64 // seconds since epoch
}

type service struct {
	name      string
	floor     float64 // virtual time of the service, monotone
	pace      float64 // estimated service of a slot, in units a second
	mean      float64 // mean cost of the requests that ended here, 0 if none did
	customers map[string]*customer
}

type customer struct {
	name    string
	virtual float64
	floor   float64 // virtual time among the kinds, monotone
	kinds   map[string]*kind
	waiting int
	running int
	// flow is the weighted service a second that peers deliver by their last
	// reports, and base the sum over the reports of flow times their time, so
	// that flow*now-base estimates what was delivered since.
	flow float64
	base float64
	// since is when the customer's work last began to wait, and lifted by how
	// much its virtual time was raised then. What peers delivered before that
	// and report later is covered by it.
	since  float64
	lifted float64
}

type kind struct {
	key     Key
	virtual float64
	// delivered, waiting and running are this instance's own.
	delivered float64
	waiting   int
	running   int
	// allWaiting and allRunning include the peers' reports.
	allWaiting int
	allRunning int
}

type peer struct {
	incarnation uint32
	heard       time.Time
	rows        map[Key]Row
	names       map[int]Key // as numbered by the peer
	flows       map[Key]flow
}

// New returns an empty book.
func New() *Book {
	return &Book{services: map[string]*service{}, peers: map[string]*peer{}}
}

// Advance sets the time for the calls that follow.
func (b *Book) Advance(now time.Time) {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	b.now = now.Sub(b.epoch).Seconds()
}

// at returns a customer's virtual time now. Peers report only now and then, so
// what they delivered since their last report is estimated from their rate.
// Without that every instance would favour the customers of others, whose service
// it sees late.
func (b *Book) at(c *customer) float64 {
	return c.virtual + math.Max(0, c.flow*b.now-c.base)
}

func (b *Book) weight(name string) float64 {
	if b.Weight == nil {
		return 1
	}
	if w := b.Weight(name); w > 0 {
		return w
	}
	return 1
}

func (b *Book) terms(service string) Terms {
	if b.Terms == nil {
		return Terms{}
	}
	return b.Terms(service)
}

func (b *Book) bonus(service, kind string) float64 {
	if b.Bonus == nil {
		return 0
	}
	return b.Bonus(service, kind)
}

func (b *Book) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{name: name, pace: b.terms(name).Rate, customers: map[string]*customer{}}
		b.services[name] = s
	}
	return s
}

func (s *service) customer(name string) *customer {
	c := s.customers[name]
	if c == nil {
		c = &customer{name: name, virtual: s.floor, kinds: map[string]*kind{}}
		s.customers[name] = c
	}
	return c
}

func (c *customer) kind(k Key) *kind {
	a := c.kinds[k.Kind]
	if a == nil {
		a = &kind{key: k, virtual: c.floor}
		c.kinds[k.Kind] = a
	}
	return a
}

func (b *Book) account(k Key) (*service, *customer, *kind) {
	s := b.service(k.Service)
	c := s.customer(k.Customer)
	return s, c, c.kind(k)
}

// Charge adds delivered service of this instance to an account. Negative units
// are ignored.
func (b *Book) Charge(k Key, units float64) {
	if units <= 0 {
		return
	}
	_, c, a := b.account(k)
	a.delivered += units
	b.advance(c, a, units)
}

func (b *Book) advance(c *customer, a *kind, units float64) {
	c.virtual += units / b.weight(c.name)
	a.virtual += units
}

// meanBlend is the weight of one request in the mean cost.
const meanBlend = 0.02

// Ended records the cost of a request that ended at this instance, in units.
func (b *Book) Ended(service string, cost float64) {
	s := b.service(service)
	if s.mean == 0 {
		s.mean = cost
		return
	}
	s.mean += meanBlend * (cost - s.mean)
}

// Duration returns how long a request of a service usually runs, in seconds, or
// infinity if none has ended here.
func (b *Book) Duration(service string) float64 {
	s := b.service(service)
	rate := b.terms(service).Rate
	if s.mean == 0 || rate == 0 {
		return math.Inf(1)
	}
	return s.mean / rate
}

// ahead returns what each running request is charged in advance, in units.
func (b *Book) ahead(s *service) float64 {
	ahead := b.terms(s.name).Ahead
	if s.mean == 0 {
		return ahead
	}
	return math.Min(ahead, s.mean)
}

// SetOwn records how many requests wait and run at this instance.
func (b *Book) SetOwn(k Key, waiting, running int) {
	s, c, a := b.account(k)
	b.shift(s, c, a, waiting-a.waiting, running-a.running)
	a.waiting = waiting
	a.running = running
}

// shift applies a change of what waits and runs in the fleet. A customer whose
// work starts to wait is lifted to the virtual time of the service, so that idle
// customers bank nothing. The same holds for a kind within its customer.
func (b *Book) shift(s *service, c *customer, a *kind, waiting, running int) {
	if waiting > 0 && c.waiting == 0 {
		b.raiseFloor(s)
		c.lifted = math.Max(0, s.floor-b.at(c))
		c.since = b.now
		c.virtual += c.lifted
	}
	if waiting > 0 && a.allWaiting == 0 {
		raiseKindFloor(c)
		a.virtual = math.Max(a.virtual, c.floor)
	}
	a.allWaiting += waiting
	a.allRunning += running
	c.waiting += waiting
	c.running += running
}

func (b *Book) raiseFloor(s *service) {
	lowest := math.Inf(1)
	for _, c := range s.customers {
		if c.waiting > 0 {
			lowest = math.Min(lowest, b.at(c))
		}
	}
	if !math.IsInf(lowest, 1) {
		s.floor = math.Max(s.floor, lowest)
	}
}

func raiseKindFloor(c *customer) {
	lowest := math.Inf(1)
	for _, a := range c.kinds {
		if a.allWaiting > 0 {
			lowest = math.Min(lowest, a.virtual)
		}
	}
	if !math.IsInf(lowest, 1) {
		c.floor = math.Max(c.floor, lowest)
	}
}

// Order returns the position of an account in the order of service as two
// numbers that compare one after the other: the customer's and the kind's.
// Lower is served earlier. Pending counts grants of the caller that no report
// shows yet.
func (b *Book) Order(k Key, pendingCustomer, pendingKind int) (float64, float64) {
	s, c, a := b.account(k)
	ahead := b.ahead(s)
	first := b.at(c) + ahead*float64(c.running+pendingCustomer)/b.weight(c.name)
	second := a.virtual + ahead*float64(a.allRunning+pendingKind) - b.bonus(k.Service, k.Kind)
	return first, second
}

// Lowest returns the lowest customer order among those with work waiting for a
// service anywhere in the fleet, and false if none waits.
func (b *Book) Lowest(service string) (float64, bool) {
	s := b.services[service]
	if s == nil {
		return 0, false
	}
	lowest := math.Inf(1)
	ahead := b.ahead(s)
	for _, c := range s.customers {
		if c.waiting > 0 {
			lowest = math.Min(lowest, b.at(c)+ahead*float64(c.running)/b.weight(c.name))
		}
	}
	return lowest, !math.IsInf(lowest, 1)
}

// Limit bounds the lags of the waiting customers by the service's debt.
func (b *Book) Limit() {
	for _, s := range b.services {
		debt := b.terms(s.name).Debt
		if debt <= 0 {
			continue
		}
		highest := math.Inf(-1)
		for _, c := range s.customers {
			if c.waiting > 0 {
				highest = math.Max(highest, b.at(c))
			}
		}
		for _, c := range s.customers {
			if c.waiting > 0 {
				c.virtual += math.Max(0, highest-debt-b.at(c))
			}
		}
	}
}

// Standing is a customer's position at a service.
type Standing struct {
	Service  string
	Customer string
	// Lag is the weighted service by which the customer is ahead of the
	// lowest waiting one, in units; 0 if none waits.
	Lag     float64
	Waiting int
	Running int
}

// Standings returns the customers with work waiting or running in the fleet,
// ordered by service and name.
func (b *Book) Standings() []Standing {
	var all []Standing
	for _, s := range b.services {
		lowest := b.lowestWaiting(s)
		for _, c := range s.customers {
			if c.waiting == 0 && c.running == 0 {
				continue
			}
			lag := b.at(c) - lowest
			if math.IsInf(lowest, 1) {
				lag = 0
			}
			all = append(all, Standing{s.name, c.name, lag, c.waiting, c.running})
		}
	}
	slices.SortFunc(all, func(x, y Standing) int {
		return compareKeys(Key{Service: x.Service, Customer: x.Customer}, Key{Service: y.Service, Customer: y.Customer})
	})
	return all
}
