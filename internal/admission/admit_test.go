package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/admission"
)

// Load: one instance of many is overloaded, and the others have room. A caller that it refuses comes back in time
// for its target if it can, and after the peak otherwise.
func TestRefusedCallerReturnsInTimeForItsTarget(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		elsewhere, slack, remaining time.Duration
		jitter                      float64
		delay                       time.Duration
	}{
		{0, 300 * ms, 9 * time.Second, 0, 0},
		{0, 300 * ms, 9 * time.Second, 1, 150 * ms},
		{100 * ms, 300 * ms, 9 * time.Second, 0.5, 150 * ms},
		{2 * time.Second, 300 * ms, 9 * time.Second, 0.5, 2400 * ms},
		{2 * time.Second, 300 * ms, 6 * time.Second, 1, 2000 * ms},
		{2 * time.Second, 300 * ms, 3 * time.Second, 0.5, time.Second},
		{0, -50 * ms, 9 * time.Second, 0.5, 2400 * ms},
	} {
		require.Equal(t, c.delay, admission.MoveDelay(c.elsewhere, c.slack, c.remaining, c.jitter), "%+v", c)
	}
}
