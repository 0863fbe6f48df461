// Package caller serves the callers' interface: it finds the service, customer and
// kind of a request, waits for a slot, carries the request to an endpoint and the
// answer back, and says what became of it.
package caller

import (
	"context"
	"errors"
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
	"github.com/greengagestep/greengagestep/internal/queue"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Headers of the callers' interface.
const (
	HeaderOutcome   = "Outcome"
	HeaderRequestID = "Request-Id"
	HeaderKind      = "Kind"
	HeaderKey       = "Idempotency-Key"
	HeaderTimeout   = "Request-Timeout" // seconds that the caller waits
	headerResume    = "Last-Event-Id"
)

// Ready tells whether a service can be served, and if not, which service it waits
// for.
type Ready func(service string) (missing string, ok bool)

// Handler serves callers. Exported fields are set before the first request. It is
// safe for concurrent use.
type Handler struct {
	// Instance names the instance in request IDs.
	Instance   string
	Dispatcher *dispatch.Dispatcher
	Endpoints  *endpoint.Client
	// Address returns the address of an endpoint.
	Address func(name string) (string, bool)
	// Result records whether an endpoint answered.
	Result func(name string, ok bool)
	// Crashed asks an endpoint that broke off whether it is still there.
	Crashed func(ctx context.Context, name string) bool
	Claims  *claim.Registry
	Trail   *audit.Trail
	// Ready is nil if services are always ready.
	Ready Ready
	// Quarantine is nil if no request is ever quarantined.
	Quarantine fleet.Quarantine
	Budget     *budget.Budget
	Metrics    metrics.Registry

	routes atomic.Pointer[routes]
	active atomic.Int64
}

// Use brings a configuration into force for the requests that arrive from now on.
func (h *Handler) Use(text arrangement.Text) {
	h.routes.Store(newRoutes(text))
}

// Active returns how many requests are being served.
func (h *Handler) Active() int { return int(h.active.Load()) }

// call is one request of a caller on its way.
type call struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	id      string
	service arrangement.Service
	key     share.Key
	path    string
	body    *body
	print   string
	repeat  bool
	arrived time.Time
	until   time.Time
	ticket  *claim.Ticket
	// suspect is set once an endpoint crashed while it ran the request.
	suspect bool
	// written is set once a part of the answer went to the caller.
	written bool
	// reached is set once an endpoint may have executed the request.
	reached bool
	// events counts the server-sent events that went to the caller.
	events int
	kept   *recorder
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	c := &call{h: h, w: w, r: r, id: h.newID(), arrived: time.Now()}
	w.Header().Set(HeaderRequestID, c.id)
	if !c.route() || !c.deadline() || !c.admit() {
		return
	}
	ctx, cancel := c.context()
	defer cancel()
	if !c.claim(ctx) {
		return
	}
	c.run(ctx)
}

func (h *Handler) newID() string { return h.Instance + "." + uuid.NewString() }

func (c *call) step(step, detail string) { c.h.Trail.Step(c.id, step, detail) }

// route finds the service, the customer and the kind.
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
	c.repeat = routes.repeats(service, c.r.Method)
	return true
}

func (c *call) deadline() bool {
	v := c.r.Header.Get(HeaderTimeout)
	if v == "" {
		return true
	}
	seconds, err := strconv.ParseFloat(v, 64)
	if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
		c.refuse(http.StatusBadRequest, "bad-timeout", HeaderTimeout+" must be a number of seconds above 0 and at most 86400")
		return false
	}
	c.until = c.arrived.Add(time.Duration(seconds * float64(time.Second)))
	return true
}

const maxTimeout = 24 * time.Hour

// admit checks everything that can refuse the request before it is queued.
func (c *call) admit() bool {
	if missing, ok := c.ready(); !ok {
		c.refuse(http.StatusServiceUnavailable, fleet.ReasonNotReady, "service "+c.service.Name+" waits for "+missing)
		return false
	}
	if c.r.ContentLength > c.service.Body {
		c.refuse(http.StatusRequestEntityTooLarge, "body-too-large", "the body is over the limit of the service")
		return false
	}
	b, err := newBody(c.w, c.r, c.service.Body)
	if err != nil {
		c.refuse(bodyStatus(err), "bad-body", err.Error())
		return false
	}
	c.body = b
	c.print = b.print(c.service.Name, c.r.Method, c.path)
	if c.h.Quarantine != nil && c.h.Quarantine.Held(c.print) {
		c.refuse(http.StatusUnprocessableEntity, fleet.ReasonQuarantine, "this request crashed two endpoints")
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
	if c.until.IsZero() {
		return context.WithCancel(c.r.Context())
	}
	return context.WithDeadline(c.r.Context(), c.until)
}

// claim makes sure that a request which may not be repeated and has a key runs
// only once. It returns false if the request was answered.
func (c *call) claim(ctx context.Context) bool {
	key := c.r.Header.Get(HeaderKey)
	if key == "" || c.repeat || c.h.Claims == nil {
		return true
	}
	d, err := c.h.Claims.Begin(ctx, c.key.Customer, c.service.Name+"/"+key, c.print, c.id)
	if err != nil {
		c.step("claim failed", err.Error())
		c.refuse(http.StatusServiceUnavailable, fleet.ReasonLogDown, "the log service cannot be reached, so the key cannot be claimed")
		return false
	}
	if d.Ticket == nil {
		c.settle(d)
		return false
	}
	c.step("claimed", key)
	c.ticket = d.Ticket
	c.kept = &recorder{}
	return true
}

// settle answers a request whose key an earlier request holds.
func (c *call) settle(d claim.Decision) {
	c.step("key held", "by request "+d.Winner.Request)
	switch {
	case d.Mismatch:
		c.refuse(http.StatusUnprocessableEntity, fleet.ReasonKeyReused, "the key was used with another request")
	case d.Result.State == claim.StateDone && d.Result.Answer != nil && d.Result.Answer.Complete:
		c.replay(d)
	case d.Result.State == claim.StateDone:
		c.fail(http.StatusConflict, fleet.OutcomeRan, "answer-not-kept", "the request ran under the same key; its answer was too long to be kept")
	case d.Result.State == claim.StateReleased:
		c.refuse(http.StatusConflict, fleet.ReasonInProgress, "the key is being released, try again")
	case d.Result.State == claim.StateRunning:
		c.fail(http.StatusConflict, fleet.OutcomeUnknown, fleet.ReasonInProgress, "request "+d.Winner.Request+" with this key still runs")
	default:
		c.fail(http.StatusBadGateway, fleet.OutcomeUnknown, fleet.ReasonOwnerGone, "request "+d.Winner.Request+" held the key and nobody can tell what became of it")
	}
}

func (c *call) replay(d claim.Decision) {
	a := d.Result.Answer
	for name, values := range a.Header {
		c.w.Header()[name] = values
	}
	c.w.Header().Set(HeaderRequestID, c.id)
	c.w.Header().Set("Replayed-From", d.Winner.Request)
	c.w.Header().Set("Trailer", HeaderOutcome)
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(a.Body)
	c.outcome(fleet.OutcomeRan, "replayed")
}

// run makes attempts until one brings the answer or none may follow.
func (c *call) run(ctx context.Context) {
	request := queue.Request{ID: c.id, Key: c.key, Bytes: c.body.size(), Deadline: c.until, PrefixHash: c.body.affinity(), ArrivedAt: c.arrived}
	c.h.Budget.Deposit(c.key.Service, c.arrived)
	fruitless := 0
	for attempt := 1; ; attempt++ {
		c.step("queued", "attempt "+strconv.Itoa(attempt))
		slot, err := c.h.Dispatcher.Acquire(ctx, request, attempt > 1)
		if err != nil {
			c.unplaced(err, attempt)
			return
		}
		c.step("granted", slot.Endpoint)
		events := c.events
		failure := c.attempt(ctx, slot)
		slot.Release()
		if failure == nil {
			return
		}
		fruitless++
		if c.events > events {
			fruitless = 0
		}
		if !c.again(ctx, failure, fruitless) {
			return
		}
		request.AvoidEndpoint = failure.Endpoint
		request.Suspect = request.Suspect || c.suspect
	}
}

// unplaced answers a request that got no slot.
func (c *call) unplaced(err error, attempt int) {
	var refused *dispatch.Refused
	if !errors.As(err, &refused) {
		refused = &dispatch.Refused{Reason: fleet.ReasonNoEndpoint}
	}
	if attempt > 1 && c.written {
		c.breakOff(refused.Reason)
		return
	}
	if c.reached {
		c.fail(http.StatusBadGateway, fleet.OutcomeUnknown, refused.Reason, err.Error())
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
