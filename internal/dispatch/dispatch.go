// Package dispatch runs the scheduler in real time: it guards the scheduler with a
// lock, passes slots to the goroutines that wait for them and signals to senders
// which peers have a message pending.
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

// Refused is the error for a request that got no slot. The request did not run.
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

// Dispatcher assigns the slots of a scheduler to waiting goroutines. It is safe for
// concurrent use.
type Dispatcher struct {
	mu        sync.Mutex
	s         *scheduler.Scheduler
	waiters   map[string]chan decision
	wakeups   map[string]chan struct{}
	onNewPeer func(name string)
}

// decision is the scheduler's decision on a waiting request. refused is empty if the
// request got a slot.
type decision struct {
	endpoint string
	refused  fleet.Reason
}

// New returns a dispatcher for a scheduler and sets it as the scheduler's port.
// onNewPeer is called, with the lock held, when a peer is woken or passed to Wakes
// for the first time; it may be nil.
func New(s *scheduler.Scheduler, onNewPeer func(name string)) *Dispatcher {
	d := &Dispatcher{s: s, waiters: map[string]chan decision{}, wakeups: map[string]chan struct{}{}, onNewPeer: onNewPeer}
	s.Port = port{d}
	return d
}

// With calls f with the scheduler while it holds the lock. f must not block.
func (d *Dispatcher) With(f func(s *scheduler.Scheduler)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.s)
}

// port implements scheduler.Port. Its methods are called with the lock held.
type port struct {
	d *Dispatcher
}

// Start implements scheduler.Port.
func (p port) Start(r scheduler.Run) {
	p.d.deliver(r.Request.ID, decision{endpoint: r.Endpoint})
}

// Refuse implements scheduler.Port.
func (p port) Refuse(r queue.Request, reason fleet.Reason) {
	p.d.deliver(r.ID, decision{refused: reason})
}

// Wake implements scheduler.Port.
func (p port) Wake(peer string) {
	select {
	case p.d.wakeChannel(peer) <- struct{}{}:
	default:
	}
}

func (d *Dispatcher) deliver(id string, v decision) {
	if ch := d.waiters[id]; ch != nil {
		delete(d.waiters, id)
		ch <- v
	}
}

func (d *Dispatcher) wakeChannel(peer string) chan struct{} {
	ch := d.wakeups[peer]
	if ch == nil {
		ch = make(chan struct{}, 1)
		d.wakeups[peer] = ch
		if d.onNewPeer != nil {
			d.onNewPeer(peer)
		}
	}
	return ch
}

// Wakes returns the channel that signals that a message to a peer is pending.
func (d *Dispatcher) Wakes(peer string) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wakeChannel(peer)
}

// Slot is a slot of an endpoint that a request may use. Release must be called once
// the request has ended there.
type Slot struct {
	Endpoint string

	d    *Dispatcher
	id   string
	once sync.Once
}

// Charge adds delivered service, in units, to the account of the request.
func (s *Slot) Charge(units float64) {
	s.d.With(func(sch *scheduler.Scheduler) { sch.Charge(s.id, units) })
}

// Release ends the use of the slot: it serves the next request or is returned to its
// home. Calls after the first do nothing.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.d.With(func(sch *scheduler.Scheduler) { sch.Finish(s.id, time.Now()) })
	})
}

// Acquire waits for a slot. retry is set for further attempts of a request that was
// accepted before. It returns a *Refused if the request cannot be queued, its
// deadline passes or the context is done.
func (d *Dispatcher) Acquire(ctx context.Context, r queue.Request, retry bool) (*Slot, error) {
	ch := make(chan decision, 1)
	if err := d.enqueue(r, ch, retry); err != nil {
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
	// The scheduler decided before Cancel was called.
	slot, err := d.slot(r, <-ch)
	if err == nil {
		slot.Release()
		err = &Refused{Reason: fleet.ReasonCancelled, Cause: ctx.Err()}
	}
	return nil, err
}

func (d *Dispatcher) enqueue(r queue.Request, ch chan decision, retry bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiters[r.ID] = ch
	push := d.s.Arrive
	if retry {
		push = d.s.Requeue
	}
	err := push(r, time.Now())
	if err == nil {
		return nil
	}
	delete(d.waiters, r.ID)
	refused := &Refused{Reason: fleet.ReasonQueueFull, Cause: err}
	if refusal, ok := err.(*queue.Refusal); ok {
		refused.Reason = refusal.Reason
	}
	return refused
}

func (d *Dispatcher) slot(r queue.Request, v decision) (*Slot, error) {
	if v.refused != "" {
		return nil, &Refused{Reason: v.refused}
	}
	return &Slot{Endpoint: v.endpoint, d: d, id: r.ID}, nil
}
