package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/claim"
	"github.com/greengagestep/greengagestep/internal/dispatch"
	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyBuffer is the size of one read of an answer, in bytes.
const copyBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// attempt carries the request to an endpoint and the answer back. It returns nil
// when the answer is complete.
func (c *call) attempt(ctx context.Context, slot *dispatch.Slot) *endpoint.Failure {
	address, ok := c.h.Address(slot.Endpoint)
	if !ok {
		return &endpoint.Failure{Endpoint: slot.Endpoint, Reason: fleet.ReasonUnreachable, Cause: errors.New("it left the instance list")}
	}
	started := time.Now()
	req := c.request(ctx, address)
	resp, err := c.h.Endpoints.Call(ctx, slot.Endpoint, req, c.repeat)
	if err != nil {
		var failure *endpoint.Failure
		if !errors.As(err, &failure) {
			failure = &endpoint.Failure{Endpoint: slot.Endpoint, Reason: fleet.ReasonEndpointFailed, Reached: true, Cause: err}
		}
		return c.failed(ctx, failure, started)
	}
	defer resp.Body.Close()
	if failure := c.pass(resp, slot); failure != nil {
		return c.failed(ctx, failure, started)
	}
	c.h.Result(slot.Endpoint, true)
	c.finish()
	return nil
}

// failed records a failure against the endpoint, unless the caller caused it.
func (c *call) failed(ctx context.Context, f *endpoint.Failure, started time.Time) *endpoint.Failure {
	c.step("attempt failed", f.Error())
	c.reached = c.reached || f.Reached
	if ctx.Err() != nil {
		f.Reason = fleet.ReasonCancelled
		return f
	}
	c.h.Result(f.Endpoint, false)
	if f.Reached && f.Reason == fleet.ReasonEndpointFailed && c.h.Quarantine != nil && c.h.Crashed(ctx, f.Endpoint) {
		c.suspect = true
		c.h.Quarantine.Crashed(c.print, f.Endpoint, c.id, started)
	}
	return f
}

func (c *call) request(ctx context.Context, address string) *http.Request {
	target := &url.URL{Scheme: "http", Host: address, Path: c.path, RawQuery: c.r.URL.RawQuery}
	req := (&http.Request{
		Method: c.r.Method, URL: target, Host: c.r.Host, Header: c.r.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: c.body.open(), ContentLength: c.body.long,
	}).WithContext(ctx)
	stripHop(req.Header)
	req.Header.Del("Authorization")
	req.Header.Set(HeaderRequestID, c.id)
	req.Header.Set("Customer", c.key.Customer)
	if c.events > 0 {
		req.Header.Set(headerResume, strconv.Itoa(c.events))
	}
	return req
}

func stripHop(h http.Header) {
	for _, named := range strings.Split(h.Get("Connection"), ",") {
		if named = strings.TrimSpace(named); named != "" {
			h.Del(named)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// pass carries an answer to the caller and charges what it delivers.
func (c *call) pass(resp *http.Response, slot *dispatch.Slot) *endpoint.Failure {
	c.header(resp)
	s := &stream{whole: c.service.Resume}
	events := strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
	// An answer whose length is known is not awaited piece by piece.
	hasty := events || resp.ContentLength < 0
	flusher := http.NewResponseController(c.w)
	buf := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buf)
	for {
		n, err := resp.Body.Read(buf[:])
		part := buf[:n]
		if events {
			tokens := 0
			part, tokens = s.next(part, err == io.EOF)
			c.events += tokens
			slot.Charge(float64(tokens))
		}
		if len(part) > 0 {
			if failure := c.write(part, slot); failure != nil {
				return failure
			}
			if hasty {
				_ = flusher.Flush()
			}
		}
		if err == io.EOF {
			if !events {
				slot.Charge(reportedTokens(resp))
			}
			return nil
		}
		if err != nil {
			return &endpoint.Failure{Endpoint: slot.Endpoint, Reason: fleet.ReasonEndpointFailed, Reached: true, Cause: err}
		}
	}
}

// header sends the status and the headers to the caller, once.
func (c *call) header(resp *http.Response) {
	if c.kept != nil {
		c.kept.begin(resp)
	}
	if c.written {
		return
	}
	c.written = true
	header := c.w.Header()
	for name, values := range resp.Header {
		if slices.Contains(hopHeaders, name) || name == HeaderRequestID {
			continue
		}
		header[name] = values
	}
	header.Del("Content-Length")
	header.Set("Trailer", HeaderOutcome)
	c.w.WriteHeader(resp.StatusCode)
}

func (c *call) write(p []byte, slot *dispatch.Slot) *endpoint.Failure {
	if c.kept != nil {
		c.kept.add(p)
	}
	if _, err := c.w.Write(p); err != nil {
		return &endpoint.Failure{Endpoint: slot.Endpoint, Reason: fleet.ReasonCancelled, Reached: true, Cause: err}
	}
	return nil
}

// reportedTokens is the cost that an endpoint states for an answer that is not a
// stream.
func reportedTokens(resp *http.Response) float64 {
	n, err := strconv.ParseFloat(resp.Header.Get("Tokens"), 64)
	if err != nil || !(n > 0) {
		return 0
	}
	return n
}

func (c *call) finish() {
	if c.ticket != nil {
		c.ticket.Done(c.kept.answer())
	}
	c.outcome(fleet.OutcomeRan, "")
}

// recorder keeps an answer for requests that repeat its key.
type recorder struct {
	kept claim.Answer
	over bool
}

func (k *recorder) begin(resp *http.Response) {
	header := resp.Header.Clone()
	stripHop(header)
	header.Del("Content-Length")
	k.kept = claim.Answer{Status: resp.StatusCode, Header: header}
}

func (k *recorder) add(p []byte) {
	if len(k.kept.Body)+len(p) > claim.MaxAnswerBytes {
		k.over = true
		k.kept.Body = nil
	}
	if !k.over {
		k.kept.Body = append(k.kept.Body, p...)
	}
}

func (k *recorder) answer() *claim.Answer {
	k.kept.Complete = !k.over
	return &k.kept
}
