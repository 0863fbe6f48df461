package scheduler_test

import (
	"math"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
)

// meter measures the fairness gap and the idle share from outside the
// schedulers: from arrivals, starts and deliveries.
type meter struct {
	sample   time.Duration
	next     time.Time
	last     time.Time
	services map[string]*serviceMeter
	weight   func(customer string) float64
	// side tells which side of a partition a delivery or a request counts to;
	// stretches start anew when quiet says so.
	quietUntil time.Time
}

type serviceMeter struct {
	served  map[string]float64
	waiting map[string]int
	paused  map[string]bool // had nothing waiting since the last sample
	pairs   map[[2]string]*stretch
	gap     float64
	worst   [2]string
	idle    float64 // slot seconds unused while work waited
	slots   float64 // slot seconds
	kinds   map[string]float64
}

type stretch struct {
	low, high float64
}

func newMeter() *meter {
	return &meter{sample: 200 * time.Millisecond, next: epoch, last: epoch, services: map[string]*serviceMeter{}}
}

func (m *meter) service(name string) *serviceMeter {
	s := m.services[name]
	if s == nil {
		s = &serviceMeter{
			served: map[string]float64{}, waiting: map[string]int{}, paused: map[string]bool{},
			pairs: map[[2]string]*stretch{}, kinds: map[string]float64{},
		}
		m.services[name] = s
	}
	return s
}

func (m *meter) arrive(j *job) {
	m.service(j.key.Service).waiting[j.key.Customer]++
}

func (m *meter) leave(j *job) {
	s := m.service(j.key.Service)
	s.waiting[j.key.Customer]--
	if s.waiting[j.key.Customer] == 0 {
		s.paused[j.key.Customer] = true
	}
}

func (m *meter) serve(k share.Key, units float64) {
	s := m.service(k.Service)
	w := 1.0
	if m.weight != nil {
		w = m.weight(k.Customer)
	}
	s.served[k.Customer] += units / w
	s.kinds[k.Kind] += units
}

func (m *meter) advance(w *world, to time.Time) {
	dt := to.Sub(m.last).Seconds()
	if dt > 0 {
		m.idle(w, dt)
		m.last = to
	}
	for !m.next.After(to) {
		m.next = m.next.Add(m.sample)
		for _, s := range m.services {
			s.observe(m.next.Before(m.quietUntil))
		}
	}
}

func (m *meter) idle(w *world, dt float64) {
	free := map[string]int{}
	all := map[string]int{}
	for _, e := range w.eps {
		free[e.Service] += max(0, e.Slots-w.used[e.Name])
		all[e.Service] += e.Slots
	}
	for name, s := range m.services {
		waiting := 0
		for _, n := range s.waiting {
			waiting += n
		}
		s.idle += dt * float64(min(free[name], waiting))
		s.slots += dt * float64(all[name])
	}
}

// quiet ends all stretches now and starts new ones after d.
func (m *meter) quiet(now time.Time, d time.Duration) {
	m.quietUntil = now.Add(d)
	for _, s := range m.services {
		clear(s.pairs)
	}
}

func (s *serviceMeter) observe(quiet bool) {
	var names []string
	for name, n := range s.waiting {
		if n > 0 {
			names = append(names, name)
		}
	}
	for pair := range s.pairs {
		if quiet || s.paused[pair[0]] || s.paused[pair[1]] {
			delete(s.pairs, pair)
		}
	}
	clear(s.paused)
	if quiet {
		return
	}
	for _, a := range names {
		for _, b := range names {
			if a < b {
				s.stretch(a, b)
			}
		}
	}
}

func (s *serviceMeter) stretch(a, b string) {
	d := s.served[a] - s.served[b]
	pair := [2]string{a, b}
	p := s.pairs[pair]
	if p == nil {
		s.pairs[pair] = &stretch{d, d}
		return
	}
	p.low = math.Min(p.low, d)
	p.high = math.Max(p.high, d)
	if p.high-p.low > s.gap {
		s.gap = p.high - p.low
		s.worst = pair
	}
}
