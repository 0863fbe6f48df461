package admission

import (
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Request describes a request as far as its admission depends on it.
type Request struct {
	Customer string
	// QueueWait is the time that the request would be queued at the best
	// endpoint before its own processing begins.
	QueueWait time.Duration
	// TargetLatency is the shortest target latency of all requests that share
	// the endpoints; zero means that there is none.
	TargetLatency time.Duration
	// PastTarget is set when the request has already missed its own target
	// latency: beyond its customer's fair share it gets only capacity that no
	// request still within its target needs.
	PastTarget bool
}

const (
	// queueWaitFraction is the fraction of the shortest target latency that a
	// request may be queued at an endpoint: the rest is left for the request's
	// own processing and the network.
	queueWaitFraction = 0.5
	// overShareFraction is the fraction of that queue wait that customers above
	// their fair share may still use; the remainder is reserved for the others.
	overShareFraction = 0.15
	// pastTargetFraction is the fraction of that queue wait that requests past
	// their target latency may use at least: the further their customer is below
	// fullWaitRatio, the more.
	pastTargetFraction = 0.05
	// minWaitRatio is the fair share ratio from which on a customer is limited
	// to overShareFraction. Up to fullWaitRatio it may use the whole queue
	// wait; in between, the limit falls linearly.
	minWaitRatio  = 1.3
	fullWaitRatio = 0.9
)

const (
	// maxRetryFraction is the fraction of a caller's remaining time after which
	// it retries at the latest: callers wait for no more than a third.
	maxRetryFraction = 1.0 / 3
	// retryJitter is the fraction of that delay over which retries are spread.
	retryJitter = 0.4
	// defaultMaxRetryDelay is the longest retry delay of callers that do not
	// state a timeout.
	defaultMaxRetryDelay = 3 * time.Second
)

// RetryDelay returns the delay after which a rejected caller should retry. It is as
// long as the caller's remaining time allows, since a request that misses its target
// latency anyway is best served after the load peak. A remaining time of zero or
// less means that the caller stated no timeout. Jitter is a random number from 0 to
// 1; a larger one shortens the delay.
func RetryDelay(remaining time.Duration, jitter float64) time.Duration {
	longest := defaultMaxRetryDelay
	if remaining > 0 {
		longest = time.Duration(float64(remaining) * maxRetryFraction)
	}
	return time.Duration(float64(longest) * (1 - retryJitter*jitter))
}

// returnSpread is the time over which callers return after endpoints take requests again.
const returnSpread = time.Second

// ReturnDelay returns the delay after which a rejected caller should retry if no endpoint takes
// requests for the given time. Jitter is a random number from 0 to 1, which spreads the callers
// over returnSpread.
func ReturnDelay(unavailable time.Duration, jitter float64) time.Duration {
	return max(unavailable, 0) + time.Duration(jitter*float64(returnSpread))
}

// MoveDelay returns the delay after which a rejected caller should retry that reaches an instance with room
// after the given time. If it can still be answered within its target latency there, because slack is left of
// it, the caller retries early enough. Jitter is a random number from 0 to 1, which spreads the callers.
func MoveDelay(elsewhere, slack time.Duration, jitter float64) time.Duration {
	if slack <= elsewhere {
		return ReturnDelay(elsewhere, jitter)
	}
	return elsewhere + time.Duration(jitter*float64(slack-elsewhere)/2)
}

// Bound is what sets the longest wait of a request.
type Bound string

// The bounds: BoundTarget is the target latency of the requests that share the endpoints, BoundShare
// that the customer is near its fair share or above it, BoundLate that the request is past its target latency.
const (
	BoundTarget Bound = "target"
	BoundShare  Bound = "share"
	BoundLate   Bound = "late"
)

// BoundOf returns what has set the longest wait of a request, as MaxQueueWait returned it.
func BoundOf(r Request, limit time.Duration) Bound {
	switch {
	case r.PastTarget:
		return BoundLate
	case limit < time.Duration(queueWaitFraction*float64(r.TargetLatency)):
		return BoundShare
	}
	return BoundTarget
}

// Admit decides whether a request is sent to an endpoint now.
func (l *Ledger) Admit(r Request, now time.Time) bool { return r.QueueWait <= l.MaxQueueWait(r, now) }

// MaxQueueWait returns the longest time that a request may be queued at an endpoint, always more than zero.
// Without a target latency it is fleet.NoLimit.
func (l *Ledger) MaxQueueWait(r Request, now time.Time) time.Duration {
	if r.TargetLatency <= 0 {
		return fleet.NoLimit
	}
	limit := queueWaitFraction * float64(r.TargetLatency)
	ratio := l.FairShareRatio(r.Customer, now)
	if r.PastTarget {
		limit *= max(pastTargetFraction, 1-ratio/fullWaitRatio)
	} else {
		excess := min(max((ratio-fullWaitRatio)/(minWaitRatio-fullWaitRatio), 0), 1)
		limit *= 1 - excess*(1-overShareFraction)
	}
	return max(time.Duration(limit), 1)
}
