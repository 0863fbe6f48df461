package router

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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

// configPart tells peers which configuration is in force here.
type configPart struct {
	r    *Router
	told *told
}

type wireVersion struct {
	Version int64 `json:"v"`
}

func (configPart) name() string { return "c" }

func (c configPart) compose(peer string) json.RawMessage {
	_, version := c.r.follower.Text()
	return c.told.changed(peer, json.RawMessage(fmt.Sprintf(`{"v":%d}`, version)))
}

func (c configPart) sent(peer string, ok bool) { c.told.sent(peer, ok) }

func (c configPart) receive(from member.Member, data json.RawMessage) error {
	var w wireVersion
	if err := json.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("router: unreadable version: %w", err)
	}
	r := c.r
	r.mu.Lock()
	r.versions[from.Name] = w.Version
	r.mu.Unlock()
	if _, own := r.follower.Text(); w.Version > own {
		go r.fetch(from)
	}
	return nil
}

// fetch takes the configuration over from a peer that is further.
func (r *Router) fetch(from member.Member) {
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

// endpointsPart tells peers about the endpoints that this instance is home of.
type endpointsPart struct {
	r    *Router
	told *told
}

// told remembers what each peer was last told by a part.
type told struct {
	mu   sync.Mutex
	last map[string]json.RawMessage
	next map[string]json.RawMessage
	at   map[string]time.Time
}

// repeatTerm is how often unchanged state is told again.
const repeatTerm = 5 * time.Second

var noStates = json.RawMessage("[]")

func (endpointsPart) name() string { return "e" }

func (e endpointsPart) compose(peer string) json.RawMessage {
	data, err := json.Marshal(e.r.homed())
	if err != nil || bytes.Equal(data, noStates) {
		return nil
	}
	return e.told.changed(peer, data)
}

func (t *told) changed(peer string, data json.RawMessage) json.RawMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.last == nil {
		t.last, t.next, t.at = map[string]json.RawMessage{}, map[string]json.RawMessage{}, map[string]time.Time{}
	}
	if bytes.Equal(t.last[peer], data) && time.Since(t.at[peer]) < repeatTerm {
		return nil
	}
	t.next[peer] = data
	return data
}

func (e endpointsPart) sent(peer string, ok bool) { e.told.sent(peer, ok) }

func (t *told) sent(peer string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if data := t.next[peer]; data != nil && ok {
		t.last[peer] = data
		t.at[peer] = time.Now()
	}
	delete(t.next, peer)
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
			// The sender has not learned yet that the duty is another's.
			continue
		}
		r.endpoints.SetHomeState(endpoint.State{
			Name: s.Name, Slots: s.Slots, Closed: s.Why != "", ClosedReason: s.Why, Ready: s.Ready,
		})
	}
	r.mu.Unlock()
	r.refresh(time.Now())
	return nil
}

// wireState is what a home tells about an endpoint.
type wireState struct {
	Name  string `json:"n"`
	Slots int    `json:"s"`
	Ready bool   `json:"r,omitempty"`
	Why   string `json:"w,omitempty"`
}

// homed returns the states of the endpoints that this instance is home of.
func (r *Router) homed() []wireState {
	mine := r.homedNames()
	states := []wireState{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.endpoints.States(time.Now()) {
		if slices.Contains(mine, s.Name) {
			states = append(states, wireState{s.Name, s.Slots, s.Ready, s.ClosedReason})
		}
	}
	return states
}

// homedNames returns the endpoints that this instance is home of.
func (r *Router) homedNames() []string {
	var names []string
	r.dispatcher.With(func(s *scheduler.Scheduler) { names = s.Status().Homed })
	return names
}

// quarantinePart tells peers about crashes.
type quarantinePart struct {
	list *quarantine.List
}

func (quarantinePart) name() string                          { return "q" }
func (q quarantinePart) compose(peer string) json.RawMessage { return q.list.Compose(peer) }
func (q quarantinePart) sent(peer string, ok bool)           { q.list.Sent(peer, ok) }

func (q quarantinePart) receive(from member.Member, data json.RawMessage) error {
	return q.list.Receive(from.Name, data)
}
