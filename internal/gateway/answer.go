package gateway

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/outlet"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// outcomeKind is what is known about the execution of a request after an attempt.
type outcomeKind string

const (
	// outcomeDone means that the response was relayed to the caller.
	outcomeDone outcomeKind = "done"
	// outcomeUnavailable means that the request was not sent because the endpoint became
	// unavailable after it was chosen.
	outcomeUnavailable outcomeKind = "unavailable"
	// outcomeUnsent means that no byte of the request was sent to the endpoint.
	outcomeUnsent outcomeKind = "unsent"
	// outcomeNotRun means that the endpoint reports that it did not run the request.
	outcomeNotRun outcomeKind = "not-run"
	// outcomeUnknown means that the endpoint may have run the request.
	outcomeUnknown outcomeKind = "unknown"
	// outcomeFailed means that the endpoint ran the request and failed.
	outcomeFailed outcomeKind = "failed"
)

// outcome is the result of an attempt.
type outcome struct {
	kind   outcomeKind
	reason fleet.Reason
	cause  error
	status int // of the response that was relayed; only if kind is outcomeDone
}

// refuse responds with status 503 and a Retry-After header to a request that no
// endpoint has run or will run.
func (c *call) refuse(reason fleet.Reason) {
	centiseconds := math.Ceil(c.retryDelay(reason).Seconds() * 100)
	c.w.Header().Set("Retry-After", strconv.FormatFloat(centiseconds/100, 'f', 2, 64))
	c.reject(http.StatusServiceUnavailable, string(reason))
}

// retryDelay returns the delay after which the caller of a refused request should retry.
func (c *call) retryDelay(reason fleet.Reason) time.Duration {
	if reason == fleet.ReasonNoEndpoint || reason == fleet.ReasonQueueFull {
		now := time.Now()
		if at, ok := c.h.Balancer.AvailableFrom(c.placementRequest(), now); ok {
			return admission.ReturnDelay(at.Sub(now), rand.Float64())
		}
	}
	if reason == fleet.ReasonCPUOverload && c.h.Relief != nil {
		now := time.Now()
		if elsewhere, ok := c.h.Relief.Elsewhere(now); ok {
			slack, _ := c.slack(now)
			return min(admission.MoveDelay(elsewhere, slack, rand.Float64()), admission.RetryDelay(c.timeLeft(), 0))
		}
	}
	return admission.RetryDelay(c.timeLeft(), rand.Float64())
}

// reject responds with an error that the gateway itself generates: the reason as plain
// text.
func (c *call) reject(status int, reason string) {
	c.limitUnreadBody()
	c.closeIfStopping()
	c.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	_, _ = fmt.Fprintln(c.w, reason)
	c.recordEnd(status, "own", reason)
}

// fail ends a request for which no endpoint delivered a complete response. It panics
// with http.ErrAbortHandler if a part of the response was already written.
func (c *call) fail(o outcome) {
	switch {
	case c.headersSent:
		c.recordEnd(0, "broken", string(o.reason))
		panic(http.ErrAbortHandler)
	case c.runs == 0:
		c.refuse(o.reason)
	default:
		c.reject(http.StatusBadGateway, string(o.reason))
	}
}

// endExpired ends a request whose context is done: its deadline passed, its caller disconnected, or
// the instance ends. It panics with http.ErrAbortHandler if no error response can be written any
// more.
func (c *call) endExpired(ctx context.Context) {
	c.endIfGivenUp()
	if c.left || c.r.Context().Err() != nil {
		c.recordEnd(0, "left", "caller closed the connection")
		panic(http.ErrAbortHandler)
	}
	reason, status := fleet.ReasonDeadline, http.StatusGatewayTimeout
	if errors.Is(context.Cause(ctx), errEnding) {
		reason, status = fleet.ReasonStopping, http.StatusBadGateway
	}
	switch {
	case c.headersSent:
		c.recordEnd(0, "broken", string(reason))
		panic(http.ErrAbortHandler)
	case c.runs == 0:
		c.refuse(reason)
	default:
		c.reject(status, string(reason))
	}
}

// endIfGivenUp ends a request whose caller was given up: it panics with http.ErrAbortHandler.
func (c *call) endIfGivenUp() {
	var givenUp outlet.GivenUp
	if errors.As(c.conn.Err(), &givenUp) {
		c.recordEnd(0, "broken", string(fleet.ReasonUnread))
		panic(http.ErrAbortHandler)
	}
}

// deliver waits until the caller has read what was relayed of a complete response, which the deadline of
// the request does not cut off, and records its end. It panics with http.ErrAbortHandler if the caller does
// not read, so that what it has cannot pass as complete.
func (c *call) deliver(status int) {
	if c.conn.Behind() {
		c.releaseBody()
		c.awaitReader()
	}
	c.recordEnd(status, "answer", "")
}

func (c *call) awaitReader() {
	ctx, cancel := c.h.ending.join(c.r.Context())
	defer cancel()
	err := c.conn.Await(ctx)
	switch {
	case err == nil:
		return
	case errors.Is(err, errEnding):
		c.recordEnd(0, "broken", string(fleet.ReasonStopping))
	default:
		c.endIfGivenUp()
		c.recordEnd(0, "left", "caller closed the connection")
	}
	panic(http.ErrAbortHandler)
}

// recordEnd counts and logs the result that the caller got. A status of zero means that
// the connection was closed. Ending is "answer" if a response of an endpoint was relayed,
// "own" if the gateway generated the response, "broken" if the response was cut off and
// "left" if the caller disconnected.
func (c *call) recordEnd(status int, ending, reason string) {
	c.countEnd(status, ending, reason)
	if ending == "own" && status == http.StatusServiceUnavailable && c.customer != "" {
		c.h.shortfalls.record(c, fleet.Reason(reason), time.Now())
	}
	level := zap.InfoLevel
	if ending == "answer" && status < http.StatusInternalServerError || reason == string(fleet.ReasonQueueFull) {
		level = zap.DebugLevel
	}
	entry := c.h.Logger.Check(level, event.Request)
	if entry == nil {
		return
	}
	entry.Write(append(c.logFields(), zap.Int("status", status), zap.String("how", ending), zap.String("reason", reason),
		zap.Int("sends", c.sends), zap.Duration("took", time.Since(c.arrived)), zap.Duration("first", c.timeToFirst), zap.Duration("pause", c.longestGap))...)
}

// countEnd counts the result that the caller got, and for a relayed response also its
// latencies and whether the endpoint had the prompt cached.
func (c *call) countEnd(status int, ending, reason string) {
	m := c.h.Metrics
	m.Count(gauge.Name("requests_total", "how", ending, "status", strconv.Itoa(status), "reason", reason))
	if ending != "answer" {
		return
	}
	m.Time(gauge.Name("request_milliseconds", "service", c.service), time.Since(c.arrived))
	m.Time(gauge.Name("first_milliseconds", "service", c.service), c.timeToFirst)
	m.Time(gauge.Name("expected_milliseconds", "service", c.service), c.choice.Expected)
	if c.choice.MissingTokens > 0 {
		m.Count(gauge.Name("prompts_read_total", "service", c.service))
	} else if len(c.attrs.Prompt) > 0 {
		m.Count(gauge.Name("prompts_kept_total", "service", c.service))
	}
}

// logFailedAttempt counts and logs an attempt whose response was not relayed.
func (c *call) logFailedAttempt(o outcome) {
	c.h.Metrics.Count(gauge.Name("attempts_failed_total", "outcome", string(o.kind), "reason", string(o.reason)))
	c.h.Logger.Info(event.Attempt, append(c.logFields(), zap.String("outcome", string(o.kind)),
		zap.String("reason", string(o.reason)), zap.Bool("begun", c.lastAttempt.Begun), zap.Int("events", c.lastAttempt.Events()), zap.Error(o.cause))...)
}

// logFields returns the log fields that hold the inputs of the routing, admission and
// placement decisions on the request.
func (c *call) logFields() []zap.Field {
	fields := make([]zap.Field, 0, typicalLogFields)
	fields = append(fields, zap.String("id", c.attrs.ID))
	if c.attrs.MalformedHeader != "" {
		fields = append(fields, zap.String("odd", c.attrs.MalformedHeader))
	}
	if c.config != nil {
		fields = append(fields, zap.Int64("version", c.config.version))
	}
	if c.route.Name != "" {
		fields = append(fields, zap.String("route", c.route.Name), zap.String("service", c.service),
			zap.String("customer", c.customer), zap.Duration("patience", c.attrs.Timeout), zap.Bool("late", c.pastTarget))
	}
	if shared := c.attrs.SharedParts(); len(shared) > 0 {
		fields = append(fields, zap.Array("prompt", promptPath(shared)))
	}
	if c.choice.Endpoint.ID != "" {
		fields = append(fields, zap.String("endpoint", c.choice.Endpoint.ID), zap.Duration("expected", c.choice.Expected),
			zap.Duration("wait", c.choice.Wait), zap.Duration("least", c.choice.LeastWait), zap.Duration("limit", c.maxWait), zap.Float64("runs", c.choice.Runs), zap.Int("missing", c.choice.MissingTokens),
			zap.Int("usable", c.choice.Usable), zap.Duration("age", c.choice.LoadAge), zap.Float64("slowdown", c.choice.HostSlowdown), zap.Int("refusals", len(c.refusedBy)), zap.String("grant", string(c.grant)))
	}
	if c.mediaType != "" {
		fields = append(fields, zap.String("media", c.mediaType))
	}
	return fields
}

// promptPath encodes the IDs of the shared parts of a prompt for a log line.
type promptPath []fleet.PromptPart

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (p promptPath) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, part := range p {
		enc.AppendString(strconv.FormatUint(part.ID, 16))
	}
	return nil
}

// typicalLogFields is the usual number of fields of a log line.
const typicalLogFields = 26
