package demo

import (
	"context"
	"math"
)

// report adds up what callers and endpoints counted.
func (l *load) report(ctx context.Context) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.counts
	r.Gap = math.Round(l.meter.Gap())
	r.Idle = math.Round(l.meter.IdleFraction()*1e4) / 1e4
	r.Kept = l.kept()
	for _, key := range l.keys {
		runs := 0
		for _, p := range l.site.Plain {
			runs += p.Runs(key)
		}
		if runs > 1 || (runs > 0 && l.refused[key]) {
			r.Doubled++
		}
	}
	r.Control = math.Round(l.control(ctx))
	return r
}

// kept compares the rate of service of the other kinds during the flood with the
// rate before it.
func (l *load) kept() float64 {
	if l.o.Flood == "" || l.before == nil || l.after == nil {
		return 1
	}
	before, during := 0.0, 0.0
	for _, k := range kinds {
		if k != l.o.Flood {
			before += l.before[k]
			during += l.after[k] - l.before[k]
		}
	}
	if before == 0 {
		return 1
	}
	return math.Round(100*during/2/before) / 100
}

// control returns what an instance sent to its peers, in bytes a second.
func (l *load) control(ctx context.Context) float64 {
	total, seconds := 0.0, 0.0
	for _, n := range l.site.Nodes {
		st, err := n.Operator().Status(ctx)
		if err != nil {
			continue
		}
		total += float64(st.SentBytes)
		seconds += st.UptimeSeconds
	}
	if seconds == 0 {
		return 0
	}
	return total / seconds
}
