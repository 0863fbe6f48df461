package router

import (
	"slices"
	"sync/atomic"

	"github.com/greengagestep/greengagestep/internal/queue"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// slackSeconds bounds how far a customer's virtual time may exceed the lowest
	// one for its request to get a slot that came free at the instance where the
	// request waits.
	slackSeconds = 0.5 // seconds of service of one slot
	// advanceChargeSeconds is the service that each running request is charged in
	// advance.
	advanceChargeSeconds = 5.0 // seconds of service of one slot
	// urgencyStepSeconds is the priority bonus that each level of urgency gives a
	// kind over other kinds.
	urgencyStepSeconds = 10.0 // seconds of service of one slot
	// maxLagSeconds is the largest lag that a customer is compensated for.
	maxLagSeconds = 200.0 // seconds of service of one slot
	// customerMemoryDivisor limits the queued requests of one customer to the
	// memory for all queued requests divided by this number.
	customerMemoryDivisor = 4
)

// policy derives the parameters of the scheduler from the configuration in force.
// Without a configuration or an entry in it, defaults apply.
type policy struct {
	config atomic.Pointer[arrangement.Config]
	// domains holds the failure domains whose endpoints may run the requests of each customer
	// that has regions.
	domains atomic.Pointer[map[string]map[string]bool]
}

// set puts a configuration into force.
func (p *policy) set(config arrangement.Config) {
	domains := map[string]map[string]bool{}
	for _, c := range config.Customers {
		if len(c.Regions) == 0 {
			continue
		}
		domains[c.Name] = map[string]bool{}
		for _, d := range config.Domains {
			if slices.Contains(c.Regions, d.Region) {
				domains[c.Name][d.Name] = true
			}
		}
	}
	p.domains.Store(&domains)
	p.config.Store(&config)
}

// domainsOf returns the failure domains whose endpoints may run the requests of a customer, nil for
// all.
func (p *policy) domainsOf(customer string) map[string]bool {
	if domains := p.domains.Load(); domains != nil {
		return (*domains)[customer]
	}
	return nil
}

func (p *policy) apply(s *scheduler.Scheduler, memoryBytes int64) {
	s.Policy.Unit = p.unit
	s.Policy.Domains = p.domainsOf
	s.Policy.Slack = func(service string) float64 { return slackSeconds * p.rate(service) }
	s.Ledger.Weight = p.weight
	s.Ledger.Policy = func(service string) share.Policy {
		rate := p.rate(service)
		return share.Policy{SlotRate: rate, AdvanceCharge: advanceChargeSeconds * rate, MaxLag: maxLagSeconds * rate}
	}
	s.Ledger.Bonus = p.bonus
	s.Queue.Limits = func(kind string) queue.Limits {
		return queue.Limits{RequestsPerKey: p.requestLimit(kind), BytesPerCustomer: memoryBytes / customerMemoryDivisor, TotalBytes: memoryBytes}
	}
}

func (p *policy) unit(service string) fleet.Unit {
	if config := p.config.Load(); config != nil {
		if s, ok := config.Service(service); ok {
			return s.Unit
		}
	}
	return fleet.UnitTokens
}

func (p *policy) rate(service string) float64 {
	if config := p.config.Load(); config != nil {
		if s, ok := config.Service(service); ok {
			return s.Rate
		}
	}
	return 1
}

func (p *policy) weight(customer string) float64 {
	config := p.config.Load()
	if config == nil {
		return 1
	}
	for _, c := range config.Customers {
		if c.Name == customer {
			return c.Weight
		}
	}
	return 1
}

func (p *policy) kind(name string) (arrangement.Kind, bool) {
	config := p.config.Load()
	if config == nil {
		return arrangement.Kind{}, false
	}
	for _, k := range config.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return arrangement.Kind{}, false
}

func (p *policy) bonus(service, kind string) float64 {
	k, _ := p.kind(kind)
	return float64(k.Urgency) * urgencyStepSeconds * p.rate(service)
}

const defaultRequestLimit = 1000

func (p *policy) requestLimit(kind string) int {
	k, ok := p.kind(kind)
	if !ok || k.MaxWaiting == 0 {
		return defaultRequestLimit
	}
	return k.MaxWaiting
}
