// Package upstream carries requests to endpoints over kept connections. It knows for
// each attempt whether the endpoint may have seen the request, and takes only the
// answer that belongs to it.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// defaultDialTimeout bounds a new connection: endpoints of the region
	// answer within milliseconds.
	defaultDialTimeout = 400 * time.Millisecond
	// silence is how long bytes may stay unacknowledged, and a quiet
	// connection without a sign of life, before it counts as broken.
	silence = 1500 * time.Millisecond
	// defaultIdle is how long an idle connection is used again if the
	// endpoint does not say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is kept from the time that an endpoint names, for the way of
	// the request.
	idleMargin = 500 * time.Millisecond
	// inlineBody is the largest body that is sent before the answer is read;
	// longer ones may fill the window of a connection that nobody reads.
	inlineBody = 8 << 10
	// maxStray bounds the bytes of an answer to somebody else that are read
	// away to reach the own one.
	maxStray = 1 << 20
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
)

// Failure reports an attempt that brought no answer.
type Failure struct {
	// Reached is set when a byte of the request may have reached the endpoint,
	// so that it may have run.
	Reached bool
	Reason  fleet.Reason
	Cause   error
}

// Error implements error.
func (f *Failure) Error() string { return fmt.Sprintf("upstream: %s: %v", f.Reason, f.Cause) }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// Request is what is sent.
type Request struct {
	Method string
	// Target is the request target, as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HeaderTimeout bounds the wait for the headers of the answer; zero means that
	// only the context does.
	HeaderTimeout time.Duration
}

// Pool keeps connections to endpoints. Exported fields are set before the first
// call. It is safe for concurrent use.
type Pool struct {
	Dialect fleet.Dialect
	// Dial connects to an address; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial is called for each new connection; nil is allowed.
	OnDial func(address string)

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection to an endpoint.
type conn struct {
	net     net.Conn
	reader  *bufio.Reader
	address string
	reused  bool
	until   time.Time // when it is too old to be used again
}

// Answer is an endpoint's answer to one request. Close must be called.
type Answer struct {
	*http.Response
	Reply fleet.Reply
	// Framed is set when the answer states where it ends; one that is not
	// ends with its connection.
	Framed bool

	pool  *Pool
	conn  *conn
	stop  func() bool
	sent  chan error
	whole bool
	once  sync.Once
}

// Send sends a request and waits for the headers of its own answer. The context
// bounds the whole exchange; when it is done the connection is closed, so that the
// endpoint stops. It returns a *Failure if there is no answer.
func (p *Pool) Send(ctx context.Context, address string, r Request, id string) (*Answer, error) {
	c, err := p.take(ctx, address)
	if err != nil {
		return nil, &Failure{Reason: fleet.ReasonUnreachable, Cause: err}
	}
	if ctx.Err() != nil {
		p.put(c)
		return nil, &Failure{Reason: fleet.ReasonCancelled, Cause: context.Cause(ctx)}
	}
	a := &Answer{pool: p, conn: c}
	a.stop = context.AfterFunc(ctx, func() { _ = c.net.Close() })
	if r.HeaderTimeout > 0 {
		t := time.AfterFunc(r.HeaderTimeout, a.Abandon)
		defer t.Stop()
	}
	a.sent = c.send(r)
	if err := a.read(r, id); err != nil {
		a.Close()
		reason := fleet.ReasonBroken
		if ctx.Err() != nil {
			reason = fleet.ReasonCancelled
		} else if garbage(err) {
			reason = fleet.ReasonGarbage
		}
		return nil, &Failure{Reached: true, Reason: reason, Cause: err}
	}
	return a, nil
}

// send writes a request. Short ones are written at once, long ones beside the
// reading of the answer, which may come first.
func (c *conn) send(r Request) chan error {
	req := &http.Request{
		Method: r.Method, URL: target(r.Target), Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: http.NoBody, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// Keeps the library from adding its own name.
		r.Header["User-Agent"] = []string{""}
	}
	sent := make(chan error, 1)
	if len(r.Body) <= inlineBody {
		sent <- req.Write(c.net)
		return sent
	}
	go func() { sent <- req.Write(c.net) }()
	return sent
}

// target keeps the bytes of a request target as they are.
func target(raw string) *url.URL {
	if strings.HasPrefix(raw, "/") && !strings.HasPrefix(raw, "//") {
		path, query, found := strings.Cut(raw, "?")
		return &url.URL{Opaque: path, RawQuery: query, ForceQuery: found && query == ""}
	}
	u, err := url.ParseRequestURI(raw)
	if err != nil {
		return &url.URL{Path: raw}
	}
	return u
}

// read waits for the answer with an ID and reads away those of others.
func (a *Answer) read(r Request, id string) error {
	req := &http.Request{Method: r.Method}
	for {
		resp, err := http.ReadResponse(a.conn.reader, req)
		if err != nil {
			return err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		a.Response = resp
		a.Reply = a.pool.Dialect.Reply(resp.StatusCode, resp.Header)
		a.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.StatusCode == http.StatusNoContent
		if a.Reply.ID == id {
			return nil
		}
		if !a.Framed || resp.Close {
			return errForeign
		}
		if n, err := io.CopyN(io.Discard, resp.Body, maxStray); err != io.EOF || n == maxStray {
			return errForeign
		}
	}
}

var errForeign = errors.New("the answer belongs to another request")

// garbage tells answers that are not the endpoint's from broken connections.
func garbage(err error) bool {
	if errors.Is(err, errForeign) {
		return true
	}
	var netErr net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.As(err, &netErr) &&
		!errors.Is(err, net.ErrClosed) && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE)
}

// Read reads the body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Abandon breaks the exchange off. It may be called at any time, from any goroutine.
func (a *Answer) Abandon() { _ = a.conn.net.Close() }

// Close ends the exchange. The connection is kept only if the answer was read to
// its end and the request was sent whole.
func (a *Answer) Close() {
	a.once.Do(func() {
		running := a.stop()
		if running && a.whole && a.Framed && !a.Response.Close && a.done() && a.conn.reader.Buffered() == 0 {
			a.conn.keep(a.Reply.Idle)
			a.pool.put(a.conn)
			return
		}
		_ = a.conn.net.Close()
	})
}

func (a *Answer) done() bool {
	select {
	case err := <-a.sent:
		return err == nil
	default:
		return false
	}
}

func (c *conn) keep(idle time.Duration) {
	if idle == 0 {
		idle = defaultIdle
	}
	c.until = time.Now().Add(max(idle-idleMargin, idle/2))
	c.reused = true
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// take returns the connection that was used last, or a new one.
func (p *Pool) take(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		_ = c.net.Close()
	}
	return p.dial(ctx, address)
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Probe tries to make a connection, and keeps it for a request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	c.keep(0)
	p.put(c)
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultDialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: silence / 2, Interval: silence / 4, Count: 2,
		}}).DialContext
	}
	if p.OnDial != nil {
		p.OnDial(address)
	}
	n, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if t, ok := n.(*net.TCPConn); ok {
		watchful(t)
	}
	return &conn{net: n, reader: bufio.NewReaderSize(n, readBuffer), address: address}, nil
}

// watchful makes the kernel report a peer that has gone silent.
func watchful(t *net.TCPConn) {
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	// A connection without these options works; only silence is found later.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
}

// quiet reports whether an idle connection is open and has nothing to read: bytes
// that nobody asked for belong to no request.
func (c *conn) quiet() bool {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// Sweep closes idle connections that are too old. Call it now and then.
func (p *Pool) Sweep(now time.Time) {
	p.drop(func(c *conn) bool { return now.After(c.until) })
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.drop(func(c *conn) bool { return c.address == address })
}

// Close closes all idle connections.
func (p *Pool) Close() { p.drop(func(*conn) bool { return true }) }

func (p *Pool) drop(old func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if old(c) {
				_ = c.net.Close()
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
