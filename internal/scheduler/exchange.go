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

// wireEnvelope is the message between two instances. Each duty encodes its own
// part.
type wireEnvelope struct {
	Name        string `json:"n"`
	Domain      string `json:"d,omitempty"`
	Address     string `json:"a,omitempty"`
	Incarnation uint32 `json:"i"`
	// Number grows with every message of an incarnation to an addressee. A
	// message that was overtaken is dropped: it holds old state, and what it
	// asked for is repeated in the later ones.
	Number uint64 `json:"m"`
	// To is the incarnation of the addressee that the sender knows, left out
	// once a message that named it has arrived.
	To      uint32          `json:"t,omitempty"`
	Leaving bool            `json:"v,omitempty"`
	Report  json.RawMessage `json:"r,omitempty"`
	Holder  json.RawMessage `json:"e,omitempty"`
	Home    json.RawMessage `json:"h,omitempty"`
	// Extra carries the parts of duties outside scheduling, by name.
	Extra map[string]json.RawMessage `json:"x,omitempty"`
}

// link is what the instance keeps about its exchange with one peer.
type link struct {
	sent share.SentState
	// reported is when the last regular report was composed.
	reported time.Time
	returned slot.ReturnCounts // leases given back in the message on its way
	// told is the free slots per service that the peer was last told.
	told map[string]int
	// free is what the peer last reported.
	free map[string]int
	// synced is when the peer last reported knowing this incarnation.
	synced time.Time
	// incarnation is the peer's, as last heard.
	incarnation uint32
	// number is that of the last message to the peer, heard that of the last
	// one from it.
	number uint64
	heard  uint64
	// naming is the peer's incarnation that the message on its way names, and
	// named the last one that a message named which arrived. Known is set
	// while the peer knows this incarnation.
	naming uint32
	named  uint32
	known  bool
}

// MessageError reports a message of a peer that cannot be used.
type MessageError struct {
	Cause error
}

// Error implements error.
func (e *MessageError) Error() string {
	return fmt.Sprintf("scheduler: unusable message: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// due tells whether a regular report is due.
func (l *link) due(now time.Time) bool { return now.Sub(l.reported) >= reportInterval-TickInterval/2 }

func (s *Scheduler) link(name string) *link {
	l := s.links[name]
	if l == nil {
		l = &link{}
		s.links[name] = l
	}
	return l
}

func (s *Scheduler) wake(peer string) {
	if _, ok := s.Table.Get(peer); ok {
		s.Port.Wake(peer)
	}
}

// Compose encodes what a peer has to be told now. Extra parts of other duties may
// be nil. After sending, Sent must be called.
func (s *Scheduler) Compose(peer string, extra map[string]json.RawMessage, now time.Time) []byte {
	s.Book.Advance(now)
	l := s.link(peer)
	self := s.Table.Self
	l.number++
	w := wireEnvelope{
		Name: self.Name, Incarnation: self.Incarnation, Number: l.number, Leaving: self.Leaving, Extra: extra,
	}
	if l.named != l.incarnation {
		w.To = l.incarnation
	}
	l.naming = l.incarnation
	if l.synced.IsZero() {
		w.Domain, w.Address = self.Domain, self.Address
	}
	regular := l.due(now)
	if regular {
		l.reported = now
	}
	reference := regular && s.Table.Owner("reference", "") == s.self()
	w.Report = s.Book.Report(&l.sent, regular, reference)
	l.returned = s.held.Unsent(peer)
	w.Holder = s.held.Message(peer, s.owns(peer))
	w.Home = s.home.Message(peer, s.tellFree(l, now))
	data, err := json.Marshal(w)
	if err != nil {
		panic(fmt.Sprintf("scheduler: message does not encode: %v", err))
	}
	return data
}

// tellFree returns the free slots here if the peer has not been told them, and nil
// otherwise.
func (s *Scheduler) tellFree(l *link, now time.Time) map[string]int {
	free := s.home.FreeSlots(now)
	if maps.Equal(free, l.told) {
		return nil
	}
	l.told = free
	return free
}

// Sent records whether the last composed message reached the peer.
func (s *Scheduler) Sent(peer string, ok bool) {
	l := s.link(peer)
	if !ok {
		l.named = 0
		l.sent.Reset()
		l.told = nil
		return
	}
	l.named = l.naming
	s.held.Acknowledge(peer, l.returned)
	if s.held.Unsent(peer) != (slot.ReturnCounts{}) {
		s.wake(peer)
	}
}

// Receive takes in the message of a peer and returns the parts of other duties
// and the sender. It returns a *MessageError for garbage.
func (s *Scheduler) Receive(data []byte, now time.Time) (member.Member, map[string]json.RawMessage, error) {
	w := wireEnvelope{}
	if err := json.Unmarshal(data, &w); err != nil {
		return member.Member{}, nil, &MessageError{Cause: err}
	}
	from := member.Member{Name: w.Name, Domain: w.Domain, Address: w.Address, Incarnation: w.Incarnation, Leaving: w.Leaving}
	if from.Name == "" || from.Incarnation == 0 {
		return from, nil, &MessageError{Cause: fmt.Errorf("sender %q with incarnation %d", from.Name, from.Incarnation)}
	}
	before, known := s.Table.Get(from.Name)
	if known && from.Domain == "" {
		from.Domain, from.Address = before.Domain, before.Address
	}
	if !s.Table.RecordMessage(from, now) {
		return from, nil, &MessageError{Cause: fmt.Errorf("incarnation %d of %q was replaced", from.Incarnation, from.Name)}
	}
	l := s.link(from.Name)
	if l.incarnation != from.Incarnation {
		s.greet(l, from)
	}
	if w.Number <= l.heard {
		return from, nil, nil
	}
	l.heard = w.Number
	l.known = w.To == s.Table.Self.Incarnation || (w.To == 0 && l.known)
	if l.known {
		l.synced = now
	}
	if !known || before.State != member.StateLive || before.Leaving != from.Leaving {
		s.assign(now)
	}
	if err := s.take(from, w, now); err != nil {
		return from, nil, &MessageError{Cause: err}
	}
	return from, w.Extra, nil
}

// greet resets what was exchanged with an earlier incarnation of a peer.
func (s *Scheduler) greet(l *link, from member.Member) {
	if l.incarnation != 0 {
		s.home.RemoveEntry(from.Name)
	}
	l.incarnation = from.Incarnation
	l.heard = 0
	l.known = false
	l.sent.Reset()
	l.synced = time.Time{}
	l.free = nil
	l.told = nil
}

func (s *Scheduler) take(from member.Member, w wireEnvelope, now time.Time) error {
	rows, err := s.Book.Merge(from.Name, from.Incarnation, w.Report, now)
	if err != nil {
		return err
	}
	for _, row := range rows {
		s.home.SetDemand(from.Name, from.Domain, row.Key, row.Waiting)
	}
	if err := s.home.Receive(from.Name, w.Holder, now); err != nil {
		return err
	}
	leases, free, err := s.held.Receive(from.Name, from.Incarnation, w.Home, now)
	if err != nil {
		return err
	}
	if free != nil {
		s.link(from.Name).free = free
		defer s.seekAll()
	}
	for _, l := range leases {
		s.use(l, now)
	}
	if len(s.unsettled) > 0 {
		s.assign(now)
	}
	s.shedSpares(now)
	s.decide(now)
	s.disappoint(from.Name, now)
	return nil
}
