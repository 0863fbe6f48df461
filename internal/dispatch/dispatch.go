// Package dispatch runs the scheduler in real time: it guards it with a lock,
// hands out slots to waiting goroutines and tells senders which peers have
// something to be told.
package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/queue"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Refused reports that a request got no slot. It did not run.
type Refused struct {
	Reason fleet.Reason
	Cause  error
}

// Error implements error.
func (r *Refused) Error() string {
	if r.Cause != nil {
		return fmt.Sprintf("dispatch: refused (%s): %v", r.Reason, r.Cause)
	}
	return fmt.Sprintf("dispatch: refused (%s)", r.Reason)
}

// Unwrap returns the cause.
func (r *Refused) Unwrap() error { return r.Cause }

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	mu      sync.Mutex
	s       *scheduler.Scheduler
	waiters map[string]chan decision
	wake    map[string]chan struct{}
	onPeer  func(name string)
}

// decision is what the scheduler decided about a waiting request.
type decision struct {
	endpoint string
	refused  fleet.Reason
}

// New returns a dispatcher for a scheduler and becomes its port. OnPeer is called,
// with the lock held, when a peer is woken for the first time.
func New(s *scheduler.Scheduler, onPeer func(name string)) *Dispatcher {
	d := &Dispatcher{s: s, waiters: map[string]chan decision{}, wake: map[string]chan struct{}{}, onPeer: onPeer}
	s.Port = port{d}
	return d
}

// With calls f with the scheduler under the lock. F must not block.
func (d *Dispatcher) With(f func(s *scheduler.Scheduler)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.s)
}

// port receives the scheduler's decisions; the lock is held.
type port struct {
	d *Dispatcher
}

// Start implements scheduler.Port.
func (p port) Start(r scheduler.Run) {
	p.d.answer(r.Request.ID, decision{endpoint: r.Endpoint})
}

// Refuse implements scheduler.Port.
func (p port) Refuse(r queue.Request, reason fleet.Reason) {
	p.d.answer(r.ID, decision{refused: reason})
}

// Wake implements scheduler.Port.
func (p port) Wake(peer string) {
	select {
	case p.d.wakeOf(peer) <- struct{}{}:
	default:
	}
}

func (d *Dispatcher) answer(id string, v decision) {
	if ch := d.waiters[id]; ch != nil {
		delete(d.waiters, id)
		ch <- v
	}
}

func (d *Dispatcher) wakeOf(peer string) chan struct{} {
	ch := d.wake[peer]
	if ch == nil {
		ch = make(chan struct{}, 1)
		d.wake[peer] = ch
		if d.onPeer != nil {
			d.onPeer(peer)
		}
	}
	return ch
}

// Wakes returns the channel that signals that a peer has something to be told.
func (d *Dispatcher) Wakes(peer string) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wakeOf(peer)
}

// Slot is a slot of an endpoint that a request may use. Release must be called
// once the request has ended there.
type Slot struct {
	Endpoint string

	d    *Dispatcher
	id   string
	once sync.Once
}

// Charge adds delivered service, in units.
func (s *Slot) Charge(units float64) {
	s.d.With(func(sch *scheduler.Scheduler) { sch.Charge(s.id, units) })
}

// Release gives the slot on or back. Calls after the first do nothing.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.d.With(func(sch *scheduler.Scheduler) { sch.Finish(s.id, time.Now()) })
	})
}

// Acquire waits for a slot. Again is set for further attempts of a request that
// was accepted before. It returns a *Refused if the request cannot be queued, its
// deadline passes or the context is done.
func (d *Dispatcher) Acquire(ctx context.Context, r queue.Request, again bool) (*Slot, error) {
	ch := make(chan decision, 1)
	if err := d.enqueue(r, ch, again); err != nil {
		return nil, err
	}
	select {
	case v := <-ch:
		return d.slot(r, v)
	case <-ctx.Done():
	}
	d.mu.Lock()
	cancelled := d.s.Cancel(r.ID)
	delete(d.waiters, r.ID)
	d.mu.Unlock()
	if cancelled {
		return nil, &Refused{Reason: fleet.ReasonCancelled, Cause: ctx.Err()}
	}
	// The decision came at the same moment.
	slot, err := d.slot(r, <-ch)
	if err == nil {
		slot.Release()
		err = &Refused{Reason: fleet.ReasonCancelled, Cause: ctx.Err()}
	}
	return nil, err
}

func (d *Dispatcher) enqueue(r queue.Request, ch chan decision, again bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiters[r.ID] = ch
	take := d.s.Arrive
	if again {
		take = d.s.Requeue
	}
	err := take(r, time.Now())
	if err == nil {
		return nil
	}
	delete(d.waiters, r.ID)
	refused := &Refused{Reason: fleet.ReasonQueueFull, Cause: err}
	if full, ok := err.(*queue.Refusal); ok {
		refused.Reason = full.Reason
	}
	return refused
}

func (d *Dispatcher) slot(r queue.Request, v decision) (*Slot, error) {
	if v.refused != "" {
		return nil, &Refused{Reason: v.refused}
	}
	return &Slot{Endpoint: v.endpoint, d: d, id: r.ID}, nil
}
