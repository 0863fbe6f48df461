package watch

import (
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// RecoveryGrace is how long the writer of a record has to write it again, if the record
	// expired during an outage of the platform or is not in the copy that it was restored from.
	RecoveryGrace = 2 * time.Second
	// maxReadPause is the longest pause between two reads in which endpoints count as having
	// reached the platform. A longer one does not count as a part of RecoveryGrace.
	maxReadPause = 1200 * time.Millisecond
	// freshAge is the age up to which data shows that the platform can be read now.
	freshAge = 600 * time.Millisecond
)

// EndpointTracker maintains the endpoints of a placement.Balancer from their records. Exported
// fields are set before the first call. It is safe for concurrent use.
type EndpointTracker struct {
	Balancer *placement.Balancer
	// OnInvalid is called with a record that cannot be used; nil is allowed. What the
	// records before it said holds.
	OnInvalid func(key string, fault error)
	// OnMissing is called when a record is missing and its endpoint is kept until a time
	// at which the record may have been written again; nil is allowed.
	OnMissing func(id, cause string, until time.Time)
	// OnIgnored is called with a record that is outdated or disputed, and with the age of a
	// disputed one once it counts as current; nil is allowed.
	OnIgnored func(id string, e fleet.EndpointInfo, age RecordAge)
	// DisputeTime is how long an endpoint has to write its record again after one with a
	// start time that contradicts the order of the log; zero means that such a record counts
	// as current at the next call of ResolveDisputes.
	DisputeTime time.Duration

	mu          sync.Mutex
	recoveredAt time.Time // when the last outage of the platform ended; zero means that there was none
	restoredAt  time.Time // when records of a copy were last read; zero means never
	// missing holds endpoints without a record that are kept until the grace has passed.
	missing map[string]bool
	// dataAt is until when records had been read at the last call of RemoveExpired.
	dataAt time.Time
	// pauses are the last pauses between reads that were longer than maxReadPause, in order.
	pauses []readPause
	known  map[string]bool
	order  recordOrder
	synced bool
}

// readPause is a time in which the platform was not read.
type readPause struct{ from, to time.Time }

// maxReadPauses is how many pauses are remembered: few can fall into one grace.
const maxReadPauses = 8

// SetRecovered sets when the last outage of the platform ended. An earlier time than before
// shortens the grace of endpoints whose records are missing.
func (t *EndpointTracker) SetRecovered(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recoveredAt = at
}

// Synced reports whether the endpoints' records have been read at least once.
func (t *EndpointTracker) Synced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
}

// Apply processes a batch of the endpoints' feed.
func (t *EndpointTracker) Apply(b Batch[fleet.EndpointInfo]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced = true
	if t.known == nil {
		t.known, t.missing = map[string]bool{}, map[string]bool{}
	}
	if b.Restored {
		t.restoredAt = b.At
	}
	listed := map[string]bool{}
	for _, r := range b.Records {
		listed[r.Key] = true
		t.applyRecord(r, b.Restored, b.At)
	}
	if b.Snapshot {
		t.order.removeOthers(listed, b.At)
		for id := range t.known {
			if !listed[id] {
				t.drop(id, b.At, "no record")
			}
		}
	}
	t.removeExpired(b.At)
}

// applyRecord processes a record. If the platform was restored from a copy, the record may be older
// than what it said before.
func (t *EndpointTracker) applyRecord(r fleet.KeyedRecord[fleet.EndpointInfo], restored bool, now time.Time) {
	switch {
	case r.Err != nil:
		if t.OnInvalid != nil {
			t.OnInvalid(r.Key, r.Err)
		}
	case r.Value == nil:
		t.drop(r.Key, now, "record removed")
	case restored && t.order.isOutdatedCopy(r.Key, *r.Value, !t.known[r.Key]):
		t.ignored(r.Key, *r.Value, RecordOutdated)
	default:
		if age := t.order.add(r.Key, *r.Value, now); age != RecordCurrent {
			t.ignored(r.Key, *r.Value, age)
			return
		}
		t.put(r.Key, *r.Value, now)
	}
}

func (t *EndpointTracker) put(id string, e fleet.EndpointInfo, now time.Time) {
	t.known[id] = true
	delete(t.missing, id)
	t.Balancer.Put(placement.Endpoint{ID: id, EndpointInfo: e, Seen: now})
}

func (t *EndpointTracker) ignored(id string, e fleet.EndpointInfo, age RecordAge) {
	if t.OnIgnored != nil {
		t.OnIgnored(id, e, age)
	}
}

// ResolveDisputes accepts disputed records whose endpoints have not written another one for
// DisputeTime. All records that were written until dataAt must have been applied. It has to be
// called periodically.
func (t *EndpointTracker) ResolveDisputes(dataAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.order.resolve(dataAt.Add(-t.DisputeTime)) {
		t.ignored(id, e, RecordCurrent)
		t.put(id, e, dataAt)
	}
}

// drop removes an endpoint whose record is missing. If the record may have expired only because
// of an outage of the platform, or was lost when that was restored from a copy, the endpoint gets
// RecoveryGrace to write it again first.
func (t *EndpointTracker) drop(id string, now time.Time, cause string) {
	t.order.remove(id, now)
	switch {
	case !t.known[id] || t.missing[id]:
	case now.Before(t.graceEnd()):
		t.missing[id] = true
		if t.OnMissing != nil {
			t.OnMissing(id, cause, t.graceEnd())
		}
	default:
		t.remove(id, cause)
	}
}

// graceEnd returns until when missing records may be written again; it is long past if the platform
// was neither out of reach nor restored. Long pauses between reads do not count.
func (t *EndpointTracker) graceEnd() time.Time {
	start := t.recoveredAt
	if t.restoredAt.After(start) {
		start = t.restoredAt
	}
	end := start.Add(RecoveryGrace)
	for _, p := range t.pauses {
		from := p.from
		if from.Before(start) {
			from = start
		}
		if length := p.to.Sub(from); length > maxReadPause && from.Before(end) {
			end = end.Add(length)
		}
	}
	return end
}

func (t *EndpointTracker) remove(id, cause string) {
	delete(t.known, id)
	delete(t.missing, id)
	t.Balancer.Remove(id, cause)
}

// RemoveExpired removes endpoints that did not write their records again in time. All records that
// were written until dataAt must have been applied; zero means that none have. It has to be called
// periodically.
func (t *EndpointTracker) RemoveExpired(now, dataAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if dataAt.Sub(t.dataAt) > maxReadPause {
		t.pauses = append(t.pauses, readPause{t.dataAt, dataAt})
		t.pauses = t.pauses[max(len(t.pauses)-maxReadPauses, 0):]
	}
	t.dataAt = dataAt
	t.Balancer.SetRecordsRead(dataAt)
	if now.Sub(dataAt) <= freshAge || !dataAt.Before(t.graceEnd()) {
		t.removeExpired(now)
	}
}

func (t *EndpointTracker) removeExpired(now time.Time) {
	if now.Before(t.graceEnd()) {
		return
	}
	for id := range t.missing {
		t.remove(id, "no record after the platform's recovery")
	}
}
