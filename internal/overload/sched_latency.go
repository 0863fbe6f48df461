package overload

import (
	"math"
	"runtime/metrics"
	"time"
)

const (
	// latencies is the runtime's histogram of the time that goroutines waited for
	// the processor.
	latencies = "/sched/latencies:seconds"
	// waitQuantile is the part of them that waited for less.
	waitQuantile = 0.9
	// minWaits is the least number of waits that says something.
	minWaits = 20
)

// queue measures how long goroutines wait for the processor.
type queue struct {
	sample []metrics.Sample
	counts []uint64 // at the last measurement
}

func newQueue() *queue {
	q := &queue{sample: []metrics.Sample{{Name: latencies}}}
	q.wait()
	return q
}

// wait returns how long nine of ten goroutines waited at the most since the last call;
// zero if there were too few to say.
func (q *queue) wait() time.Duration {
	metrics.Read(q.sample)
	if q.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := q.sample[0].Value.Float64Histogram()
	fresh := make([]uint64, len(h.Counts))
	for i, n := range h.Counts {
		fresh[i] = n
		if i < len(q.counts) {
			fresh[i] -= q.counts[i]
		}
	}
	q.counts = append(q.counts[:0], h.Counts...)
	return quantile(fresh, h.Buckets)
}

// quantile returns the lower bound of the bucket that holds the quantile, so that it is
// never too long.
func quantile(counts []uint64, bounds []float64) time.Duration {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	if total < minWaits {
		return 0
	}
	below := uint64(0)
	for i, n := range counts {
		below += n
		if float64(below) >= waitQuantile*float64(total) {
			return time.Duration(max(bounds[i], 0) * float64(time.Second))
		}
	}
	return math.MaxInt64
}
