package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
)

// Load: a fleet of many instances, each of which sends a few requests a second to endpoints that read prompts at
// half of the speed assumed first. After thirty of them the instance expects about what they take.
func TestFewAnswersTeachTheSpeed(t *testing.T) {
	b := newBalancer(10)
	now := start
	took := func(tokens int) time.Duration { return time.Duration(40+float64(tokens)/45) * time.Millisecond }
	r := placement.Request{Service: "model", Tokens: 9000, Stream: true}
	for range 30 {
		c, ok := b.Choose(r, now)
		require.True(t, ok)
		run, _ := b.Begin(c, r, now)
		now = now.Add(took(r.Tokens))
		run.RecordFirst(now)
		run.End(placement.ResultAnswered, now)
		now = now.Add(500 * time.Millisecond)
	}
	c, ok := b.Choose(r, now)
	require.True(t, ok)
	require.InEpsilon(t, float64(took(r.Tokens)), float64(c.Expected), 0.2)
}
