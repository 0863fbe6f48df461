package slot

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
)

// wireHolder is what an entry instance tells a home.
type wireHolder struct {
	Released []uint64          `json:"x,omitempty"`
	Declined []uint64          `json:"d,omitempty"`
	Unused   []uint64          `json:"u,omitempty"`
	Seen     uint64            `json:"s,omitempty"`
	Held     int               `json:"h,omitempty"`
	All      map[uint64]string `json:"a,omitempty"`
	Listed   bool              `json:"l,omitempty"`
	Foreign  map[string]int    `json:"o,omitempty"`
}

// wireHome is what a home tells an entry instance.
type wireHome struct {
	Grants []wireGrant    `json:"g,omitempty"`
	Ask    bool           `json:"q,omitempty"`
	Free   map[string]int `json:"f,omitempty"`
}

type wireGrant struct {
	Number   uint64 `json:"n"`
	Endpoint string `json:"e"`
	Service  string `json:"s"`
	Customer string `json:"c"`
	Kind     string `json:"k,omitempty"`
}

// MessageError reports a message that cannot be read.
type MessageError struct {
	Cause error
}

// Error implements error.
func (e *MessageError) Error() string { return fmt.Sprintf("slot: unreadable message: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// Message encodes what a home must know from this entry instance. Owns tells
// whether an endpoint's home is the addressed one. Released leases stay in the
// message until Acknowledged is called.
func (h *HeldLeases) Message(home string, owns func(endpoint string) bool) json.RawMessage {
	s := h.source(home)
	w := wireHolder{Released: s.released, Declined: s.declined, Unused: s.unused, Seen: s.seen, Held: len(s.leases), Foreign: h.foreign(home, owns)}
	if s.list {
		w.Listed = true
		w.All = map[uint64]string{}
		for _, number := range s.numbers() {
			w.All[number] = s.leases[number].Endpoint
		}
	}
	return encode(w)
}

// ReturnCounts counts the leases that a message gives back.
type ReturnCounts struct {
	released int
	declined int
	unused   int
}

// Unsent returns what a home has not been told yet.
func (h *HeldLeases) Unsent(home string) ReturnCounts {
	s := h.source(home)
	return ReturnCounts{len(s.released), len(s.declined), len(s.unused)}
}

// Acknowledge drops what a message to a home said that reached it.
func (h *HeldLeases) Acknowledge(home string, r ReturnCounts) {
	s := h.source(home)
	s.released = s.released[min(r.released, len(s.released)):]
	s.declined = s.declined[min(r.declined, len(s.declined)):]
	s.unused = s.unused[min(r.unused, len(s.unused)):]
	s.list = false
}

// Receive takes in the message of an entry instance.
func (h *Home) Receive(from string, data json.RawMessage, now time.Time) error {
	w := wireHolder{}
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
	h.Renew(from, w.Seen, w.Held, now)
	if w.Listed {
		h.ReplaceLeases(from, w.All)
	}
	h.SetForeign(from, w.Foreign)
	return nil
}

// FreeSlots returns the free slots of every service that has endpoints here.
func (h *Home) FreeSlots(now time.Time) map[string]int {
	free := map[string]int{}
	for _, service := range h.services() {
		free[service] = h.Free(service, now)
	}
	return free
}

// Message encodes the grants and questions for an entry instance, and free slots
// unless free is nil. Grants stay in the message until the entry instance has seen
// them.
func (h *Home) Message(to string, free map[string]int) json.RawMessage {
	w := wireHome{Free: free}
	if e := h.entries[to]; e != nil {
		w.Ask = e.ask
		for _, g := range e.outbox {
			w.Grants = append(w.Grants, wireGrant{g.Number, g.Endpoint, g.Key.Service, g.Key.Customer, g.Key.Kind})
		}
	}
	if len(w.Grants) == 0 && !w.Ask && w.Free == nil {
		return nil
	}
	return encode(w)
}

// Outbox returns the grants for an entry instance that it has not seen.
func (h *Home) Outbox(to string) []Grant {
	if e := h.entries[to]; e != nil {
		return e.outbox
	}
	return nil
}

// Receive takes in the message of a home. It returns the new leases and the free
// slots per service that the home reports.
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
	if w.Ask {
		h.source(home).list = true
	}
	return leases, w.Free, nil
}

func encode(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		// Only numbers and strings are in it.
		panic(fmt.Sprintf("slot: message does not encode: %v", err))
	}
	return data
}
