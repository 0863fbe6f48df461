package placement

import (
	"math/rand/v2"
	"time"

	"github.com/greengagestep/greengagestep/internal/warmup"
)

// Startup is how the endpoints of a service behave after their start.
type Startup struct {
	// Limit bounds the requests that are started at an endpoint while it is cold. Without a
	// rate, endpoints do not count as cold.
	Limit warmup.Limit
	// Time is how long an endpoint is cold after its start.
	Time time.Duration
}

// warmth is what the sources say about whether an endpoint is cold. It is cold until the latest of
// these times, so that the most cautious source decides.
type warmth struct {
	coldByAnswer time.Time // by answers to this instance
	coldByRecord time.Time // by the record with the sequence coldSequence
	coldSequence int64
	// uncertainUntil is the end of the time for which it is not known whether the endpoint has
	// become cold since uncertainFrom, unless a record says so or could have said so.
	uncertainUntil time.Time
	uncertainFrom  time.Time
	coldByPeer     time.Time // by what other instances know
}

func (w *warmth) coldEnd() time.Time {
	return latest(w.coldByAnswer, w.coldByRecord, w.uncertainUntil, w.coldByPeer)
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// isCold reports whether the endpoint is cold or may be, so that requests need a start.
func (s *endpointState) isCold(now time.Time) bool {
	return s.startup.Limit.Limited() && now.Before(s.coldEnd())
}

// warmShareTime is how long it takes an endpoint to get as many requests as others again after it was
// cold.
const warmShareTime = 2 * time.Second

// warmShare returns with which probability an endpoint is considered for a request: less than 1 right
// after it was cold, when it has little work and would be the best choice of all instances at once. It
// grows slowly at first, since an endpoint with little work is chosen nearly whenever it is considered.
func (s *endpointState) warmShare(now time.Time) float64 {
	end := s.coldEnd()
	if !s.startup.Limit.Limited() || end.IsZero() || now.Before(end) {
		return 1
	}
	elapsed := now.Sub(end).Seconds() / warmShareTime.Seconds()
	return 0.1 + elapsed*elapsed
}

// mayHaveReturned reports whether an endpoint that this instance cannot connect to may be reached by
// another instance that requests a start.
func (s *endpointState) mayHaveReturned(now time.Time) bool {
	switch s.unavailability(now) {
	case UnavailableDown, UnavailableSilent:
		return true
	}
	return false
}

// SetStartup sets which services have endpoints that are cold after their start, by name.
func (b *Balancer) SetStartup(startups map[string]Startup, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startups = startups
	for _, s := range b.byID {
		s.startup = startups[s.Service]
		b.reportCold(s, "its directory record", now)
	}
}

// HasStartups reports whether any service has endpoints that are cold after their start.
func (b *Balancer) HasStartups() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.startups) > 0
}

// maxCold returns the longest time for which an endpoint is cold without a new source that says so.
func (b *Balancer) maxCold(s *endpointState) time.Duration {
	return s.startup.Time + b.HeartbeatInterval
}

// recordWarmth applies the remaining warm-up time of a record. It is counted from when the record was
// read, which is later than when it was written. A record that is not newer than the last one only
// counts if that did not apply to this incarnation.
func (b *Balancer) recordWarmth(s *endpointState, e Endpoint, isNew bool) {
	if !isNew && e.Sequence > 0 && e.Sequence <= s.coldSequence {
		return
	}
	now := time.Now()
	readAt := e.Seen
	if readAt.IsZero() {
		readAt = now
	}
	end := readAt.Add(e.Cold)
	if e.Cold <= 0 && s.coldByRecord.Before(readAt) {
		// An endpoint that was warm all the time has not just become warm.
		end = s.coldByRecord
	}
	if e.Sequence > 0 && e.Sequence <= s.coldSequence {
		// The record lapsed and came back without news.
		end = latest(end, s.coldByRecord)
	} else if e.Cold > 0 || readAt.Sub(s.uncertainFrom) > recordWriteTime*b.HeartbeatInterval {
		// A record that says that the endpoint is warm may be older than what made it uncertain.
		s.uncertainUntil = time.Time{}
	}
	s.coldByRecord, s.coldSequence = end, max(e.Sequence, s.coldSequence)
	if e.Cold > 0 {
		b.reportCold(s, "its directory record", now)
	}
}

func (b *Balancer) recordColdAnswer(s *endpointState, remaining time.Duration, now time.Time) {
	s = b.current(s)
	s.coldByAnswer = latest(s.coldByAnswer, now.Add(remaining))
	if s.removed {
		b.former.remember(s.incarnation(), s.outlasting(), now)
		return
	}
	b.reportCold(s, "its answer", now)
}

// markUncertain records that an endpoint may have become cold.
func (b *Balancer) markUncertain(s *endpointState, cause string, now time.Time) {
	if !s.startup.Limit.Limited() {
		return
	}
	s.uncertainFrom, s.uncertainUntil = now, now.Add(b.maxCold(s))
	b.reportCold(s, cause, now)
}

// recordWriteTime is how many heartbeat intervals an endpoint that has become cold may take to write
// a record that says so.
const recordWriteTime = 2

// SetRecordsRead sets that all records that were written until dataAt have been applied: an endpoint
// that may have become cold and has not written so since is warm.
func (b *Balancer) SetRecordsRead(dataAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.startups) == 0 {
		return
	}
	for _, s := range b.byID {
		if !s.uncertainUntil.IsZero() && dataAt.Sub(s.uncertainFrom) > recordWriteTime*b.HeartbeatInterval && dataAt.Before(s.uncertainUntil) {
			s.uncertainUntil = dataAt
		}
	}
}

// LearnCold merges what another instance knows about how long an endpoint is still cold, and returns
// how long it is by all sources of this instance, as well as its limit. Both are zero if the endpoint
// is unknown.
func (b *Balancer) LearnCold(id string, remaining time.Duration, now time.Time) (time.Duration, warmup.Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byID[id]
	if s == nil {
		return 0, warmup.Limit{}
	}
	if remaining > 0 && s.startup.Limit.Limited() {
		s.coldByPeer = latest(s.coldByPeer, now.Add(min(remaining, b.maxCold(s))))
		b.reportCold(s, "another instance", now)
	}
	if !s.isCold(now) {
		return 0, s.startup.Limit
	}
	return s.coldEnd().Sub(now), s.startup.Limit
}

// OwnCold returns how long an endpoint is still cold by what this instance knows itself: it tells others
// only that, so that no two instances go on confirming each other. An endpoint that may have become cold
// counts only until a record has to say so, as others cannot tell whether one has been read here.
func (b *Balancer) OwnCold(id string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byID[id]
	if s == nil || !s.isCold(now) {
		return 0
	}
	uncertainEnd := s.uncertainFrom.Add(recordWriteTime * b.HeartbeatInterval)
	if s.uncertainUntil.Before(uncertainEnd) {
		uncertainEnd = s.uncertainUntil
	}
	return max(latest(s.coldByAnswer, s.coldByRecord, uncertainEnd).Sub(now), 0)
}

// DelayStart records that the home of an endpoint has no start free for a while.
func (b *Balancer) DelayStart(id string, wait time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byID[id]; s != nil {
		s.startAfter = latest(s.startAfter, now.Add(wait))
	}
}

// reportCold tells OnChange once that an endpoint is cold. The instances spread their first requests for
// starts there.
func (b *Balancer) reportCold(s *endpointState, cause string, now time.Time) {
	if !s.isCold(now) {
		return
	}
	reported := s.coldReported && !now.After(s.coldReportEnd)
	s.coldReported, s.coldReportEnd = true, s.coldEnd()
	if reported {
		return
	}
	// All instances learn it at about the same time.
	s.startAfter = latest(s.startAfter, now.Add(time.Duration(rand.Float64()*float64(s.startup.Limit.Spread(b.instances)))))
	b.notifyChange(s, Change{To: ConditionCold, Reason: UnavailableCold, Cause: cause, For: s.coldEnd().Sub(now)})
}

// StartLimit returns the limit of the starts at an endpoint while it is cold.
func (b *Balancer) StartLimit(id string) warmup.Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byID[id]; s != nil {
		return s.startup.Limit
	}
	return warmup.Limit{}
}

// Endpoint returns the record of an endpoint, and whether it is listed.
func (b *Balancer) Endpoint(id string) (Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byID[id]; s != nil {
		return s.Endpoint, true
	}
	return Endpoint{}, false
}
