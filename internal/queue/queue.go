// Package queue holds the requests that wait at one entry instance, per service,
// customer and kind, bounded in number and in bytes.
package queue

import (
	"container/list"
	"fmt"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Request is what the queue knows about a waiting request.
type Request struct {
	ID  string
	Key share.Key
	// Bytes is the memory that the request holds while it waits.
	Bytes int64
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
	// PrefixHash is a hash of the beginning of the prompt, for cache affinity; zero
	// means none.
	PrefixHash uint64
	// AvoidEndpoint names an endpoint that should not run the request, because an
	// earlier attempt failed there.
	AvoidEndpoint string
	ArrivedAt     time.Time

	// Suspect requests were running on an endpoint that crashed. Two of them
	// do not run on the same endpoint, so that the one at fault is found.
	Suspect bool

	declined int // slots that the request did not take
}

// maxDeclined is how many slots are declined before a request takes one all the
// same, because no other endpoint may be left.
const maxDeclined = 1

// Refusal is the error for a request that was not taken or was dropped.
type Refusal struct {
	Reason fleet.Reason
	// Limit is the bound that was reached, in requests or bytes.
	Limit int64
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("queue: request refused: %s (limit %d)", r.Reason, r.Limit)
}

// Limits bounds the queue. The default (zero) value of a field means no bound.
type Limits struct {
	// RequestsPerKey bounds the requests that wait per service, customer and kind.
	RequestsPerKey int
	// BytesPerCustomer bounds the bytes that wait per customer.
	BytesPerCustomer int64
	// TotalBytes bounds the bytes that wait in total.
	TotalBytes int64
}

// Queue is the queue. It is not safe for concurrent use.
type Queue struct {
	// Limits returns the bounds for a kind of work.
	Limits func(kind string) Limits

	lines    map[share.Key]*list.List
	byID     map[string]*list.Element
	bytes    int64
	customer map[string]int64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		lines:    map[share.Key]*list.List{},
		byID:     map[string]*list.Element{},
		customer: map[string]int64{},
	}
}

// Push adds a request to the end of its line. It returns a *Refusal if a bound
// is reached.
func (w *Queue) Push(r Request) error {
	if err := w.admit(r); err != nil {
		return err
	}
	line := w.lines[r.Key]
	if line == nil {
		line = list.New()
		w.lines[r.Key] = line
	}
	w.byID[r.ID] = line.PushBack(r)
	w.bytes += r.Bytes
	w.customer[r.Key.Customer] += r.Bytes
	return nil
}

func (w *Queue) admit(r Request) error {
	if w.Limits == nil {
		return nil
	}
	l := w.Limits(r.Key.Kind)
	if l.RequestsPerKey > 0 && w.Len(r.Key) >= l.RequestsPerKey {
		return &Refusal{Reason: fleet.ReasonQueueFull, Limit: int64(l.RequestsPerKey)}
	}
	if l.BytesPerCustomer > 0 && w.customer[r.Key.Customer]+r.Bytes > l.BytesPerCustomer {
		return &Refusal{Reason: fleet.ReasonQueueFull, Limit: l.BytesPerCustomer}
	}
	if l.TotalBytes > 0 && w.bytes+r.Bytes > l.TotalBytes {
		return &Refusal{Reason: fleet.ReasonQueueFull, Limit: l.TotalBytes}
	}
	return nil
}

// lookahead is how far behind the head of a line Pop searches for a request
// that suits the endpoint. It bounds how often a request can be overtaken per
// slot that comes free.
const lookahead = 4

// Target is the endpoint whose slot a request is popped for.
type Target struct {
	Endpoint string
	// Suspects is how many suspect requests run there.
	Suspects int
	// PrefixCached reports whether the endpoint's cache holds the head of a prompt;
	// nil means never.
	PrefixCached func(head uint64) bool
}

func (p Target) suits(r Request) bool {
	if r.declined >= maxDeclined {
		return true
	}
	avoided := r.AvoidEndpoint != "" && r.AvoidEndpoint == p.Endpoint
	return !avoided && !(r.Suspect && p.Suspects > 0)
}

// Pop removes the next request of a line that may run at an endpoint. Among the
// first few it prefers one whose prompt's head is cached there.
func (w *Queue) Pop(k share.Key, at Target) (Request, bool) {
	line := w.lines[k]
	if line == nil {
		return Request{}, false
	}
	var first *list.Element
	seen := 0
	for e := line.Front(); e != nil && seen < lookahead; e = e.Next() {
		r := e.Value.(Request)
		if !at.suits(r) {
			r.declined++
			e.Value = r
			continue
		}
		seen++
		if first == nil {
			first = e
		}
		if at.PrefixCached != nil && r.PrefixHash != 0 && at.PrefixCached(r.PrefixHash) {
			first = e
			break
		}
	}
	if first == nil {
		return Request{}, false
	}
	r := first.Value.(Request)
	w.remove(first, r)
	return r, true
}

func (w *Queue) remove(e *list.Element, r Request) {
	line := w.lines[r.Key]
	line.Remove(e)
	if line.Len() == 0 {
		delete(w.lines, r.Key)
	}
	delete(w.byID, r.ID)
	w.bytes -= r.Bytes
	w.customer[r.Key.Customer] -= r.Bytes
	if w.customer[r.Key.Customer] == 0 {
		delete(w.customer, r.Key.Customer)
	}
}

// Remove takes a request out, because its caller left. It returns false if the
// request does not wait.
func (w *Queue) Remove(id string) (Request, bool) {
	e := w.byID[id]
	if e == nil {
		return Request{}, false
	}
	r := e.Value.(Request)
	w.remove(e, r)
	return r, true
}

// Expire removes and returns the requests whose deadline has passed.
func (w *Queue) Expire(now time.Time) []Request {
	var expired []Request
	for _, e := range w.byID {
		r := e.Value.(Request)
		if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		w.remove(w.byID[r.ID], r)
	}
	return expired
}

// Len returns how many requests wait in a line.
func (w *Queue) Len(k share.Key) int {
	line := w.lines[k]
	if line == nil {
		return 0
	}
	return line.Len()
}

// Total returns how many requests wait in all lines.
func (w *Queue) Total() int { return len(w.byID) }

// Bytes returns the memory that waiting requests hold.
func (w *Queue) Bytes() int64 { return w.bytes }

// Keys returns the lines of a service that hold requests, in no order.
func (w *Queue) Keys(service string) []share.Key {
	var keys []share.Key
	for k := range w.lines {
		if k.Service == service {
			keys = append(keys, k)
		}
	}
	return keys
}

// Oldest returns when the request at the head of a line arrived.
func (w *Queue) Oldest(k share.Key) (time.Time, bool) {
	line := w.lines[k]
	if line == nil {
		return time.Time{}, false
	}
	return line.Front().Value.(Request).ArrivedAt, true
}
