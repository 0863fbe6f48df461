package slot

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
)

// wireEntry is the message of an entry instance to a home. Released, Declined and Unused
// hold the numbers of leases that were given back. Received is the highest grant number
// received and HeldCount the number of leases held. If Listed is set, All maps each held lease
// to its endpoint. Foreign counts, by endpoint, the slots held under other homes.
type wireEntry struct {
	Released  []uint64          `json:"x,omitempty"`
	Declined  []uint64          `json:"d,omitempty"`
	Unused    []uint64          `json:"u,omitempty"`
	Received  uint64            `json:"s,omitempty"`
	HeldCount int               `json:"h,omitempty"`
	All       map[uint64]string `json:"a,omitempty"`
	Listed    bool              `json:"l,omitempty"`
	Foreign   map[string]int    `json:"o,omitempty"`
}

// wireHome is the message of a home to an entry instance. Grants holds the grants that the
// instance has not confirmed, ListRequested asks for the full list of its leases, and
// Free holds the free slots by service.
type wireHome struct {
	Grants        []wireGrant    `json:"g,omitempty"`
	ListRequested bool           `json:"q,omitempty"`
	Free          map[string]int `json:"f,omitempty"`
}

type wireGrant struct {
	Number   uint64 `json:"n"`
	Endpoint string `json:"e"`
	Service  string `json:"s"`
	Customer string `json:"c"`
	Kind     string `json:"k,omitempty"`
}

// MessageError reports a message that cannot be decoded.
type MessageError struct {
	Cause error
}

// Error implements error.
func (e *MessageError) Error() string { return fmt.Sprintf("slot: unreadable message: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// Message encodes the state of this entry instance for a home. owns reports whether the
// addressed instance is the home of an endpoint. Returned leases stay in the message
// until Acknowledge is called.
func (h *HeldLeases) Message(home string, owns func(endpoint string) bool) json.RawMessage {
	s := h.homeState(home)
	w := wireEntry{Released: s.released, Declined: s.declined, Unused: s.unused, Received: s.received, HeldCount: len(s.leases), Foreign: h.foreign(home, owns)}
	if s.sendList {
		w.Listed = true
		w.All = map[uint64]string{}
		for _, number := range s.leaseNumbers() {
			w.All[number] = s.leases[number].Endpoint
		}
	}
	return encode(w)
}

// ReturnCounts holds how many leases a message gives back, by reason.
type ReturnCounts struct {
	released int
	declined int
	unused   int
}

// Unacknowledged returns how many returned leases a home has not acknowledged yet.
func (h *HeldLeases) Unacknowledged(home string) ReturnCounts {
	s := h.homeState(home)
	return ReturnCounts{len(s.released), len(s.declined), len(s.unused)}
}

// Acknowledge removes the returned leases (and the full list) of a message that reached
// the home.
func (h *HeldLeases) Acknowledge(home string, r ReturnCounts) {
	s := h.homeState(home)
	s.released = s.released[min(r.released, len(s.released)):]
	s.declined = s.declined[min(r.declined, len(s.declined)):]
	s.unused = s.unused[min(r.unused, len(s.unused)):]
	s.sendList = false
}

// Receive applies the message of an entry instance. It returns a *MessageError if the
// message cannot be decoded.
func (h *Home) Receive(from string, data json.RawMessage, now time.Time) error {
	w := wireEntry{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &w); err != nil {
			return &MessageError{Cause: err}
		}
	}
	for _, number := range w.Released {
		h.Release(from, number)
	}
	for _, number := range w.Declined {
		h.Decline(from, number, now)
	}
	for _, number := range w.Unused {
		h.ReleaseUnused(from, number)
	}
	h.Renew(from, w.Received, w.HeldCount, now)
	if w.Listed {
		h.ReplaceLeases(from, w.All)
	}
	h.SetForeign(from, w.Foreign)
	return nil
}

// FreeSlots returns the number of free slots of each service that has endpoints here.
func (h *Home) FreeSlots(now time.Time) map[string]int {
	free := map[string]int{}
	for _, service := range h.services() {
		free[service] = h.Free(service, now)
	}
	return free
}

// Message encodes the grants and list request for an entry instance, and the free slots
// unless free is nil. Grants stay in the message until the entry instance has confirmed
// them. It returns nil if there is nothing to send.
func (h *Home) Message(to string, free map[string]int) json.RawMessage {
	w := wireHome{Free: free}
	if e := h.entries[to]; e != nil {
		w.ListRequested = e.needsList
		for _, g := range e.outbox {
			w.Grants = append(w.Grants, wireGrant{g.Number, g.Endpoint, g.Key.Service, g.Key.Customer, g.Key.Kind})
		}
	}
	if len(w.Grants) == 0 && !w.ListRequested && w.Free == nil {
		return nil
	}
	return encode(w)
}

// Outbox returns the grants for an entry instance that it has not confirmed.
func (h *Home) Outbox(to string) []Grant {
	if e := h.entries[to]; e != nil {
		return e.outbox
	}
	return nil
}

// Receive applies the message of a home. It returns the new leases and the free slots per
// service that the home reports, or a *MessageError if the message cannot be decoded.
func (h *HeldLeases) Receive(home string, incarnation uint32, data json.RawMessage, now time.Time) ([]*Lease, map[string]int, error) {
	h.RecordMessage(home, incarnation, now)
	if len(data) == 0 {
		return nil, nil, nil
	}
	w := wireHome{}
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, nil, &MessageError{Cause: err}
	}
	var leases []*Lease
	for _, g := range w.Grants {
		grant := Grant{Number: g.Number, Endpoint: g.Endpoint, Key: share.Key{Service: g.Service, Customer: g.Customer, Kind: g.Kind}}
		if l := h.AddGrant(home, grant); l != nil {
			leases = append(leases, l)
		}
	}
	if w.ListRequested {
		h.homeState(home).sendList = true
	}
	return leases, w.Free, nil
}

func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		// The messages hold only numbers, booleans and strings, which always encode.
		panic(fmt.Sprintf("slot: failed to encode message: %v", err))
	}
	return data
}
