package placement_test

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
)

// stepped returns a time with a monotonic reading as a clock shows it that was set forward by some
// seconds: the reading goes on as before. The package time has no means to make one.
func stepped(t *testing.T, at time.Time, seconds int) time.Time {
	type layout struct {
		wall uint64 // seconds since 1885 in bits 30 to 62 if there is a monotonic reading
		ext  int64
		loc  *time.Location
	}
	require.Equal(t, unsafe.Sizeof(layout{}), unsafe.Sizeof(at))
	after := at
	(*layout)(unsafe.Pointer(&after)).wall += uint64(seconds) << 30
	require.Equal(t, time.Duration(seconds)*time.Second, after.Round(0).Sub(at.Round(0)))
	require.Zero(t, after.Sub(at))
	return after
}

// The time of day is set while requests run. What had been sent since then counted as a silence of as
// long as the step: an endpoint's answer took a negative time, the learned base time became negative and
// fell without end, and each request went to the endpoint with the most negative estimate, at which it
// was refused.
func TestClockStepIsNotLearned(t *testing.T) {
	const seconds = 3
	play := func(step func(time.Time) time.Time) (*placement.Balancer, time.Time) {
		b, now := newBalancer(1), time.Now()
		r := shortRequest()
		for round := range 200 {
			stream, other := sendTo(t, b, r, now), sendTo(t, b, r, now)
			stream.RecordFirst(now.Add(50 * time.Millisecond))
			if round == 10 {
				now = step(now)
			}
			for _, run := range []*placement.Run{stream, other} {
				run.RecordData(now.Add(60 * time.Millisecond))
				run.RecordFirst(now.Add(60 * time.Millisecond))
				run.End(placement.ResultAnswered, now.Add(80*time.Millisecond))
			}
			now = now.Add(100 * time.Millisecond)
		}
		return b, now
	}
	steady, now := play(func(at time.Time) time.Time { return at })
	want := choose(t, steady, shortRequest(), now).Expected
	for name, sign := range map[string]int{"forward": 1, "back": -1} {
		t.Run(name, func(t *testing.T) {
			b, now := play(func(at time.Time) time.Time { return stepped(t, at, sign*seconds) })
			require.InEpsilon(t, want, choose(t, b, shortRequest(), now).Expected, 0.05)
		})
	}
}

// The time of day is set while an endpoint runs requests: it counted as stalled, and its load as that of
// seconds ago.
func TestClockStepIsNoSilence(t *testing.T) {
	b, now := newBalancer(1), time.Now()
	stream := sendTo(t, b, shortRequest(), now)
	stream.RecordFirst(now.Add(50 * time.Millisecond))
	now = now.Add(100 * time.Millisecond)
	stream.RecordData(now)
	require.Zero(t, b.Services(now)["model"].Stalled)
	for _, seconds := range []int{3, -3, 3600} {
		require.Zero(t, b.Services(stepped(t, now, seconds))["model"].Stalled, "%d s", seconds)
	}
	require.Equal(t, 1, b.Services(now.Add(time.Second))["model"].Stalled, "a silence of a second")
}
