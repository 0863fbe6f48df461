package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/overload"
)

// rotationPlay updates a Rotation for a minute and returns at which times it left and returned.
func rotationPlay(r *overload.Rotation, load func(at time.Duration, out bool) (l overload.Load, lagging, others bool)) (left, returned []time.Duration) {
	var at time.Duration
	r.OnChange = func(out bool, _ overload.RotationCause, _ time.Duration, _ overload.Load) {
		if out {
			left = append(left, at)
		} else {
			returned = append(returned, at)
		}
	}
	for ; at < time.Minute; at += 200 * time.Millisecond {
		out, _ := r.Out()
		l, lagging, others := load(at, out)
		r.Update(l, lagging, others, time.Unix(0, 0).Add(at))
	}
	return left, returned
}

// Load: one customer's callers need 1.4 times the processor of a small instance, and find it again two seconds
// after each of its returns; they are gone two seconds after it left. It leaves before its processor lags (a
// second after they came back), and does so four times in a minute at most instead of each seven seconds. Until it has
// not done so for long, callers are not to keep idle connections.
func TestInstanceStaysOutLongerAfterEachRelapse(t *testing.T) {
	changed := time.Duration(0)
	wasOut, lagged := false, 0
	r := &overload.Rotation{}
	left, returned := rotationPlay(r, func(at time.Duration, out bool) (overload.Load, bool, bool) {
		require.Equal(t, at > 2600*time.Millisecond, r.Unsteady(time.Unix(0, 0).Add(at)))
		if out != wasOut {
			changed, wasOut = at, out
		}
		l := overload.Load{Demand: 0.2, Limit: 0.7}
		if since := at - changed; out && since < 2*time.Second || !out && since >= 2*time.Second {
			l.Demand = 1.4
		}
		lagging := !out && at-changed >= 3*time.Second
		if lagging {
			lagged++
		}
		return l, lagging, true
	})
	require.Zero(t, lagged)
	require.GreaterOrEqual(t, len(left), 3)
	require.LessOrEqual(t, len(left), 4)
	for i := 1; i < len(returned); i++ {
		require.Greater(t, returned[i]-left[i], returned[i-1]-left[i-1])
	}
}

func TestRotation(t *testing.T) {
	busy, calm := overload.Load{Demand: 0.9, Limit: 0.7}, overload.Load{Demand: 0.6, Limit: 0.7}
	for name, c := range map[string]struct {
		load           func(at time.Duration, out bool) (overload.Load, bool, bool)
		left, returned []time.Duration
	}{
		// Load: a burst that is over before the load balancer has noticed.
		"short peak": {load: func(at time.Duration, _ bool) (overload.Load, bool, bool) {
			return map[bool]overload.Load{true: busy, false: calm}[at < 500*time.Millisecond], false, true
		}},
		// Load: all instances of the domain have too many callers; the lag of this one is low.
		"the others have no room": {load: func(time.Duration, bool) (overload.Load, bool, bool) { return busy, false, false }},
		// Load: the others become overloaded while it is out. It does not leave again at once.
		"the others run out of room": {
			load: func(at time.Duration, _ bool) (overload.Load, bool, bool) {
				return busy, false, at < 2*time.Second || at > 5*time.Second && at < 14*time.Second
			},
			left: []time.Duration{600 * time.Millisecond}, returned: []time.Duration{2 * time.Second},
		},
		// Load: its callers are too few to move and leave no room: it does not stay out for good.
		"demand that does not move": {
			load: func(at time.Duration, _ bool) (overload.Load, bool, bool) {
				return map[bool]overload.Load{true: busy, false: calm}[at < 2*time.Second], false, true
			},
			left: []time.Duration{600 * time.Millisecond}, returned: []time.Duration{30600 * time.Millisecond},
		},
		// Load: a lag of one and a half seconds, from a neighbor on the machine.
		"lag": {
			load: func(at time.Duration, _ bool) (overload.Load, bool, bool) {
				return overload.Load{Demand: 0.3, Limit: 0.7}, at >= time.Second && at < 2500*time.Millisecond, true
			},
			left: []time.Duration{time.Second}, returned: []time.Duration{4 * time.Second},
		},
		// Load: a lag on an instance that does not know its processor.
		"lag without a limit": {
			load: func(at time.Duration, _ bool) (overload.Load, bool, bool) {
				return overload.Load{}, at < 5*time.Second, true
			},
			left: []time.Duration{0}, returned: []time.Duration{5 * time.Second},
		},
	} {
		t.Run(name, func(t *testing.T) {
			left, returned := rotationPlay(&overload.Rotation{}, c.load)
			require.Equal(t, c.left, left)
			require.Equal(t, c.returned, returned)
		})
	}
}

// Load: all 25 instances of a domain have somewhat too many callers from the same moment on, and hear of each
// other half a second later. Less than half of them leave the rotation, and these return.
func TestDomainWithTooManyCallersDoesNotLeave(t *testing.T) {
	const count, step, delay = 25, 100 * time.Millisecond, 5
	instances := make([]overload.Rotation, count)
	outAt := []int{}
	for at := range 100 {
		now, heard, out := time.Unix(0, 0).Add(time.Duration(at)*step), 0, 0
		if at >= delay {
			heard = outAt[at-delay]
		}
		for i := range instances {
			instances[i].Spread = float64(i) / count
			instances[i].Update(overload.Load{Demand: 0.8, Limit: 0.7}, false, overload.OthersHaveRoom(count, heard), now)
			if is, _ := instances[i].Out(); is {
				out++
			}
		}
		require.Less(t, out, count/2+1)
		outAt = append(outAt, out)
	}
	require.Zero(t, outAt[len(outAt)-1])
}
