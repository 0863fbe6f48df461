package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/share"
)

// wireEnvelope is the message between two instances. Each duty encodes its own
// part.
type wireEnvelope struct {
	Name        string `json:"n"`
	Domain      string `json:"d"`
	Address     string `json:"a"`
	Incarnation uint32 `json:"i"`
	// To is the incarnation of the addressee that the sender knows.
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
	sent     share.Sent
	beat     bool
	releases int
	// told is the free slots per service that the peer was last told.
	told map[string]int
	// free is what the peer last reported.
	free map[string]int
	// synced is when the peer last reported knowing this incarnation.
	synced time.Time
	// incarnation is the peer's, as last heard.
	incarnation uint32
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
	l := s.link(peer)
	self := s.Table.Self
	w := wireEnvelope{
		Name: self.Name, Domain: self.Domain, Address: self.Address,
		Incarnation: self.Incarnation, To: l.incarnation, Leaving: self.Leaving,
		Extra: extra,
	}
	reference := l.beat && s.Table.Owner("reference", "") == s.self()
	w.Report = s.Book.Report(&l.sent, reference)
	l.releases = s.held.Unsent(peer)
	w.Holder = s.held.Message(peer, s.owns(peer))
	w.Home = s.home.Message(peer, now)
	l.beat = false
	l.told = map[string]int{}
	for _, name := range s.home.Endpoints() {
		service := s.endpoints[name].Service
		l.told[service] = s.home.Free(service, now)
	}
	data, err := json.Marshal(w)
	if err != nil {
		panic(fmt.Sprintf("scheduler: message does not encode: %v", err))
	}
	return data
}

// Sent records whether the last composed message reached the peer.
func (s *Scheduler) Sent(peer string, ok bool) {
	l := s.link(peer)
	if !ok {
		l.sent.Forget()
		return
	}
	s.held.Acknowledged(peer, l.releases)
	if s.held.Unsent(peer) > 0 {
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
	if !s.Table.Heard(from, now) {
		return from, nil, &MessageError{Cause: fmt.Errorf("incarnation %d of %q was replaced", from.Incarnation, from.Name)}
	}
	l := s.link(from.Name)
	if l.incarnation != from.Incarnation {
		s.greet(l, from)
	}
	if w.To == s.Table.Self.Incarnation {
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
		s.home.Forget(from.Name)
	}
	l.incarnation = from.Incarnation
	l.sent.Forget()
	l.free = nil
}

func (s *Scheduler) take(from member.Member, w wireEnvelope, now time.Time) error {
	if err := s.Book.Merge(from.Name, from.Incarnation, w.Report, now); err != nil {
		return err
	}
	for _, row := range s.Book.PeerRows(from.Name) {
		s.home.Demand(from.Name, from.Domain, row.Key, row.Waiting)
	}
	if err := s.home.Receive(from.Name, w.Holder, now); err != nil {
		return err
	}
	leases, free, err := s.held.Receive(from.Name, from.Incarnation, w.Home, now)
	if err != nil {
		return err
	}
	s.link(from.Name).free = free
	for _, l := range leases {
		s.use(l, now)
	}
	s.assign(now)
	s.decide(now)
	s.disappoint(from.Name, now)
	s.seekAll()
	return nil
}

// disappoint tells a peer that counted on free slots here that there are none.
func (s *Scheduler) disappoint(peer string, now time.Time) {
	l := s.link(peer)
	for service, told := range l.told {
		if told > 0 && s.home.Free(service, now) == 0 && s.Book.PeerWaits(peer, service) {
			s.wake(peer)
			return
		}
	}
}

// seek tells homes about work that waits here: first one that reported free
// slots, the nearest with the most; if none did, all homes of the service.
func (s *Scheduler) seek(k share.Key) {
	if s.Queue.Len(k) == 0 {
		return
	}
	best, bestNear, bestFree := "", false, 0
	var untold []string
	for name, near := range s.homes(k.Service) {
		l := s.link(name)
		free := l.free[k.Service]
		told := l.sent.Waiting(k) > 0
		if told && free > 0 {
			return
		}
		if told {
			continue
		}
		untold = append(untold, name)
		if free == 0 {
			continue
		}
		if best == "" || (near && !bestNear) || (near == bestNear && (free > bestFree || (free == bestFree && name < best))) {
			best, bestNear, bestFree = name, near, free
		}
	}
	if best != "" {
		s.wake(best)
		return
	}
	slices.Sort(untold)
	for _, name := range untold {
		s.wake(name)
	}
}

func (s *Scheduler) seekAll() {
	seen := map[string]bool{}
	for name := range s.endpoints {
		service := s.endpoints[name].Service
		if seen[service] {
			continue
		}
		seen[service] = true
		for _, k := range s.Queue.Keys(service) {
			s.seek(k)
		}
	}
}
