package overload

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// shedTime is the time constant with which the mix of requests is known.
	shedTime = 2 * time.Second
	// shedDecay is the least time between two decays of the mix.
	shedDecay = 100 * time.Millisecond
	// costClasses is the number of classes of cost, each twice as dear as the one before.
	costClasses = 16
)

// Demand is what a request asks of the processor.
type Demand struct {
	Customer string
	// Satisfaction is what the request's customer is served, as a fraction of what it is due.
	Satisfaction float64
	// Late is set if the request can no longer be answered within its target latency.
	Late bool
	// Cost is the work that it takes, as a multiple of the least of any request.
	Cost float64
}

const (
	// Customers with less than lackingSatisfaction lack, with less than halfSatisfaction they lack so much that
	// callers notice: they get about half of what they are due.
	lackingSatisfaction = 0.7
	halfSatisfaction    = 0.55
	// groups is the number of groups of customers by their satisfaction.
	groups = 3
	// kinds is the number of kinds of requests: the classes of cost, for requests in time and for late ones.
	kinds = 2 * costClasses
	// minMix is the work below which that of a customer is forgotten.
	minMix = 0.01
)

// kind returns the position of the request in the order in which requests of one customer are refused, last first.
func (d Demand) kind() int {
	kind := min(bits.Len64(uint64(max(d.Cost, 1)))-1, costClasses-1)
	if d.Late {
		kind += costClasses
	}
	return kind
}

// group returns the position of the customer in the order in which customers' requests are refused, last first.
func (d Demand) group() int {
	switch {
	case d.Satisfaction >= lackingSatisfaction:
		return 2
	case d.Satisfaction >= halfSatisfaction:
		return 1
	}
	return 0
}

// mix is the decayed cost of the requests that arrived, by kind.
type mix [kinds]float64

// customerMix is the mix of one customer.
type customerMix struct {
	mix
	group int // whose mix this is a part of
}

// Shedder decides which requests are refused while the processor cannot serve all: first those that would be
// late anyway, then the dearest, so that as much is served in time as there is processor time for. Requests of
// customers that lack come after those of all others: a customer whose requests are dear, or late since they were
// refused before, would get nothing beside others. The zero value is ready to use. It is safe for concurrent use.
type Shedder struct {
	mu        sync.Mutex
	customers map[string]*customerMix
	groups    [groups]mix // of all customers in each
	decayed   time.Time
	arrived   int64
	refused   int64
}

// Refuse records a request and reports whether it is refused, if the given fraction of all work has to be. Draw is a
// random number from 0 to 1: it decides within the class that is refused in part.
func (s *Shedder) Refuse(d Demand, fraction, draw float64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	c := s.customer(d)
	kind := d.kind()
	c.mix[kind] += max(d.Cost, 1)
	s.groups[c.group][kind] += max(d.Cost, 1)
	s.arrived++
	if fraction <= 0 {
		return false
	}
	total, before := 0.0, 0.0
	for group, m := range s.groups {
		for k, cost := range m {
			total += cost
			if group > c.group || group == c.group && k > kind {
				before += cost
			}
		}
	}
	if draw >= (fraction*total-before)/s.groups[c.group][kind] {
		return false
	}
	s.refused++
	return true
}

// customer returns the mix of the request's customer. What the customer sent before moves with it to another group: else
// that group would be taken for work that is still to come. The caller holds the lock.
func (s *Shedder) customer(d Demand) *customerMix {
	if s.customers == nil {
		s.customers = map[string]*customerMix{}
	}
	group := d.group()
	c := s.customers[d.Customer]
	if c == nil {
		c = &customerMix{group: group}
		s.customers[d.Customer] = c
	}
	if c.group == group {
		return c
	}
	for kind, cost := range c.mix {
		s.groups[c.group][kind] = max(s.groups[c.group][kind]-cost, 0)
		s.groups[group][kind] += cost
	}
	c.group = group
	return c
}

func (s *Shedder) decay(now time.Time) {
	elapsed := now.Sub(s.decayed)
	if elapsed < shedDecay {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / shedTime.Seconds())
	// The sums are made anew, so that rounding errors do not add up.
	s.groups = [groups]mix{}
	for name, c := range s.customers {
		rest := 0.0
		for kind := range c.mix {
			c.mix[kind] *= keep
			s.groups[c.group][kind] += c.mix[kind]
			rest += c.mix[kind]
		}
		if rest < minMix {
			delete(s.customers, name)
		}
	}
	s.decayed = now
}

// Counts returns how many requests have arrived so far, and how many of these were refused.
func (s *Shedder) Counts() (arrived, refused int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived, s.refused
}
