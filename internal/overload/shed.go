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
	// groups is the number of groups of customers by their satisfaction, each with classes of cost for requests in
	// time and for late ones.
	groups  = 3
	classes = groups * 2 * costClasses
)

// class returns the position of the request in the order in which requests are refused, last first.
func (d Demand) class() int {
	class := min(bits.Len64(uint64(max(d.Cost, 1)))-1, costClasses-1)
	if d.Late {
		class += costClasses
	}
	switch {
	case d.Satisfaction >= lackingSatisfaction:
		class += 2 * 2 * costClasses
	case d.Satisfaction >= halfSatisfaction:
		class += 2 * costClasses
	}
	return class
}

// Shedder decides which requests are refused while the processor cannot serve all: first those that would be
// late anyway, then the dearest, so that as much is served in time as there is processor time for. Requests of
// customers that lack come after those of all others: a customer whose requests are dear, or late since they were
// refused before, would get nothing beside others. The zero value is ready to use. It is safe for concurrent use.
type Shedder struct {
	mu      sync.Mutex
	mix     [classes]float64 // decayed cost of the requests that arrived, by class
	decayed time.Time
	arrived int64
	refused int64
}

// Refuse records a request and reports whether it is refused, if the given fraction of all work has to be. Draw is a
// random number from 0 to 1: it decides within the class that is refused in part.
func (s *Shedder) Refuse(d Demand, fraction, draw float64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	class := d.class()
	s.mix[class] += max(d.Cost, 1)
	s.arrived++
	if fraction <= 0 {
		return false
	}
	total, before := 0.0, 0.0
	for i, cost := range s.mix {
		total += cost
		if i > class {
			before += cost
		}
	}
	if draw >= (fraction*total-before)/s.mix[class] {
		return false
	}
	s.refused++
	return true
}

func (s *Shedder) decay(now time.Time) {
	elapsed := now.Sub(s.decayed)
	if elapsed < shedDecay {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / shedTime.Seconds())
	for i := range s.mix {
		s.mix[i] *= keep
	}
	s.decayed = now
}

// Counts returns how many requests have arrived so far, and how many of these were refused.
func (s *Shedder) Counts() (arrived, refused int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived, s.refused
}
