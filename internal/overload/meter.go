// Package overload measures the scheduling lag of the process, from which it detects that
// the CPU cannot keep up with the load.
package overload

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// interval is the time between two measurements.
	interval = 20 * time.Millisecond
	// decay is the fraction by which the lag decreases with each measurement
	// that is lower.
	decay = 0.12
	// Up to rejectNoneLag all requests are served; from rejectAllLag on none
	// is: a request waits for the CPU some five times on its way through the
	// process, and must be forwarded within half a second.
	rejectNoneLag = 40 * time.Millisecond
	rejectAllLag  = 160 * time.Millisecond
	// overloadLag is the lag from which on callers should be sent to other
	// instances. They may return once the lag has not exceeded recoveryLag for
	// recoveryPeriod: a load balancer that checks every second must notice the
	// difference.
	overloadLag    = 100 * time.Millisecond
	recoveryLag    = 40 * time.Millisecond
	recoveryPeriod = 3 * time.Second
)

// Meter measures the scheduling lag. The zero value is ready to use. Lag, Overloaded and
// RejectFraction are safe for concurrent use; OnChange must be set before Serve.
type Meter struct {
	// OnChange is called when the process becomes overloaded and when it has
	// recovered; nil means no callback.
	OnChange func(overloaded bool, lag time.Duration)

	lag        atomic.Int64 // in nanoseconds
	overloaded atomic.Bool
	lowCount   int // consecutive measurements up to recoveryLag
}

// String returns the name of the service in the supervisor's events.
func (m *Meter) String() string { return "strain" }

// Serve implements suture.Service. It measures the lag until the context is done and
// returns the context's error.
func (m *Meter) Serve(ctx context.Context) error {
	s := newSchedLatency()
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		started := time.Now()
		timer.Reset(interval)
		select {
		case <-timer.C:
			// The runtime runs a timer's goroutine before those that wait
			// for the CPU, so that the delay of the timer alone shows only
			// that the CPU was taken away from the process.
			m.Record(max(time.Since(started)-interval, s.recent()))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Record updates the meter with one measured lag. It must be called by one goroutine only,
// once every interval.
func (m *Meter) Record(lag time.Duration) {
	current := max(lag, time.Duration((1-decay)*float64(m.lag.Load())))
	m.lag.Store(int64(current))
	m.lowCount++
	if current > recoveryLag {
		m.lowCount = 0
	}
	overloaded := m.overloaded.Load()
	if overloaded && m.lowCount < int(recoveryPeriod/interval) || !overloaded && current < overloadLag {
		return
	}
	m.overloaded.Store(!overloaded)
	if m.OnChange != nil {
		m.OnChange(!overloaded, current)
	}
}

// Lag returns the peak of the recent lags: a higher measurement replaces it at once, and
// it decays while measurements are lower.
func (m *Meter) Lag() time.Duration { return time.Duration(m.lag.Load()) }

// Overloaded reports whether callers should be sent to other instances.
func (m *Meter) Overloaded() bool { return m.overloaded.Load() }

// RejectFraction returns the fraction of the requests that should be rejected, from 0 to 1.
func (m *Meter) RejectFraction() float64 {
	return min(max(float64(m.Lag()-rejectNoneLag)/float64(rejectAllLag-rejectNoneLag), 0), 1)
}
