// Package caller implements the HTTP interface for callers: it determines the
// service, customer and kind of a request, waits for a slot, forwards the request to
// an endpoint and the response back to the caller, and reports the outcome.
package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/budget"
	"github.com/greengagestep/greengagestep/internal/claim"
	"github.com/greengagestep/greengagestep/internal/dispatch"
	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/queue"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Headers of the HTTP interface for callers.
const (
	HeaderOutcome   = "Outcome"
	HeaderRequestID = "Request-Id"
	HeaderKind      = "Kind"
	HeaderKey       = "Idempotency-Key"
	HeaderTimeout   = "Request-Timeout" // seconds that the caller waits
	headerResume    = "Last-Event-Id"
)

// Ready reports whether a service can be served, and if not, which service has no
// usable endpoint: the service itself or one that it depends on.
type Ready func(service string) (missing string, ok bool)

// Handler serves the requests of callers. Exported fields are set before the first
// request. It is safe for concurrent use.
type Handler struct {
	// Instance is the name of this instance, the first part of request IDs.
	Instance       string
	Dispatcher     *dispatch.Dispatcher
	EndpointClient *endpoint.Client
	// Target returns where a request for an endpoint is sent and whether it may be sent
	// there now.
	Target func(name string) (endpoint.Target, endpoint.Verdict)
	// Start returns until when a request may be begun at an endpoint, zero for any time, or a
	// *endpoint.Withheld if the endpoint is cold and its home grants no start; nil means any time.
	Start func(ctx context.Context, name string) (expires time.Time, err error)
	// RecordAnswer records what an endpoint said about itself in an answer.
	RecordAnswer func(target endpoint.Target, a endpoint.Answer)
	// QuietUntil returns until when all endpoints of a service that a customer may use
	// want no requests, and false if one takes them now.
	QuietUntil func(service, customer string) (time.Time, bool)
	// RefusalReason returns fleet.ReasonEvacuated or fleet.ReasonRegion if a customer has no
	// endpoint of a service because of that, and "" otherwise; nil means always "".
	RefusalReason func(service, customer string) fleet.Reason
	// RecordResult records whether a call to an endpoint succeeded.
	RecordResult func(name string, ok bool)
	// Crashed reports whether an endpoint that broke a connection no longer
	// responds.
	Crashed func(ctx context.Context, name string) bool
	Claims  *claim.Registry
	Trail   *audit.Trail
	// Ready is nil if services are always ready.
	Ready Ready
	// Quarantine is nil if no request is ever quarantined.
	Quarantine fleet.Quarantine
	Budget     *budget.Budget
	Metrics    metrics.Registry

	routes atomic.Pointer[routeTable]
	active atomic.Int64
	closed atomic.Bool
}

// SetConfiguration sets the configuration for the requests that arrive from now on.
func (h *Handler) SetConfiguration(config arrangement.Config) {
	h.routes.Store(newRouteTable(config))
}

// Close makes the handler refuse the requests that arrive from now on. Those in progress go on.
func (h *Handler) Close() { h.closed.Store(true) }

// Active returns the number of requests in progress, including those that wait, without those that
// are refused because the handler is closed.
func (h *Handler) Active() int { return int(h.active.Load()) }

// call is the state of one request of a caller.
type call struct {
	h           *Handler
	w           http.ResponseWriter
	r           *http.Request
	id          string
	service     arrangement.Service
	key         share.Key
	path        string
	body        *body
	fingerprint string
	signatures  []uint64 // of the beginning of the prompt, if any, then of the request itself
	idempotent  bool
	arrived     time.Time
	deadline    time.Time
	ticket      *claim.Ticket
	// suspect is set once an endpoint has crashed while it ran the request.
	suspect bool
	// responseStarted is set once the response headers were sent to the caller.
	responseStarted bool
	// resumable is set if the response that has started is a stream of numbered events.
	resumable bool
	// reached is set once a byte of the request may have reached an endpoint, so
	// that the endpoint may have executed it.
	reached bool
	// eventsSent counts the server-sent events that were sent to the caller. lastEventID is the
	// ID of the last one, empty before the first or if they are not checked.
	eventsSent  int
	lastEventID string
	lastAttempt quarantine.Attempt
	recorder    *recorder
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{h: h, w: w, r: r, id: h.newID(), arrived: time.Now()}
	w.Header().Set(HeaderRequestID, c.id)
	if !c.begin() {
		c.refuseStopping()
		return
	}
	defer h.active.Add(-1)
	if !c.route() || !c.parseTimeout() || !c.admit() {
		return
	}
	ctx, cancel := c.context()
	defer cancel()
	if !c.claim(ctx) {
		return
	}
	c.run(ctx)
}

// begin counts the request as active, unless the handler is closed.
func (c *call) begin() bool {
	// It is counted first: a stop that finds no active request after Close misses none.
	c.h.active.Add(1)
	if c.h.closed.Load() {
		c.h.active.Add(-1)
		return false
	}
	return true
}

// refuseStopping refuses a request that arrived after Close. Its caller has to use another instance.
func (c *call) refuseStopping() {
	if !c.route() {
		return
	}
	c.w.Header().Set("Connection", "close")
	c.refuse(http.StatusServiceUnavailable, fleet.ReasonStopping, "the instance is stopping")
}

func (h *Handler) newID() string { return h.Instance + "." + uuid.NewString() }

func (c *call) recordStep(step, detail string) { c.h.Trail.Step(c.id, step, detail) }

// route determines the service, the customer and the kind. It returns false if it
// refused the request.
func (c *call) route() bool {
	routes := c.h.routes.Load()
	if routes == nil {
		c.refuse(http.StatusServiceUnavailable, fleet.ReasonNotReady, "no configuration is in force yet")
		return false
	}
	service, path, ok := routes.service(c.r)
	if !ok {
		c.refuse(http.StatusNotFound, fleet.ReasonNoEndpoint, "no service has this path or host")
		return false
	}
	customer, ok := routes.customer(c.r)
	if !ok {
		c.refuse(http.StatusUnauthorized, "unknown-customer", "no customer has this key")
		return false
	}
	kind, ok := routes.kind(c.r.Header.Get(HeaderKind))
	if !ok {
		c.refuse(http.StatusBadRequest, "unknown-kind", "no kind has this name")
		return false
	}
	c.service, c.path = service, path
	c.key = share.Key{Service: service.Name, Customer: customer, Kind: kind}
	c.idempotent = routes.isIdempotent(service, c.r.Method)
	return true
}

func (c *call) parseTimeout() bool {
	v := c.r.Header.Get(HeaderTimeout)
	if v == "" {
		return true
	}
	seconds, err := strconv.ParseFloat(v, 64)
	if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
		c.refuse(http.StatusBadRequest, "bad-timeout", HeaderTimeout+" must be a number of seconds above 0 and at most 86400")
		return false
	}
	c.deadline = c.arrived.Add(time.Duration(seconds * float64(time.Second)))
	return true
}

const maxTimeout = 24 * time.Hour

// admit makes the checks that come before the request is queued. It returns false if
// it refused the request.
func (c *call) admit() bool {
	if missing, ok := c.ready(); !ok {
		c.refuse(http.StatusServiceUnavailable, fleet.ReasonNotReady, "service "+c.service.Name+" waits for "+missing)
		return false
	}
	if c.r.ContentLength > c.service.MaxBodyBytes {
		c.refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body is over the limit of the service")
		return false
	}
	b, err := newBody(c.w, c.r, c.service.MaxBodyBytes)
	if err != nil {
		c.refuse(bodyStatus(err), "bad-body", err.Error())
		return false
	}
	c.body = b
	c.fingerprint = b.fingerprint(c.service.Name, c.r.Method, c.path)
	c.signatures = b.signatures(c.service.Name, c.fingerprint)
	if c.h.Quarantine != nil && c.h.Quarantine.Contains(c.signatures) {
		c.refuse(http.StatusUnprocessableEntity, fleet.ReasonQuarantine, "requests like this one crashed endpoints")
		return false
	}
	return true
}

func (c *call) ready() (string, bool) {
	if c.h.Ready == nil {
		return "", true
	}
	return c.h.Ready(c.service.Name)
}

func (c *call) context() (context.Context, context.CancelFunc) {
	if c.deadline.IsZero() {
		return context.WithCancel(c.r.Context())
	}
	return context.WithDeadline(c.r.Context(), c.deadline)
}

// claim ensures that a request with an idempotency key runs only once if its method
// is not idempotent. It returns false if it has responded to the request.
func (c *call) claim(ctx context.Context) bool {
	key := c.r.Header.Get(HeaderKey)
	if key == "" || c.idempotent || c.h.Claims == nil {
		return true
	}
	d, err := c.h.Claims.Begin(ctx, c.key.Customer, c.service.Name+"/"+key, keyFingerprint(c.fingerprint, c.r.URL.RawQuery), c.id)
	if err != nil {
		c.recordStep("claim failed", err.Error())
		c.refuse(http.StatusServiceUnavailable, fleet.ReasonLogUnavailable, "the log service cannot be reached, so the key cannot be claimed")
		return false
	}
	if d.Ticket == nil {
		c.answerFromClaim(d)
		return false
	}
	c.recordStep("claimed", key)
	c.ticket = d.Ticket
	c.recorder = &recorder{after: c.r.Header.Get(headerResume)}
	return true
}

// answerFromClaim responds to a request whose key an earlier request has claimed.
func (c *call) answerFromClaim(d claim.Decision) {
	c.recordStep("key held", "by request "+d.Winner.Request)
	switch {
	case d.Mismatch:
		c.refuse(http.StatusUnprocessableEntity, fleet.ReasonKeyReused, "the key was used with another request")
	case d.Result.State == claim.StateDone && d.Result.Answer != nil && d.Result.Answer.Complete:
		c.replayResponse(d)
	case d.Result.State == claim.StateDone:
		c.writeError(http.StatusConflict, fleet.OutcomeRan, "answer-not-kept", "the request ran under the same key; its answer was too long to be kept")
	case d.Result.State == claim.StateReleased:
		c.refuse(http.StatusConflict, fleet.ReasonInProgress, "the key is being released, try again")
	case d.Result.State == claim.StateRunning:
		c.writeError(http.StatusConflict, fleet.OutcomeUnknown, fleet.ReasonInProgress, "request "+d.Winner.Request+" with this key still runs")
	default:
		c.writeError(http.StatusBadGateway, fleet.OutcomeUnknown, fleet.ReasonOwnerGone, "request "+d.Winner.Request+" held the key and nobody can tell what became of it")
	}
}

// run makes attempts until one returns a complete response or no retry is allowed.
func (c *call) run(ctx context.Context) {
	request := queue.Request{ID: c.id, Key: c.key, Bytes: c.body.memoryBytes(), Deadline: c.deadline, PrefixHash: c.body.prefixHash(), ArrivedAt: c.arrived}
	c.h.Budget.Deposit(c.key.Service, c.arrived)
	attemptsWithoutProgress := 0
	for attempt := 1; ; attempt++ {
		c.recordStep("queued", "attempt "+strconv.Itoa(attempt))
		slot, err := c.acquire(ctx, request, attempt > 1)
		if err != nil {
			c.answerWithoutSlot(err, attempt)
			return
		}
		c.recordStep("granted", slot.Endpoint)
		eventsBefore := c.eventsSent
		failure, err := c.attempt(ctx, slot)
		slot.Release()
		if err != nil {
			c.recordStep("not sent", err.Error())
			c.awaitStart(ctx, err)
			continue
		}
		if failure == nil {
			return
		}
		attemptsWithoutProgress++
		if c.eventsSent > eventsBefore {
			attemptsWithoutProgress = 0
		}
		if !c.prepareRetry(ctx, failure, attemptsWithoutProgress) {
			return
		}
		request.AvoidEndpoint = failure.Endpoint
		request.Suspect = request.Suspect || c.suspect
	}
}

// startDelay is how long a request waits at least after a refused start.
const startDelay = 10 * time.Millisecond

// awaitStart waits for a moment if the home of a cold endpoint has granted no start, so that the request
// does not ask without pause while another instance holds the endpoint for warm.
func (c *call) awaitStart(ctx context.Context, err error) {
	var withheld *endpoint.Withheld
	if !errors.As(err, &withheld) || withheld.Verdict.Reason != endpoint.ReasonCold {
		return
	}
	select {
	case <-time.After(startDelay + rand.N(startDelay)):
	case <-ctx.Done():
	}
}

// acquire waits for a slot. A request is refused at once while no endpoint of its service
// takes any, unless its response has begun: that waits for the first endpoint.
func (c *call) acquire(ctx context.Context, request queue.Request, retry bool) (*dispatch.Slot, error) {
	for {
		if c.h.RefusalReason != nil {
			if reason := c.h.RefusalReason(c.key.Service, c.key.Customer); reason != "" {
				return nil, &dispatch.Refused{Reason: reason}
			}
		}
		until, quiet := c.quietUntil()
		if !quiet {
			slot, err := c.h.Dispatcher.Acquire(ctx, request, retry)
			var refused *dispatch.Refused
			if !errors.As(err, &refused) || refused.Reason != fleet.ReasonQuiet {
				return slot, err
			}
			until, _ = c.quietUntil()
		}
		if !c.responseStarted {
			return nil, &dispatch.Refused{Reason: fleet.ReasonQuiet}
		}
		select {
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			return nil, &dispatch.Refused{Reason: fleet.ReasonCancelled, Cause: ctx.Err()}
		}
	}
}

func (c *call) quietUntil() (time.Time, bool) {
	if c.h.QuietUntil == nil {
		return time.Time{}, false
	}
	return c.h.QuietUntil(c.key.Service, c.key.Customer)
}

// answerWithoutSlot responds to a request that got no slot.
func (c *call) answerWithoutSlot(err error, attempt int) {
	var refused *dispatch.Refused
	if !errors.As(err, &refused) {
		refused = &dispatch.Refused{Reason: fleet.ReasonNoEndpoint}
	}
	if attempt > 1 && c.responseStarted {
		c.abort(refused.Reason)
		return
	}
	if c.reached {
		c.writeError(http.StatusBadGateway, fleet.OutcomeUnknown, refused.Reason, err.Error())
		return
	}
	status := http.StatusServiceUnavailable
	switch refused.Reason {
	case fleet.ReasonQueueFull:
		status = http.StatusTooManyRequests
	case fleet.ReasonDeadline:
		status = http.StatusGatewayTimeout
	}
	c.refuse(status, refused.Reason, err.Error())
}
