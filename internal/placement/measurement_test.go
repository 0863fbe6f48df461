package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
)

// Times of requests that end before they begin were learned: estimates fell below zero without end, and
// all requests went to the endpoint with the most negative one. Whatever is measured, estimates stay in
// their range, and what is out of it is counted.
func TestNegativeTimesAreNotLearned(t *testing.T) {
	const back = -3 * time.Second
	r := shortRequest()
	r.Events = 60
	play := func(measure func(run *placement.Run, now time.Time)) (placement.Choice, map[placement.Measurement]int) {
		b, now := newBalancer(1), time.Now()
		invalid := map[placement.Measurement]int{}
		b.OnInvalidTime = func(service string, m placement.Measurement) {
			require.Equal(t, "model", service)
			invalid[m]++
		}
		for range 200 {
			measure(sendTo(t, b, r, now), now)
			now = now.Add(100 * time.Millisecond)
		}
		// More than all slots are taken, so that the learned duration counts, too.
		for range 12 {
			sendTo(t, b, r, now)
		}
		return choose(t, b, r, now), invalid
	}
	first, from, to, end := 50*time.Millisecond, 60*time.Millisecond, 540*time.Millisecond, 560*time.Millisecond
	steady, invalid := play(func(run *placement.Run, now time.Time) {
		run.RecordFirst(now.Add(first))
		run.RecordStream(60, now.Add(from), now.Add(to))
		run.End(placement.ResultAnswered, now.Add(end))
	})
	require.Empty(t, invalid)
	for name, measure := range map[placement.Measurement]func(run *placement.Run, now time.Time){
		placement.MeasurementFirst: func(run *placement.Run, now time.Time) {
			run.RecordFirst(now.Add(back))
			run.RecordStream(60, now.Add(from), now.Add(to))
			run.End(placement.ResultAnswered, now.Add(end))
		},
		placement.MeasurementInterval: func(run *placement.Run, now time.Time) {
			run.RecordFirst(now.Add(first))
			run.RecordStream(60, now, now.Add(back))
			run.End(placement.ResultAnswered, now.Add(end))
		},
		placement.MeasurementRun: func(run *placement.Run, now time.Time) {
			run.RecordFirst(now.Add(first))
			run.RecordStream(60, now.Add(from), now.Add(to))
			run.End(placement.ResultAnswered, now.Add(back))
		},
	} {
		t.Run(string(name), func(t *testing.T) {
			got, invalid := play(measure)
			require.Positive(t, got.Wait)
			require.Greater(t, got.Expected, got.Wait)
			require.Less(t, got.Expected, 2*steady.Expected)
			require.Equal(t, map[placement.Measurement]int{name: 200}, invalid)
		})
	}
}
