package placement

import (
	"slices"
	"time"
)

const (
	// maxDepartures bounds the departures that are kept for sending to other instances,
	// maxDeparturesPerMessage those in one message.
	maxDepartures           = 1024
	maxDeparturesPerMessage = 32
)

// Departure tells another instance that an endpoint said in an answer that it leaves.
type Departure struct {
	Incarnation
	// Age is the time since the answer: clocks of instances differ.
	Age time.Duration `json:"t"`
}

// departureLog holds the departures for other instances, in the order in which this instance
// learned of them.
type departureLog struct {
	list    []loggedDeparture
	dropped int // number of departures dropped from the front of the list
}

type loggedDeparture struct {
	Incarnation
	at  time.Time // of the answer
	own bool      // the answer came to this instance
}

func (l *departureLog) add(d loggedDeparture) {
	if len(l.list) == maxDepartures {
		l.list = slices.Delete(l.list, 0, maxDepartures/4)
		l.dropped += maxDepartures / 4
	}
	l.list = append(l.list, d)
}

// DepartureCount returns the number up to which the list of departures goes, see DeparturesSince.
func (b *Balancer) DepartureCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.departures.dropped + len(b.departures.list)
}

// DeparturesSince returns the departures that another instance lacks, without the first after
// ones, and the number up to which the list goes. If more is set, a further call from that number
// on returns more. Those that this instance learned from others are included if learned is set.
func (b *Balancer) DeparturesSince(after int, learned bool, now time.Time) (list []Departure, next int, more bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.departures
	next = max(after, l.dropped)
	for _, d := range l.list[min(next-l.dropped, len(l.list)):] {
		if len(list) == maxDeparturesPerMessage {
			return list, next, true
		}
		next++
		if age := now.Sub(d.at); (d.own || learned) && age <= formerLifetime {
			list = append(list, Departure{d.Incarnation, max(age, 0)})
		}
	}
	return list, next, false
}

// DepartureOf returns the departure of an endpoint, as a list of none or one.
func (b *Balancer) DepartureOf(id string, now time.Time) []Departure {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byID[id]
	if s == nil || !s.saidToLeave() {
		return nil
	}
	at := s.leavingByAnswer
	if at.IsZero() {
		at = s.leavingByPeer
	}
	return []Departure{{s.incarnation(), max(now.Sub(at), 0)}}
}

// MergeDepartures adds departures that another instance reports. They concern exactly the
// incarnations that they name, also those whose records this instance has not read yet.
func (b *Balancer) MergeDepartures(list []Departure, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range list {
		if d.Age >= 0 && d.Age <= formerLifetime {
			b.recordLeavingByPeer(d.Incarnation, now.Add(-d.Age), now)
		}
	}
}

func (b *Balancer) recordLeavingByPeer(i Incarnation, at, now time.Time) {
	s := b.byID[i.ID]
	listed := s != nil && s.incarnation() == i
	known := b.former.recall(i, now)
	if listed {
		known = s.availability
	}
	if known.saidToLeave() {
		return
	}
	b.departures.add(loggedDeparture{Incarnation: i, at: at})
	if !listed {
		known.leavingByPeer = at
		b.former.remember(i, known, now)
		return
	}
	s.leavingByPeer = at
	b.notifyChange(s, Change{To: ConditionLeaving, Reason: UnavailableLeavingByPeer, Cause: "its answer to another instance", Age: now.Sub(at)})
}

// recordLeaving records that an endpoint has said in an answer to this instance that it leaves.
// If its record has come back since the request was sent, the listed endpoint leaves, too.
func (b *Balancer) recordLeaving(s *endpointState, now time.Time) {
	s = b.current(s)
	if !s.leavingByAnswer.IsZero() {
		return
	}
	if !s.saidToLeave() {
		b.departures.add(loggedDeparture{Incarnation: s.incarnation(), at: now, own: true})
	}
	s.leavingByAnswer = now
	if s.removed {
		b.former.remember(s.incarnation(), s.outlasting(), now)
		return
	}
	b.notifyChange(s, Change{To: ConditionLeaving, Reason: UnavailableLeavingByAnswer, Cause: "its answer"})
}
