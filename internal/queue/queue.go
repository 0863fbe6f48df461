// Package queue holds the requests that wait at one entry instance, in one FIFO subqueue
// per service, customer and kind. Their number and their bytes are bounded.
package queue

import (
	"container/list"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Request describes a waiting request.
type Request struct {
	ID  string
	Key share.Key
	// Bytes is the memory that the request occupies while it waits.
	Bytes int64
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// PrefixHash is a hash of the beginning of the prompt, for cache affinity;
	// zero means none.
	PrefixHash uint64
	// AvoidEndpoint names an endpoint that should not run the request, because an
	// earlier attempt failed there. Empty means none.
	AvoidEndpoint string
	ArrivedAt     time.Time

	// Suspect requests were running on an endpoint when it crashed. Two of them do
	// not run on the same endpoint at the same time, so that the one that causes
	// the crash can be identified.
	Suspect bool

	declined int // number of slots declined for the request
}

// maxDeclined is how many slots may be declined for a request. After that the request
// takes a slot of any endpoint, because there may be no other endpoint.
const maxDeclined = 1

// Refusal is the error for a request that was rejected or removed from the queue.
type Refusal struct {
	Reason fleet.Reason
	// Limit is the bound that was reached, in requests or bytes; see Limits.
	Limit int64
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("queue: request refused: %s (limit %d)", r.Reason, r.Limit)
}

// Limits bounds the queue. A field of zero means no bound.
type Limits struct {
	// RequestsPerKey bounds the waiting requests per service, customer and kind.
	RequestsPerKey int
	// BytesPerCustomer bounds the bytes of the waiting requests per customer.
	BytesPerCustomer int64
	// TotalBytes bounds the bytes of all waiting requests.
	TotalBytes int64
}

// Queue holds the waiting requests of one instance. It is not safe for concurrent use.
type Queue struct {
	// Limits returns the bounds for a kind of request; a nil func means no bounds.
	Limits func(kind string) Limits

	subqueues     map[share.Key]*list.List
	byID          map[string]*list.Element
	bytes         int64
	customerBytes map[string]int64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		subqueues:     map[share.Key]*list.List{},
		byID:          map[string]*list.Element{},
		customerBytes: map[string]int64{},
	}
}

// Push adds a request to the end of its subqueue. It returns a *Refusal if a bound is
// reached.
func (q *Queue) Push(r Request) error {
	if err := q.checkLimits(r); err != nil {
		return err
	}
	subqueue := q.subqueues[r.Key]
	if subqueue == nil {
		subqueue = list.New()
		q.subqueues[r.Key] = subqueue
	}
	q.byID[r.ID] = subqueue.PushBack(r)
	q.bytes += r.Bytes
	q.customerBytes[r.Key.Customer] += r.Bytes
	return nil
}

func (q *Queue) checkLimits(r Request) error {
	if q.Limits == nil {
		return nil
	}
	limits := q.Limits(r.Key.Kind)
	if limits.RequestsPerKey > 0 && q.Len(r.Key) >= limits.RequestsPerKey {
		return &Refusal{Reason: fleet.ReasonQueueFull, Limit: int64(limits.RequestsPerKey)}
	}
	if limits.BytesPerCustomer > 0 && q.customerBytes[r.Key.Customer]+r.Bytes > limits.BytesPerCustomer {
		return &Refusal{Reason: fleet.ReasonQueueFull, Limit: limits.BytesPerCustomer}
	}
	if limits.TotalBytes > 0 && q.bytes+r.Bytes > limits.TotalBytes {
		return &Refusal{Reason: fleet.ReasonQueueFull, Limit: limits.TotalBytes}
	}
	return nil
}

// lookahead is how many suitable requests from the front of a subqueue Pop considers for
// an endpoint. It bounds how often a request can be overtaken per slot that becomes free.
const lookahead = 4

// Target is the endpoint with the free slot for which a request is popped.
type Target struct {
	Endpoint string
	// Suspects is the number of suspect requests running on the endpoint.
	Suspects int
	// PrefixCached reports whether the endpoint's cache holds the prompt prefix
	// with this hash; nil means never.
	PrefixCached func(prefixHash uint64) bool
}

func (t Target) suits(r Request) bool {
	if r.declined >= maxDeclined {
		return true
	}
	avoided := r.AvoidEndpoint != "" && r.AvoidEndpoint == t.Endpoint
	return !avoided && !(r.Suspect && t.Suspects > 0)
}

// Pop removes and returns the next request of a subqueue that may run at the target
// endpoint, and false if there is none. Among the first lookahead requests it prefers one
// whose prompt prefix is cached there.
func (q *Queue) Pop(k share.Key, target Target) (Request, bool) {
	subqueue := q.subqueues[k]
	if subqueue == nil {
		return Request{}, false
	}
	var chosen *list.Element
	considered := 0
	for e := subqueue.Front(); e != nil && considered < lookahead; e = e.Next() {
		r := e.Value.(Request)
		if !target.suits(r) {
			r.declined++
			e.Value = r
			continue
		}
		considered++
		if chosen == nil {
			chosen = e
		}
		if target.PrefixCached != nil && r.PrefixHash != 0 && target.PrefixCached(r.PrefixHash) {
			chosen = e
			break
		}
	}
	if chosen == nil {
		return Request{}, false
	}
	r := chosen.Value.(Request)
	q.remove(chosen, r)
	return r, true
}

func (q *Queue) remove(e *list.Element, r Request) {
	subqueue := q.subqueues[r.Key]
	subqueue.Remove(e)
	if subqueue.Len() == 0 {
		delete(q.subqueues, r.Key)
	}
	delete(q.byID, r.ID)
	q.bytes -= r.Bytes
	q.customerBytes[r.Key.Customer] -= r.Bytes
	if q.customerBytes[r.Key.Customer] == 0 {
		delete(q.customerBytes, r.Key.Customer)
	}
}

// Remove removes a request whose caller has disconnected. It returns false if the request
// is not waiting.
func (q *Queue) Remove(id string) (Request, bool) {
	e := q.byID[id]
	if e == nil {
		return Request{}, false
	}
	r := e.Value.(Request)
	q.remove(e, r)
	return r, true
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Request {
	var expired []Request
	for _, e := range q.byID {
		r := e.Value.(Request)
		if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		q.remove(q.byID[r.ID], r)
	}
	return expired
}

// RemoveAll removes and returns all requests in the subqueue of a key.
func (q *Queue) RemoveAll(k share.Key) []Request {
	var removed []Request
	for subqueue := q.subqueues[k]; subqueue != nil && subqueue.Len() > 0; {
		r := subqueue.Front().Value.(Request)
		q.remove(subqueue.Front(), r)
		removed = append(removed, r)
	}
	return removed
}

// Len returns how many requests wait in the subqueue of a key.
func (q *Queue) Len(k share.Key) int {
	subqueue := q.subqueues[k]
	if subqueue == nil {
		return 0
	}
	return subqueue.Len()
}

// Total returns how many requests wait in all subqueues.
func (q *Queue) Total() int { return len(q.byID) }

// Bytes returns the memory that the waiting requests occupy.
func (q *Queue) Bytes() int64 { return q.bytes }

// Keys returns the keys of a service for which requests wait, in no particular order.
func (q *Queue) Keys(service string) []share.Key {
	var keys []share.Key
	for k := range q.subqueues {
		if k.Service == service {
			keys = append(keys, k)
		}
	}
	return keys
}

// AllKeys returns the keys for which requests wait, in no particular order.
func (q *Queue) AllKeys() []share.Key { return slices.Collect(maps.Keys(q.subqueues)) }

// Oldest returns the arrival time of the request at the front of a key's subqueue, and
// false if none waits.
func (q *Queue) Oldest(k share.Key) (time.Time, bool) {
	subqueue := q.subqueues[k]
	if subqueue == nil {
		return time.Time{}, false
	}
	return subqueue.Front().Value.(Request).ArrivedAt, true
}
