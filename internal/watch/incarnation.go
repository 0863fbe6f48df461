package watch

import (
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// RecordAge is how a record of an endpoint relates to the records of the same ID that were read
// before it. The platform may carry out a write seconds after a later one, so that the order of
// the log is not always the order in which the endpoint wrote.
type RecordAge string

const (
	// RecordCurrent is a record of the current incarnation, or of a later one.
	RecordCurrent RecordAge = "current"
	// RecordOutdated is an earlier record of the current incarnation, or one of an
	// incarnation that has been replaced. It changes nothing.
	RecordOutdated RecordAge = "outdated"
	// RecordDisputed names another incarnation than the current one, with a start time that
	// contradicts the order of the log: either the record is late, or the clock was set back
	// before the endpoint restarted. The current incarnation stays until the dispute ends.
	RecordDisputed RecordAge = "disputed"
)

const (
	// maxReplaced bounds the replaced incarnations that are remembered for each ID.
	maxReplaced = 8
	// incarnationLifetime is how long an ID without a record is remembered, far longer than
	// a write may be late.
	incarnationLifetime = 10 * time.Minute
	// minPruneSize is the least number of IDs at which those that are no longer needed are
	// forgotten.
	minPruneSize = 1024
)

// incarnations holds what the records of one endpoint ID have shown of its starts.
type incarnations struct {
	born     int64 // start of the current incarnation; zero means unknown
	sequence int64 // largest of its records; zero means that they have none
	leaving  bool  // its last record said that it leaves
	// replaced holds the starts that another one has replaced, oldest first.
	replaced []int64
	// listed is set while the ID has a record.
	listed bool
	// unlistedAt is when the record was removed; it has no meaning while listed is set.
	unlistedAt time.Time
	// disputed is the newest disputed record, nil if there is none. It was first read at
	// disputedAt.
	disputed   *fleet.EndpointInfo
	disputedAt time.Time
}

// recordOrder finds out which records of endpoints are outdated. The zero value is ready to use.
// It is not safe for concurrent use.
type recordOrder struct {
	byID    map[string]*incarnations
	pruneAt int // size of byID at which it is pruned
}

// add classifies a record, and remembers it if it is current or disputed.
func (o *recordOrder) add(id string, e fleet.EndpointInfo, now time.Time) RecordAge {
	h := o.byID[id]
	if h == nil {
		o.prune(now)
		if o.byID == nil {
			o.byID = map[string]*incarnations{}
		}
		h = &incarnations{born: e.Born}
		o.byID[id] = h
	}
	age := h.classify(e)
	switch age {
	case RecordCurrent:
		h.accept(e)
	case RecordDisputed:
		if h.disputed == nil || h.disputed.Born != e.Born {
			h.disputedAt = now
		}
		h.disputed = &e
	}
	return age
}

func (h *incarnations) classify(e fleet.EndpointInfo) RecordAge {
	if e.Born == h.born {
		if e.Sequence != 0 && e.Sequence < h.sequence {
			return RecordOutdated
		}
		return RecordCurrent
	}
	known := slices.Contains(h.replaced, e.Born)
	switch {
	case h.born == 0:
		return RecordCurrent
	case e.Born == 0:
		// The endpoint is known to write its start.
		return RecordOutdated
	case known && e.Born < h.born:
		return RecordOutdated
	case !known && (e.Born > h.born || !h.listed):
		return RecordCurrent
	}
	return RecordDisputed
}

// accept makes the incarnation of a record the current one.
func (h *incarnations) accept(e fleet.EndpointInfo) {
	if e.Born != h.born {
		h.replaced = slices.DeleteFunc(h.replaced, func(born int64) bool { return born == e.Born })
		if h.born != 0 {
			h.replaced = append(h.replaced, h.born)
		}
		if excess := len(h.replaced) - maxReplaced; excess > 0 {
			h.replaced = slices.Delete(h.replaced, 0, excess)
		}
		h.born, h.sequence = e.Born, 0
	}
	h.sequence, h.leaving = max(h.sequence, e.Sequence), e.Leaving
	h.listed, h.disputed = true, nil
}

// isOutdatedCopy reports whether a record of the copy that the platform was restored from is older than
// what it said before: that the record was removed, or that the endpoint leaves. A record with a
// larger sequence was written after the restoration.
func (o *recordOrder) isOutdatedCopy(id string, e fleet.EndpointInfo, removed bool) bool {
	h := o.byID[id]
	if h == nil || e.Born != h.born || e.Sequence > h.sequence {
		return false
	}
	return removed || h.leaving && !e.Leaving
}

// remove records that the record of an ID was removed.
func (o *recordOrder) remove(id string, now time.Time) {
	if h := o.byID[id]; h != nil && (h.listed || h.disputed != nil) {
		h.listed, h.unlistedAt, h.disputed = false, now, nil
	}
}

// removeOthers records that there are no records of IDs other than those that are listed.
func (o *recordOrder) removeOthers(listed map[string]bool, now time.Time) {
	for id := range o.byID {
		if !listed[id] {
			o.remove(id, now)
		}
	}
}

// resolve ends the disputes of records that were first read until a time, and returns these
// records by ID. An endpoint whose record was replaced by a late one would have written it again.
func (o *recordOrder) resolve(until time.Time) map[string]fleet.EndpointInfo {
	var resolved map[string]fleet.EndpointInfo
	for id, h := range o.byID {
		if h.disputed == nil || h.disputedAt.After(until) {
			continue
		}
		if resolved == nil {
			resolved = map[string]fleet.EndpointInfo{}
		}
		resolved[id] = *h.disputed
		h.accept(*h.disputed)
	}
	return resolved
}

// prune forgets IDs that have had no record for incarnationLifetime, each time that the number of
// IDs has doubled.
func (o *recordOrder) prune(now time.Time) {
	if len(o.byID) < max(o.pruneAt, minPruneSize) {
		return
	}
	for id, h := range o.byID {
		if !h.listed && h.disputed == nil && now.Sub(h.unlistedAt) > incarnationLifetime {
			delete(o.byID, id)
		}
	}
	o.pruneAt = 2 * len(o.byID)
}
