package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/overload"
)

// One of 25 small instances has three times its share of callers: 90 of them, each with a request every
// 100 ms, where 40 are as many as it can serve; two others are overloaded. Out of rotation alone, it keeps all of them, since open
// connections stay. It moves callers from when the load balancer sends it no new ones, and no more than
// its excess needs.
func TestInstanceWithTooManyCallersMovesThem(t *testing.T) {
	const step, capacity = 100 * time.Millisecond, 40
	r := &overload.Relief{}
	callers, now := 90, time.Unix(0, 0)
	overloadedUntil, firstMove := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); at < 30*time.Second; at += step {
		overloaded := callers > capacity || at < overloadedUntil+3*time.Second && overloadedUntil > 0
		if callers > capacity {
			overloadedUntil = at
		}
		r.Update(overloaded, overloaded, callers, overload.OthersHaveRoom(25, 2), now.Add(at))
		for range callers {
			if r.MoveCaller(now.Add(at)) {
				callers--
				if firstMove == 0 {
					firstMove = at
				}
			}
		}
	}
	require.GreaterOrEqual(t, firstMove, 2*time.Second)
	require.LessOrEqual(t, callers, capacity)
	require.GreaterOrEqual(t, callers, capacity/3)
	require.EqualValues(t, 90-callers, r.Moved())
}

// Nothing is moved where it helps nobody: while the instance is not overloaded, alone in its failure
// domain, or while most others there are overloaded, too.
func TestCallersStayWhereMovingDoesNotHelp(t *testing.T) {
	for name, c := range map[string]struct {
		overloaded   bool
		live, others int
	}{
		"not overloaded":      {false, 25, 0},
		"alone":               {true, 1, 0},
		"the domain is full":  {true, 25, 12},
		"both are overloaded": {true, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			r := &overload.Relief{}
			for i := range 100 {
				now := time.Unix(0, 0).Add(time.Duration(i) * 100 * time.Millisecond)
				r.Update(c.overloaded, c.overloaded, 100, overload.OthersHaveRoom(c.live, c.others), now)
				require.False(t, r.MoveCaller(now))
			}
		})
	}
}

// Load: requests are refused on an overloaded instance. Their callers are told to retry once they reach another.
func TestRefusedCallersRetryElsewhere(t *testing.T) {
	left := time.Unix(0, 0)
	for _, c := range []struct {
		retriesMove, out, others bool
		wait                     time.Duration
		ok                       bool
	}{
		{false, true, true, 1200 * time.Millisecond, true},
		{false, false, true, 0, false},
		{false, true, false, 0, false},
		{true, true, true, 0, true},
		{true, false, true, 0, true},
		{true, true, false, 0, false},
	} {
		r := &overload.Relief{RetriesMove: c.retriesMove}
		r.Update(c.out, true, 10, c.others, left)
		wait, ok := r.Elsewhere(left.Add(time.Second))
		require.Equal(t, c.ok, ok, "%+v", c)
		if ok {
			require.Equal(t, c.wait, wait, "%+v", c)
		}
	}
}
