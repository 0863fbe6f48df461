package router

import (
	"sync/atomic"

	"github.com/greengagestep/greengagestep/internal/queue"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// slackTime is how far, in service of one slot, a customer may stand above
	// the lowest one and still use a slot that came free where it waits.
	slackTime = 0.5 // seconds
	// aheadTime is the service of one slot that each running request is
	// charged in advance.
	aheadTime = 5.0 // seconds
	// urgencyTime is the head start of one step of urgency over other kinds,
	// in service of one slot.
	urgencyTime = 10.0 // seconds
	// debtTime is the longest lag that is paid back, in service of one slot.
	debtTime = 200.0 // seconds
	// customerPart is the part of the memory that one customer may take.
	customerPart = 4
)

// policy gives the scheduler the rules of the configuration in force.
type policy struct {
	text atomic.Pointer[arrangement.Config]
}

func (p *policy) apply(s *scheduler.Scheduler, memory int64) {
	s.Policy.Unit = p.unit
	s.Policy.Slack = func(service string) float64 { return slackTime * p.rate(service) }
	s.Ledger.Weight = p.weight
	s.Ledger.Policy = func(service string) share.Policy {
		rate := p.rate(service)
		return share.Policy{SlotRate: rate, AdvanceCharge: aheadTime * rate, MaxLag: debtTime * rate}
	}
	s.Ledger.Bonus = p.bonus
	s.Queue.Limits = func(kind string) queue.Limits {
		return queue.Limits{RequestsPerKey: p.limit(kind), BytesPerCustomer: memory / customerPart, TotalBytes: memory}
	}
}

func (p *policy) unit(service string) fleet.Unit {
	if t := p.text.Load(); t != nil {
		if s, ok := t.Service(service); ok {
			return s.Unit
		}
	}
	return fleet.UnitTokens
}

func (p *policy) rate(service string) float64 {
	if t := p.text.Load(); t != nil {
		if s, ok := t.Service(service); ok {
			return s.Rate
		}
	}
	return 1
}

func (p *policy) weight(customer string) float64 {
	t := p.text.Load()
	if t == nil {
		return 1
	}
	for _, c := range t.Customers {
		if c.Name == customer {
			return c.Weight
		}
	}
	return 1
}

func (p *policy) kind(name string) (arrangement.Kind, bool) {
	t := p.text.Load()
	if t == nil {
		return arrangement.Kind{}, false
	}
	for _, k := range t.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return arrangement.Kind{}, false
}

func (p *policy) bonus(service, kind string) float64 {
	k, _ := p.kind(kind)
	return float64(k.Urgency) * urgencyTime * p.rate(service)
}

const defaultLimit = 1000

func (p *policy) limit(kind string) int {
	k, ok := p.kind(kind)
	if !ok || k.MaxWaiting == 0 {
		return defaultLimit
	}
	return k.MaxWaiting
}
