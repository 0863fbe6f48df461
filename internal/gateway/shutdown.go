package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// ShutdownTimes defines until when a handler that is shutting down accepts requests.
type ShutdownTimes struct {
	// RefuseStreams is the time after which new streams are refused, earlier than
	// other requests because streams may take long. From then on, other requests are
	// refused, too, if they may take until End, at which the process ends those that are
	// left: their time limit is later, or they have none. RefuseAll is the time after which
	// all new requests are refused. A request counts from when its body has been read.
	RefuseStreams, RefuseAll, End time.Time
}

// refuses reports whether a request is refused that is whole at a time, and has to be answered by
// deadline; zero means that it has none.
func (s *ShutdownTimes) refuses(stream bool, whole, deadline time.Time) bool {
	if !whole.Before(s.RefuseAll) {
		return true
	}
	return whole.After(s.RefuseStreams) && (stream || deadline.IsZero() || deadline.After(s.End))
}

// Stop starts a graceful shutdown: every response that begins from now on closes its connection, and
// new requests are refused after the given times.
func (h *Handler) Stop(s ShutdownTimes) {
	h.stopping.Store(&s)
	time.AfterFunc(time.Until(s.RefuseAll), h.bodyReads.expireAll)
}

// EndRequests ends the requests in progress: one whose response has not begun is refused if it has not
// run, and gets an error status if it may have run. The response of any other is cut off. It is meant
// to be called when there is just enough time left to write the responses.
func (h *Handler) EndRequests() { h.ending.cancel() }

// errEnding is the cause with which EndRequests cancels the contexts of requests.
var errEnding = errors.New("the instance ends")

// endSignal cancels the contexts of all requests in progress. The zero value is ready to use. It is
// safe for concurrent use.
type endSignal struct {
	once      sync.Once
	ctx       context.Context
	cancelCtx context.CancelFunc
}

func (e *endSignal) init() {
	e.once.Do(func() { e.ctx, e.cancelCtx = context.WithCancel(context.Background()) })
}

func (e *endSignal) cancel() {
	e.init()
	e.cancelCtx()
}

// join returns a context that is canceled with its parent, and with errEnding by cancel.
func (e *endSignal) join(parent context.Context) (context.Context, context.CancelFunc) {
	e.init()
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(e.ctx, func() { cancel(errEnding) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// closeIfStopping makes the response close its connection if the instance is stopping. It is called
// before the headers are written.
func (c *call) closeIfStopping() {
	if c.h.stopping.Load() != nil {
		c.w.Header().Set("Connection", "close")
	}
}

// refuseStopping refuses the request if the instance is stopping and may end before the response is
// complete. It reports whether it did. whole is when the request was read.
func (c *call) refuseStopping(whole time.Time) bool {
	s := c.h.stopping.Load()
	if s == nil {
		return false
	}
	deadline := time.Time{}
	if limit := c.timeLimit(); limit > 0 {
		deadline = c.arrived.Add(limit)
	}
	if !s.refuses(c.route.Stream, whole, deadline) {
		return false
	}
	c.refuse(fleet.ReasonStopping)
	return true
}

// bodyReads are the bodies of requests that are being read. The zero value is ready to use. It is
// safe for concurrent use.
type bodyReads struct {
	mu      sync.Mutex
	reads   map[*bodyRead]struct{}
	expired bool
}

// bodyRead is the reading of one body, until a time limit or expireAll.
type bodyRead struct {
	reads      *bodyReads
	controller *http.ResponseController
}

// begin starts the time limit for reading the body of a request.
func (b *bodyReads) begin(w http.ResponseWriter, limit time.Duration) *bodyRead {
	r := &bodyRead{reads: b, controller: http.NewResponseController(w)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reads == nil {
		b.reads = map[*bodyRead]struct{}{}
	}
	b.reads[r] = struct{}{}
	deadline := time.Now()
	if !b.expired {
		deadline = deadline.Add(limit)
	}
	// An error means that the connection is closed, which the next read reports.
	_ = r.controller.SetReadDeadline(deadline)
	return r
}

// end ends the time limit.
func (r *bodyRead) end() {
	r.reads.mu.Lock()
	defer r.reads.mu.Unlock()
	delete(r.reads.reads, r)
	_ = r.controller.SetReadDeadline(time.Time{})
}

// expireAll makes the reads in progress, and all later ones, end with a timeout.
func (b *bodyReads) expireAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expired = true
	for r := range b.reads {
		_ = r.controller.SetReadDeadline(time.Now())
	}
}
