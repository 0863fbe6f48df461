package scheduler_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// serviceTrace describes one service of a trace.
type serviceTrace struct {
	name      string
	unit      fleet.Unit
	endpoints int
	slots     int
	rate      float64 // units per second and slot
	mean      float64 // units per request
	sigma     float64 // of the lognormal cost
	most      float64 // largest cost
	load      float64 // offered over capacity
}

// trace describes arrivals at a fleet. The same seed gives the same arrivals
// whoever schedules them.
type trace struct {
	name      string
	domains   int
	instances int
	customers int
	large     int
	near, far time.Duration
	services  []serviceTrace
	kinds     []string
	urgency   map[string]int
	flood     *flood
	pinned    bool // each customer's requests all arrive at one instance
	length    time.Duration
	seed      uint64
}

func kase(length time.Duration, seed uint64) trace {
	return trace{
		name: "kase", domains: 3, instances: 5, customers: 15, large: 3,
		near: 250 * time.Microsecond, far: 1500 * time.Microsecond,
		services: []serviceTrace{
			{name: "keelemudel", unit: fleet.UnitTokens, endpoints: 20, slots: 16, rate: 40, mean: 800, sigma: 1, most: 8000, load: 1.15},
			{name: "crew-portal", unit: fleet.UnitTime, endpoints: 3, slots: 8, rate: 1000, mean: 20, sigma: 0.5, most: 200, load: 0.2},
		},
		kinds: []string{"plan", "summary", "tag"}, length: length, seed: seed,
	}
}

func cordillera(length time.Duration, seed uint64) trace {
	return trace{
		name: "cordillera", domains: 4, instances: 4, customers: 15, large: 3,
		near: 250 * time.Microsecond, far: 500 * time.Microsecond,
		services: []serviceTrace{
			{name: "asistente-modelo", unit: fleet.UnitTokens, endpoints: 10, slots: 16, rate: 40, mean: 800, sigma: 1, most: 8000, load: 1.15},
			{name: "gestion-pedidos", unit: fleet.UnitTime, endpoints: 4, slots: 8, rate: 1000, mean: 20, sigma: 0.5, most: 200, load: 0.2},
		},
		kinds: []string{"question", "quotation", "summary"}, length: length, seed: seed,
	}
}

func scaled(length time.Duration, seed uint64) trace {
	return trace{
		name: "scaled", domains: 5, instances: 50, customers: 300, large: 20,
		near: 250 * time.Microsecond, far: 1500 * time.Microsecond,
		services: []serviceTrace{
			{name: "model", unit: fleet.UnitTokens, endpoints: 500, slots: 16, rate: 40, mean: 800, sigma: 1, most: 8000, load: 1.15},
		},
		kinds: []string{"question"}, length: length, seed: seed,
	}
}

func (t trace) endpoints() []scheduler.Endpoint {
	var all []scheduler.Endpoint
	for _, s := range t.services {
		for i := range s.endpoints {
			all = append(all, scheduler.Endpoint{
				Name: fmt.Sprintf("%s-%d", s.name, i), Service: s.name,
				Domain: fmt.Sprintf("d%d", i%t.domains), Slots: s.slots,
			})
		}
	}
	return all
}

// shares returns the part of the load that each customer offers: the large ones
// have two thirds of it between them.
func (t trace) shares() []float64 {
	parts := make([]float64, t.customers)
	for i := range parts {
		if i < t.large {
			parts[i] = 2.0 / 3 / float64(t.large)
			continue
		}
		parts[i] = 1.0 / 3 / float64(t.customers-t.large)
	}
	return parts
}

// jobs returns all arrivals in order.
func (t trace) jobs() []*job {
	var all []*job
	for si, s := range t.services {
		rng := rand.New(rand.NewPCG(t.seed, uint64(si)))
		capacity := float64(s.endpoints*s.slots) * s.rate
		for ci, part := range t.shares() {
			all = append(all, t.customerJobs(rng, s, ci, part*s.load*capacity/s.mean)...)
		}
	}
	all = append(all, t.floodJobs()...)
	slices.SortStableFunc(all, func(a, b *job) int { return int(a.at - b.at) })
	for i, j := range all {
		j.id = fmt.Sprintf("r%d", i)
	}
	return all
}

func (t trace) customerJobs(rng *rand.Rand, s serviceTrace, customer int, perSecond float64) []*job {
	var all []*job
	at := 0.0
	for {
		at += rng.ExpFloat64() / perSecond
		if at > t.length.Seconds() {
			return all
		}
		cost := t.cost(rng, s)
		entry := t.entry(rng, customer)
		kind := t.kinds[rng.IntN(len(t.kinds))]
		key := share.Key{Service: s.name, Customer: fmt.Sprintf("c%02d", customer), Kind: kind}
		all = append(all, &job{key: key, entry: entry, cost: cost, at: time.Duration(at * float64(time.Second))})
	}
}

// flood is one kind of work, or several, that floods in.
type flood struct {
	kinds    []string
	from, to time.Duration
	factor   float64 // offered over the capacity of the first service
	one      bool    // from one customer only
}

func (t trace) floodJobs() []*job {
	if t.flood == nil {
		return nil
	}
	s := t.services[0]
	rng := rand.New(rand.NewPCG(t.seed, 99))
	perSecond := t.flood.factor * float64(s.endpoints*s.slots) * s.rate / s.mean
	var all []*job
	for at := t.flood.from.Seconds(); at < t.flood.to.Seconds(); at += rng.ExpFloat64() / perSecond {
		customer := 0
		if !t.flood.one {
			customer = rng.IntN(t.customers)
		}
		kind := t.flood.kinds[rng.IntN(len(t.flood.kinds))]
		key := share.Key{Service: s.name, Customer: fmt.Sprintf("c%02d", customer), Kind: kind}
		all = append(all, &job{key: key, entry: t.entry(rng, customer), cost: t.cost(rng, s), at: time.Duration(at * float64(time.Second))})
	}
	return all
}

func (t trace) cost(rng *rand.Rand, s serviceTrace) float64 {
	mu := math.Log(s.mean) - s.sigma*s.sigma/2
	return math.Max(1, math.Min(math.Exp(mu+s.sigma*rng.NormFloat64()), s.most))
}

// entry spreads requests unevenly: each instance gets half as much again as the
// next one.
func (t trace) entry(rng *rand.Rand, customer int) int {
	if t.pinned {
		return customer % t.instances
	}
	for i := range min(t.instances, 8) - 1 {
		if rng.IntN(3) == 0 {
			return (i + customer) % t.instances
		}
	}
	return rng.IntN(t.instances)
}

// way is one of the ways to share that are compared on the same trace.
type way string

const (
	wayFleet   way = "fleet"
	wayCentral way = "central"
	wayAlone   way = "alone"
	wayFIFO    way = "fifo"
)

// build makes the world for a trace: the fleet itself, one central scheduler
// that sees all at no delay, or routers that each have their part of the slots.
func (t trace) build(how way, tune func(*scheduler.Scheduler)) *world {
	w := t.empty(how, tune)
	for _, j := range t.jobs() {
		if how == wayCentral || how == wayFIFO {
			j.entry = 0
		}
		w.after(j.at, func() { w.submit(j) })
	}
	return w
}

// empty makes the world without arrivals.
func (t trace) empty(how way, tune func(*scheduler.Scheduler)) *world {
	w := newWorld(t.seed)
	w.near, w.far = t.near, t.far
	w.tune = func(s *scheduler.Scheduler) {
		t.rules(s, w)
		if how == wayFIFO {
			firstCome(s)
		}
		if tune != nil {
			tune(s)
		}
	}
	for _, s := range t.services {
		w.units[s.name] = s.unit
		w.rate[s.name] = s.rate
	}
	w.eps = t.endpoints()
	switch how {
	case wayCentral, wayFIFO:
		for i := range w.eps {
			w.eps[i].Domain = "d0"
		}
		w.addNode("e0", "d0")
	case wayAlone:
		for i := range t.instances {
			w.addNode(fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i))
		}
		w.eps = split(w.eps, t.instances)
		w.alone = true
	case wayFleet:
		for i := range t.instances {
			w.addNode(fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i%t.domains))
		}
	}
	if how == wayAlone {
		w.cut = func(a, b *node) bool { return a != b }
	}
	w.begin()
	return w
}

// Rules as the router has them, in seconds of a slot's service.
const (
	slackTime   = 0.5
	aheadTime   = 5.0
	urgencyTime = 10.0
	debtTime    = 200.0
)

func (t trace) rules(s *scheduler.Scheduler, w *world) {
	s.Policy.Slack = func(service string) float64 { return slackTime * w.rate[service] }
	s.Book.Policy = func(service string) share.Policy {
		rate := w.rate[service]
		return share.Policy{SlotRate: rate, AdvanceCharge: aheadTime * rate, MaxLag: debtTime * rate}
	}
	s.Book.Bonus = func(service, kind string) float64 {
		return float64(t.urgency[kind]) * urgencyTime * w.rate[service]
	}
}

// firstCome makes a scheduler serve the request that arrived first.
func firstCome(s *scheduler.Scheduler) {
	s.Policy.Slack = func(string) float64 { return math.Inf(1) }
	s.Order = func(k share.Key, _, _ int) (float64, float64) {
		at, ok := s.Queue.Oldest(k)
		if !ok {
			return math.Inf(1), 0
		}
		return at.Sub(epoch).Seconds(), 0
	}
}

// split deals the slots of every endpoint out to n routers that know nothing of
// each other.
func split(eps []scheduler.Endpoint, n int) []scheduler.Endpoint {
	var parts []scheduler.Endpoint
	for i, e := range eps {
		for r := range n {
			slots := e.Slots / n
			if (r+i)%n < e.Slots%n {
				slots++
			}
			parts = append(parts, scheduler.Endpoint{Name: fmt.Sprintf("%s/%d", e.Name, r), Service: e.Service, Domain: fmt.Sprintf("d%d", r), Slots: slots})
		}
	}
	return parts
}
