package overload

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: many connections wait for one processor. Nine of ten goroutines say how long.
func TestQuantileOfWaits(t *testing.T) {
	bounds := []float64{math.Inf(-1), 0, 0.01, 0.1, 0.2, math.Inf(1)}
	require.Equal(t, 100*time.Millisecond, quantile([]uint64{0, 50, 30, 20, 0}, bounds))
	require.Equal(t, 10*time.Millisecond, quantile([]uint64{0, 50, 45, 5, 0}, bounds))
	require.Zero(t, quantile([]uint64{0, 95, 5, 0, 0}, bounds))
	require.Zero(t, quantile([]uint64{0, 0, 0, 3, 0}, bounds), "too few to say")
	require.Equal(t, 200*time.Millisecond, quantile([]uint64{0, 0, 0, 0, 40}, bounds))
}

// The runtime has the histogram under this name.
func TestWaitsAreKnown(t *testing.T) {
	q := newQueue()
	for range 1000 {
		done := make(chan struct{})
		go close(done)
		<-done
	}
	require.Less(t, q.wait(), time.Minute)
	require.NotEmpty(t, q.counts)
}
