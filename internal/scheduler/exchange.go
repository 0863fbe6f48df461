package scheduler

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/internal/slot"
)

// wireEnvelope is the JSON message between two entry instances. Each component
// encodes its own part.
type wireEnvelope struct {
	Name        string `json:"n"`
	Domain      string `json:"d,omitempty"`
	Address     string `json:"a,omitempty"`
	Incarnation uint32 `json:"i"`
	// Number increases with every message of an incarnation to an addressee. A
	// message that arrives after a later one is dropped: its state is out of date,
	// and what it requested is repeated in the later ones.
	Number uint64 `json:"m"`
	// To is the incarnation of the addressee that the sender knows. It is omitted
	// once a message that contained it has arrived.
	To      uint32          `json:"t,omitempty"`
	Leaving bool            `json:"v,omitempty"`
	Report  json.RawMessage `json:"r,omitempty"`
	Holder  json.RawMessage `json:"e,omitempty"`
	Home    json.RawMessage `json:"h,omitempty"`
	// Extra contains the parts of components outside scheduling, by name.
	Extra map[string]json.RawMessage `json:"x,omitempty"`
}

// peerState is the state of the message exchange with one peer.
type peerState struct {
	sentState share.SentState
	// reported is when the last regular report was composed.
	reported        time.Time
	inFlightReturns slot.ReturnCounts // leases returned in the message in flight
	// sentFreeSlots is the number of free slots per service that was last sent to the
	// peer.
	sentFreeSlots map[string]int
	// receivedFreeSlots is the number of free slots per service that the peer last
	// reported.
	receivedFreeSlots map[string]int
	// deferred holds the grants of the last message whose endpoints are closed here: the parts of
	// the message may say that they have opened.
	deferred []*slot.Lease
	// acknowledgedAt is when the last message arrived that showed that the peer knows
	// this incarnation.
	acknowledgedAt time.Time
	// incarnation is the peer's incarnation in its last message.
	incarnation uint32
	// lastSent is the number of the last message to the peer, lastReceived that of
	// the last message from it.
	lastSent     uint64
	lastReceived uint64
	// inFlightTo is the peer's incarnation to which the message in flight is
	// addressed, confirmedTo that of the last message that arrived; it is 0 after a
	// failed delivery. knowsSelf is set while the peer knows this incarnation.
	inFlightTo  uint32
	confirmedTo uint32
	knowsSelf   bool
}

// MessageError reports a message of a peer that cannot be processed.
type MessageError struct {
	Cause error
}

// Error implements error.
func (e *MessageError) Error() string {
	return fmt.Sprintf("scheduler: unusable message: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// due reports whether a regular report is due.
func (p *peerState) due(now time.Time) bool {
	return now.Sub(p.reported) >= reportInterval-TickInterval/2
}

func (s *Scheduler) peer(name string) *peerState {
	p := s.peers[name]
	if p == nil {
		p = &peerState{}
		s.peers[name] = p
	}
	return p
}

func (s *Scheduler) wake(peer string) {
	if _, ok := s.Table.Get(peer); ok {
		s.Port.Wake(peer)
	}
}

// Compose encodes the next message to a peer. extra holds the parts of other
// components and may be nil. Sent must be called after the attempt to send the
// message.
func (s *Scheduler) Compose(peer string, extra map[string]json.RawMessage, now time.Time) []byte {
	s.Ledger.Advance(now)
	p := s.peer(peer)
	self := s.Table.Self
	p.lastSent++
	w := wireEnvelope{
		Name: self.Name, Incarnation: self.Incarnation, Number: p.lastSent, Leaving: self.Leaving, Extra: extra,
	}
	if p.confirmedTo != p.incarnation {
		w.To = p.incarnation
	}
	p.inFlightTo = p.incarnation
	if p.acknowledgedAt.IsZero() {
		w.Domain, w.Address = self.Domain, self.Address
	}
	regular := p.due(now)
	if regular {
		p.reported = now
	}
	reference := regular && s.Table.Owner("reference", "") == s.self()
	w.Report = s.Ledger.Report(&p.sentState, regular, reference)
	p.inFlightReturns = s.heldLeases.Unacknowledged(peer)
	w.Holder = s.heldLeases.Message(peer, s.owns(peer))
	w.Home = s.home.Message(peer, s.changedFreeSlots(p, now))
	data, err := json.Marshal(w)
	if err != nil {
		panic(fmt.Sprintf("scheduler: cannot encode message: %v", err))
	}
	return data
}

// changedFreeSlots returns the number of free slots per service at this home if it
// differs from what was last sent to the peer, and nil otherwise.
func (s *Scheduler) changedFreeSlots(p *peerState, now time.Time) map[string]int {
	free := s.home.FreeSlots(now)
	if maps.Equal(free, p.sentFreeSlots) {
		return nil
	}
	p.sentFreeSlots = free
	return free
}

// Sent records whether the last composed message reached the peer.
func (s *Scheduler) Sent(peer string, ok bool) {
	p := s.peer(peer)
	if !ok {
		p.confirmedTo = 0
		p.sentState.Reset()
		p.sentFreeSlots = nil
		return
	}
	p.confirmedTo = p.inFlightTo
	s.heldLeases.Acknowledge(peer, p.inFlightReturns)
	if s.heldLeases.Unacknowledged(peer) != (slot.ReturnCounts{}) {
		s.wake(peer)
	}
}

// Receive processes the message of a peer. It returns the sender and the parts of
// other components, which are nil if a later message arrived before. UseGrants must be
// called once they have been applied, if there are any. It returns a *MessageError if
// the message cannot be decoded, names no valid sender or comes from a replaced
// incarnation.
func (s *Scheduler) Receive(data []byte, now time.Time) (member.Member, map[string]json.RawMessage, error) {
	w := wireEnvelope{}
	if err := json.Unmarshal(data, &w); err != nil {
		return member.Member{}, nil, &MessageError{Cause: err}
	}
	from := member.Member{Name: w.Name, Domain: w.Domain, Address: w.Address, Incarnation: w.Incarnation, Leaving: w.Leaving}
	if from.Name == "" || from.Incarnation == 0 {
		return from, nil, &MessageError{Cause: fmt.Errorf("sender %q with incarnation %d", from.Name, from.Incarnation)}
	}
	previous, known := s.Table.Get(from.Name)
	if known && from.Domain == "" {
		from.Domain, from.Address = previous.Domain, previous.Address
	}
	if !s.Table.RecordMessage(from, now) {
		return from, nil, &MessageError{Cause: fmt.Errorf("incarnation %d of %q was replaced", from.Incarnation, from.Name)}
	}
	p := s.peer(from.Name)
	if p.incarnation != from.Incarnation {
		s.resetPeer(p, from)
	}
	if w.Number <= p.lastReceived {
		return from, nil, nil
	}
	p.lastReceived = w.Number
	p.knowsSelf = w.To == s.Table.Self.Incarnation || (w.To == 0 && p.knowsSelf)
	if p.knowsSelf {
		p.acknowledgedAt = now
	}
	if !known || previous.State != member.StateLive || previous.Leaving != from.Leaving {
		s.assignHomes(now)
	}
	if err := s.apply(from, w, now); err != nil {
		return from, nil, &MessageError{Cause: err}
	}
	return from, w.Extra, nil
}

// UseGrants uses the grants of the last message of a peer that had to wait for its parts.
func (s *Scheduler) UseGrants(peer string, now time.Time) {
	p := s.peer(peer)
	leases := p.deferred
	p.deferred = nil
	for _, lease := range leases {
		if !s.heldLeases.Valid(lease, s.self(), now) {
			s.release(lease)
			continue
		}
		s.useGrant(lease, now)
	}
}

// resetPeer discards the state of the message exchange with an earlier incarnation of
// a peer.
func (s *Scheduler) resetPeer(p *peerState, from member.Member) {
	if p.incarnation != 0 {
		s.home.RemoveEntry(from.Name)
	}
	p.incarnation = from.Incarnation
	p.lastReceived = 0
	p.knowsSelf = false
	p.sentState.Reset()
	p.acknowledgedAt = time.Time{}
	p.receivedFreeSlots = nil
	p.sentFreeSlots = nil
}

func (s *Scheduler) apply(from member.Member, w wireEnvelope, now time.Time) error {
	rows, err := s.Ledger.Merge(from.Name, from.Incarnation, w.Report, now)
	if err != nil {
		return err
	}
	for _, row := range rows {
		s.home.SetDemand(from.Name, from.Domain, row.Key, row.Waiting)
	}
	if err := s.home.Receive(from.Name, w.Holder, now); err != nil {
		return err
	}
	leases, free, err := s.heldLeases.Receive(from.Name, from.Incarnation, w.Home, now)
	if err != nil {
		return err
	}
	if free != nil {
		s.peer(from.Name).receivedFreeSlots = free
		defer s.notifyAllHomes()
	}
	p := s.peer(from.Name)
	for _, lease := range leases {
		if len(w.Extra) > 0 && s.endpoints[lease.Endpoint].Closed {
			p.deferred = append(p.deferred, lease)
			continue
		}
		s.useGrant(lease, now)
	}
	if len(s.recovering) > 0 {
		s.assignHomes(now)
	}
	s.returnIdleLeases(now)
	s.grantSlots(now)
	s.reportNoFreeSlots(from.Name, now)
	return nil
}
