package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Failure reports an attempt that did not bring an answer.
type Failure struct {
	Endpoint string
	Reason   fleet.Reason
	// Reached is set when a byte of the request may have reached the endpoint,
	// so that it may have been executed.
	Reached bool
	Cause   error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("endpoint: call to %s failed (%s): %v", f.Endpoint, f.Reason, f.Cause)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

const (
	dialTimeout      = time.Second
	idleConnsPerHost = 64
	idleConnTimeout  = 30 * time.Second
	maxAnswerHeader  = 64 << 10
)

// Caller carries requests to endpoints. It is safe for concurrent use.
type Caller struct {
	transport *http.Transport
}

// Dial connects to an address, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewCaller returns a caller with connection pools of its own. A nil dial means
// net.Dialer with a timeout of one second.
func NewCaller(dial Dial) *Caller {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Caller{transport: &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}}
}

// Close drops the idle connections.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }

// onceBody hides the concrete type of a body from net/http. The transport would
// otherwise repeat a request that has an Idempotency-Key and an empty body on a
// new connection, although the endpoint may have executed it.
type onceBody struct {
	io.ReadCloser
}

// Call sends a request to an endpoint. Repeat tells that the request is
// idempotent, so that the transport may send it again when an idle connection
// turns out to be closed. It returns a *Failure if there is no answer.
func (c *Caller) Call(ctx context.Context, name string, req *http.Request, repeat bool) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req = req.WithContext(ctx)
	if !repeat {
		req.GetBody = nil
		if req.Body == nil || req.Body == http.NoBody {
			req.Body = http.NoBody
			req.ContentLength = -1
		}
		req.Body = onceBody{req.Body}
	}
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	f := &Failure{Endpoint: name, Reason: fleet.ReasonUnreachable, Reached: connected.Load(), Cause: err}
	if f.Reached {
		f.Reason = broken(err)
	}
	return nil, f
}

// broken tells an endpoint that broke off from one that answered something that
// is not HTTP.
func broken(err error) fleet.Reason {
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || errors.Is(err, context.Canceled) {
		return fleet.ReasonEndpointFailed
	}
	return fleet.ReasonInvalidResponse
}
