package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagestep/greengagestep/internal/connection"
	"github.com/greengagestep/greengagestep/internal/head"
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
	// Permit is asked once more when a connection to an endpoint was made for a request,
	// which may take a while. It returns a *Withheld to forbid the call. Nil permits all.
	Permit func(endpoint string) error

	dial  Dial
	mu    sync.Mutex
	pools map[string]*pool // by address
}

// pool holds the connections to one address.
type pool struct {
	*head.Transport
	retired atomic.Bool
}

// Dial connects to an address, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with connection pools of its own. A nil dial means
// net.Dialer with a timeout of one second.
func NewClient(dial Dial) *Client {
	if dial == nil {
		dial = Dial(connection.ResetOnClose((&net.Dialer{Timeout: dialTimeout}).DialContext))
	}
	return &Client{dial: dial, pools: map[string]*pool{}}
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = &pool{Transport: head.NewTransport(&http.Transport{
			DialContext:            c.dialPermitted,
			MaxIdleConnsPerHost:    idleConnsPerHost,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		})}
		c.pools[address] = p
	}
	return p
}

// expiryKey is the context key of the time until which a request may be begun.
type expiryKey struct{}

// WithExpiry returns a context for Call whose request is begun before a time or not at all: Call returns
// a *Withheld if there is no connection by then. A zero time means that there is no such limit.
func WithExpiry(ctx context.Context, expires time.Time) context.Context {
	if expires.IsZero() {
		return ctx
	}
	return context.WithValue(ctx, expiryKey{}, expires)
}

func errStartExpired(name string) *Withheld {
	return &Withheld{Endpoint: name, Verdict: Verdict{Reason: ReasonCold, Source: SourceHome}}
}

// endpointKey is the context key of the name of the endpoint that is called.
type endpointKey struct{}

func (c *Client) dialPermitted(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, address)
	if err != nil || c.Permit == nil {
		return conn, err
	}
	name, _ := ctx.Value(endpointKey{}).(string)
	err = c.Permit(name)
	if expires, ok := ctx.Value(expiryKey{}).(time.Time); err == nil && ok && time.Now().After(expires) {
		err = errStartExpired(name)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// Retire closes the connections to an address that are idle, and those in use once they
// are no longer. Later calls use new ones.
func (c *Client) Retire(address string) {
	c.retire(func(other string) bool { return other == address })
}

// Retain retires all addresses but the given ones.
func (c *Client) Retain(addresses map[string]bool) {
	c.retire(func(other string) bool { return !addresses[other] })
}

func (c *Client) retire(isRetired func(address string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if isRetired(address) {
			delete(c.pools, address)
			p.retired.Store(true)
			p.CloseIdleConnections()
		}
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.CloseIdleConnections()
	}
}

// opaqueBody hides the concrete type of a body from net/http. Otherwise the
// transport would retry a request with an Idempotency-Key and an empty body on a
// new connection, although the endpoint may have executed it.
type opaqueBody struct {
	io.ReadCloser
}

// Call sends a request to an endpoint. If idempotent is set, the transport may
// send the request again when an idle connection turns out to be closed. It
// returns a *Failure if there is no response, and a *Withheld if Permit forbids the
// call.
func (c *Client) Call(ctx context.Context, name string, req *http.Request, idempotent bool) (*http.Response, error) {
	var connected atomic.Bool
	p := c.pool(req.URL.Host)
	if expires, ok := ctx.Value(expiryKey{}).(time.Time); ok {
		var expire context.CancelCauseFunc
		ctx, expire = context.WithCancelCause(ctx)
		timer := time.AfterFunc(time.Until(expires), func() {
			if !connected.Load() {
				expire(errStartExpired(name))
			}
		})
		defer timer.Stop()
	}
	ctx = httptrace.WithClientTrace(context.WithValue(ctx, endpointKey{}, name), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
		PutIdleConn: func(error) {
			if p.retired.Load() {
				p.CloseIdleConnections()
			}
		},
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
	resp, err := p.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	var withheld *Withheld
	if errors.As(err, &withheld) || !connected.Load() && errors.As(context.Cause(ctx), &withheld) {
		return nil, withheld
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
