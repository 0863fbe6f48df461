package scheduler_test

import (
	"time"

	"github.com/greengagestep/greengagestep/internal/gap"
)

const sampleInterval = 200 * time.Millisecond

// meters watches a world from outside the schedulers.
type meters struct {
	next       time.Time
	last       time.Time
	quietUntil time.Time
	services   map[string]*gap.Meter
	slots      map[string]int
	used       map[string]int
	weight     func(customer string) float64
}

func newMeters() *meters {
	return &meters{next: epoch, last: epoch, services: map[string]*gap.Meter{}, slots: map[string]int{}, used: map[string]int{}}
}

func (m *meters) service(name string) *gap.Meter {
	s := m.services[name]
	if s == nil {
		s = gap.New()
		s.Weight = m.weight
		m.services[name] = s
	}
	return s
}

// advance accounts for the time until the next event.
func (m *meters) advance(to time.Time) {
	dt := to.Sub(m.last).Seconds()
	if dt > 0 {
		for name, s := range m.services {
			s.Idle(dt, max(0, m.slots[name]-m.used[name]), m.slots[name])
		}
		m.last = to
	}
	for !m.next.After(to) {
		m.next = m.next.Add(sampleInterval)
		for _, s := range m.services {
			if m.next.Before(m.quietUntil) {
				s.ResetIntervals()
			}
			s.Observe()
		}
	}
}

// quiet ends all stretches; new ones begin after d.
func (m *meters) quiet(now time.Time, d time.Duration) { m.quietUntil = now.Add(d) }
