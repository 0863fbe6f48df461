package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/admission"
)

// Load: one instance of many is overloaded, and the others have room. A caller that it refuses comes back in time
// for its target if it can, and is spread over a second otherwise.
func TestRefusedCallerReturnsInTimeForItsTarget(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		elsewhere, slack time.Duration
		jitter           float64
		delay            time.Duration
	}{
		{0, 300 * ms, 0, 0},
		{0, 300 * ms, 1, 150 * ms},
		{100 * ms, 300 * ms, 0.5, 150 * ms},
		{2 * time.Second, 300 * ms, 0.5, 2500 * ms},
		{0, -50 * ms, 0.5, 500 * ms},
	} {
		require.Equal(t, c.delay, admission.MoveDelay(c.elsewhere, c.slack, c.jitter))
	}
}
