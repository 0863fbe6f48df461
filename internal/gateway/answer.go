package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// outcomeKind says what is known after an attempt.
type outcomeKind string

const (
	// outcomeDone means that the answer was carried back.
	outcomeDone outcomeKind = "done"
	// outcomeUnsent means that no byte left for the endpoint.
	outcomeUnsent outcomeKind = "unsent"
	// outcomeNotRun means that the endpoint says it did not run the request.
	outcomeNotRun outcomeKind = "not-run"
	// outcomeUnknown means that the endpoint may have run the request.
	outcomeUnknown outcomeKind = "unknown"
	// outcomeFailed means that the endpoint ran the request and failed.
	outcomeFailed outcomeKind = "failed"
)

// outcome is what became of an attempt.
type outcome struct {
	kind   outcomeKind
	reason fleet.Reason
	cause  error
}

// refuse answers a request that has not run and never will.
func (c *call) refuse(reason fleet.Reason) {
	pause := admission.RetryDelay(c.left(), rand.Float64())
	c.w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 2, 64))
	c.reject(http.StatusServiceUnavailable, string(reason))
}

// reject answers in the fleet's own words.
func (c *call) reject(status int, reason string) {
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = fmt.Fprintln(c.w, reason)
	c.end(status, "own", reason)
}

// fail ends a request for which no endpoint brought an answer.
func (c *call) fail(o outcome) {
	switch {
	case c.started:
		c.end(0, "broken", string(o.reason))
		panic(http.ErrAbortHandler)
	case c.runs == 0:
		c.refuse(o.reason)
	default:
		c.reject(http.StatusBadGateway, string(o.reason))
	}
}

// expired ends a request whose time ran out or whose caller left.
func (c *call) expired() {
	if c.r.Context().Err() != nil {
		c.end(0, "left", "caller closed the connection")
		panic(http.ErrAbortHandler)
	}
	switch {
	case c.started:
		c.end(0, "broken", string(fleet.ReasonDeadline))
		panic(http.ErrAbortHandler)
	case c.runs == 0:
		c.refuse(fleet.ReasonDeadline)
	default:
		c.reject(http.StatusGatewayTimeout, string(fleet.ReasonDeadline))
	}
}

// end logs what the caller was told. A status of zero means that the connection was
// closed.
func (c *call) end(status int, how, reason string) {
	c.count(status, how, reason)
	level := zap.InfoLevel
	if how == "answer" && status < http.StatusInternalServerError || reason == string(fleet.ReasonQueueFull) {
		level = zap.DebugLevel
	}
	entry := c.h.Logger.Check(level, event.Request)
	if entry == nil {
		return
	}
	entry.Write(append(c.fields(), zap.Int("status", status), zap.String("how", how), zap.String("reason", reason),
		zap.Int("sends", c.sends), zap.Duration("took", time.Since(c.arrived)), zap.Duration("first", c.first))...)
}

// count counts what the caller was told, and how long that took.
func (c *call) count(status int, how, reason string) {
	m := c.h.Metrics
	m.Count(gauge.Name("requests_total", "how", how, "status", strconv.Itoa(status), "reason", reason))
	if how != "answer" {
		return
	}
	m.Time(gauge.Name("request_milliseconds", "service", c.service), time.Since(c.arrived))
	m.Time(gauge.Name("first_milliseconds", "service", c.service), c.first)
	m.Time(gauge.Name("expected_milliseconds", "service", c.service), c.place.Expected)
	if c.place.MissingTokens > 0 {
		m.Count(gauge.Name("prompts_read_total", "service", c.service))
	} else if len(c.ask.Prompt) > 0 {
		m.Count(gauge.Name("prompts_kept_total", "service", c.service))
	}
}

// logAttempt logs an attempt that did not bring the answer.
func (c *call) logAttempt(o outcome) {
	c.h.Metrics.Count(gauge.Name("attempts_failed_total", "outcome", string(o.kind), "reason", string(o.reason)))
	c.h.Logger.Info(event.Attempt, append(c.fields(), zap.String("outcome", string(o.kind)),
		zap.String("reason", string(o.reason)), zap.Error(o.cause))...)
}

// fields are what the decisions on a request were based on.
func (c *call) fields() []zap.Field {
	fields := make([]zap.Field, 0, maxFields)
	fields = append(fields, zap.String("id", c.ask.ID))
	if c.ask.Odd != "" {
		fields = append(fields, zap.String("odd", c.ask.Odd))
	}
	if c.edition != nil {
		fields = append(fields, zap.Int64("version", c.edition.version))
	}
	if c.route.Name != "" {
		fields = append(fields, zap.String("route", c.route.Name), zap.String("service", c.service),
			zap.String("customer", c.customer), zap.Duration("patience", c.ask.Wait), zap.Bool("late", c.late))
	}
	if c.place.Endpoint.ID != "" {
		fields = append(fields, zap.String("endpoint", c.place.Endpoint.ID), zap.Duration("expected", c.place.Expected),
			zap.Duration("wait", c.place.Wait), zap.Float64("runs", c.place.Runs), zap.Int("missing", c.place.MissingTokens),
			zap.Int("usable", c.place.Usable), zap.Duration("age", c.place.LoadAge), zap.Int("refusals", len(c.full)), zap.String("grant", string(c.grant)))
	}
	return fields
}

// maxFields is the usual number of a line's fields.
const maxFields = 24
