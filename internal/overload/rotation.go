package overload

import (
	"sync"
	"time"
)

const (
	// roomShare is the part of the limit below which an instance has room for callers that return.
	roomShare = 0.7
	// patience is how long the demand has to exceed the limit, on top of the time for which it is
	// smoothed: shorter peaks are over before the load balancer has noticed.
	patience = 600 * time.Millisecond
	// leaveSpread is the time over which instances leave that have too many callers at the same
	// moment, so that each hears of those before it. It shrinks to nothing where the demand
	// takes the whole processor.
	leaveSpread = 6 * time.Second
	// crowdedTime is how long an instance whose lag is low does not leave after it learned that
	// its callers would have nowhere to go.
	crowdedTime = 10 * time.Second
	// minHold and maxHold bound how long an instance stays out of the rotation: holdFactor times
	// as long each time that it has to leave again within relapseTime of its return, or within
	// twice the last hold. An overload lasts for some three seconds until callers are moved: with
	// maxHold it takes a tenth of the time at most.
	minHold     = recoveryPeriod
	maxHold     = 30 * time.Second
	holdFactor  = 3
	relapseTime = 15 * time.Second
)

// RotationCause is why an instance leaves the load balancer's rotation or returns to it.
type RotationCause string

// The causes: CauseLag is that the processor lags, CauseDemand that callers would need more of it than its
// limit. CauseRoom is that there is room again, CauseTime that maxHold has passed, CauseCrowded that
// callers would have nowhere to go.
const (
	CauseLag     RotationCause = "lag"
	CauseDemand  RotationCause = "demand"
	CauseRoom    RotationCause = "room"
	CauseTime    RotationCause = "time"
	CauseCrowded RotationCause = "crowded"
)

// Rotation decides whether an instance takes new callers: it leaves the load balancer's rotation before its
// processor is overloaded, and stays out longer each time that its callers overload it again. The
// zero value is in the rotation. It is safe for concurrent use.
type Rotation struct {
	// Spread is a number from 0 to 1 that differs between the instances.
	Spread float64
	// OnChange is called when the instance leaves and when it returns; nil means no callback. It
	// is set before the first Update.
	OnChange func(out bool, cause RotationCause, hold time.Duration, l Load)

	mu           sync.Mutex
	out          bool
	since        time.Time     // of the last change
	hold         time.Duration // of the last time out; zero if it was never out
	excessSince  time.Time     // zero while the demand is within the limit
	crowdedUntil time.Time
}

// Update has to be called several times a second, with whether the processor lags, and with whether
// other instances have room for callers.
func (r *Rotation) Update(l Load, lagging, others bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !others {
		r.crowdedUntil = now.Add(crowdedTime)
	}
	if r.out {
		r.updateOut(l, lagging, others, now)
		return
	}
	if l.Limit == 0 || l.Demand <= l.Limit {
		r.excessSince = time.Time{}
	} else if r.excessSince.IsZero() {
		r.excessSince = now
	}
	switch {
	case lagging:
		r.leave(CauseLag, l, now)
	case !r.excessSince.IsZero() && now.Sub(r.excessSince) >= r.wait(l) && !now.Before(r.crowdedUntil):
		r.leave(CauseDemand, l, now)
	}
}

// wait returns how long the demand has to exceed the limit.
func (r *Rotation) wait(l Load) time.Duration {
	idle := max(1-l.Demand, 0) / (1 - l.Limit)
	return patience + time.Duration(r.Spread*idle*float64(leaveSpread))
}

// leave takes the instance out of the rotation. The caller holds the lock.
func (r *Rotation) leave(cause RotationCause, l Load, now time.Time) {
	if r.mayRelapse(now) {
		r.hold = min(holdFactor*r.hold, maxHold)
	} else {
		r.hold = minHold
	}
	r.change(true, cause, l, now)
}

// mayRelapse reports whether the instance has returned so lately that its former callers may overload it
// again. The caller holds the lock.
func (r *Rotation) mayRelapse(now time.Time) bool {
	return r.hold > 0 && now.Sub(r.since) < max(relapseTime, 2*r.hold)
}

// updateOut decides on the return. The caller holds the lock.
func (r *Rotation) updateOut(l Load, lagging, others bool, now time.Time) {
	out := now.Sub(r.since)
	switch {
	case lagging:
	case !others:
		r.change(false, CauseCrowded, l, now)
	case out >= r.hold && l.HasRoom():
		r.change(false, CauseRoom, l, now)
	case out >= maxHold:
		r.change(false, CauseTime, l, now)
	}
}

// change sets and reports the state. The caller holds the lock.
func (r *Rotation) change(out bool, cause RotationCause, l Load, now time.Time) {
	r.out, r.since, r.excessSince = out, now, time.Time{}
	if r.OnChange != nil {
		r.OnChange(out, cause, r.hold, l)
	}
}

// HasRoom reports whether there is room for callers that return.
func (l Load) HasRoom() bool { return l.Limit == 0 || l.Demand <= roomShare*l.Limit }

// Out reports whether the instance takes no new callers, and since when.
func (r *Rotation) Out() (out bool, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out, r.since
}

// Unsteady reports whether the instance takes no new callers, or has returned lately: connections that
// callers keep open would bring their load back at once.
func (r *Rotation) Unsteady(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out || r.mayRelapse(now)
}
