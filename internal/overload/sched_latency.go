package overload

import (
	"math"
	"runtime/metrics"
	"time"
)

const (
	// schedLatencyMetric is the runtime's histogram of the time that goroutines
	// spent runnable before they ran.
	schedLatencyMetric = "/sched/latencies:seconds"
	// latencyQuantile is the quantile of these latencies that is reported.
	latencyQuantile = 0.9
	// minSamples is the least number of latencies from which the quantile is
	// meaningful.
	minSamples = 20
)

// schedLatency measures how long runnable goroutines wait for the CPU.
type schedLatency struct {
	samples    []metrics.Sample
	lastCounts []uint64 // by bucket, at the last measurement
	delta      []uint64 // by bucket, between the last two measurements
}

func newSchedLatency() *schedLatency {
	s := &schedLatency{samples: []metrics.Sample{{Name: schedLatencyMetric}}}
	s.recent()
	return s
}

// recent returns the 90th percentile of the latencies since the last call, or zero if there
// were fewer than minSamples.
func (s *schedLatency) recent() time.Duration {
	metrics.Read(s.samples)
	if s.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := s.samples[0].Value.Float64Histogram()
	s.delta = append(s.delta[:0], h.Counts...)
	for i, n := range s.lastCounts {
		s.delta[i] -= n
	}
	s.lastCounts = append(s.lastCounts[:0], h.Counts...)
	return quantile(s.delta, h.Buckets)
}

// quantile returns the lower bound of the bucket that holds the quantile, so that the
// latency is never overestimated. It returns zero if there are fewer than minSamples.
func quantile(counts []uint64, bounds []float64) time.Duration {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	if total < minSamples {
		return 0
	}
	cumulative := uint64(0)
	for i, n := range counts {
		cumulative += n
		if float64(cumulative) >= latencyQuantile*float64(total) {
			return time.Duration(max(bounds[i], 0) * float64(time.Second))
		}
	}
	return math.MaxInt64
}
