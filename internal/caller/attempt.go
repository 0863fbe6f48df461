package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/greengagestep/greengagestep/internal/claim"
	"github.com/greengagestep/greengagestep/internal/dispatch"
	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/stream"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// copyBufferBytes is the size of one read of a response.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

var errAskedForQuiet = errors.New("it takes no requests for a while")

// attempt forwards the request to an endpoint and the response to the caller. It
// returns no failure if the response is complete, and an *endpoint.Withheld if the request
// was not sent because the endpoint was closed after its slot was granted.
func (c *call) attempt(ctx context.Context, slot *dispatch.Slot) (*endpoint.Failure, error) {
	target, verdict := c.h.Target(slot.Endpoint)
	if !verdict.Allowed() {
		return nil, &endpoint.Withheld{Endpoint: slot.Endpoint, Verdict: verdict}
	}
	ctx, err := c.withStart(ctx, slot.Endpoint)
	if err != nil {
		return nil, err
	}
	c.lastAttempt = quarantine.Attempt{
		Quarantine: c.h.Quarantine, Endpoint: slot.Endpoint, Request: c.id, Signatures: c.signatures, Sent: time.Now(),
	}
	req := c.newRequest(ctx, target.Address)
	resp, err := c.h.EndpointClient.Call(ctx, slot.Endpoint, req, c.idempotent)
	var withheld *endpoint.Withheld
	if errors.As(err, &withheld) {
		return nil, withheld
	}
	if err != nil {
		var failure *endpoint.Failure
		if !errors.As(err, &failure) {
			failure = &endpoint.Failure{Endpoint: slot.Endpoint, Reason: fleet.ReasonEndpointFailed, Reached: true, Cause: err}
		}
		return c.recordFailure(ctx, failure), nil
	}
	defer resp.Body.Close()
	answer := endpoint.ReadAnswer(resp, time.Now())
	c.h.RecordAnswer(target, answer)
	if answer.Quiet > 0 {
		c.recordStep("turned away", slot.Endpoint+" takes no requests for "+answer.Quiet.String())
		return &endpoint.Failure{Endpoint: slot.Endpoint, Reason: fleet.ReasonQuiet, Cause: errAskedForQuiet}, nil
	}
	c.lastAttempt.Begun = true
	if failure := c.forwardResponse(resp, slot); failure != nil {
		return c.recordFailure(ctx, failure), nil
	}
	c.h.RecordResult(slot.Endpoint, true)
	c.lastAttempt.Complete()
	c.finish()
	return nil, nil
}

// withStart returns the context for a call to an endpoint, whose home may have to grant a start first.
func (c *call) withStart(ctx context.Context, name string) (context.Context, error) {
	if c.h.Start == nil {
		return ctx, nil
	}
	expires, err := c.h.Start(ctx, name)
	return endpoint.WithExpiry(ctx, expires), err
}

// recordFailure counts a failure against the endpoint, unless the request was
// cancelled or its deadline passed.
func (c *call) recordFailure(ctx context.Context, f *endpoint.Failure) *endpoint.Failure {
	broken := time.Now()
	c.recordStep("attempt failed", f.Error())
	c.reached = c.reached || f.Reached
	if ctx.Err() != nil {
		f.Reason = fleet.ReasonCancelled
		return f
	}
	c.h.RecordResult(f.Endpoint, false)
	if f.Reached && f.Reason == fleet.ReasonEndpointFailed && c.h.Quarantine != nil && c.h.Crashed(ctx, f.Endpoint) {
		c.suspect = true
		c.h.Quarantine.Crashed(c.lastAttempt.Suspect(broken))
	}
	return f
}

func (c *call) newRequest(ctx context.Context, address string) *http.Request {
	target := &url.URL{Scheme: "http", Host: address, Path: c.path, RawQuery: c.r.URL.RawQuery}
	req := (&http.Request{
		Method: c.r.Method, URL: target, Host: c.r.Host, Header: c.r.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: c.body.newReader(), ContentLength: c.body.contentLength,
	}).WithContext(ctx)
	removeHopByHopHeaders(req.Header)
	req.Header.Del("Authorization")
	req.Header.Set(HeaderRequestID, c.id)
	req.Header.Set("Customer", c.key.Customer)
	if c.lastEventID != "" {
		req.Header.Set(headerResume, c.lastEventID)
	}
	return req
}

func removeHopByHopHeaders(h http.Header) {
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" {
			h.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// forwardResponse forwards a response to the caller and charges the tokens in it to
// the customer.
func (c *call) forwardResponse(resp *http.Response, slot *dispatch.Slot) *endpoint.Failure {
	resumed, mediaType := c.responseStarted, stream.MediaType(resp.Header)
	declared := mediaType == stream.MediaTypeEvents
	if resumed && (!c.mayBeNumbered(resp) || !declared && mediaType != "" || resp.StatusCode != http.StatusOK) {
		return &endpoint.Failure{
			Endpoint: slot.Endpoint, Reason: fleet.ReasonEndpointFailed, Reached: true,
			Cause: fmt.Errorf("status %d instead of the remaining events of a resumed stream", resp.StatusCode),
		}
	}
	body, numbered := io.Reader(resp.Body), c.mayBeNumbered(resp)
	if numbered && !declared && !resumed {
		// The bytes decide: endpoints have other responses beside their streams, and one that sends
		// garbage may name any type.
		read, opening, err := readOpening(resp.Body)
		if err != nil {
			return &endpoint.Failure{Endpoint: slot.Endpoint, Reason: fleet.ReasonEndpointFailed, Reached: true, Cause: err}
		}
		body, numbered = io.MultiReader(bytes.NewReader(read), resp.Body), opening == stream.OpeningEvents
	}
	isEventStream := numbered || declared && c.r.Method != http.MethodHead
	c.writeHeader(resp)
	c.resumable = numbered
	s := &eventStream{}
	if numbered {
		s.sequence = stream.New(c.lastEventID, c.r.Header.Get(headerResume))
		s.sequence.AllowNamed = true
		s.sequence.OnNoEvent = c.noEventCounter(slot.Endpoint)
	}
	// A caller does not wait for the parts of a response with a known length one
	// by one, so they need no flush.
	flushEachRead := isEventStream || resp.ContentLength < 0
	flusher := http.NewResponseController(c.w)
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := body.Read(buf[:])
		data, last, invalid := buf[:n], int64(0), error(nil)
		if isEventStream {
			tokens := 0
			data, tokens, last, invalid = s.process(data)
			c.eventsSent += tokens
			c.lastAttempt.AddEvents(tokens)
			slot.Charge(float64(tokens))
		}
		if len(data) > 0 {
			if failure := c.writeBody(data, slot); failure != nil {
				return failure
			}
			if last > 0 {
				c.lastEventID = strconv.FormatInt(last, 10)
			}
			if flushEachRead {
				_ = flusher.Flush()
			}
		}
		if invalid != nil {
			return &endpoint.Failure{Endpoint: slot.Endpoint, Reason: fleet.ReasonInvalidResponse, Reached: true, Cause: invalid}
		}
		if err == io.EOF && isEventStream {
			// A body without a type that has no event may be no stream, so that it does not complete one.
			rest, broken := s.end(isFramed(resp) && (declared || !resumed))
			if broken != nil {
				err = broken
			} else if failure := c.writeBody(rest, slot); failure != nil {
				return failure
			}
		}
		if err == io.EOF {
			if !isEventStream {
				slot.Charge(c.reportedTokens(resp, slot.Endpoint))
			}
			return nil
		}
		if err != nil {
			return &endpoint.Failure{Endpoint: slot.Endpoint, Reason: fleet.ReasonEndpointFailed, Reached: true, Cause: err}
		}
	}
}

// noEventCounter returns a function that counts the blocks without an event of one response. The
// first one is a step of the request: an endpoint may send them without end.
func (c *call) noEventCounter(endpoint string) func(stream.Kind) {
	recorded := false
	return func(kind stream.Kind) {
		if !recorded {
			recorded = true
			c.recordStep("block without event", string(kind)+" of "+endpoint)
		}
		if c.h.Metrics != nil {
			metrics.GetOrRegisterCounter("streams.noevent."+string(kind), c.h.Metrics).Inc(1)
		}
	}
}

// isFramed reports whether a response states where its body ends; otherwise it ends with its
// connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// writeHeader sends the status and the headers to the caller if no earlier attempt
// has sent them.
func (c *call) writeHeader(resp *http.Response) {
	if c.responseStarted {
		return
	}
	c.responseStarted = true
	if c.recorder != nil {
		c.recorder.begin(resp)
	}
	header := c.w.Header()
	for name, values := range resp.Header {
		if slices.Contains(hopByHopHeaders, name) || name == HeaderRequestID || name == endpoint.HeaderLeaving {
			continue
		}
		header[name] = values
	}
	header.Del("Content-Length")
	keepTypeMissing(header)
	header.Set("Trailer", HeaderOutcome)
	c.w.WriteHeader(resp.StatusCode)
}

// keepTypeMissing keeps net/http from guessing the Content-Type of a response without one.
func keepTypeMissing(header http.Header) {
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
}

func (c *call) writeBody(p []byte, slot *dispatch.Slot) *endpoint.Failure {
	if c.recorder != nil {
		c.recorder.add(p)
	}
	if _, err := c.w.Write(p); err != nil {
		return &endpoint.Failure{Endpoint: slot.Endpoint, Reason: fleet.ReasonCancelled, Reached: true, Cause: err}
	}
	return nil
}

// reportedTokens returns the tokens that a response which is not an event stream is charged for.
func (c *call) reportedTokens(resp *http.Response, from string) float64 {
	tokens, err := endpoint.ReportedTokens(resp.Header)
	if err != nil {
		c.recordStep("tokens not charged", from+": "+err.Error())
	}
	return tokens
}

func (c *call) finish() {
	if c.ticket != nil {
		c.ticket.Done(c.recorder.recorded())
	}
	c.writeOutcomeTrailer(fleet.OutcomeRan, "")
}

// recorder stores a response, to be replayed to requests with the same idempotency
// key.
type recorder struct {
	after    string // the Last-Event-ID of the request
	response claim.Answer
	tooLarge bool
}

func (r *recorder) begin(resp *http.Response) {
	header := resp.Header.Clone()
	removeHopByHopHeaders(header)
	header.Del("Content-Length")
	header.Del(endpoint.HeaderLeaving)
	r.response = claim.Answer{Status: resp.StatusCode, Header: header, After: r.after}
}

func (r *recorder) add(p []byte) {
	if len(r.response.Body)+len(p) > claim.MaxAnswerBytes {
		r.tooLarge = true
		r.response.Body = nil
	}
	if !r.tooLarge {
		r.response.Body = append(r.response.Body, p...)
	}
}

func (r *recorder) recorded() *claim.Answer {
	r.response.Complete = !r.tooLarge
	return &r.response
}
