package placement

import "time"

// Weighing is how the prompt tokens that an endpoint has cached were weighed against the wait there.
type Weighing string

// The weighings. WeighingKept means that the endpoint with the least cost admits the request,
// WeighingMoved that another one was taken because the wait there is shorter than the longest that
// the request may have, and WeighingOver that no endpoint with such a wait is worth its extra reading,
// or none was found.
const (
	WeighingKept  Weighing = "kept"
	WeighingMoved Weighing = "moved"
	WeighingOver  Weighing = "over"
)

// detour is a request that would have to wait too long at the endpoint with the least cost and could be
// sent to another one.
type detour struct {
	// own is the time, in milliseconds, for which the request occupies the first
	// endpoint, extra how much longer it occupies the other one, since it reads
	// again there what the first has cached.
	own, extra float64
	// pressure is the probability that the time at the other endpoint is needed by requests that
	// would find their prompts cached: from 0, while endpoints are idle, to 1, while all are busy,
	// requests wait as long as this one may, or as much is refused as served.
	pressure float64
}

// pays reports whether the detour is better for all callers than refusing the request. A refused
// caller loses about as much as any other that takes its time at the endpoint would. With the
// probability pressure, own+extra milliseconds serve others of that much work; the detour serves work
// of own milliseconds. If others take the time for certain, it never pays.
func (d detour) pays() bool { return d.own > d.pressure*(d.own+d.extra) }

// pressureGain smooths what is known of the endpoints of a service over some fifty that were
// compared; pressureDecayTime is how long it counts while none are.
const (
	pressureGain      = 0.02
	pressureDecayTime = time.Second
)

// utilization tracks how busy a random endpoint of a service is.
type utilization struct {
	wait float64 // mean wait of a new request, in milliseconds
	busy float64 // fraction of the endpoints at which it would wait at all
	at   time.Time
}

func (u *utilization) add(wait time.Duration, now time.Time) {
	busy := 0.0
	if wait > 0 {
		busy = 1
	}
	u.wait += pressureGain * (ms(wait) - u.wait)
	u.busy += pressureGain * (busy - u.busy)
	u.at = now
}

// pressure returns the fraction of the endpoints that are busy or, if it is larger, the mean wait in proportion
// to the longest one that a request may have, at most 1. It is 0 if there is no longest one.
func (u *utilization) pressure(longest time.Duration, now time.Time) float64 {
	if longest <= 0 || u.at.IsZero() || now.Sub(u.at) > pressureDecayTime {
		return 0
	}
	return max(u.busy, min(u.wait/ms(longest), 1))
}

// weigh returns which endpoint is taken: the one with the least cost, best, or if a request would wait
// too long there, near, the one with the least cost among those where it would not. Near only counts
// if found is set.
func (b *Balancer) weigh(best, near Choice, found bool, r Request, now time.Time) Choice {
	pressure := max(b.latencyModel(r.Service).utilization.pressure(r.MaxWait, now), r.Shortage)
	chosen := best
	switch {
	case r.MaxWait <= 0 || best.Wait <= r.MaxWait:
		chosen.Weighing = WeighingKept
	case found && b.newDetour(best, near, r, pressure).pays():
		chosen = near
		chosen.Weighing = WeighingMoved
	default:
		chosen.Weighing = WeighingOver
	}
	chosen.Pressure = pressure
	return chosen
}

// newDetour compares the endpoint with the least cost with another one.
func (b *Balancer) newDetour(first, other Choice, r Request, pressure float64) detour {
	m := b.latencyModel(r.Service)
	stream := r.Events * m.eventIntervalMS / float64(max(first.Endpoint.Slots, 1))
	return detour{
		own:      float64(first.Tokens)/m.tokensPerMS + stream,
		extra:    float64(other.Tokens-first.Tokens) / m.tokensPerMS,
		pressure: pressure,
	}
}
