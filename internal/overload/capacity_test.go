package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/overload"
)

// Load: an instance of 0.144 cores with 5 % of it in use for its peers, whose callers send 5 to 60 requests a
// second of 1.5 ms each, in waves. It learns their cost, and from that how much of its processor they may use.
func TestCapacityLearnsTheCostOfRequests(t *testing.T) {
	const step, cores, cost = 200 * time.Millisecond, 0.144, 1500 * time.Microsecond
	c, now, used := &overload.Capacity{Cores: cores}, time.Unix(0, 0), overload.Usage{}
	update := func(rate, refused int64) {
		used.Arrived += rate / 5
		used.Refused += refused / 5
		used.Processor += time.Duration(0.05*cores*float64(step)) + time.Duration((rate-refused)/5)*cost
		now = now.Add(step)
		c.Update(used, now)
	}
	for i := range 200 {
		update(int64(5+5*((i/10)%12)), 0)
	}
	l := c.Load(300 * time.Millisecond)
	require.InDelta(t, cost.Seconds(), l.Cost.Seconds(), 0.1*cost.Seconds())
	require.InDelta(t, 0.74, l.Limit, 0.03, "30 ms may be waited, and a request takes 10 ms")
	require.Less(t, c.Load(100*time.Millisecond).Limit, l.Limit, "a shorter target leaves less")

	for range 20 {
		update(120, 60)
	}
	l = c.Load(300 * time.Millisecond)
	require.InDelta(t, 0.68, l.Share, 0.05)
	require.InDelta(t, 1.3, l.Demand, 0.15, "what is refused is part of the demand")
	require.InDelta(t, 120, l.Rate, 5)
	require.Zero(t, (&overload.Capacity{}).Load(time.Second).Limit, "nothing is said of a processor that is not known")
}

// Load: neighbors on the machine take half of the processor, so that callers overload an instance at 0.5 of what it
// may use. It knows so as long as they may still be there, and takes a moment's stop for nothing.
func TestCapacityLearnsWhatTheProcessorGives(t *testing.T) {
	const step, cores = 200 * time.Millisecond, 0.8
	c, now, used := &overload.Capacity{Cores: cores}, time.Unix(0, 0), overload.Usage{}
	update := func(share float64, lagging bool, span time.Duration) overload.Load {
		for range span / step {
			now = now.Add(step)
			used.Processor += time.Duration(share * cores * float64(step))
			used.Lagging = lagging
			c.Update(used, now)
		}
		return c.Load(time.Second)
	}
	update(0.3, false, 5*time.Second)
	require.EqualValues(t, 1, update(0.3, true, 400*time.Millisecond).Ceiling)
	l := update(0.5, true, 6*time.Second)
	require.InDelta(t, 0.5, l.Ceiling, 0.03)
	require.InDelta(t, 1, l.Demand, 0.05)
	require.Greater(t, l.Demand, l.Limit)
	l = update(0.47, false, 5*time.Second)
	require.Less(t, l.Demand, l.Limit)
	require.Greater(t, update(0.5, false, 2*time.Minute).Ceiling, 0.9)
}
