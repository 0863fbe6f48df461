package overload

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Many connections wait for one CPU. The 90th percentile of the latencies of their goroutines
// is reported.
func TestQuantileOfLatencies(t *testing.T) {
	bounds := []float64{math.Inf(-1), 0, 0.01, 0.1, 0.2, math.Inf(1)}
	require.Equal(t, 100*time.Millisecond, quantile([]uint64{0, 50, 30, 20, 0}, bounds))
	require.Equal(t, 10*time.Millisecond, quantile([]uint64{0, 50, 45, 5, 0}, bounds))
	require.Zero(t, quantile([]uint64{0, 95, 5, 0, 0}, bounds))
	require.Zero(t, quantile([]uint64{0, 0, 0, 3, 0}, bounds), "too few samples")
	require.Equal(t, 200*time.Millisecond, quantile([]uint64{0, 0, 0, 0, 40}, bounds))
}

// The runtime provides the histogram under the name in schedLatencyMetric.
func TestRuntimeProvidesLatencies(t *testing.T) {
	s := newSchedLatency()
	for range 1000 {
		done := make(chan struct{})
		go close(done)
		<-done
	}
	require.Less(t, s.recent(), time.Minute)
	require.NotEmpty(t, s.lastCounts)
}
