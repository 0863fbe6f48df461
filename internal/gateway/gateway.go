// Package gateway is the HTTP reverse proxy that serves callers: it resolves the
// configured route and the customer of a request, forwards the request to an endpoint
// and relays the response. It retries only where the route permits it, so that a
// request that may run only once is never run twice.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/backlog"
	"github.com/greengagestep/greengagestep/internal/budget"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/outlet"
	"github.com/greengagestep/greengagestep/internal/overload"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Handler is the HTTP handler that serves callers. Exported fields must be set before
// the first request. It is safe for concurrent use.
type Handler struct {
	HeaderCodec fleet.HeaderCodec
	Balancer    *placement.Balancer
	Pool        *upstream.Pool
	Ledger      *admission.Ledger
	// RetryDetector distinguishes callers that retry after a refusal from new ones.
	RetryDetector *admission.RetryDetector
	// Homes reserves capacity at an endpoint's home, the one instance that counts
	// the requests that all instances send to the endpoint. Nil means that this
	// instance admits requests by its own estimates only.
	Homes fleet.Homes
	// Overload measures whether the processor keeps up with the load; nil means
	// that it always does.
	Overload *overload.Meter
	// Shedder decides which requests are refused while the processor does not keep up.
	Shedder overload.Shedder
	// Draw returns the random numbers from 0 to 1 by which Shedder refuses a part of a class of
	// requests. Nil means rand.Float64. It is called concurrently.
	Draw func() float64
	// Relief knows whether callers that connect again reach other instances; nil means that
	// they may always reach this one.
	Relief *overload.Relief
	// Budget bounds the retries of this instance.
	Budget *budget.Budget
	// Quarantine finds out which requests crash endpoints, so that they are refused;
	// nil means that no request is quarantined.
	Quarantine fleet.Quarantine
	// Backlog bounds the memory for the bodies of requests and for responses that callers have not
	// read, if their connections are of package outlet.
	Backlog backlog.Account
	// Metrics receives the counters and latencies of requests, reservations and
	// failed attempts.
	Metrics *gauge.Set
	Logger  *zap.Logger

	config      atomic.Pointer[activeConfig]
	active      atomic.Int64
	crashProbes sync.WaitGroup // running probes of endpoints that closed a connection early
	stopping    atomic.Pointer[ShutdownTimes]
	bodyReads   bodyReads
	refusals    refusalLog
	shortfalls  shortfallLog
	ending      endSignal
	answerTimes answerTimes
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// Wait blocks until all background crash probes of endpoints have finished.
func (h *Handler) Wait() { h.crashProbes.Wait() }

// call is the state of one request of a caller.
type call struct {
	h          *Handler
	w          http.ResponseWriter
	r          *http.Request
	conn       *outlet.Conn // nil if the connection blocks when the caller reads slowly
	arrived    time.Time
	config     *activeConfig
	attrs      fleet.RequestAttrs
	route      arrangement.Route
	service    string
	customer   string
	body       []byte
	bodyHeld   int64     // bytes that are reserved for body
	bodyRead   bool      // body is whole
	signatures []uint64  // of the shared parts of the prompt, then of the request itself; nil without a quarantine
	pastTarget bool      // retry whose target latency has already passed
	deadline   time.Time // for the complete response; zero means no deadline
	expire     func()    // ends the context of the request; nil without a deadline

	sends         int                     // attempts that may have reached an endpoint
	runs          int                     // attempts that an endpoint may have run
	avoid         []string                // endpoints whose attempts failed or were refused
	connections   upstream.Connections    // of all attempts
	refusedBy     []string                // endpoints whose home instance refused a reservation
	startRefusals int                     // starts at cold endpoints that were refused or expired
	maxWait       time.Duration           // longest wait with which it is admitted, of the last choice; fleet.NoLimit without a limit
	grant         fleet.ReservationResult // result of the last reservation; empty if none was requested
	choice        placement.Choice
	run           *placement.Run // of the last attempt that was begun
	timeToFirst   time.Duration  // from arrival to the first event or the response; zero until then
	longestGap    time.Duration  // longest time between two relayed parts of a stream
	lastAttempt   quarantine.Attempt
	mediaType     string        // of the response of the last attempt, as a log field; empty without a response
	stopWatch     func()        // ends the watch of the quarantine in the last attempt; nil once it has ended, or without one
	crashProbe    chan struct{} // closed when the endpoint of the last attempt was probed for a crash; nil if it is not
	// retryWithdrawn is set if the retry after the last attempt has been taken out of the
	// budget already.
	retryWithdrawn bool
	left           bool   // the caller closed the connection, whether the server has noticed or not
	headersSent    bool   // response headers were written to the caller
	lastEventID    string // ID of the last event written to the caller; empty if none
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	c := &call{h: h, w: w, r: r, conn: outlet.FromContext(r.Context()), arrived: time.Now(), attrs: h.HeaderCodec.DecodeRequest(r.Header)}
	// The request has waited to be read, or its connection to be accepted, for about the scheduling lag of the process,
	// and that time counts, too.
	c.arrived = c.arrived.Add(-h.lag() - c.conn.TakeDelay())
	defer c.releaseBody()
	if !c.accept() {
		return
	}
	c.conn.Assign(c.customer)
	ctx, cancel := c.requestContext()
	defer cancel()
	c.process(ctx)
}

// maxRuns returns the maximum number of endpoints that may run the request.
func (c *call) maxRuns() int { return max(c.route.Attempts, 1) }

// repeatable reports whether the request may be run again after an attempt that an
// endpoint may have run.
func (c *call) repeatable() bool {
	switch c.route.Repeat {
	case arrangement.RepeatAny:
		return !c.headersSent
	case arrangement.RepeatResume:
		return true
	}
	return false
}

// maxSends is the maximum number of endpoints that are tried for one request, including
// those that refuse it. Each further one consumes retry budget, unless no byte of the
// request was sent to the one before.
const maxSends = 4

// process attempts the request until a response has been relayed or no further attempt
// is allowed.
func (c *call) process(ctx context.Context) {
	c.h.Budget.Deposit(c.service, c.arrived)
	c.pastTarget = c.h.RetryDetector.PastTarget(c.route.Name, c.attrs.Timeout, c.route.TargetLatency())
	c.h.Ledger.RecordDemand(c.customer, c.tokenCost(), c.arrived)
	for {
		if ctx.Err() != nil || c.hopeless(time.Now()) != nil {
			c.endExpired(ctx)
			return
		}
		if !c.chooseEndpoint(ctx) {
			return
		}
		o := c.attempt(ctx)
		if o.kind == outcomeDone {
			c.deliver(o.status)
			return
		}
		c.logFailedAttempt(o)
		if o.kind == outcomeUnavailable {
			// The endpoint is not chosen again.
			continue
		}
		c.avoid = append(c.avoid, c.choice.Endpoint.ID)
		if ctx.Err() != nil || c.hopeless(time.Now()) != nil {
			c.endExpired(ctx)
			return
		}
		if !c.shouldRetry(o) {
			c.fail(o)
			return
		}
		if c.mayCrashNext(ctx) {
			o.reason = fleet.ReasonQuarantine
			c.fail(o)
			return
		}
	}
}

var (
	errNoTimeLeft = errors.New("no time is left to answer the request")
	errCallerLeft = errors.New("the caller has closed the connection")
)

// peekLag is the scheduling lag from which on the closing of a caller's connection may be noticed too late.
const peekLag = 20 * time.Millisecond

// hopeless returns an error if the response cannot reach the caller in time any more, so that the request
// must not be sent on. Beside a processor that lags, a response takes about the lag on its way, and
// neither timers nor the server tell in time that the caller's time is over.
func (c *call) hopeless(now time.Time) error {
	if !c.deadline.IsZero() && c.timeToAnswer(now) <= 0 {
		return errNoTimeLeft
	}
	if c.h.lag() >= peekLag && c.conn.Closed() {
		c.left = true
		return errCallerLeft
	}
	return nil
}

// timeToAnswer returns how long an endpoint may still work on the request for its response to reach the caller
// before the deadline, which there must be.
func (c *call) timeToAnswer(now time.Time) time.Duration { return c.deadline.Sub(now) - c.h.lag() }

// lag returns the scheduling lag of the process.
func (h *Handler) lag() time.Duration {
	if h.Overload == nil {
		return 0
	}
	return h.Overload.Lag()
}

// shouldRetry reports whether the request is retried at another endpoint.
func (c *call) shouldRetry(o outcome) bool {
	if c.retryWithdrawn {
		c.retryWithdrawn = false
		return true
	}
	if c.headersSent && o.kind == outcomeNotRun {
		// The caller has a part of the response; another endpoint may still
		// deliver the rest.
		return c.sends < maxSends && c.h.Budget.Withdraw(c.service, time.Now())
	}
	switch o.kind {
	case outcomeUnsent:
		return len(c.avoid) < maxSends
	case outcomeNotRun:
		return c.sends < maxSends && c.h.Budget.Withdraw(c.service, time.Now())
	case outcomeUnknown, outcomeFailed:
		return c.repeatable() && c.runs < c.maxRuns() && c.h.Budget.Withdraw(c.service, time.Now())
	}
	return false
}
