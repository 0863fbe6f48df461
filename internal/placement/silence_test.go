package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
)

// chosenOf counts how often each endpoint is chosen for a request without shared parts.
func chosenOf(t *testing.T, b *placement.Balancer, n int, now time.Time) map[string]int {
	counts := map[string]int{}
	for range n {
		counts[choose(t, b, shortRequest(), now).Endpoint.ID]++
	}
	return counts
}

func shortRequest() placement.Request {
	return placement.Request{Service: "model", Tokens: 500, Stream: true, TargetLatency: 600 * time.Millisecond}
}

// silentEndpoint plays requests at an endpoint that falls silent while streams run there and other
// requests wait, and goes on. It returns the balancer and the time at which all have ended.
func silentEndpoint(t *testing.T, silence time.Duration) (*placement.Balancer, time.Time) {
	b := newBalancer(2)
	now := start
	r := shortRequest()
	r.Avoid = []string{"i-1"}
	var runs []*placement.Run
	for range 4 {
		run := b.Begin(choose(t, b, r, now), r, now)
		run.RecordFirst(now.Add(50 * time.Millisecond))
		runs = append(runs, run)
	}
	now = now.Add(50 * time.Millisecond)
	for range 8 {
		runs = append(runs, b.Begin(choose(t, b, r, now), r, now))
	}
	now = now.Add(silence)
	if silence > 0 {
		require.Zero(t, chosenOf(t, b, 50, now)["i-0"], "chosen while it is silent")
	}
	for _, run := range runs {
		run.RecordData(now)
		run.RecordFirst(now)
		now = now.Add(5 * time.Millisecond)
	}
	for _, run := range runs {
		run.RecordStream(20, start.Add(50*time.Millisecond), now)
		run.End(placement.ResultAnswered, now)
	}
	return b, now
}

// An endpoint falls silent for a second or so and goes on. It must not be chosen meanwhile, and what
// came late must not be learned as its speed or as that of the service: afterward it is expected to
// respond as soon as one that was not silent, and is chosen again at once.
func TestSilenceIsNotLearned(t *testing.T) {
	r := shortRequest()
	r.Avoid = []string{"i-1"}
	sound, now := silentEndpoint(t, 0)
	want := choose(t, sound, r, now).Expected
	for _, silence := range []time.Duration{600 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			b, now := silentEndpoint(t, silence)
			require.InEpsilon(t, want, choose(t, b, r, now).Expected, 0.02)
			require.Positive(t, chosenOf(t, b, 100, now)["i-0"], "not chosen after its silence")
		})
	}
}
