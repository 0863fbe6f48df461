package watch

import (
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// returnTerm is how long an endpoint whose record lapsed while the platform was
// away has to come back: the platform names about two seconds.
const returnTerm = 2200 * time.Millisecond

// Roster turns the endpoints' records into the board's endpoints. Exported fields
// are set before the first call. It is safe for concurrent use.
type Roster struct {
	Board *placement.Balancer
	// OnOdd is called with a record that cannot be used; nil is allowed.
	OnOdd func(key string, fault error)

	mu       sync.Mutex
	regained time.Time
	missing  map[string]time.Time // when an endpoint is taken as gone
	known    map[string]bool
	based    bool
}

// Regained records when the platform could be reached again.
func (r *Roster) Regained(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.regained) {
		r.regained = at
	}
}

// Based reports whether the endpoints' records have been read.
func (r *Roster) Based() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.based
}

// Take takes in what the endpoints' feed brought.
func (r *Roster) Take(b Batch[fleet.Entry]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.based = true
	if r.known == nil {
		r.known, r.missing = map[string]bool{}, map[string]time.Time{}
	}
	listed := map[string]bool{}
	for _, k := range b.Records {
		listed[k.Key] = true
		r.take(k, b.At)
	}
	if b.Whole {
		for id := range r.known {
			if !listed[id] {
				r.drop(id, b.At, "no record")
			}
		}
	}
	r.settle(b.At)
}

func (r *Roster) take(k fleet.Keyed[fleet.Entry], now time.Time) {
	switch {
	case k.Fault != nil:
		if r.OnOdd != nil {
			r.OnOdd(k.Key, k.Fault)
		}
		r.remove(k.Key, "its record cannot be read")
	case k.Value == nil:
		r.drop(k.Key, now, "record removed")
	default:
		r.known[k.Key] = true
		delete(r.missing, k.Key)
		r.Board.Put(placement.Endpoint{ID: k.Key, Entry: *k.Value, Seen: now})
	}
}

// drop removes an endpoint, or waits for its return if its record may have lapsed
// only because the platform was away.
func (r *Roster) drop(id string, now time.Time, cause string) {
	if !r.known[id] {
		return
	}
	if until := r.regained.Add(returnTerm); !r.regained.IsZero() && now.Before(until) {
		if _, waits := r.missing[id]; !waits {
			r.missing[id] = until
		}
		return
	}
	r.remove(id, cause)
}

func (r *Roster) remove(id, cause string) {
	delete(r.known, id)
	delete(r.missing, id)
	r.Board.Remove(id, cause)
}

// Settle takes endpoints as gone that did not come back in time. Call it now and
// then.
func (r *Roster) Settle(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
}

func (r *Roster) settle(now time.Time) {
	for id, until := range r.missing {
		if !now.Before(until) {
			r.remove(id, "no record after the platform's return")
		}
	}
}
