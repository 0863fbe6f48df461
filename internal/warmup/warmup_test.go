package warmup_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagestep/greengagestep/internal/warmup"
)

var start = time.Unix(1_700_000_000, 0)

// Two homes together stay within the bound, and one keeps about the rate.
func TestStartsPerHome(t *testing.T) {
	data, err := os.ReadFile("testdata/limits.json")
	require.NoError(t, err)
	var cases []struct {
		Limit  warmup.Limit
		Starts int
	}
	require.NoError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		require.Equal(t, c.Starts, c.Limit.Starts(), "%+v", c.Limit)
	}
}

// Callers ask two homes at arbitrary times, as on both sides of a cut, and use each start after an
// arbitrary part of its lifetime.
func TestNoSecondExceedsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := warmup.Limit{Rate: rapid.Float64Range(1, 40).Draw(t, "rate"), Over: rapid.Float64Range(0, 3).Draw(t, "over"), Slack: rapid.Float64Range(0, 10).Draw(t, "slack")}
		homes := [warmup.MaxHomes]warmup.Home{}
		var used []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond
			if _, ok := homes[rapid.IntRange(0, 1).Draw(t, "home")].Start("i-1", l, start.Add(now)); ok {
				used = append(used, now+time.Duration(rapid.Int64Range(0, int64(warmup.GrantLifetime)-1).Draw(t, "delay")))
			}
		}
		bound := l.Rate*max(l.Over, 1) + l.Slack
		for _, from := range used {
			n := 0
			for _, at := range used {
				if at >= from && at < from+time.Second {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), bound)
		}
	})
}

// While callers wait, a home grants its starts at an even pace.
func TestStartsDoNotBunch(t *testing.T) {
	l := warmup.Limit{Rate: 12, Over: 1.5, Slack: 5}
	var h warmup.Home
	n := 0
	for now := time.Duration(0); now < 10*time.Second; {
		wait, ok := h.Start("i-1", l, start.Add(now))
		if ok {
			n++
			wait = time.Millisecond
		}
		now += wait
	}
	require.GreaterOrEqual(t, n, int(0.8*12*10))
	granted, refused := h.Counts()
	require.EqualValues(t, n, granted)
	require.LessOrEqual(t, refused, granted, "a refusal states when the next start is free")
}

// An instance that starts, becomes the home or wakes after a pause has no complete views.
func TestViewsAfterPause(t *testing.T) {
	var v warmup.Views[string]
	now := start
	run := func(d time.Duration, value string) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			v.Set(uint64(len(value)), func() string { return value }, now)
		}
	}
	_, wait, ok := v.Recent(now)
	require.False(t, ok)
	require.Equal(t, warmup.Window, wait)
	run(time.Second, "a")
	_, _, ok = v.Recent(now)
	require.False(t, ok)
	run(300*time.Millisecond, "a")
	values, _, ok := v.Recent(now)
	require.True(t, ok)
	require.Equal(t, []string{"a"}, values)
	run(500*time.Millisecond, "bb")
	values, _, _ = v.Recent(now)
	require.Equal(t, []string{"a", "bb"}, values)
	run(2*time.Second, "bb")
	values, _, _ = v.Recent(now)
	require.Equal(t, []string{"bb"}, values)
	now = now.Add(time.Second)
	_, _, ok = v.Recent(now)
	require.False(t, ok, "after a pause, before the next view")
	run(100*time.Millisecond, "bb")
	_, _, ok = v.Recent(now)
	require.False(t, ok)
}
