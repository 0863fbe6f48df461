// Package gateway serves callers on the routes of a configuration: it finds the
// route and the customer of a request, sends it to an endpoint and carries the
// answer back, so that nothing runs twice that may run only once.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/budget"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/overload"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Handler serves callers. Exported fields are set before the first request. It is
// safe for concurrent use.
type Handler struct {
	Dialect fleet.Dialect
	Board   *placement.Balancer
	Pool    *upstream.Pool
	Ledger  *admission.Ledger
	// Patience tells callers that come back from new ones.
	Patience *admission.RetryDetector
	// Homes reserves places at endpoints; nil means that this instance decides
	// alone.
	Homes fleet.Homes
	// Strain tells whether the processor keeps up; nil means always.
	Strain *overload.Meter
	// Budget bounds the retries of this instance.
	Budget *budget.Budget
	// Quarantine holds requests that crash endpoints; nil means none.
	Quarantine fleet.Quarantine
	// Metrics counts what callers are told.
	Metrics *gauge.Set
	Logger  *zap.Logger

	edition  atomic.Pointer[edition]
	active   atomic.Int64
	checks   sync.WaitGroup // of endpoints that broke requests off
	stopping atomic.Pointer[Stopping]
}

// Active returns how many requests are being served.
func (h *Handler) Active() int64 { return h.active.Load() }

// Wait returns once nothing is under way that was begun beside requests.
func (h *Handler) Wait() { h.checks.Wait() }

// Stopping says until when a handler that stops still takes requests.
type Stopping struct {
	// Streams is when streams are refused, which may take long; Calls is when
	// everything is.
	Streams, Calls time.Time
}

// Stop makes every answer from now on the last one of its connection, and refuses
// requests from the given times on.
func (h *Handler) Stop(s Stopping) { h.stopping.Store(&s) }

// call is one request of a caller on its way.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	edition  *edition
	ask      fleet.Ask
	route    arrangement.Route
	service  string
	customer string
	body     []byte
	print    string // fingerprint of what is asked by whom
	late     bool
	until    time.Time // zero if nothing bounds the answer

	sends   int // requests that may have reached an endpoint
	runs    int // those that may have run
	avoid   []string
	full    []string // endpoints whose homes refused a place
	grant   fleet.Grant
	place   placement.Choice
	first   time.Duration // time to the first event or the answer
	started bool          // the answer's headers went to the caller
	last    string        // ID of the last event that went to the caller
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	c := &call{h: h, w: w, r: r, arrived: time.Now(), ask: h.Dialect.Ask(r.Header)}
	if h.Strain != nil {
		// Its bytes lay unread for as long as the processor is behind.
		c.arrived = c.arrived.Add(-h.Strain.Lag())
	}
	if h.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if !c.accept() {
		return
	}
	ctx, cancel := c.context()
	defer cancel()
	c.run(ctx)
}

// attempts returns how many endpoints may run the request.
func (c *call) attempts() int { return max(c.route.Attempts, 1) }

// repeatable reports whether a request that may have run may run again.
func (c *call) repeatable() bool {
	switch c.route.Repeat {
	case arrangement.RepeatAny:
		return !c.started
	case arrangement.RepeatResume:
		return true
	}
	return false
}

// maxSends bounds the endpoints that are asked, those that refuse included: each
// one costs a part of the retry budget.
const maxSends = 4

// run sends the request until an answer was carried back or none can be had.
func (c *call) run(ctx context.Context) {
	c.h.Budget.Deposit(c.service, c.arrived)
	c.late = c.h.Patience.PastTarget(c.route.Name, c.ask.Wait, c.route.Goal())
	c.h.Ledger.RecordDemand(c.customer, c.tokens(), c.arrived)
	for {
		if ctx.Err() != nil {
			c.expired()
			return
		}
		if !c.choose(ctx) {
			return
		}
		o := c.attempt(ctx)
		if o.kind == outcomeDone {
			return
		}
		c.logAttempt(o)
		c.avoid = append(c.avoid, c.place.Endpoint.ID)
		if ctx.Err() != nil {
			c.expired()
			return
		}
		if !c.again(o) {
			c.fail(o)
			return
		}
	}
}

// again decides whether another endpoint is asked.
func (c *call) again(o outcome) bool {
	if c.started && o.kind == outcomeNotRun {
		// The caller has a part of the answer; the rest may still be had.
		return c.sends < maxSends && c.h.Budget.Withdraw(c.service, time.Now())
	}
	switch o.kind {
	case outcomeUnsent:
		return len(c.avoid) < maxSends
	case outcomeNotRun:
		return c.sends < maxSends && c.h.Budget.Withdraw(c.service, time.Now())
	case outcomeUnknown, outcomeFailed:
		return c.repeatable() && c.runs < c.attempts() && c.h.Budget.Withdraw(c.service, time.Now())
	}
	return false
}
