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

// Failure is the error for a call that got no response.
type Failure struct {
	Endpoint string
	Reason   fleet.Reason
	// Reached is set if a byte of the request may have reached the endpoint, so
	// that the endpoint may have executed the request.
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
	dialTimeout            = time.Second
	idleConnsPerHost       = 64
	idleConnTimeout        = 30 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// Dial connects to an address, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with connection pools of its own. A nil dial means
// net.Dialer with a timeout of one second.
func NewClient(dial Dial) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{transport: &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    idleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// opaqueBody hides the concrete type of a body from net/http. Otherwise the
// transport would retry a request with an Idempotency-Key and an empty body on a
// new connection, although the endpoint may have executed it.
type opaqueBody struct {
	io.ReadCloser
}

// Call sends a request to an endpoint. If idempotent is set, the transport may
// send the request again when an idle connection turns out to be closed. It
// returns a *Failure if there is no response.
func (c *Client) Call(ctx context.Context, name string, req *http.Request, idempotent bool) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req = req.WithContext(ctx)
	if !idempotent {
		req.GetBody = nil
		if req.Body == nil || req.Body == http.NoBody {
			req.Body = http.NoBody
			req.ContentLength = -1
		}
		req.Body = opaqueBody{req.Body}
	}
	resp, err := c.transport.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	f := &Failure{Endpoint: name, Reason: fleet.ReasonUnreachable, Reached: connected.Load(), Cause: err}
	if f.Reached {
		f.Reason = failureReason(err)
	}
	return nil, f
}

// failureReason returns fleet.ReasonEndpointFailed if the connection failed, and
// fleet.ReasonInvalidResponse if the endpoint responded with something that is not
// HTTP.
func failureReason(err error) fleet.Reason {
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || errors.Is(err, context.Canceled) {
		return fleet.ReasonEndpointFailed
	}
	return fleet.ReasonInvalidResponse
}
