// Package upstream sends requests to endpoints over pooled HTTP/1.1 connections. For
// each failed attempt it reports whether the endpoint may have received the request,
// and it accepts only the response that carries the ID of the request.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/greengagestep/greengagestep/internal/connection"
	"github.com/greengagestep/greengagestep/internal/head"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// defaultDialTimeout bounds the time to establish a connection: endpoints
	// in the region accept within milliseconds.
	defaultDialTimeout = 400 * time.Millisecond
	// keepAliveInterval is the time between two keepalive probes of a connection without
	// traffic; the kernel counts it in whole seconds. Connections whose peers acknowledge
	// none of keepAliveCount end: nothing else does where requests have no deadline.
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	// defaultIdleTimeout is how long an idle connection may be reused if the
	// endpoint does not state its own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that an endpoint states,
	// to leave time for the request to arrive.
	idleMargin = 500 * time.Millisecond
	// maxDiscardBytes bounds the bodies of responses to other requests that are
	// discarded to reach the expected response.
	maxDiscardBytes = 1 << 20
	// maxHeadBytes bounds the head of a response together with the informational
	// responses before it.
	maxHeadBytes = 64 << 10
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
)

// Failure is the error of an attempt that got no response.
type Failure struct {
	// Reached is set when a byte of the request may have reached the endpoint,
	// so that the endpoint may have executed the request.
	Reached bool
	Reason  fleet.Reason
	Cause   error
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("upstream: %s: %v", f.Reason, f.Cause) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the request target, byte for byte as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HeaderTimeout bounds the wait for the header of the response; zero means
	// that only the context does.
	HeaderTimeout time.Duration
	// Earlier holds the connections of earlier attempts of the same request; the one of this
	// attempt is added. Nil means that there are no other attempts.
	Earlier *Connections
	// Permit is called when a connection is ready, right before the request is sent; if it
	// returns an error, the request is not sent and the pool keeps the connection. Nil means that
	// it always is sent.
	Permit func() error
	// TimeLeft returns for how much longer the exchange may go on; zero or less ends it. It is called when
	// the request is sent, and again whenever the time that it returned has passed, by the goroutine that
	// reads the response. Nil means that only the context ends the exchange.
	TimeLeft func() time.Duration
	// OnHead is called with each head of a response as soon as it has arrived, also for
	// informational responses and responses to other requests. Nil means no callback.
	OnHead func(fleet.ResponseAttrs)
}

// Connections are the connections over which one request has been sent. An endpoint may send a
// second copy of an answer late, and the copy has the ID of the request: on a connection of an
// earlier attempt it could not be told from the answer to a later one. The zero value is empty. It
// is not safe for concurrent use.
type Connections struct {
	list []*conn
}

func (c *Connections) add(n *conn) {
	if c != nil {
		c.list = append(c.list, n)
	}
}

func (c *Connections) contains(n *conn) bool { return c != nil && slices.Contains(c.list, n) }

// Pool sends requests to endpoints and keeps idle connections to them for reuse.
// Exported fields must be set before the first call. It is safe for concurrent use.
type Pool struct {
	HeaderCodec fleet.HeaderCodec
	// Dial connects to an address; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial is called before each attempt to dial; nil means no callback.
	OnDial func(address string)

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection to an endpoint.
type conn struct {
	netConn    net.Conn
	reader     *bufio.Reader
	address    string
	reuseUntil time.Time // end of the time in which it may be reused
	// limited is set while bytes are read that no caller waits for, of which at most
	// remaining more are read: an endpoint may send bytes that are no response without
	// end.
	limited   bool
	remaining int
	// head checks the head that is being read.
	head head.Scanner
	// answered is set once the head of the response has arrived, after which the body may wait.
	answered atomic.Bool
	// timeLeft is that of the request, expired is set once it has ended the exchange.
	timeLeft func() time.Duration
	expired  bool
	// lastReads is set once the time is over and what has arrived is read.
	lastReads bool
}

var errTooManyBytes = errors.New("endpoint sent too many bytes before the response")

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	if !c.limited {
		return c.read(p)
	}
	if c.remaining <= 0 {
		return 0, errTooManyBytes
	}
	n, err := c.read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	_, _ = c.head.Write(p[:n])
	return n, err
}

// readHead reads the head of the next response to a request.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.head = head.Scanner{}
	// It never waits for what is buffered.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	_, _ = c.head.Write(buffered)
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return nil, err
	}
	if err := c.head.Err(); err != nil {
		return nil, err
	}
	return resp, head.Check(resp)
}

// Answer is an endpoint's response to one request. The caller must call Close.
type Answer struct {
	*http.Response
	Attrs fleet.ResponseAttrs
	// Framed is set when the response states where its body ends, by a length,
	// a transfer encoding or status 204; otherwise the body ends when the
	// connection closes.
	Framed bool
	// CloseConn is set to close the connection after the exchange even if it could be
	// reused, as for an endpoint that leaves.
	CloseConn bool

	pool          *Pool
	conn          *conn
	stopAfterFunc func() bool // stops closing the connection when the context is done
	writeResult   chan error
	bodyRead      bool
	notDelivered  atomic.Bool // the exchange was aborted because the request was not acknowledged
	once          sync.Once
}

// Send sends a request and waits for the header of the response with the given ID.
// The context bounds the whole exchange, including the body: when it is done, the
// connection is closed, so that the endpoint stops processing. It returns a *Failure if
// there is no response.
func (p *Pool) Send(ctx context.Context, address string, r Request, id string) (*Answer, error) {
	c, err := p.get(ctx, address, r.Earlier)
	if err != nil && ctx.Err() != nil {
		// The request ended; this says nothing about the endpoint.
		return nil, &Failure{Reason: fleet.ReasonCancelled, Cause: err}
	}
	if err != nil {
		return nil, &Failure{Reason: fleet.ReasonUnreachable, Cause: err}
	}
	if ctx.Err() != nil {
		p.put(c)
		return nil, &Failure{Reason: fleet.ReasonCancelled, Cause: context.Cause(ctx)}
	}
	if r.Permit != nil {
		if err := r.Permit(); err != nil {
			p.put(c)
			return nil, &Failure{Reason: fleet.ReasonNoEndpoint, Cause: err}
		}
	}
	r.Earlier.add(c)
	c.timeLeft = r.TimeLeft
	if c.timeLeft != nil && !c.extend() {
		return nil, &Failure{Reason: fleet.ReasonCancelled, Cause: os.ErrDeadlineExceeded}
	}
	a := &Answer{pool: p, conn: c}
	a.stopAfterFunc = context.AfterFunc(ctx, c.abort)
	if r.HeaderTimeout > 0 {
		t := time.AfterFunc(r.HeaderTimeout, a.Abandon)
		defer t.Stop()
	}
	defer a.watchDelivery().stop()
	a.writeResult = c.send(r)
	if err := a.readHeader(r, id); err != nil {
		a.Close()
		if a.notDelivered.Load() {
			err = errNotDelivered
		}
		reason := fleet.ReasonEndpointFailed
		if ctx.Err() != nil || c.expired {
			reason = fleet.ReasonCancelled
		} else if isInvalidResponse(err) {
			reason = fleet.ReasonInvalidResponse
		}
		return nil, &Failure{Reached: true, Reason: reason, Cause: err}
	}
	return a, nil
}

// readHeader waits for the header of the response with the given ID. It skips
// informational responses and discards responses to other requests.
func (a *Answer) readHeader(r Request, id string) error {
	req := &http.Request{Method: r.Method}
	a.conn.limited, a.conn.remaining = true, maxHeadBytes+maxDiscardBytes
	defer func() { a.conn.limited = false }()
	for {
		if namesChunksInHTTP10(a.conn.reader) {
			return errFraming
		}
		resp, err := a.conn.readHead(req)
		if err != nil {
			return err
		}
		attrs := a.pool.HeaderCodec.DecodeResponse(resp.StatusCode, resp.Header)
		if r.OnHead != nil {
			r.OnHead(attrs)
		}
		a.CloseConn = a.CloseConn || attrs.Leaving
		if resp.StatusCode < http.StatusOK {
			continue
		}
		a.Response, a.Attrs = resp, attrs
		a.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.StatusCode == http.StatusNoContent
		if a.Attrs.ID == id {
			a.conn.answered.Store(true)
			return nil
		}
		if !a.Framed || resp.Close {
			return errOtherRequest
		}
		if n, err := io.CopyN(io.Discard, resp.Body, maxDiscardBytes); err != io.EOF || n == maxDiscardBytes {
			return errOtherRequest
		}
	}
}

var errOtherRequest = errors.New("response belongs to another request")

// isInvalidResponse reports whether an error means that the response is malformed or
// belongs to another request, rather than that the connection broke.
func isInvalidResponse(err error) bool {
	if errors.Is(err, errOtherRequest) || errors.Is(err, errFraming) || errors.Is(err, errTooManyBytes) {
		return true
	}
	var netErr net.Error
	return !errors.Is(err, errNotDelivered) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &netErr) &&
		!errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE)
}

// Read reads the body of the response.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.bodyRead = true
	}
	return n, err
}

// Abandon aborts the exchange by closing the connection. It may be called at any time,
// from any goroutine.
func (a *Answer) Abandon() { a.conn.abort() }

// Close ends the exchange. The connection is returned to the pool only if the response
// was read to its end, the request was sent completely and the endpoint keeps the
// connection open; otherwise it is closed. Calls after the first have no effect.
func (a *Answer) Close() {
	a.once.Do(func() {
		active := a.stopAfterFunc()
		if active && a.bodyRead && a.Framed && !a.CloseConn && !a.Response.Close && a.requestSent() && a.conn.reader.Buffered() == 0 {
			a.conn.markReusable(a.Attrs.IdleTimeout)
			if a.conn.endTime() {
				a.pool.put(a.conn)
				return
			}
		}
		a.conn.abort()
	})
}

func (a *Answer) requestSent() bool {
	select {
	case err := <-a.writeResult:
		return err == nil
	default:
		return false
	}
}

// abort closes the connection of an exchange that has not ended with a reset. After a usual
// close the kernel would go on sending what the endpoint has not acknowledged, so that a request
// could reach it long after it was given up.
func (c *conn) abort() {
	if t, ok := c.netConn.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection is closed already.
		_ = t.SetLinger(0)
	}
	_ = c.netConn.Close()
}

func (c *conn) markReusable(idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.reuseUntil = time.Now().Add(max(idleTimeout-idleMargin, idleTimeout/2))
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// get returns the most recently used idle connection that is not excluded, or a new one.
func (p *Pool) get(ctx context.Context, address string, excluded *Connections) (*conn, error) {
	for {
		c := p.popIdle(address, excluded)
		if c == nil {
			break
		}
		if time.Now().Before(c.reuseUntil) && c.reusable() {
			return c, nil
		}
		_ = c.netConn.Close()
	}
	return p.dial(ctx, address)
}

func (p *Pool) popIdle(address string, excluded *Connections) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !excluded.contains(c) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Probe checks that a connection can be established, and keeps it in the pool for a
// request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultDialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		}}).DialContext
	}
	if p.OnDial != nil {
		p.OnDial(address)
	}
	n, err := connection.ReportReset(dial)(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &conn{netConn: n, address: address}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.markReusable(0)
	return c, nil
}

// reusable reports whether an idle connection is open and has no unread data: data that
// arrives on an idle connection belongs to no request.
func (c *conn) reusable() bool {
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var peek [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// Sweep closes idle connections that are past their idle timeout. It is meant to be
// called periodically.
func (p *Pool) Sweep(now time.Time) {
	p.closeIdle(func(c *conn) bool { return now.After(c.reuseUntil) })
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.closeIdle(func(c *conn) bool { return c.address == address })
}

// Close closes all idle connections.
func (p *Pool) Close() { p.closeIdle(func(*conn) bool { return true }) }

func (p *Pool) closeIdle(match func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if match(c) {
				_ = c.netConn.Close()
				continue
			}
			kept = append(kept, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}
