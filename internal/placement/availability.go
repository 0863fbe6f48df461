package placement

import (
	"math"
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
	// UnavailableEvacuated means that operators have emptied the endpoint's failure domain.
	UnavailableEvacuated Unavailability = "evacuated"
	// UnavailableQuiet means that the endpoint asked this instance for no requests for a
	// while.
	UnavailableQuiet Unavailability = "quiet"
	// UnavailableSilent means that a connection to the endpoint was not accepted in time, and
	// that it has sent nothing since: it may be silent for a moment only.
	UnavailableSilent Unavailability = "silent"
	// UnavailableDown means that no connection to the endpoint can be made.
	UnavailableDown Unavailability = "down"
	// UnavailableCold means that the endpoint is cold or may be, and that the request has no
	// start that its home granted.
	UnavailableCold Unavailability = "cold"
	// UnavailableReturning means that such a while has just ended and that the endpoint has
	// as many requests of this instance as it gets at that time.
	UnavailableReturning Unavailability = "returning"
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
	// evacuated is set while operators keep the endpoint's failure domain empty. It follows
	// from the domain, for every incarnation alike.
	evacuated bool
	// evacuatedUntil is until when the same holds because the home of an endpoint of the
	// domain has said so; zero means that none has.
	evacuatedUntil time.Time
	// quietUntil is the end of the time for which the endpoint wants no requests from this
	// instance, by its answers: the latest end that one of them named. It outlives a record
	// that lapses. Other instances are not concerned.
	quietUntil time.Time
	// down is set when a connection fails, by a request or a probe, until one is made or the
	// endpoint sends data.
	down            bool
	connectFailures int       // failures to connect in a row
	retryAt         time.Time // when a connection may be tried again while down
	warmth
}

// unavailability returns why a new request may not be sent to the endpoint now. It decides for
// the first attempt of a request, retries, resumptions, reservations and probes alike.
func (s *endpointState) unavailability(now time.Time) Unavailability {
	switch a := &s.availability; {
	case a.removed:
		return UnavailableRemoved
	case !a.leavingByAnswer.IsZero():
		return UnavailableLeavingByAnswer
	case !a.leavingByPeer.IsZero():
		return UnavailableLeavingByPeer
	case a.leavingByRecord:
		return UnavailableLeavingByRecord
	case a.evacuated || now.Before(a.evacuatedUntil):
		return UnavailableEvacuated
	case now.Before(a.quietUntil):
		return UnavailableQuiet
	case a.down && s.silent.Load():
		return UnavailableSilent
	case a.down:
		return UnavailableDown
	case s.isCold(now):
		return UnavailableCold
	case !a.quietUntil.IsZero() && float64(s.local.Runs) >= s.returnLimit(now):
		return UnavailableReturning
	}
	return ""
}

// returnTime is how long it takes an endpoint that wanted no requests to get as many as others
// again.
const returnTime = time.Second

// returnLimit returns how many requests of this instance the endpoint gets at a time: one at first
// when the time ends for which it wanted none, all its slots after returnTime, and then any number.
func (s *endpointState) returnLimit(now time.Time) float64 {
	elapsed := now.Sub(s.quietUntil)
	if elapsed >= returnTime {
		return math.Inf(1)
	}
	return max(1, elapsed.Seconds()/returnTime.Seconds()*float64(s.Slots))
}

// usable reports whether a new request may be sent to the endpoint now. For a cold endpoint it
// reports whether a start may be requested.
func (s *endpointState) usable(now time.Time) bool {
	switch s.unavailability(now) {
	case "":
		return true
	case UnavailableCold:
		return !now.Before(s.startAfter)
	}
	return false
}

// usableByOthers reports whether other instances may send new requests to the endpoint now.
func (s *endpointState) usableByOthers(now time.Time) bool {
	switch s.unavailability(now) {
	case "", UnavailableQuiet, UnavailableReturning, UnavailableCold:
		return !s.down
	}
	return false
}

// mayProbe reports whether a connection to the endpoint may be tried now without a request.
func (s *endpointState) mayProbe(now time.Time) bool {
	reason := s.unavailability(now)
	if reason == UnavailableEvacuated {
		return !now.Before(s.quietUntil)
	}
	return !reason.Leaving() && reason != UnavailableQuiet
}

// saidToLeave reports whether the endpoint itself has said that it leaves.
func (a availability) saidToLeave() bool {
	return !a.leavingByAnswer.IsZero() || !a.leavingByPeer.IsZero()
}

// backOff sets when a connection may be tried again after one more that failed.
func (a *availability) backOff(now time.Time) {
	a.connectFailures++
	a.retryAt = now.Add(min(minBackoff<<min(a.connectFailures-1, 8), maxBackoff))
}

// outlasting returns the part of what is known that outlives the record of the endpoint.
func (a availability) outlasting() availability {
	return availability{leavingByAnswer: a.leavingByAnswer, leavingByPeer: a.leavingByPeer, quietUntil: a.quietUntil, warmth: a.warmth}
}

// current returns the state of the same incarnation that is listed now, which differs from s if the
// record lapsed and came back; it returns s if there is none.
func (b *Balancer) current(s *endpointState) *endpointState {
	if listed := b.listed(s.Endpoint); listed != nil {
		return listed
	}
	return s
}

// listed returns the state of an endpoint, nil if its incarnation is not listed.
func (b *Balancer) listed(e Endpoint) *endpointState {
	if s := b.byID[e.ID]; s != nil && s.incarnation() == e.incarnation() {
		return s
	}
	return nil
}

// Unavailability returns why no new request may be sent to the endpoint of a choice now.
func (b *Balancer) Unavailability(c Choice, now time.Time) Unavailability {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current(c.state).unavailability(now)
}

// recordQuiet records that an endpoint wants no requests from this instance until a time. An
// earlier end than one that it named before changes nothing.
func (b *Balancer) recordQuiet(s *endpointState, until, now time.Time) {
	s = b.current(s)
	if !until.After(s.quietUntil) {
		return
	}
	s.quietUntil = until
	if s.removed {
		b.former.remember(s.incarnation(), s.outlasting(), now)
		return
	}
	if !s.quietReported && s.unavailability(now) == UnavailableQuiet {
		s.quietReported = true
		b.notifyChange(s, Change{To: ConditionQuiet, Reason: UnavailableQuiet, Cause: "its answer", For: until.Sub(now)})
	}
}

// AvailableFrom returns when the first endpoint in the regions of a request takes requests again,
// if none takes any now and at least one asked for a while without them or is cold and has no start
// free. Otherwise it returns false.
func (b *Balancer) AvailableFrom(r Request, now time.Time) (at time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services[r.Service] {
		if !s.inRegions(r.Regions) {
			continue
		}
		switch s.unavailability(now) {
		case "":
			return time.Time{}, false
		case UnavailableQuiet, UnavailableReturning:
			if !ok || s.quietUntil.Before(at) {
				at, ok = s.quietUntil, true
			}
		case UnavailableCold:
			if !now.Before(s.startAfter) {
				return time.Time{}, false
			}
			if !ok || s.startAfter.Before(at) {
				at, ok = s.startAfter, true
			}
		}
	}
	return at, ok
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
