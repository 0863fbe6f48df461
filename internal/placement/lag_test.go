package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
)

// Load: one instance of few cores gets a burst that its processor cannot keep up with, while the
// endpoints are idle. The first events that it reads late must not count as waits there, or it
// refuses callers that have room.
func TestOwnLagIsNotLearnedAsWait(t *testing.T) {
	for _, lag := range []time.Duration{0, 150 * time.Millisecond} {
		b := newBalancer(4)
		b.Lag = func() time.Duration { return lag }
		now, r := start, newRequest(7)
		for range 200 {
			c, ok := b.Choose(r, now)
			require.True(t, ok)
			run, _ := b.Begin(c, r, now)
			now = now.Add(c.Expected + 300*time.Millisecond)
			run.RecordFirst(now)
			run.End(placement.ResultAnswered, now)
		}
		c, ok := b.Choose(r, now)
		require.True(t, ok)
		if lag > 0 {
			require.Less(t, c.Expected, 300*time.Millisecond)
		} else {
			require.Greater(t, c.Expected, 300*time.Millisecond, "what endpoints show without lag has to be learned")
		}
	}
}
