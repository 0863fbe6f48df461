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

// serviceTrace describes one service of a trace and the load that it is offered.
type serviceTrace struct {
	name      string
	unit      fleet.Unit
	endpoints int
	slots     int
	rate      float64 // units per second and slot
	meanCost  float64 // units per request
	sigma     float64 // of the lognormal cost distribution
	maxCost   float64 // units of the largest request
	load      float64 // offered load divided by capacity
}

// trace describes the requests that arrive at a fleet. The same seed gives the same
// arrivals in every scheduling mode.
type trace struct {
	name                              string
	domains                           int
	instances                         int
	customers                         int
	largeCustomers                    int
	sameDomainDelay, crossDomainDelay time.Duration
	services                          []serviceTrace
	kinds                             []string
	urgency                           map[string]int
	flood                             *flood
	pinned                            bool // each customer's requests all arrive at one instance
	length                            time.Duration
	seed                              uint64
}

func kaseTrace(length time.Duration, seed uint64) trace {
	return trace{
		name: "kase", domains: 3, instances: 5, customers: 15, largeCustomers: 3,
		sameDomainDelay: 250 * time.Microsecond, crossDomainDelay: 1500 * time.Microsecond,
		services: []serviceTrace{
			{name: "keelemudel", unit: fleet.UnitTokens, endpoints: 20, slots: 16, rate: 40, meanCost: 800, sigma: 1, maxCost: 8000, load: 1.15},
			{name: "crew-portal", unit: fleet.UnitTime, endpoints: 3, slots: 8, rate: 1000, meanCost: 20, sigma: 0.5, maxCost: 200, load: 0.2},
		},
		kinds: []string{"plan", "summary", "tag"}, length: length, seed: seed,
	}
}

func cordilleraTrace(length time.Duration, seed uint64) trace {
	return trace{
		name: "cordillera", domains: 4, instances: 4, customers: 15, largeCustomers: 3,
		sameDomainDelay: 250 * time.Microsecond, crossDomainDelay: 500 * time.Microsecond,
		services: []serviceTrace{
			{name: "asistente-modelo", unit: fleet.UnitTokens, endpoints: 10, slots: 16, rate: 40, meanCost: 800, sigma: 1, maxCost: 8000, load: 1.15},
			{name: "gestion-pedidos", unit: fleet.UnitTime, endpoints: 4, slots: 8, rate: 1000, meanCost: 20, sigma: 0.5, maxCost: 200, load: 0.2},
		},
		kinds: []string{"question", "quotation", "summary"}, length: length, seed: seed,
	}
}

func scaledTrace(length time.Duration, seed uint64) trace {
	return trace{
		name: "scaled", domains: 5, instances: 50, customers: 300, largeCustomers: 20,
		sameDomainDelay: 250 * time.Microsecond, crossDomainDelay: 1500 * time.Microsecond,
		services: []serviceTrace{
			{name: "model", unit: fleet.UnitTokens, endpoints: 500, slots: 16, rate: 40, meanCost: 800, sigma: 1, maxCost: 8000, load: 1.15},
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

// loadShares returns the fraction of the load that each customer offers: the large
// ones have two thirds of it between them.
func (t trace) loadShares() []float64 {
	parts := make([]float64, t.customers)
	for i := range parts {
		if i < t.largeCustomers {
			parts[i] = 2.0 / 3 / float64(t.largeCustomers)
			continue
		}
		parts[i] = 1.0 / 3 / float64(t.customers-t.largeCustomers)
	}
	return parts
}

// jobs returns all arrivals in chronological order.
func (t trace) jobs() []*job {
	var all []*job
	for si, s := range t.services {
		rng := rand.New(rand.NewPCG(t.seed, uint64(si)))
		capacity := float64(s.endpoints*s.slots) * s.rate
		for ci, fraction := range t.loadShares() {
			all = append(all, t.customerJobs(rng, s, ci, fraction*s.load*capacity/s.meanCost)...)
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

// flood is an overload by requests of one or several kinds.
type flood struct {
	kinds       []string
	from, to    time.Duration
	factor      float64 // offered load divided by the capacity of the first service
	oneCustomer bool    // from one customer only
}

func (t trace) floodJobs() []*job {
	if t.flood == nil {
		return nil
	}
	s := t.services[0]
	rng := rand.New(rand.NewPCG(t.seed, 99))
	perSecond := t.flood.factor * float64(s.endpoints*s.slots) * s.rate / s.meanCost
	var all []*job
	for at := t.flood.from.Seconds(); at < t.flood.to.Seconds(); at += rng.ExpFloat64() / perSecond {
		customer := 0
		if !t.flood.oneCustomer {
			customer = rng.IntN(t.customers)
		}
		kind := t.flood.kinds[rng.IntN(len(t.flood.kinds))]
		key := share.Key{Service: s.name, Customer: fmt.Sprintf("c%02d", customer), Kind: kind}
		all = append(all, &job{key: key, entry: t.entry(rng, customer), cost: t.cost(rng, s), at: time.Duration(at * float64(time.Second))})
	}
	return all
}

func (t trace) cost(rng *rand.Rand, s serviceTrace) float64 {
	mu := math.Log(s.meanCost) - s.sigma*s.sigma/2
	return math.Max(1, math.Min(math.Exp(mu+s.sigma*rng.NormFloat64()), s.maxCost))
}

// entry returns the index of the instance that receives a request. The distribution
// is uneven: each instance gets about 1.5 times as many requests as the next one.
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

// schedulingMode is one of the ways to share slots that are compared on the same
// trace.
type schedulingMode string

const (
	modeFleet    schedulingMode = "fleet"
	modeCentral  schedulingMode = "central"
	modeIsolated schedulingMode = "alone"
	modeFIFO     schedulingMode = "fifo"
)

// buildSimulation returns the simulation of a trace with its arrivals: the fleet
// itself, one central scheduler that sees all requests without delay, or isolated
// routers that each own a part of the slots.
func (t trace) buildSimulation(mode schedulingMode, configure func(*scheduler.Scheduler)) *simulation {
	sim := t.emptySimulation(mode, configure)
	for _, j := range t.jobs() {
		if mode == modeCentral || mode == modeFIFO {
			j.entry = 0
		}
		sim.after(j.at, func() { sim.submit(j) })
	}
	return sim
}

// emptySimulation returns the simulation of a trace without arrivals.
func (t trace) emptySimulation(mode schedulingMode, configure func(*scheduler.Scheduler)) *simulation {
	sim := newSimulation(t.seed)
	sim.sameDomainDelay, sim.crossDomainDelay = t.sameDomainDelay, t.crossDomainDelay
	sim.configure = func(s *scheduler.Scheduler) {
		t.applyPolicy(s, sim)
		if mode == modeFIFO {
			useFIFO(s)
		}
		if configure != nil {
			configure(s)
		}
	}
	for _, s := range t.services {
		sim.units[s.name] = s.unit
		sim.rate[s.name] = s.rate
	}
	sim.endpoints = t.endpoints()
	switch mode {
	case modeCentral, modeFIFO:
		for i := range sim.endpoints {
			sim.endpoints[i].Domain = "d0"
		}
		sim.addNode("e0", "d0")
	case modeIsolated:
		for i := range t.instances {
			sim.addNode(fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i))
		}
		sim.endpoints = splitSlots(sim.endpoints, t.instances)
		sim.isolated = true
	case modeFleet:
		for i := range t.instances {
			sim.addNode(fmt.Sprintf("e%d", i), fmt.Sprintf("d%d", i%t.domains))
		}
	}
	if mode == modeIsolated {
		sim.disconnected = func(a, b *node) bool { return a != b }
	}
	sim.begin()
	return sim
}

// The scheduling parameters of the router, in seconds of a slot's service.
const (
	slackSeconds         = 0.5
	advanceChargeSeconds = 5.0
	bonusSeconds         = 10.0
	maxLagSeconds        = 200.0
)

func (t trace) applyPolicy(s *scheduler.Scheduler, sim *simulation) {
	s.Policy.Slack = func(service string) float64 { return slackSeconds * sim.rate[service] }
	s.Ledger.Policy = func(service string) share.Policy {
		rate := sim.rate[service]
		return share.Policy{SlotRate: rate, AdvanceCharge: advanceChargeSeconds * rate, MaxLag: maxLagSeconds * rate}
	}
	s.Ledger.Bonus = func(service, kind string) float64 {
		return float64(t.urgency[kind]) * bonusSeconds * sim.rate[service]
	}
}

// useFIFO makes a scheduler serve the request that arrived first.
func useFIFO(s *scheduler.Scheduler) {
	s.Policy.Slack = func(string) float64 { return math.Inf(1) }
	s.Order = func(k share.Key, _, _ int) (float64, float64) {
		at, ok := s.Queue.Oldest(k)
		if !ok {
			return math.Inf(1), 0
		}
		return at.Sub(epoch).Seconds(), 0
	}
}

// splitSlots distributes the slots of every endpoint over n isolated routers.
func splitSlots(endpoints []scheduler.Endpoint, n int) []scheduler.Endpoint {
	var parts []scheduler.Endpoint
	for i, e := range endpoints {
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
