// Package gap measures fairness and utilisation from outside the fleet: from what
// callers asked for and what endpoints delivered.
//
// The gap is, over all pairs of customers and all stretches of time in which both
// have work waiting for the same service without pause, the largest difference
// between the weighted service that they received in the stretch.
package gap

import (
	"math"
)

// Meter measures one service. It is not safe for concurrent use.
type Meter struct {
	// Weight returns a customer's weight; nil means 1 for all.
	Weight func(customer string) float64

	served  map[string]float64
	kinds   map[string]float64
	waiting map[string]int
	paused  map[string]bool // had nothing waiting since the last observation
	pairs   map[pair]*stretch
	gap     float64
	idle    float64
	slots   float64
}

type pair struct {
	a, b string
}

// stretch holds the extremes of the difference since both customers began to wait.
type stretch struct {
	low, high float64
}

// New returns an empty meter.
func New() *Meter {
	return &Meter{
		served:  map[string]float64{},
		kinds:   map[string]float64{},
		waiting: map[string]int{},
		paused:  map[string]bool{},
		pairs:   map[pair]*stretch{},
	}
}

// Arrive records that a request of a customer begins to wait.
func (m *Meter) Arrive(customer string) { m.waiting[customer]++ }

// Leave records that a request waits no longer.
func (m *Meter) Leave(customer string) {
	m.waiting[customer]--
	if m.waiting[customer] == 0 {
		m.paused[customer] = true
	}
}

// Serve records delivered service, in units.
func (m *Meter) Serve(customer, kind string, units float64) {
	weight := 1.0
	if m.Weight != nil {
		weight = m.Weight(customer)
	}
	m.served[customer] += units / weight
	m.kinds[kind] += units
}

// Idle records that over a time, in seconds, free of all slots were unused.
func (m *Meter) Idle(seconds float64, free, slots int) {
	waiting := 0
	for _, n := range m.waiting {
		waiting += n
	}
	m.idle += seconds * float64(min(free, waiting))
	m.slots += seconds * float64(slots)
}

// Observe compares all pairs of waiting customers. It must be called at short
// intervals.
func (m *Meter) Observe() {
	for p := range m.pairs {
		if m.paused[p.a] || m.paused[p.b] {
			delete(m.pairs, p)
		}
	}
	clear(m.paused)
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
	d := m.served[p.a] - m.served[p.b]
	s := m.pairs[p]
	if s == nil {
		m.pairs[p] = &stretch{d, d}
		return
	}
	s.low = math.Min(s.low, d)
	s.high = math.Max(s.high, d)
	m.gap = math.Max(m.gap, s.high-s.low)
}

// Restart ends all stretches, because of a fault after which fairness is measured
// anew. The gap so far is kept.
func (m *Meter) Restart() { clear(m.pairs) }

// Gap returns the largest difference so far, in units.
func (m *Meter) Gap() float64 { return m.gap }

// IdlePart returns the part of the slot time that was unused while work waited.
func (m *Meter) IdlePart() float64 {
	if m.slots == 0 {
		return 0
	}
	return m.idle / m.slots
}

// Kind returns the service that a kind of work received, in units.
func (m *Meter) Kind(kind string) float64 { return m.kinds[kind] }

// Customer returns the weighted service that a customer received, in units.
func (m *Meter) Customer(name string) float64 { return m.served[name] }

// Total returns the service that all kinds of work received, in units.
func (m *Meter) Total() float64 {
	total := 0.0
	for _, units := range m.kinds {
		total += units
	}
	return total
}
