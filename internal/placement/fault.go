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
	return s.local.Runs > 0 && now.Sub(time.Unix(0, s.lastReceived.Load())) > stallTimeout
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
// endpoint gets requests again, else it is down. An unknown ID is ignored.
func (b *Balancer) RecordProbe(id string, ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byID[id]
	switch {
	case s == nil:
	case ok:
		s.connectFailures = 0
		s.down = false
		b.notifyChange(s, Change{To: ConditionUp, Cause: "probe connected"})
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
			s.down = false
			b.notifyChange(s, Change{To: ConditionUp, Cause: "request was answered"})
		}
	case ResultFailed:
		f.failureRate += failureGain * (1 - f.failureRate)
	case ResultUnreachable:
		f.failureRate += failureGain * (1 - f.failureRate)
		s.connectFailures++
		s.retryAt = now.Add(min(minBackoff<<min(s.connectFailures-1, 8), maxBackoff))
		if !s.down {
			s.down = true
			b.notifyChange(s, Change{To: ConditionDown, Reason: UnavailableDown, Cause: "connection failed"})
		}
	case ResultRefused, ResultCanceled:
	}
}
