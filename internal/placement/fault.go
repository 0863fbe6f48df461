package placement

import (
	"math"
	"time"
)

// Result is how a request ended at an endpoint.
type Result string

// The results of requests at endpoints.
const (
	// ResultAnswered means that the response was complete.
	ResultAnswered Result = "answered"
	// ResultFailed means that the endpoint responded with an error of its own,
	// closed the connection before the response was complete or sent an invalid
	// response.
	ResultFailed Result = "failed"
	// ResultUnreachable means that no connection to the endpoint could be made.
	ResultUnreachable Result = "unreachable"
	// ResultSilent means that a connection to the endpoint was neither made nor refused
	// in time.
	ResultSilent Result = "silent"
	// ResultRefused means that the endpoint did not run the request.
	ResultRefused Result = "refused"
	// ResultCanceled means that the caller disconnected, that the deadline passed or that
	// the request was not sent after all.
	ResultCanceled Result = "left"
)

// fault tracks the recent failures of an endpoint.
type fault struct {
	failureRate float64 // fraction of the requests that failed, smoothed
	updatedAt   time.Time
}

const (
	// failureGain smooths the failure rate over some eight requests, and
	// failureDecayTime is how long it takes to decay to a third (1/e).
	failureGain      = 0.12
	failureDecayTime = 3 * time.Second
	// minFailureRate is the failure rate below which failures do not count.
	minFailureRate = 0.005
	// failureCostMS is what an endpoint with a failure rate of 1 costs, in
	// milliseconds.
	failureCostMS = 1500
	// minBackoff is how long an endpoint without a connection gets no requests;
	// each further failure to connect doubles it, up to maxBackoff.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
)

func (f *fault) cost(now time.Time) float64 {
	if f.failureRate < minFailureRate {
		return 0
	}
	f.decay(now)
	return failureCostMS * f.failureRate
}

func (f *fault) decay(now time.Time) {
	if !f.updatedAt.IsZero() {
		f.failureRate *= math.Exp(-now.Sub(f.updatedAt).Seconds() / failureDecayTime.Seconds())
	}
	f.updatedAt = now
}

const (
	// stallTimeout is how long an endpoint that runs requests may send nothing
	// until others are preferred: events come several times a second.
	stallTimeout = 500 * time.Millisecond
	// stallCostMS is what a stalled endpoint costs, in milliseconds.
	stallCostMS = 1000
)

// stalled reports whether an endpoint that runs requests of this instance has sent nothing
// for longer than stallTimeout.
func (s *endpointState) stalled(now time.Time) bool {
	return s.local.Runs > 0 && now.Sub(fromEpoch(s.lastReceived.Load())) > stallTimeout
}

// recordData records that the endpoint has sent data, and reports whether this ends a silence and
// since when it had sent none. The balancer need not be locked.
func (s *endpointState) recordData(now time.Time) (last time.Time, silent bool) {
	last = fromEpoch(s.lastReceived.Swap(sinceEpoch(now)))
	return last, now.Sub(last) > stallTimeout || s.silent.Load()
}

// endSilence records that an endpoint sent nothing from one time to the other and then went on.
// Without a stream in progress it may just have had nothing to send.
func (b *Balancer) endSilence(s *endpointState, from, to time.Time) {
	if s.streams > 0 {
		s.silentFrom, s.silentTo = from, to
	}
	if s.silent.Load() {
		b.setUp(s, "it sent data", to)
	}
}

func (b *Balancer) setUp(s *endpointState, cause string, now time.Time) {
	s.silent.Store(false)
	s.connectFailures = 0
	s.down = false
	b.notifyChange(s, Change{To: ConditionUp, Cause: cause})
	b.markUncertain(s, "came back after its connections failed", now)
}

// silentBetween returns how much of the time between from and to fell into the endpoint's last
// silence.
func (s *endpointState) silentBetween(from, to time.Time) time.Duration {
	if from.Before(s.silentFrom) {
		from = s.silentFrom
	}
	if to.After(s.silentTo) {
		to = s.silentTo
	}
	return max(to.Sub(from), 0)
}

// Probes returns the endpoints that are down and to which a connection should be tried
// now. Each is returned again after maxBackoff at the latest.
func (b *Balancer) Probes(now time.Time) []Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []Endpoint
	for _, s := range b.byID {
		if s.down && s.mayProbe(now) && !now.Before(s.retryAt) {
			// If this probe gives no result, the next one follows after
			// maxBackoff.
			s.retryAt = now.Add(maxBackoff)
			due = append(due, s.Endpoint)
		}
	}
	return due
}

// RecordProbe records whether a connection to an endpoint could be made: if so, the
// endpoint gets requests again, else it is down. An endpoint that is not listed is ignored, as is
// another incarnation than the listed one.
func (b *Balancer) RecordProbe(e Endpoint, ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.listed(e)
	switch {
	case s == nil:
	case ok:
		b.setUp(s, "probe connected", now)
	case s.silent.Load():
		s.backOff(now)
	default:
		b.recordResult(s, ResultUnreachable, now)
	}
}

// recordResult updates the failure state of an endpoint with the result of a request.
func (b *Balancer) recordResult(s *endpointState, result Result, now time.Time) {
	f := &s.fault
	f.decay(now)
	switch result {
	case ResultAnswered:
		f.failureRate -= failureGain * f.failureRate
		s.connectFailures = 0
		if s.down {
			b.setUp(s, "request was answered", now)
		}
	case ResultFailed:
		f.failureRate += failureGain * (1 - f.failureRate)
	case ResultUnreachable:
		f.failureRate += failureGain * (1 - f.failureRate)
		s.backOff(now)
		s.silent.Store(false)
		if !s.down {
			s.down = true
			b.notifyChange(s, Change{To: ConditionDown, Reason: UnavailableDown, Cause: "connection failed"})
		}
	case ResultSilent:
		if s.down {
			// Requests that were sent to it at the same time count once.
			return
		}
		s.backOff(now)
		s.down = true
		s.silent.Store(true)
		b.notifyChange(s, Change{To: ConditionDown, Reason: UnavailableSilent, Cause: "connection timed out"})
	case ResultRefused:
		if s.silent.Load() {
			b.setUp(s, "request was refused", now)
		}
	case ResultCanceled:
	}
}
