package demo

import (
	"context"
	"math"
)

// report combines the counts of the callers and the endpoints.
func (l *loadGenerator) report(ctx context.Context) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.counts
	r.Gap = math.Round(l.meter.Gap())
	r.Idle = math.Round(l.meter.IdleFraction()*1e4) / 1e4
	r.Kept = l.keptShare()
	for _, key := range l.keys {
		runs := 0
		for _, p := range l.site.PlainServices {
			runs += p.Runs(key)
		}
		if runs > 1 || (runs > 0 && l.refused[key]) {
			r.Doubled++
		}
	}
	r.Control = math.Round(l.controlBytesPerSecond(ctx))
	return r
}

// keptShare returns the service rate of the other kinds during the flood, divided by
// their rate before it. The flood lasts twice as long as the time before it.
func (l *loadGenerator) keptShare() float64 {
	if l.options.Flood == "" || l.servedBeforeFlood == nil || l.servedByFloodEnd == nil {
		return 1
	}
	before, during := 0.0, 0.0
	for _, k := range kinds {
		if k != l.options.Flood {
			before += l.servedBeforeFlood[k]
			during += l.servedByFloodEnd[k] - l.servedBeforeFlood[k]
		}
	}
	if before == 0 {
		return 1
	}
	return math.Round(100*during/2/before) / 100
}

// controlBytesPerSecond returns the mean control traffic that an instance sent to its
// peers. Instances that do not answer are left out.
func (l *loadGenerator) controlBytesPerSecond(ctx context.Context) float64 {
	total, seconds := 0.0, 0.0
	for _, n := range l.site.Nodes {
		st, err := n.OperatorClient().Status(ctx)
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
