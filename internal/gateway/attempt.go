package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// hopHeaders are the hop-by-hop headers, which apply to one connection and are not
// forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

const (
	// maxBufferedResponseBytes is how much of a response is buffered before the
	// first byte is sent to the caller: if reading fails within it, the request can
	// still be retried or answered with an error status.
	maxBufferedResponseBytes = 64 << 10
	// copyBufferBytes is the buffer size for reading a response, in bytes.
	copyBufferBytes = 16 << 10
)

// copyBuffers holds buffers for reading responses, of type *[copyBufferBytes]byte.
var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// attempt sends the request to the chosen endpoint and relays the response, unless the
// request becomes quarantined meanwhile.
func (c *call) attempt(ctx context.Context) outcome {
	c.crashProbe, c.mediaType = nil, ""
	c.lastAttempt = quarantine.Attempt{
		Quarantine: c.h.Quarantine, Endpoint: c.choice.Endpoint.ID, Request: c.attrs.ID, Signatures: c.signatures, Sent: time.Now(),
	}
	if c.h.Quarantine != nil {
		var cancel context.CancelFunc
		ctx, cancel = c.watchQuarantine(ctx)
		defer cancel()
		if c.h.Quarantine.Contains(c.signatures) {
			return outcome{kind: outcomeUnsent, reason: fleet.ReasonQuarantine, cause: errQuarantined}
		}
	}
	o := c.exchange(ctx)
	if o.kind != outcomeDone && errors.Is(context.Cause(ctx), errQuarantined) {
		o.reason, o.cause = fleet.ReasonQuarantine, errQuarantined
	}
	return o
}

// exchange sends the request to the chosen endpoint and relays the response.
func (c *call) exchange(ctx context.Context) outcome {
	run, unavailable := c.h.Balancer.Begin(c.choice, c.placementRequest(), time.Now())
	if unavailable != "" {
		c.countExpired(unavailable)
		return outcome{kind: outcomeUnavailable, reason: fleet.ReasonNoEndpoint, cause: unavailableError(unavailable)}
	}
	c.run = run
	request := c.endpointRequest()
	request.OnHead = func(a fleet.ResponseAttrs) { run.RecordHead(a, time.Now()) }
	request.Permit = func() error {
		if err := c.hopeless(time.Now()); err != nil {
			return err
		}
		if reason := run.Permit(time.Now()); reason != "" {
			return unavailableError(reason)
		}
		c.rewriteHeader(request.Header)
		run.RecordSend(time.Now())
		return nil
	}
	if c.expire != nil {
		request.TimeLeft = c.limitExchange
	}
	answer, err := c.h.Pool.Send(ctx, c.choice.Endpoint.Address, request, c.attrs.ID)
	if err != nil {
		return c.sendFailed(ctx, run, err)
	}
	defer func() {
		answer.CloseConn = answer.CloseConn || run.Unavailability(time.Now()).Leaving()
		answer.Close()
	}()
	c.sends++
	c.h.Balancer.RecordLoad(c.choice.Endpoint, answer.Attrs, time.Now())
	if answer.Attrs.NotRun && answer.StatusCode >= http.StatusBadRequest {
		run.End(placement.ResultRefused, time.Now())
		discardBody(answer)
		return outcome{kind: outcomeNotRun, reason: fleet.ReasonQueueFull, cause: fmt.Errorf("status %d", answer.StatusCode)}
	}
	c.runs++
	c.lastAttempt.Begun = true
	o := c.relay(answer, run)
	result := placementResult(ctx, o)
	if result == placement.ResultFailed && answer.Attrs.QuietFor > 0 {
		result = placement.ResultRefused
	}
	run.End(result, time.Now())
	if o.kind == outcomeUnknown && o.reason == fleet.ReasonEndpointFailed && ctx.Err() == nil {
		c.probeForCrash()
	}
	return o
}

// countExpired counts a start at a cold endpoint that was not used in time, and a request to an
// endpoint that became cold after it was chosen.
func (c *call) countExpired(reason placement.Unavailability) {
	if reason != placement.UnavailableCold {
		return
	}
	c.startRefusals++
	c.h.Metrics.Count(gauge.Name("starts_expired_total", "service", c.service))
}

// unavailableError is the error of an attempt whose endpoint became unavailable after it was
// chosen.
type unavailableError placement.Unavailability

// Error implements error.
func (e unavailableError) Error() string { return "endpoint became unavailable: " + string(e) }

// discardTimeout is how long the body of a refusal may take to arrive, so that its connection
// can be used again.
const discardTimeout = 20 * time.Millisecond

// discardBody reads a body that is not needed. It gives up a long one and one that does not
// arrive at once: the request waits for its next attempt.
func discardBody(a *upstream.Answer) {
	timer := time.AfterFunc(discardTimeout, a.Abandon)
	defer timer.Stop()
	// An error closes the connection; the outcome of the attempt is known.
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxBufferedResponseBytes))
}

func placementResult(ctx context.Context, o outcome) placement.Result {
	switch {
	case ctx.Err() != nil:
		return placement.ResultCanceled
	case o.cause != nil:
		return placement.ResultFailed
	}
	return placement.ResultAnswered
}

// sendFailed returns the outcome of an attempt that failed before the response headers
// arrived, and records it for the balancer. An error of unknown type counts as one after
// which the endpoint may have run the request.
func (c *call) sendFailed(ctx context.Context, run *placement.Run, err error) outcome {
	var f *upstream.Failure
	if !errors.As(err, &f) {
		f = &upstream.Failure{Reached: true, Reason: fleet.ReasonEndpointFailed, Cause: err}
	}
	o := outcome{kind: outcomeUnsent, reason: f.Reason, cause: err}
	if f.Reached {
		o.kind = outcomeUnknown
		c.sends++
		c.runs++
	}
	if f.Reached && f.Reason == fleet.ReasonEndpointFailed && ctx.Err() == nil {
		c.probeForCrash()
	}
	r := placement.ResultUnreachable
	var unavailable unavailableError
	switch {
	case errors.Is(err, errNoTimeLeft), errors.Is(err, errCallerLeft):
		o.reason, r = fleet.ReasonDeadline, placement.ResultCanceled
	case errors.As(err, &unavailable):
		o.kind, r = outcomeUnavailable, placement.ResultCanceled
		if placement.Unavailability(unavailable).Leaving() {
			c.h.Pool.CloseIdle(c.choice.Endpoint.Address)
		}
		c.countExpired(placement.Unavailability(unavailable))
	case ctx.Err() != nil:
		r = placement.ResultCanceled
	case f.Reached:
		r = placement.ResultFailed
	case isTimeout(err):
		r = placement.ResultSilent
	}
	run.End(r, time.Now())
	return o
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// rewriteHeader sets what the endpoint is told: right before the request is sent, since making a connection takes time, how
// long it may work. A resumed stream continues after the last event that the caller has.
func (c *call) rewriteHeader(header http.Header) {
	after := c.attrs.LastEventID
	if c.lastEventID != "" {
		after = c.lastEventID
	}
	remaining := c.attrs.Timeout
	if !c.deadline.IsZero() {
		remaining = max(c.timeToAnswer(time.Now()), time.Millisecond)
	}
	c.h.HeaderCodec.RewriteForEndpoint(header, fleet.ForwardAttrs{
		Endpoint: c.choice.Endpoint.ID, Customer: c.customer, Remaining: remaining, LastEventID: after,
	})
}

// limitExchange returns how long the exchange with the endpoint may still take. When that is over, it ends the request.
func (c *call) limitExchange() time.Duration {
	left := c.timeToAnswer(time.Now())
	if left <= 0 {
		c.expire()
	}
	return left
}

// endpointRequest builds the request to the endpoint, without what rewriteHeader sets.
func (c *call) endpointRequest() upstream.Request {
	header := c.r.Header.Clone()
	removeHopHeaders(header)
	return upstream.Request{Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body, HeaderTimeout: c.responseTimeout(), Earlier: &c.connections}
}

const (
	// targetTimeoutFactor and expectedTimeoutFactor are multiplied by the route's
	// target latency and by the expected latency: the larger product is the response
	// timeout of a request that may run again, if it is longer than silenceLimit.
	targetTimeoutFactor   = 3
	expectedTimeoutFactor = 4
	// firstAttemptShare is the part of the time left that an attempt may take without a
	// response if silenceLimit would leave too little for the next one.
	firstAttemptShare = 2.0 / 3
)

// responseTimeout returns the time limit for the response headers, after which another
// endpoint is tried; zero means that only the deadline of the request applies.
func (c *call) responseTimeout() time.Duration {
	if !c.repeatable() || c.runs+1 >= c.maxRuns() || c.route.TargetLatencyMillis == 0 {
		return 0
	}
	silence := silenceLimit
	if !c.deadline.IsZero() {
		silence = min(silence, time.Duration(firstAttemptShare*float64(c.timeLeft())))
	}
	return max(targetTimeoutFactor*c.route.TargetLatency(), expectedTimeoutFactor*c.choice.Expected, silence)
}

// removeHopHeaders removes the hop-by-hop headers.
func removeHopHeaders(h http.Header) {
	for _, named := range strings.Split(h.Get("Connection"), ",") {
		if named = http.CanonicalHeaderKey(strings.TrimSpace(named)); slices.Contains(hopHeaders, named) {
			h.Del(named)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// notRunStatuses are the status codes that tell a client that its request was not run.
var notRunStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// relay checks the endpoint's response and copies it to the caller.
func (c *call) relay(a *upstream.Answer, run *placement.Run) outcome {
	failed := func(reason fleet.Reason, format string, args ...any) outcome {
		return outcome{kind: outcomeFailed, reason: reason, cause: fmt.Errorf(format, args...)}
	}
	ok := a.StatusCode >= 200 && a.StatusCode < 300
	c.mediaType = mediaTypeField(a.Header)
	if ok && c.numbered() {
		c.h.Metrics.Count(gauge.Name("stream_responses_total", "type", mediaTypeLabel(c.mediaType)))
	}
	switch {
	case ok && !a.Attrs.Sealed:
		return failed(fleet.ReasonInvalidResponse, "status %d without a response seal", a.StatusCode)
	case strings.Join(a.Header["Content-Encoding"], "") != "":
		return failed(fleet.ReasonInvalidResponse, "response has an unexpected Content-Encoding")
	case slices.Contains(notRunStatuses, a.StatusCode):
		// The endpoint did not report the request as not run. Forwarding the
		// status would tell the caller that the request was not run.
		return failed(fleet.ReasonEndpointFailed, "status %d although the endpoint may have run the request", a.StatusCode)
	case a.StatusCode >= 500 && c.repeatable() && c.runs < c.maxRuns():
		return failed(fleet.ReasonEndpointFailed, "status %d", a.StatusCode)
	}
	if c.headersSent && !ok {
		return failed(fleet.ReasonEndpointFailed, "status %d instead of the remaining events of a resumed stream", a.StatusCode)
	}
	if ok && c.isStream(a) {
		return c.relayStream(a, run)
	}
	if c.headersSent {
		return failed(fleet.ReasonInvalidResponse, "no event stream for the remaining events of a resumed stream")
	}
	return c.relayBody(a, run)
}

// relayBody copies a response that is not an event stream to the caller. One shorter than
// maxBufferedResponseBytes is read completely before its first byte is sent.
func (c *call) relayBody(a *upstream.Answer, run *placement.Run) outcome {
	head, err := io.ReadAll(io.LimitReader(a, maxBufferedResponseBytes))
	if err != nil {
		return outcome{kind: outcomeUnknown, reason: fleet.ReasonEndpointFailed, cause: err}
	}
	c.recordFirst(run)
	c.sendHeaders(a)
	if _, err := c.w.Write(head); err != nil {
		return callerFailed(err)
	}
	if len(head) < maxBufferedResponseBytes {
		return c.finish(a)
	}
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := a.Read(buf[:])
		if _, werr := c.w.Write(buf[:n]); werr != nil {
			return callerFailed(werr)
		}
		if err == io.EOF {
			return c.finish(a)
		}
		if err != nil {
			return c.abort(a, err)
		}
	}
}

// recordFirst counts complete events and records the time of the first one, or of the response of a
// service without streams.
func (c *call) recordFirst(run *placement.Run) {
	c.lastAttempt.AddEvents(1)
	if c.stopWatch != nil && c.lastAttempt.Running() {
		c.stopWatch()
		c.stopWatch = nil
	}
	now := time.Now()
	run.RecordFirst(now)
	if c.timeToFirst == 0 {
		c.timeToFirst = now.Sub(c.arrived)
	}
}

// finish returns the outcome of a response that was relayed to its end. One that ends with its connection
// may have been ended by a crash.
func (c *call) finish(a *upstream.Answer) outcome {
	if a.Framed || c.lastAttempt.Running() {
		c.lastAttempt.Complete()
	} else {
		c.probeForCrash()
	}
	var cause error
	if a.StatusCode >= 500 {
		cause = fmt.Errorf("status %d", a.StatusCode)
	}
	return outcome{kind: outcomeDone, cause: cause, status: a.StatusCode}
}

// abort returns the outcome of a response that was cut off after its headers were sent. The
// caller's connection is then closed, so that the truncated body cannot pass as complete.
func (c *call) abort(a *upstream.Answer, cause error) outcome {
	return outcome{kind: outcomeUnknown, reason: fleet.ReasonEndpointFailed, cause: fmt.Errorf("response with status %d was cut off: %w", a.StatusCode, cause)}
}

// sendHeaders writes the status and the headers of a response to the caller. Only the
// first call has an effect. Connection and Keep-Alive are the gateway's own.
func (c *call) sendHeaders(a *upstream.Answer) {
	if c.headersSent {
		return
	}
	c.headersSent = true
	c.closeIfStopping()
	header := c.w.Header()
	connection, keepAlive := header.Get("Connection"), header.Get("Keep-Alive")
	for name, values := range a.Header {
		header[name] = values
	}
	removeHopHeaders(header)
	if connection != "" {
		header.Set("Connection", connection)
	}
	if keepAlive != "" {
		header.Set("Keep-Alive", keepAlive)
	}
	// Prevents net/http from adding headers of its own.
	for _, name := range []string{"Date", "Content-Type"} {
		if header.Get(name) == "" {
			header[name] = nil
		}
	}
	c.w.WriteHeader(a.StatusCode)
}
