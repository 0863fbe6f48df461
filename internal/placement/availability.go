package placement

import (
	"slices"
	"time"
)

// Unavailability is why an endpoint takes no new requests; it is empty if the endpoint takes
// them.
type Unavailability string

// The reasons for which an endpoint takes no new requests. If several apply, the first in this
// order is given.
const (
	// UnavailableRemoved means that the record of the endpoint is gone, or that another
	// incarnation has taken its place.
	UnavailableRemoved Unavailability = "removed"
	// UnavailableLeavingByAnswer, UnavailableLeavingByPeer and UnavailableLeavingByRecord
	// mean that the endpoint leaves: it said so in an answer to this instance, in one to
	// another instance, or in its record.
	UnavailableLeavingByAnswer Unavailability = "leaving-by-answer"
	UnavailableLeavingByPeer   Unavailability = "leaving-by-peer"
	UnavailableLeavingByRecord Unavailability = "leaving-by-record"
	// UnavailableDown means that no connection to the endpoint can be made.
	UnavailableDown Unavailability = "down"
)

// Leaving reports whether the endpoint leaves, by whichever source.
func (u Unavailability) Leaving() bool {
	return u == UnavailableLeavingByAnswer || u == UnavailableLeavingByPeer || u == UnavailableLeavingByRecord
}

// availability is what all sources say about whether one incarnation of an endpoint takes new
// requests. Its fields are in the order of precedence: the first that speaks against new requests
// decides, and no later one overrides it. A new incarnation starts without any of them.
type availability struct {
	// removed is set when the record is gone or names another incarnation. It never ends.
	removed bool
	// leavingByAnswer is when the endpoint said in an answer to this instance that it leaves;
	// zero means that it did not. It never ends: a record that does not say so is older or
	// less well informed than the endpoint. It outlives a record that lapses.
	leavingByAnswer time.Time
	// leavingByPeer is the same for answers to other instances.
	leavingByPeer time.Time
	// leavingByRecord is set while the newest record says that the endpoint leaves.
	leavingByRecord bool
	// down is set when a connection fails, by a request or a probe, until one is made.
	down            bool
	connectFailures int       // failures to connect in a row
	retryAt         time.Time // when a connection may be tried again while down
}

// unavailability returns why a new request may not be sent to the endpoint now. It decides for
// the first attempt of a request, retries, resumptions, reservations and probes alike.
func (s *endpointState) unavailability() Unavailability {
	switch a := &s.availability; {
	case a.removed:
		return UnavailableRemoved
	case !a.leavingByAnswer.IsZero():
		return UnavailableLeavingByAnswer
	case !a.leavingByPeer.IsZero():
		return UnavailableLeavingByPeer
	case a.leavingByRecord:
		return UnavailableLeavingByRecord
	case a.down:
		return UnavailableDown
	}
	return ""
}

// usable reports whether a new request may be sent to the endpoint now.
func (s *endpointState) usable() bool { return s.unavailability() == "" }

// mayProbe reports whether a connection to the endpoint may be tried now without a request.
func (s *endpointState) mayProbe() bool { return !s.unavailability().Leaving() }

// outlasting returns the part of what is known that outlives the record of the endpoint.
func (a availability) outlasting() availability {
	return availability{leavingByAnswer: a.leavingByAnswer, leavingByPeer: a.leavingByPeer}
}

// Incarnation identifies one start of an endpoint.
type Incarnation struct {
	ID      string `json:"e"`
	Born    int64  `json:"b"`
	Service string `json:"s"`
	Address string `json:"a"`
}

func (e Endpoint) incarnation() Incarnation {
	return Incarnation{ID: e.ID, Born: e.Born, Service: e.Service, Address: e.Address}
}

const (
	// formerLifetime is how long it is remembered what an incarnation without a record said
	// of itself: far longer than records are missing and than endpoints take to leave.
	formerLifetime = 10 * time.Minute
	// maxFormer bounds the incarnations of which that is remembered.
	maxFormer = 4096
)

// formerEndpoints remembers what incarnations without a record said of themselves, in case their
// records come back.
type formerEndpoints struct {
	byIncarnation map[Incarnation]formerEndpoint
	oldestFirst   []formerKey
}

type formerEndpoint struct {
	availability
	since time.Time
}

type formerKey struct {
	Incarnation
	since time.Time
}

// remember replaces what is remembered of an incarnation.
func (f *formerEndpoints) remember(i Incarnation, a availability, now time.Time) {
	if a == (availability{}) {
		return
	}
	if f.byIncarnation == nil {
		f.byIncarnation = map[Incarnation]formerEndpoint{}
	}
	f.byIncarnation[i] = formerEndpoint{a, now}
	f.oldestFirst = append(f.oldestFirst, formerKey{i, now})
	expired := 0
	for ; len(f.oldestFirst)-expired > maxFormer || now.Sub(f.oldestFirst[expired].since) > formerLifetime; expired++ {
		if k := f.oldestFirst[expired]; f.byIncarnation[k.Incarnation].since.Equal(k.since) {
			delete(f.byIncarnation, k.Incarnation)
		}
	}
	f.oldestFirst = slices.Delete(f.oldestFirst, 0, expired)
}

// recall returns what is remembered of an incarnation.
func (f *formerEndpoints) recall(i Incarnation, now time.Time) availability {
	e := f.byIncarnation[i]
	if now.Sub(e.since) > formerLifetime {
		return availability{}
	}
	return e.availability
}

// recordLeaving records that an endpoint has said in an answer to this instance that it leaves.
// If its record has come back since the request was sent, the listed endpoint leaves, too.
func (b *Balancer) recordLeaving(s *endpointState, now time.Time) {
	if listed := b.byID[s.ID]; listed != nil && listed.incarnation() == s.incarnation() {
		s = listed
	}
	if !s.leavingByAnswer.IsZero() {
		return
	}
	s.leavingByAnswer = now
	if s.removed {
		b.former.remember(s.incarnation(), s.outlasting(), time.Now())
		return
	}
	b.notifyChange(s, ConditionLeaving, "its answer")
}
