// Package gap measures the fairness and utilisation of the fleet from outside: from the
// requests that callers sent and the service that endpoints delivered.
//
// The measure is the fairness gap known from weighted fair queueing: over all pairs of
// customers and all time intervals in which both are continuously backlogged (have
// requests waiting for the same service), the largest difference between the weighted
// service that the two received in the interval.
package gap

import (
	"math"
)

// Meter measures the fairness gap and the utilisation of one service. It is not safe for
// concurrent use.
type Meter struct {
	// Weight returns a customer's weight; nil means 1 for all.
	Weight func(customer string) float64

	weightedService  map[string]float64
	servedByKind     map[string]float64
	waiting          map[string]int
	emptied          map[string]bool // had no waiting request at some time since the last Observe
	intervals        map[pair]*backlogInterval
	maxGap           float64
	idleSlotSeconds  float64
	totalSlotSeconds float64
}

type pair struct {
	a, b string
}

// backlogInterval holds the minimum and maximum of the difference in weighted service
// during the time in which both customers of a pair are backlogged.
type backlogInterval struct {
	low, high float64
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{
		weightedService: map[string]float64{},
		servedByKind:    map[string]float64{},
		waiting:         map[string]int{},
		emptied:         map[string]bool{},
		intervals:       map[pair]*backlogInterval{},
	}
}

// Arrive records that a request of a customer starts waiting.
func (m *Meter) Arrive(customer string) { m.waiting[customer]++ }

// Leave records that a request of a customer stops waiting.
func (m *Meter) Leave(customer string) {
	m.waiting[customer]--
	if m.waiting[customer] == 0 {
		m.emptied[customer] = true
	}
}

// Serve records service delivered to a customer, in units of the service's cost.
func (m *Meter) Serve(customer, kind string, units float64) {
	weight := 1.0
	if m.Weight != nil {
		weight = m.Weight(customer)
	}
	m.weightedService[customer] += units / weight
	m.servedByKind[kind] += units
}

// Idle records that during a time, in seconds, free out of all slots were unused. Only as
// many of them as requests were waiting count as idle.
func (m *Meter) Idle(seconds float64, free, slots int) {
	waiting := 0
	for _, n := range m.waiting {
		waiting += n
	}
	m.idleSlotSeconds += seconds * float64(min(free, waiting))
	m.totalSlotSeconds += seconds * float64(slots)
}

// Observe compares the weighted service of all pairs of backlogged customers. It must be
// called at short intervals: differences between two calls are not seen.
func (m *Meter) Observe() {
	for p := range m.intervals {
		if m.emptied[p.a] || m.emptied[p.b] {
			delete(m.intervals, p)
		}
	}
	clear(m.emptied)
	var waiting []string
	for name, n := range m.waiting {
		if n > 0 {
			waiting = append(waiting, name)
		}
	}
	for _, a := range waiting {
		for _, b := range waiting {
			if a < b {
				m.compare(pair{a, b})
			}
		}
	}
}

func (m *Meter) compare(p pair) {
	d := m.weightedService[p.a] - m.weightedService[p.b]
	s := m.intervals[p]
	if s == nil {
		m.intervals[p] = &backlogInterval{d, d}
		return
	}
	s.low = math.Min(s.low, d)
	s.high = math.Max(s.high, d)
	m.maxGap = math.Max(m.maxGap, s.high-s.low)
}

// ResetIntervals ends all backlog intervals, after a fault from which on fairness is
// measured anew. The largest gap so far is kept.
func (m *Meter) ResetIntervals() { clear(m.intervals) }

// Gap returns the fairness gap so far, in units.
func (m *Meter) Gap() float64 { return m.maxGap }

// IdleFraction returns the fraction of the slot time that was unused while requests were
// waiting; zero if no time was recorded.
func (m *Meter) IdleFraction() float64 {
	if m.totalSlotSeconds == 0 {
		return 0
	}
	return m.idleSlotSeconds / m.totalSlotSeconds
}

// Kind returns the service that a kind of work received, in units.
func (m *Meter) Kind(kind string) float64 { return m.servedByKind[kind] }

// Customer returns the weighted service that a customer received, in units.
func (m *Meter) Customer(name string) float64 { return m.weightedService[name] }

// Total returns the service that all kinds of work received, in units.
func (m *Meter) Total() float64 {
	total := 0.0
	for _, units := range m.servedByKind {
		total += units
	}
	return total
}
