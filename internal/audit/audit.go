// Package audit keeps the trail of changes of one instance and the way of each
// recent request, so that operators can see what happened and why.
package audit

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// What says what an entry is about.
type What string

// The subjects of entries.
const (
	WhatStart         What = "start"
	WhatStop          What = "stop"
	WhatMember        What = "member"
	WhatLease         What = "lease"
	WhatEndpoint      What = "endpoint"
	WhatConfiguration What = "configuration"
	WhatLeader        What = "leader"
	WhatOrder         What = "order"
	WhatClaim         What = "claim"
	WhatQuarantine    What = "quarantine"
	WhatMessage       What = "message"
)

// Entry is one change.
type Entry struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	What     What      `json:"what"`
	// Subject names what changed.
	Subject string `json:"subject"`
	// Change says what it changed to.
	Change string `json:"change"`
	// Cause says why.
	Cause string `json:"cause,omitempty"`
	// Actor is the operator or instance that brought it about.
	Actor string `json:"actor"`
}

// Step is one event on the way of a request.
type Step struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Step     string    `json:"step"`
	Detail   string    `json:"detail,omitempty"`
}

const (
	maxEntries  = 4096 // entries kept in memory
	maxRequests = 8192 // requests whose way is kept
	maxSteps    = 64   // steps kept for one request
	maxPending  = 4096 // entries waiting for the log service
)

// Trail keeps the newest entries and requests. It is safe for concurrent use.
type Trail struct {
	// Instance names the instance in every entry.
	Instance string
	// Logger gets every entry as a JSON line; nil means none.
	Logger *zap.Logger

	mu      sync.Mutex
	entries []Entry
	pending []Entry
	dropped int
	order   []string
	steps   map[string][]Step
}

// Add appends an entry. Time and instance are filled in.
func (t *Trail) Add(e Entry) {
	e.At = time.Now().UTC()
	e.Instance = t.Instance
	if e.Actor == "" {
		e.Actor = t.Instance
	}
	if t.Logger != nil {
		t.Logger.Info("audit", zap.String("what", string(e.What)), zap.String("subject", e.Subject),
			zap.String("change", e.Change), zap.String("cause", e.Cause), zap.String("actor", e.Actor))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = appendBounded(t.entries, e, maxEntries)
	if len(t.pending) == maxPending {
		t.dropped++
		return
	}
	t.pending = append(t.pending, e)
}

func appendBounded[T any](list []T, v T, most int) []T {
	if len(list) >= most {
		list = slices.Delete(list, 0, len(list)-most+1)
	}
	return append(list, v)
}

// Entries returns the newest entries, oldest first.
func (t *Trail) Entries() []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.entries)
}

// Pending encodes the entries that the log service has not got yet, with their
// number. It returns nil if there are none. Shipped removes them.
func (t *Trail) Pending() ([]byte, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) == 0 {
		return nil, 0
	}
	data, err := json.Marshal(t.pending)
	if err != nil {
		return nil, 0
	}
	return data, len(t.pending)
}

// Shipped removes the n oldest pending entries.
func (t *Trail) Shipped(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = t.pending[min(n, len(t.pending)):]
}

// Step records an event on the way of a request.
func (t *Trail) Step(request, step, detail string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.steps == nil {
		t.steps = map[string][]Step{}
	}
	steps, known := t.steps[request]
	if !known {
		t.order = append(t.order, request)
		t.forget()
	}
	if len(steps) < maxSteps {
		t.steps[request] = append(steps, Step{time.Now().UTC(), t.Instance, step, detail})
	}
}

func (t *Trail) forget() {
	if len(t.order) <= maxRequests {
		return
	}
	delete(t.steps, t.order[0])
	t.order = t.order[1:]
}

// Steps returns the way of a request, or nil if it is not known here.
func (t *Trail) Steps(request string) []Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.steps[request])
}
