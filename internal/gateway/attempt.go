package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

const (
	// smallAnswer is the largest answer that is read whole before the caller
	// gets its first byte, so that a failure in it can still be told.
	smallAnswer = 64 << 10
	// copyBuffer is the size of one read of an answer, in bytes.
	copyBuffer = 16 << 10
)

var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// attempt sends the request to the chosen endpoint and carries the answer back.
func (c *call) attempt(ctx context.Context) outcome {
	run := c.h.Board.Begin(c.place, c.request(), time.Now())
	answer, err := c.h.Pool.Send(ctx, c.place.Endpoint.Address, c.errand(), c.ask.ID)
	if err != nil {
		return c.unanswered(ctx, run, err)
	}
	defer answer.Close()
	c.sends++
	c.h.Board.RecordLoad(c.place.Endpoint.ID, answer.Reply, time.Now())
	if answer.Reply.NotRun {
		run.End(placement.ResultRefused, time.Now())
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, smallAnswer))
		return outcome{kind: outcomeNotRun, reason: fleet.ReasonQueueFull, cause: fmt.Errorf("status %d", answer.StatusCode)}
	}
	c.runs++
	begun := time.Now()
	o := c.take(answer, run)
	run.End(result(ctx, o), time.Now())
	if o.kind == outcomeUnknown && ctx.Err() == nil {
		c.suspect(begun)
	}
	return o
}

const (
	// crashPause is given to an endpoint that broke off until it is asked
	// whether it still takes connections.
	crashPause = 30 * time.Millisecond
	// crashTimeout bounds that question.
	crashTimeout = 500 * time.Millisecond
)

// suspect finds out beside the request whether the endpoint that broke it off has
// crashed: a broken connection alone is no crash.
func (c *call) suspect(started time.Time) {
	h, place, print, id := c.h, c.place.Endpoint, c.print, c.ask.ID
	h.checks.Go(func() {
		time.Sleep(crashPause)
		ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
		defer cancel()
		if h.Pool.Probe(ctx, place.Address) == nil {
			return
		}
		h.Board.RecordProbe(place.ID, false, time.Now())
		if h.Quarantine != nil {
			h.Quarantine.Crashed(print, place.ID, id, started)
		}
	})
}

func result(ctx context.Context, o outcome) placement.Result {
	switch {
	case ctx.Err() != nil:
		return placement.ResultCanceled
	case o.cause != nil:
		return placement.ResultFailed
	}
	return placement.ResultAnswered
}

// unanswered tells what an attempt without an answer means.
func (c *call) unanswered(ctx context.Context, run *placement.Run, err error) outcome {
	var f *upstream.Failure
	if !errors.As(err, &f) {
		f = &upstream.Failure{Reached: true, Reason: fleet.ReasonBroken, Cause: err}
	}
	o := outcome{kind: outcomeUnsent, reason: f.Reason, cause: err}
	if f.Reached {
		o.kind = outcomeUnknown
		c.sends++
		c.runs++
	}
	if f.Reached && f.Reason == fleet.ReasonBroken && ctx.Err() == nil {
		c.suspect(time.Now())
	}
	r := placement.ResultUnreachable
	switch {
	case ctx.Err() != nil:
		r = placement.ResultCanceled
	case f.Reached:
		r = placement.ResultFailed
	}
	run.End(r, time.Now())
	return o
}

// errand builds the request that the endpoint gets.
func (c *call) errand() upstream.Request {
	header := c.r.Header.Clone()
	strip(header)
	after := c.ask.After
	if c.last != "" {
		after = c.last
	}
	c.h.Dialect.Direct(header, fleet.Errand{
		Endpoint: c.place.Endpoint.ID, Customer: c.customer, Left: c.left(), After: after,
	})
	return upstream.Request{Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: header, Body: c.body, HeaderTimeout: c.patience()}
}

const (
	// aimPatience and expectedPatience are how many times the aim and the
	// expected time a request that may run again is awaited.
	aimPatience      = 3
	expectedPatience = 4
)

// patience returns how long an answer is awaited before another endpoint is asked;
// zero means to the end.
func (c *call) patience() time.Duration {
	if !c.repeatable() || c.runs+1 >= c.attempts() || c.route.Aim == 0 {
		return 0
	}
	return max(aimPatience*c.route.Goal(), expectedPatience*c.place.Expected)
}

// strip removes the headers that belong to one connection.
func strip(h http.Header) {
	for _, named := range strings.Split(h.Get("Connection"), ",") {
		if named = http.CanonicalHeaderKey(strings.TrimSpace(named)); slices.Contains(hopHeaders, named) {
			h.Del(named)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// promises are the statuses that say that a request has not run.
var promises = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// take carries an answer back to the caller.
func (c *call) take(a *upstream.Answer, run *placement.Run) outcome {
	failed := func(reason fleet.Reason, format string, args ...any) outcome {
		return outcome{kind: outcomeFailed, reason: reason, cause: fmt.Errorf(format, args...)}
	}
	ok := a.StatusCode >= 200 && a.StatusCode < 300
	switch {
	case ok && !a.Reply.Sealed:
		return failed(fleet.ReasonGarbage, "status %d without a seal", a.StatusCode)
	case a.Header.Get("Content-Encoding") != "":
		return failed(fleet.ReasonGarbage, "the body is encoded")
	case slices.Contains(promises, a.StatusCode):
		// Passed on, the status would say that the request has not run.
		return failed(fleet.ReasonBroken, "status %d though it may have run", a.StatusCode)
	case a.StatusCode >= 500 && c.repeatable() && c.runs < c.attempts():
		return failed(fleet.ReasonBroken, "status %d", a.StatusCode)
	}
	if c.started && !ok {
		return failed(fleet.ReasonBroken, "status %d for the rest of a stream", a.StatusCode)
	}
	if ok && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return c.stream(a, run)
	}
	if c.started {
		return failed(fleet.ReasonGarbage, "no stream for the rest of a stream")
	}
	return c.whole(a, run)
}

// whole carries an answer back that is no stream. Short ones are read whole first.
func (c *call) whole(a *upstream.Answer, run *placement.Run) outcome {
	head, err := io.ReadAll(io.LimitReader(a, smallAnswer))
	if err != nil {
		return outcome{kind: outcomeUnknown, reason: fleet.ReasonBroken, cause: err}
	}
	c.began(run)
	c.header(a)
	if _, err := c.w.Write(head); err != nil {
		return c.abort(a, err)
	}
	if len(head) < smallAnswer {
		return c.done(a)
	}
	buf := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buf)
	for {
		n, err := a.Read(buf[:])
		if _, werr := c.w.Write(buf[:n]); werr != nil {
			return c.abort(a, werr)
		}
		if err == io.EOF {
			return c.done(a)
		}
		if err != nil {
			return c.abort(a, err)
		}
	}
}

// began records the first event of a stream or the answer of a plain service.
func (c *call) began(run *placement.Run) {
	now := time.Now()
	run.RecordFirst(now)
	if c.first == 0 {
		c.first = now.Sub(c.arrived)
	}
}

func (c *call) done(a *upstream.Answer) outcome {
	c.end(a.StatusCode, "answer", "")
	var cause error
	if a.StatusCode >= 500 {
		cause = fmt.Errorf("status %d", a.StatusCode)
	}
	return outcome{kind: outcomeDone, cause: cause}
}

// abort breaks the caller's answer off, so that it cannot look whole.
func (c *call) abort(a *upstream.Answer, cause error) outcome {
	return outcome{kind: outcomeUnknown, reason: fleet.ReasonBroken, cause: fmt.Errorf("status %d broke off: %w", a.StatusCode, cause)}
}

// header sends the status and the headers of an answer to the caller, once.
func (c *call) header(a *upstream.Answer) {
	if c.started {
		return
	}
	c.started = true
	header := c.w.Header()
	closing, keep := header.Get("Connection"), header.Get("Keep-Alive")
	for name, values := range a.Header {
		header[name] = values
	}
	strip(header)
	if closing != "" {
		header.Set("Connection", closing)
	}
	if keep != "" {
		header.Set("Keep-Alive", keep)
	}
	if a.Header.Get("Date") == "" {
		// The library would add its own.
		header["Date"] = nil
	}
	c.w.WriteHeader(a.StatusCode)
}
