package admission

import (
	"slices"
	"sync"
	"time"
)

const (
	// timeoutSamples is the number of a route's latest requests from which its
	// typical timeout is computed. Once there are that many, it is computed
	// again after every recomputeInterval requests.
	timeoutSamples    = 64
	recomputeInterval = 8
	// typicalQuantile is the quantile of the sampled timeouts that counts as
	// typical. Retries, whose timeouts are shorter, are far fewer than that.
	typicalQuantile = 0.85
	// minFirstFraction is the shortest timeout that callers state on their first
	// attempt, as a fraction of the typical timeout.
	minFirstFraction = 0.86
)

// RetryDetector distinguishes retries of rejected requests from first attempts: a retry
// has a shorter timeout, because the caller's time counts from its first attempt. The
// zero value is ready to use. It is safe for concurrent use.
type RetryDetector struct {
	mu     sync.Mutex
	routes map[string]*typicalTimeout
}

// typicalTimeout tracks the typical timeout of a route's callers. A few callers with a
// much longer timeout do not change it.
type typicalTimeout struct {
	samples [timeoutSamples]time.Duration // ring buffer
	count   int                           // of all requests so far
	typical time.Duration
}

func (t *typicalTimeout) add(timeout time.Duration) {
	t.samples[t.count%timeoutSamples] = timeout
	t.count++
	if t.count > timeoutSamples && t.count%recomputeInterval != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(t.samples[:min(t.count, timeoutSamples)]))
	t.typical = sorted[int(typicalQuantile*float64(len(sorted)-1))]
}

// PastTarget records the timeout of a request to a route, and reports whether the
// request is a retry whose target latency has already passed, counted from its first
// attempt. It returns false, and records nothing, if the timeout or the target is zero
// or less.
func (r *RetryDetector) PastTarget(route string, timeout, targetLatency time.Duration) bool {
	if timeout <= 0 || targetLatency <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.routes == nil {
		r.routes = map[string]*typicalTimeout{}
	}
	t := r.routes[route]
	if t == nil {
		t = &typicalTimeout{}
		r.routes[route] = t
	}
	t.add(timeout)
	return t.pastTarget(timeout, targetLatency)
}

// IsPastTarget reports the same as PastTarget without recording the timeout.
func (r *RetryDetector) IsPastTarget(route string, timeout, targetLatency time.Duration) bool {
	if timeout <= 0 || targetLatency <= 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.routes[route]
	return t != nil && t.pastTarget(timeout, targetLatency)
}

func (t *typicalTimeout) pastTarget(timeout, targetLatency time.Duration) bool {
	return float64(timeout) < minFirstFraction*float64(t.typical)-float64(targetLatency)
}
