package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/publication"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/scheduler"
)

// configPart sends peers the version of the configuration that is in force at this
// instance.
type configPart struct {
	r       *Router
	tracker *deliveryTracker
}

type wireVersion struct {
	Version int64 `json:"v"`
}

func (configPart) key() string { return "c" }

func (c configPart) compose(peer string) json.RawMessage {
	_, version := c.r.follower.Config()
	return c.tracker.ifDue(peer, json.RawMessage(fmt.Sprintf(`{"v":%d}`, version)))
}

func (c configPart) sent(peer string, ok bool) { c.tracker.sent(peer, ok) }

func (c configPart) receive(from member.Member, data json.RawMessage) error {
	var w wireVersion
	if err := json.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("router: unreadable version: %w", err)
	}
	r := c.r
	r.mu.Lock()
	r.peerVersions[from.Name] = w.Version
	r.mu.Unlock()
	if _, own := r.follower.Config(); w.Version > own {
		go r.fetchConfiguration(from)
	}
	return nil
}

// fetchConfiguration adopts the configuration of a peer that has a higher version.
func (r *Router) fetchConfiguration(from member.Member) {
	resp, err := r.peerCall(context.Background(), http.MethodGet, from.Address, pathSnapshot, nil, sendTimeout)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var snap publication.Snapshot
	if err := json.NewDecoder(resp.Body).Decode(&snap); err != nil {
		return
	}
	r.follower.Adopt(snap, from.Name)
}

// endpointsPart sends peers the states of the endpoints that this instance is the home
// of: the instance that grants their slots.
type endpointsPart struct {
	r       *Router
	tracker *deliveryTracker
}

// deliveryTracker stores what each peer last received of a message part, so that
// unchanged state is not sent with every message: ifDue returns nil for state that the
// peer has received within resendInterval. It is safe for concurrent use.
type deliveryTracker struct {
	mu          sync.Mutex
	delivered   map[string]json.RawMessage
	pending     map[string]json.RawMessage
	deliveredAt map[string]time.Time
}

// resendInterval is how often unchanged state is sent again.
const resendInterval = 5 * time.Second

var emptyStateList = json.RawMessage("[]")

func (endpointsPart) key() string { return "e" }

func (e endpointsPart) compose(peer string) json.RawMessage {
	data, err := json.Marshal(e.r.homedStates())
	if err != nil || bytes.Equal(data, emptyStateList) {
		return nil
	}
	return e.tracker.ifDue(peer, data)
}

func (t *deliveryTracker) ifDue(peer string, data json.RawMessage) json.RawMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.delivered == nil {
		t.delivered, t.pending, t.deliveredAt = map[string]json.RawMessage{}, map[string]json.RawMessage{}, map[string]time.Time{}
	}
	if bytes.Equal(t.delivered[peer], data) && time.Since(t.deliveredAt[peer]) < resendInterval {
		return nil
	}
	t.pending[peer] = data
	return data
}

func (e endpointsPart) sent(peer string, ok bool) { e.tracker.sent(peer, ok) }

func (t *deliveryTracker) sent(peer string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if data := t.pending[peer]; data != nil && ok {
		t.delivered[peer] = data
		t.deliveredAt[peer] = time.Now()
	}
	delete(t.pending, peer)
}

func (e endpointsPart) receive(from member.Member, data json.RawMessage) error {
	var states []wireState
	if err := json.Unmarshal(data, &states); err != nil {
		return fmt.Errorf("router: unreadable endpoint states: %w", err)
	}
	r := e.r
	homes := map[string]string{}
	r.dispatcher.With(func(sch *scheduler.Scheduler) {
		for _, s := range states {
			homes[s.Name] = sch.Home(s.Name)
		}
	})
	r.mu.Lock()
	for _, s := range states {
		if homes[s.Name] != from.Name {
			// The sender has not detected yet that another instance is the home.
			continue
		}
		r.endpoints.SetHomeState(endpoint.State{
			Name: s.Name, Slots: s.Slots, Closed: s.Why != "", ClosedReason: s.Why, Ready: s.Ready, Incarnation: s.Incarnation,
			Cold: time.Duration(s.Cold) * time.Second,
		}, time.Now())
	}
	r.mu.Unlock()
	r.updateEndpoints(time.Now())
	return nil
}

// wireState is the state of an endpoint that its home sends to peers.
type wireState struct {
	Name  string `json:"n"`
	Slots int    `json:"s"`
	Ready bool   `json:"r,omitempty"`
	Why   string `json:"w,omitempty"`
	// Incarnation is that of the endpoint to which the state applies, zero if the
	// instance list states none.
	Incarnation uint64 `json:"i,omitempty"`
	// Cold is how long the endpoint is cold, in seconds rounded up, so that it changes rarely.
	Cold int `json:"k,omitempty"`
}

// homedStates returns the states of the endpoints that this instance is the home of.
func (r *Router) homedStates() []wireState {
	homed := r.homedNames()
	states := []wireState{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.endpoints.States(time.Now()) {
		if slices.Contains(homed, s.Name) {
			states = append(states, wireState{s.Name, s.Slots, s.Ready, s.ClosedReason, s.Incarnation, int(math.Ceil(s.Cold.Seconds()))})
		}
	}
	return states
}

// homedNames returns the names of the endpoints that this instance is the home of.
func (r *Router) homedNames() []string {
	var names []string
	r.dispatcher.With(func(s *scheduler.Scheduler) { names = s.Status().HomeOf })
	return names
}

// quarantinePart sends peers the crashes that this instance detected. It is safe for
// concurrent use.
type quarantinePart struct {
	list *quarantine.List

	mu        sync.Mutex
	delivered map[string]func() // by peer: to call once the message being sent has arrived
}

func (*quarantinePart) key() string { return "s" }

func (q *quarantinePart) compose(peer string) json.RawMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	var data json.RawMessage
	data, q.delivered[peer] = q.list.Compose(peer, false)
	return data
}

func (q *quarantinePart) sent(peer string, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if delivered := q.delivered[peer]; ok && delivered != nil {
		delivered()
	}
	delete(q.delivered, peer)
}

func (q *quarantinePart) receive(_ member.Member, data json.RawMessage) error {
	return q.list.Receive(data)
}
