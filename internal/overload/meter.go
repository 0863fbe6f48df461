// Package overload measures how far the process lags behind its clock, which tells
// that its processor cannot carry what arrives.
package overload

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// interval is the pause between two measurements.
	interval = 20 * time.Millisecond
	// fade is the part by which the lag shrinks with each measurement that
	// shows less.
	fade = 0.12
	// easyLag is the lag at which everything is served, fullLag the one at
	// which nothing is: a request waits for the processor some five times on
	// its way, and must be sent on within half a second.
	easyLag = 40 * time.Millisecond
	fullLag = 160 * time.Millisecond
	// heavyLag is the lag at which others should get the callers. They may
	// come again once the lag has been below lightLag for calmTerm: a balancer
	// that asks every second has to see the difference.
	heavyLag = 100 * time.Millisecond
	lightLag = 40 * time.Millisecond
	calmTerm = 3 * time.Second
)

// Meter measures the lag. The zero value is ready to use. It is safe for concurrent
// use.
type Meter struct {
	// OnChange is called when the process becomes heavily strained and when
	// it is relieved; nil is allowed.
	OnChange func(heavy bool, lag time.Duration)

	lag   atomic.Int64
	heavy atomic.Bool
	calm  int // measurements below lightLag in a row
}

// String names the meter in the supervisor's events.
func (m *Meter) String() string { return "strain" }

// Serve implements suture.Service.
func (m *Meter) Serve(ctx context.Context) error {
	q := newQueue()
	for {
		begun := time.Now()
		select {
		case <-time.After(interval):
			// A timer's goroutine runs before those that wait, so that its
			// own lag shows only a processor that is taken away.
			m.Record(max(time.Since(begun)-interval, q.wait()))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Record takes in one lag. It is called by one goroutine, every interval.
func (m *Meter) Record(lag time.Duration) {
	now := max(lag, time.Duration((1-fade)*float64(m.lag.Load())))
	m.lag.Store(int64(now))
	m.calm++
	if now > lightLag {
		m.calm = 0
	}
	heavy := m.heavy.Load()
	if heavy && m.calm < int(calmTerm/interval) || !heavy && now < heavyLag {
		return
	}
	m.heavy.Store(!heavy)
	if m.OnChange != nil {
		m.OnChange(!heavy, now)
	}
}

// Lag returns the largest lag of the last moments.
func (m *Meter) Lag() time.Duration { return time.Duration(m.lag.Load()) }

// Overloaded reports whether callers are better served by another instance.
func (m *Meter) Overloaded() bool { return m.heavy.Load() }

// RejectFraction returns the part of the requests that should be turned away.
func (m *Meter) RejectFraction() float64 {
	return min(max(float64(m.Lag()-easyLag)/float64(fullLag-easyLag), 0), 1)
}
