// Package audit keeps the audit log of one instance and the trace of each recent request,
// so that operators can see what happened and why.
package audit

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// EventType is the type of an audit entry: what kind of object or process it is about.
type EventType string

// The types of audit entries.
const (
	EventStart         EventType = "start"
	EventStop          EventType = "stop"
	EventMember        EventType = "member"
	EventLease         EventType = "lease"
	EventEndpoint      EventType = "endpoint"
	EventEvacuation    EventType = "evacuation"
	EventConfiguration EventType = "configuration"
	EventLeader        EventType = "leader"
	EventOrder         EventType = "order"
	EventClaim         EventType = "claim"
	EventQuarantine    EventType = "quarantine"
	EventMessage       EventType = "message"
)

// Entry is one change, as recorded in the audit log.
type Entry struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Type     EventType `json:"what"`
	// Subject is the name of the object that changed.
	Subject string `json:"subject"`
	// Change describes the new state of the object.
	Change string `json:"change"`
	// Cause is the reason for the change.
	Cause string `json:"cause,omitempty"`
	// Actor is the operator or instance that made the change.
	Actor string `json:"actor"`
}

// Step is one event in the trace of a request.
type Step struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Step     string    `json:"step"`
	Detail   string    `json:"detail,omitempty"`
}

const (
	maxEntries  = 4096 // entries kept in memory
	maxRequests = 8192 // requests whose trace is kept
	maxSteps    = 64   // steps kept per request
	maxUnsent   = 4096 // entries not yet sent to the log service
)

// Trail keeps the newest audit entries and the traces of the newest requests, each up to a
// fixed number. It is safe for concurrent use.
type Trail struct {
	// Instance is the name of the instance; it is set in every entry.
	Instance string
	// Logger logs every entry as a JSON line; nil means that entries are not
	// logged.
	Logger *zap.Logger

	mu       sync.Mutex
	entries  []Entry
	unsent   []Entry
	dropped  int
	requests []string
	steps    map[string][]Step
}

// Add appends an entry. It sets the time, the instance and, if empty, the actor, which
// defaults to the instance. If too many entries are not sent yet, the entry is kept in
// memory but not sent to the log service.
func (t *Trail) Add(e Entry) {
	e.At = time.Now().UTC()
	e.Instance = t.Instance
	if e.Actor == "" {
		e.Actor = t.Instance
	}
	if t.Logger != nil {
		t.Logger.Info("audit", zap.String("what", string(e.Type)), zap.String("subject", e.Subject),
			zap.String("change", e.Change), zap.String("cause", e.Cause), zap.String("actor", e.Actor))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = appendBounded(t.entries, e, maxEntries)
	if len(t.unsent) == maxUnsent {
		t.dropped++
		return
	}
	t.unsent = append(t.unsent, e)
}

func appendBounded[T any](list []T, v T, maxLen int) []T {
	if len(list) >= maxLen {
		list = slices.Delete(list, 0, len(list)-maxLen+1)
	}
	return append(list, v)
}

// Entries returns the newest entries, oldest first.
func (t *Trail) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.entries)
}

// EncodeUnsent returns the entries that have not been sent to the log service yet, encoded
// as JSON, and their number. It returns nil and 0 if there are none. Call MarkSent with
// the number once they have been sent.
func (t *Trail) EncodeUnsent() ([]byte, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unsent) == 0 {
		return nil, 0
	}
	data, err := json.Marshal(t.unsent)
	if err != nil {
		return nil, 0
	}
	return data, len(t.unsent)
}

// MarkSent removes the n oldest unsent entries.
func (t *Trail) MarkSent(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsent = t.unsent[min(n, len(t.unsent)):]
}

// Step adds an event to the trace of a request.
func (t *Trail) Step(request, step, detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.steps == nil {
		t.steps = map[string][]Step{}
	}
	steps, known := t.steps[request]
	if !known {
		t.requests = append(t.requests, request)
		t.evictOldest()
	}
	if len(steps) < maxSteps {
		t.steps[request] = append(steps, Step{time.Now().UTC(), t.Instance, step, detail})
	}
}

func (t *Trail) evictOldest() {
	if len(t.requests) <= maxRequests {
		return
	}
	delete(t.steps, t.requests[0])
	t.requests = t.requests[1:]
}

// Steps returns the trace of a request, or nil if this instance does not know it.
func (t *Trail) Steps(request string) []Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.steps[request])
}
