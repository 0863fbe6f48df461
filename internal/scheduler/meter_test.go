package scheduler_test

import (
	"time"

	"github.com/greengagestep/greengagestep/internal/gap"
)

const sampleInterval = 200 * time.Millisecond

// meters measures the fairness and utilisation of a simulation from outside the
// schedulers.
type meters struct {
	nextSample  time.Time
	lastAdvance time.Time
	pausedUntil time.Time
	services    map[string]*gap.Meter
	slots       map[string]int
	used        map[string]int
	weight      func(customer string) float64
}

func newMeters() *meters {
	return &meters{nextSample: epoch, lastAdvance: epoch, services: map[string]*gap.Meter{}, slots: map[string]int{}, used: map[string]int{}}
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

// advance records idle slots and samples the gaps until the time of the next event.
func (m *meters) advance(to time.Time) {
	dt := to.Sub(m.lastAdvance).Seconds()
	if dt > 0 {
		for name, s := range m.services {
			s.Idle(dt, max(0, m.slots[name]-m.used[name]), m.slots[name])
		}
		m.lastAdvance = to
	}
	for !m.nextSample.After(to) {
		m.nextSample = m.nextSample.Add(sampleInterval)
		for _, s := range m.services {
			if m.nextSample.Before(m.pausedUntil) {
				s.ResetIntervals()
			}
			s.Observe()
		}
	}
}

// pause ends all stretches (see package gap); new ones begin after d.
func (m *meters) pause(now time.Time, d time.Duration) { m.pausedUntil = now.Add(d) }
