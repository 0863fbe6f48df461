package peer

import (
	"math"
	"time"
)

const (
	// answerGain smooths the learned time of answers over some five reservations, and
	// answerDecayTime is how long it takes to decay to a third (1/e) while none is learned.
	answerGain      = 0.2
	answerDecayTime = 2 * time.Second
	// maxAnswerTime bounds the learned time: a home that answered late is asked again.
	maxAnswerTime = reserveTimeout / 2
	// minPatience is the least time that a request is taken to have for a reservation: estimates
	// of times at endpoints are no better than that.
	minPatience = 20 * time.Millisecond
	// answerWaits is how many times an answer waits for the processor of this instance: for the
	// goroutine that reads the link, and for the one of the request.
	answerWaits = 2
)

// answerTime is how long a home takes to answer reservations, without the time for which its answers
// wait here to be read. The zero value takes answers for immediate.
type answerTime struct {
	mean time.Duration
	at   time.Time // when it was last learned
}

// expected returns the time that the next answer takes.
func (a answerTime) expected(now time.Time) time.Duration {
	if a.at.IsZero() {
		return 0
	}
	return time.Duration(float64(a.mean) * math.Exp(-now.Sub(a.at).Seconds()/answerDecayTime.Seconds()))
}

// learn records a reservation that took so long, with or without an answer, while this instance was
// behind by lag.
func (a *answerTime) learn(took, lag time.Duration, now time.Time) {
	mean := a.expected(now)
	sample := min(max(took-answerWaits*lag, 0), reserveTimeout)
	a.mean, a.at = min(mean+time.Duration(answerGain*float64(sample-mean)), maxAnswerTime), now
}

// inTime reports whether the answer to a reservation can be read within limit by an instance whose
// processor is behind by lag. The load it answers: an instance that is too small for its callers is as
// late to read answers as to read requests, so that a reservation costs a message and its whole timeout
// and decides nothing.
func (a answerTime) inTime(limit, lag time.Duration, now time.Time) bool {
	return a.expected(now)+answerWaits*lag < limit
}

// answerLimit returns how long a request may wait for the answer to a reservation.
func answerLimit(patience time.Duration) time.Duration {
	if patience <= 0 {
		return reserveTimeout
	}
	return min(max(patience, minPatience), reserveTimeout)
}

// lag returns by how much this instance's processor is behind.
func (x *Exchange) lag() time.Duration {
	if x.Lag == nil {
		return 0
	}
	return x.Lag()
}

// recordAnswer records that a home has answered a reservation.
func (x *Exchange) recordAnswer(p *peer, requested, now time.Time) {
	lag := x.lag()
	x.mu.Lock()
	defer x.mu.Unlock()
	p.answers.learn(now.Sub(requested), lag, now)
}

// recordNoAnswer records that a home has not answered a reservation in time. Nothing is learned of the
// home if this instance was too far behind to read the answer.
func (x *Exchange) recordNoAnswer(p *peer, requested, now time.Time) {
	lag := x.lag()
	x.mu.Lock()
	defer x.mu.Unlock()
	if !p.answers.inTime(reserveTimeout, lag, now) {
		return
	}
	p.answers.learn(now.Sub(requested), lag, now)
	p.reserveAfter = now.Add(reserveBackoff)
}
