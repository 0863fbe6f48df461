package warmup_test

import (
	"encoding/json"
	"os"
	"slices"
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

// A fleet is cut into any number of parts, and callers ask the homes of all parts at arbitrary times and use each start after an
// arbitrary part of its lifetime. The parts know how many instances there were, some for a while only by what they hear.
func TestNoSecondExceedsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := warmup.Limit{Rate: rapid.Float64Range(1, 40).Draw(t, "rate"), Over: rapid.Float64Range(0, 3).Draw(t, "over"), Slack: rapid.Float64Range(0, 10).Draw(t, "slack")}
		sizes, all := rapid.SliceOfN(rapid.IntRange(1, 40), 2, 12).Draw(t, "parts"), 0
		for _, n := range sizes {
			all += n
		}
		now := rapid.SampledFrom([]time.Duration{0, 29 * time.Minute}).Draw(t, "cut")
		homes := make([]warmup.Home, len(sizes))
		shares := make([]float64, len(sizes))
		for i, n := range sizes {
			m := warmup.Members{}
			require.Equal(t, 1.0, m.Share(all, all, start))
			require.Equal(t, 1.0, m.Share(all, all, start.Add(now)))
			shares[i] = m.Share(n, rapid.IntRange(n, all).Draw(t, "known"), start.Add(now).Add(time.Minute))
		}
		var used []time.Duration
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond
			i := rapid.IntRange(0, len(homes)-1).Draw(t, "home")
			l.Share = shares[i]
			if _, ok := homes[i].Start("i-1", l, start.Add(now)); ok {
				used = append(used, now+time.Duration(rapid.Int64Range(0, int64(warmup.GrantLifetime)-1).Draw(t, "delay")))
			}
		}
		requireBound(t, l, used)
	})
}

// A fleet that has become smaller for good grants as much as before after an hour.
func TestSmallerFleetIsNoPartForGood(t *testing.T) {
	var m warmup.Members
	require.Equal(t, 1.0, m.Share(40, 40, start))
	for _, c := range []struct {
		after time.Duration
		share float64
	}{{time.Minute, 0.25}, {31 * time.Minute, 0.25}, {62 * time.Minute, 1}} {
		require.Equal(t, c.share, m.Share(10, 10, start.Add(c.after)), c.after)
	}
}

// requireBound checks that no second has more starts than allowed.
func requireBound(t *rapid.T, l warmup.Limit, used []time.Duration) {
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
}

// Cuts and changes of membership make any two of four instances the homes of an endpoint at a time, as
// often as they like, and instances stand still: they go on with what they knew when they wake.
func TestNoSecondExceedsBoundWhileHomesChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := warmup.Limit{Rate: 12, Over: 1.5, Slack: 5}
		var homes [4]struct {
			warmup.Home
			views       warmup.Views[bool]
			pausedUntil time.Duration
		}
		var used []time.Duration
		claims := [warmup.MaxHomes]int{0, 1}
		nextChange, nextPause := 3*time.Second, 3*time.Second
		for now := time.Duration(0); now < 12*time.Second; now += 20 * time.Millisecond {
			if now >= nextChange {
				claims[rapid.IntRange(0, warmup.MaxHomes-1).Draw(t, "side")] = rapid.IntRange(0, len(homes)-1).Draw(t, "home")
				nextChange += time.Duration(rapid.IntRange(100, 2500).Draw(t, "change")) * time.Millisecond
			}
			if now >= nextPause {
				homes[rapid.IntRange(0, len(homes)-1).Draw(t, "paused")].pausedUntil = now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause"))*time.Millisecond
				nextPause += time.Duration(rapid.IntRange(100, 2500).Draw(t, "next pause")) * time.Millisecond
			}
			for i := range homes {
				h := &homes[i]
				if now < h.pausedUntil {
					continue
				}
				// The first request after a pause is decided before the next view.
				used = appendStart(t, used, &h.Home, &h.views, l, now)
				claim := slices.Contains(claims[:], i)
				digest := uint64(1)
				if claim {
					digest = 2
				}
				h.views.Set(digest, func() bool { return claim }, start.Add(now))
			}
		}
		requireBound(t, l, used)
	})
}

// appendStart requests a start at a home and adds the time at which it is used.
func appendStart(t *rapid.T, used []time.Duration, h *warmup.Home, v *warmup.Views[bool], l warmup.Limit, now time.Duration) []time.Duration {
	views, _, ok := v.Recent(start.Add(now))
	if !ok || slices.Contains(views, false) {
		return used
	}
	if _, ok := h.Start("i-1", l, start.Add(now)); !ok {
		return used
	}
	return append(used, now+time.Duration(rapid.Int64Range(0, int64(warmup.GrantLifetime)-1).Draw(t, "delay")))
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
