// Package admission decides which requests are admitted when demand exceeds capacity:
// customers get max-min fair shares of the endpoints' capacity, computed from their
// usage at all instances.
package admission

import (
	"math"
	"slices"
	"sync"
	"time"
)

// usageTimeConstant is the time constant of the exponential smoothing of usage rates:
// fair shares apply to windows of some seconds.
const usageTimeConstant = 2 * time.Second

// decayingRate is an exponentially smoothed rate, in tokens per second. It decays
// towards zero when nothing is added.
type decayingRate struct {
	rate      float64
	updatedAt time.Time
}

func (d *decayingRate) add(tokens float64, now time.Time) {
	d.rate = d.value(now) + tokens/usageTimeConstant.Seconds()
	d.updatedAt = now
}

func (d *decayingRate) value(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.updatedAt).Seconds()/usageTimeConstant.Seconds())
}

// Usage is a customer's demand and what was served of it, in tokens per second.
type Usage struct {
	Demand float64 `json:"a"`
	Served float64 `json:"s"`
	// TurnedAway is what instances refused because of their own processors. It is no demand for endpoints, and no
	// part of Demand.
	TurnedAway float64 `json:"t,omitempty"`
}

// Ledger accounts the demand and the served tokens of customers, at this instance and
// at the others. The zero value is ready to use. It is safe for concurrent use.
type Ledger struct {
	mu          sync.Mutex
	demand      map[string]*decayingRate
	served      map[string]*decayingRate
	turnedAway  map[string]*decayingRate // demand that was refused before it was recorded
	remote      map[string]remoteUsage   // by instance
	fairShare   float64                  // in tokens per second
	shortage    float64                  // see Shortage
	usage       map[string]Usage         // by customer, over all instances
	refreshedAt time.Time
}

// remoteUsage is the customers' usage that another instance last reported.
type remoteUsage struct {
	usage      map[string]Usage
	reportedAt time.Time
	validFor   time.Duration
}

const (
	// fairShareTTL is how long a computed fair share stays valid.
	fairShareTTL = 100 * time.Millisecond
	// remoteUsageTTL is how long another instance's report stays valid at least. In a large
	// fleet reports come seldom: one stays valid for remoteUsageIntervals times the time
	// since the report before it, but no longer than maxRemoteUsageTTL.
	remoteUsageTTL       = 3 * time.Second
	remoteUsageIntervals = 2.5
	maxRemoteUsageTTL    = time.Minute
	// minTokensPerS is the demand, in tokens per second, below which a customer
	// is removed.
	minTokensPerS = 1
)

// RecordDemand records that a customer requests tokens.
func (l *Ledger) RecordDemand(customer string, tokens float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.demand, customer, tokens, now)
}

// RecordServed records that a customer is served tokens. They count only while there is also
// demand of the customer.
func (l *Ledger) RecordServed(customer string, tokens float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.served, customer, tokens, now)
}

// RecordTurnedAway records tokens that a customer requests in vain because of this instance's processor.
func (l *Ledger) RecordTurnedAway(customer string, tokens float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.turnedAway, customer, tokens, now)
}

// Satisfaction returns what a customer is served as a fraction of what it is due: what it requests or the fair share,
// whichever is less. Without a request it is 1.
func (l *Ledger) Satisfaction(customer string, now time.Time) float64 {
	u, fairShare := l.Standing(customer, now)
	due := min(u.Demand+u.TurnedAway, fairShare)
	if due <= 0 {
		return 1
	}
	return u.Served / due
}

func add(rates *map[string]*decayingRate, customer string, tokens float64, now time.Time) {
	if *rates == nil {
		*rates = map[string]*decayingRate{}
	}
	d := (*rates)[customer]
	if d == nil {
		d = &decayingRate{}
		(*rates)[customer] = d
	}
	d.add(tokens, now)
}

// LocalUsage returns the usage at this instance, by customer, in whole tokens per second: it is the largest part of
// the messages between instances.
func (l *Ledger) LocalUsage(now time.Time) map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	usage := l.localUsage(now)
	for customer, u := range usage {
		usage[customer] = Usage{Demand: math.Round(u.Demand), Served: math.Round(u.Served), TurnedAway: math.Round(u.TurnedAway)}
	}
	return usage
}

func (l *Ledger) localUsage(now time.Time) map[string]Usage {
	usage := make(map[string]Usage, len(l.demand))
	for customer, d := range l.demand {
		u := Usage{Demand: d.value(now)}
		if u.Demand < minTokensPerS {
			delete(l.demand, customer)
			delete(l.served, customer)
			continue
		}
		if s := l.served[customer]; s != nil {
			u.Served = s.value(now)
		}
		usage[customer] = u
	}
	for customer, t := range l.turnedAway {
		u := usage[customer]
		if u.TurnedAway = t.value(now); u.TurnedAway < minTokensPerS {
			delete(l.turnedAway, customer)
			continue
		}
		usage[customer] = u
	}
	return usage
}

// SetRemoteUsage replaces the usage that another instance reported before.
func (l *Ledger) SetRemoteUsage(instance string, usage map[string]Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remote == nil {
		l.remote = map[string]remoteUsage{}
	}
	validFor := remoteUsageTTL
	if before, ok := l.remote[instance]; ok {
		interval := float64(now.Sub(before.reportedAt))
		validFor = min(max(time.Duration(remoteUsageIntervals*interval), remoteUsageTTL), maxRemoteUsageTTL)
	}
	l.remote[instance] = remoteUsage{usage, now, validFor}
}

// ForgetInstance drops the usage that another instance reported.
func (l *Ledger) ForgetInstance(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.remote, instance)
}

// FairShareRatio returns the rate at which a customer is served, divided by the fair
// share of customers whose demand exceeds it. Above 1 the customer gets more than
// that share; zero means that it is not served or that nothing is.
func (l *Ledger) FairShareRatio(customer string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.refreshedAt) > fairShareTTL {
		l.refresh(now)
	}
	if l.fairShare <= 0 {
		return 0
	}
	return l.usage[customer].Served / l.fairShare
}

// Standing returns the usage of a customer over all instances, and the fair share of customers whose demand exceeds it, in
// tokens per second; zero means that nothing is served.
func (l *Ledger) Standing(customer string, now time.Time) (u Usage, fairShare float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.refreshedAt) > fairShareTTL {
		l.refresh(now)
	}
	return l.usage[customer], l.fairShare
}

// refresh recomputes the usage over all instances and the max-min fair share: a customer
// that demands less than the fair share gets all of its demand, the others get the fair
// share. The caller holds the lock.
func (l *Ledger) refresh(now time.Time) {
	l.refreshedAt = now
	l.usage = l.localUsage(now)
	for instance, r := range l.remote {
		age := now.Sub(r.reportedAt)
		if age > maxRemoteUsageTTL {
			delete(l.remote, instance)
		}
		if age > r.validFor {
			continue
		}
		for customer, u := range r.usage {
			sum := l.usage[customer]
			sum.Demand += u.Demand
			sum.Served += u.Served
			sum.TurnedAway += u.TurnedAway
			l.usage[customer] = sum
		}
	}
	l.fairShare = maxMinFairShare(l.usage)
	demand, served := 0.0, 0.0
	for _, u := range l.usage {
		demand += u.Demand
		served += u.Served
	}
	l.shortage = 0
	if demand > served {
		l.shortage = min((demand-served)/max(served, minTokensPerS), 1)
	}
}

// Shortage returns the probability that capacity which becomes free is taken at once by a request that is refused
// otherwise: the tokens that are refused for each token served, over all instances, at most 1.
func (l *Ledger) Shortage(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.refreshedAt) > fairShareTTL {
		l.refresh(now)
	}
	return l.shortage
}

// maxMinFairShare solves sum(min(demand, fairShare)) = sum(served) for fairShare.
func maxMinFairShare(usage map[string]Usage) float64 {
	demands := make([]float64, 0, len(usage))
	remaining := 0.0
	for _, u := range usage {
		demands = append(demands, u.Demand)
		remaining += u.Served
	}
	slices.Sort(demands)
	for i, demand := range demands {
		equalShare := remaining / float64(len(demands)-i)
		if demand > equalShare {
			return equalShare
		}
		remaining -= demand
	}
	if len(demands) == 0 {
		return 0
	}
	return demands[len(demands)-1]
}
