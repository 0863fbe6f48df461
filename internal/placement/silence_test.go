package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// sendTo begins a request at the endpoint that the balancer chooses.
func sendTo(t *testing.T, b *placement.Balancer, r placement.Request, now time.Time) *placement.Run {
	t.Helper()
	run, reason := b.Begin(choose(t, b, r, now), r, now)
	require.Empty(t, reason)
	return run
}

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
		run := sendTo(t, b, r, now)
		run.RecordFirst(now.Add(50 * time.Millisecond))
		runs = append(runs, run)
	}
	now = now.Add(50 * time.Millisecond)
	for range 8 {
		runs = append(runs, sendTo(t, b, r, now))
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

// Requests to an endpoint from which nothing comes time out while they connect, all at the same
// moment. When it speaks again, on whatever connection, it must be chosen as before: at once, and
// without a failure that counts against it.
func TestSilentEndpointIsUsedAgainWhenItSpeaks(t *testing.T) {
	b := newBalancer(1)
	b.Put(placement.Endpoint{ID: "far", EndpointInfo: fleet.EndpointInfo{Service: "model", Address: "far", Domain: "b", Slots: 8}})
	r := shortRequest()
	r.Avoid = []string{"far"}
	stream := sendTo(t, b, r, start)
	stream.RecordFirst(start.Add(50 * time.Millisecond))
	now := start.Add(100 * time.Millisecond)
	want := choose(t, b, r, now).Expected
	var runs []*placement.Run
	for range 6 {
		runs = append(runs, sendTo(t, b, r, now))
	}
	now = now.Add(400 * time.Millisecond)
	for _, run := range runs {
		run.End(placement.ResultSilent, now)
	}
	require.Zero(t, chosenOf(t, b, 50, now)["i-0"], "chosen while no connection can be made")
	now = now.Add(700 * time.Millisecond)
	require.Len(t, b.Probes(now), 1)
	b.RecordProbe(listedEndpoint(b, "i-0"), false, now)
	require.Zero(t, chosenOf(t, b, 50, now)["i-0"])
	stream.RecordData(now)
	require.InEpsilon(t, want, choose(t, b, r, now).Expected, 0.02)
	stream.End(placement.ResultAnswered, now)
	require.Equal(t, 50, chosenOf(t, b, 50, now)["i-0"])
	require.Empty(t, b.Probes(now.Add(time.Minute)))
}

// An endpoint that accepts no new connections and goes on with its streams is not silent: what it
// sends must not bring back requests that would wait for a connection in vain.
func TestEndpointWithoutNewConnectionsIsProbed(t *testing.T) {
	b := newBalancer(1)
	stream := sendTo(t, b, shortRequest(), start)
	stream.RecordFirst(start)
	run := sendTo(t, b, shortRequest(), start)
	now := start.Add(400 * time.Millisecond)
	stream.RecordData(now)
	run.End(placement.ResultSilent, now)
	stream.RecordData(now.Add(100 * time.Millisecond))
	_, ok := b.Choose(shortRequest(), now.Add(100*time.Millisecond))
	require.False(t, ok)
	b.RecordProbe(listedEndpoint(b, "i-0"), true, now.Add(300*time.Millisecond))
	_, ok = b.Choose(shortRequest(), now.Add(300*time.Millisecond))
	require.True(t, ok)
}

// A silent endpoint goes on by refusing a request: that is a sign of life as well.
func TestRefusalEndsSilence(t *testing.T) {
	b := newBalancer(1)
	waiting := sendTo(t, b, shortRequest(), start)
	run := sendTo(t, b, shortRequest(), start)
	now := start.Add(400 * time.Millisecond)
	run.End(placement.ResultSilent, now)
	_, ok := b.Choose(shortRequest(), now)
	require.False(t, ok)
	waiting.End(placement.ResultRefused, now)
	_, ok = b.Choose(shortRequest(), now)
	require.True(t, ok)
}
