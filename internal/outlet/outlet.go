// Package outlet wraps the connections of callers so that writing to one that reads slowly does not
// block as long as there is room for what it leaves unread. While a caller keeps up, a write is one
// attempt on the connection itself; the first one that the connection has no room for starts a
// goroutine, which writes until the caller has caught up.
package outlet

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/greengagestep/greengagestep/internal/backlog"
)

const (
	// Unread bytes are held in pieces: the first smallPieces of a caller have smallBytes, since most
	// callers fall behind by little, all others largeBytes.
	smallPieces = 4
	smallBytes  = 4 << 10
	largeBytes  = 32 << 10
	// attemptTime bounds an attempt on a connection that is no socket.
	attemptTime = time.Millisecond
	// closeTime bounds the writing of what is left when the server closes the connection.
	closeTime = 3 * backlog.ReadTimeout
)

// GivenUp is the error of a connection whose caller was given up.
type GivenUp backlog.Reason

// Error implements error.
func (g GivenUp) Error() string { return "caller was given up: " + string(g) }

// smallPool and largePool hold pieces of smallBytes and largeBytes, of type *piece.
var (
	smallPool = sync.Pool{New: func() any { return &piece{buf: make([]byte, smallBytes)} }}
	largePool = sync.Pool{New: func() any { return &piece{buf: make([]byte, largeBytes)} }}
)

// piece is a buffer of which bytes from start to end are unread.
type piece struct {
	buf        []byte
	start, end int
}

// pool returns the pool of pieces of a size.
func pool(bytes int) *sync.Pool {
	if bytes == smallBytes {
		return &smallPool
	}
	return &largePool
}

// Conn is the connection of a caller. Writes are ordered, and what was written before Close is still
// delivered after it, within closeTime. SetWriteDeadline has no effect. It is safe for concurrent use.
type Conn struct {
	net.Conn
	account  *backlog.Account
	onGiveUp func(customer string, reason backlog.Reason)
	raw      syscall.RawConn    // nil if the connection is no socket
	write    func(uintptr) bool // tries to write attempt
	attempt  []byte
	n        int
	fault    error
	delay    delay

	mu       sync.Mutex
	changed  sync.Cond // when pieces are removed or err is set
	reader   backlog.Reader
	customer string
	pieces   []*piece // what is unread; while there are any, a goroutine writes them
	writing  bool
	closing  time.Time // until when pieces are written although the server closed the connection; zero before
	closed   func()    // called when pieces are no longer written after that; nil for none
	err      error     // of all further writes
}

// New wraps a connection. onGiveUp is called when its caller is given up, with the customer of the
// last request; it must not block. Nil means no callback.
func New(c net.Conn, account *backlog.Account, onGiveUp func(customer string, reason backlog.Reason)) *Conn {
	o := &Conn{Conn: c, account: account, onGiveUp: onGiveUp, delay: delay{accepted: time.Now()}}
	o.changed.L = &o.mu
	o.reader.GiveUp = o.giveUp
	if sc, ok := c.(syscall.Conn); ok {
		// An error means that the connection is closed, which the first write reports.
		if raw, err := sc.SyscallConn(); err == nil {
			o.raw, o.write = raw, o.writeSocket
		}
	}
	return o
}

// connKey is the context key of a request's connection.
type connKey struct{}

// NewContext returns a context that holds a connection. It is meant for http.Server.ConnContext.
func NewContext(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection of a request, or nil if there is none.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Assign sets the customer for whom the connection is used from now on.
func (c *Conn) Assign(customer string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.customer != customer {
		c.customer = customer
		c.account.Assign(&c.reader, customer)
	}
}

// Write writes p, or holds what the connection has no room for. It blocks while the caller holds as much
// as it may.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	n := 0
	if !c.writing {
		var err error
		if n, err = c.try(p); err != nil {
			c.fail(err)
			return n, err
		}
	}
	for n < len(p) {
		m, err := c.hold(p[n:])
		if err != nil {
			return n, err
		}
		n += m
	}
	return n, nil
}

// try writes what the connection has room for.
func (c *Conn) try(p []byte) (int, error) {
	if c.raw == nil {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(attemptTime)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Write(p)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
		}
		return n, err
	}
	c.attempt, c.n, c.fault = p, 0, nil
	err := c.raw.Write(c.write)
	c.attempt = nil
	if err == nil {
		err = c.fault
	}
	return c.n, err
}

// writeSocket makes one attempt and does not wait for room.
func (c *Conn) writeSocket(fd uintptr) bool {
	for {
		n, err := unix.Write(int(fd), c.attempt)
		switch {
		case err == nil:
			c.n = n
		case errors.Is(err, unix.EINTR):
			continue
		case !errors.Is(err, unix.EAGAIN):
			c.fault = os.NewSyscallError("write", err)
		}
		return true
	}
}

// hold copies a part of p into a piece and returns its size. The caller holds c.mu.
func (c *Conn) hold(p []byte) (int, error) {
	if last := len(c.pieces) - 1; last >= 0 && c.pieces[last].end < len(c.pieces[last].buf) {
		n := copy(c.pieces[last].buf[c.pieces[last].end:], p)
		c.pieces[last].end += n
		return n, nil
	}
	size := smallBytes
	if len(c.pieces) >= smallPieces {
		size = largeBytes
	}
	for {
		ok, victims := c.account.Hold(&c.reader, int64(size), time.Now())
		for _, v := range victims {
			if v.Reader == &c.reader {
				c.giveUpLocked(v.Reason)
				continue
			}
			// It may be waiting for the lock of this connection.
			go v.Reader.GiveUp(v.Reason)
		}
		if c.err != nil {
			return 0, c.err
		}
		if ok {
			break
		}
		if !c.closing.IsZero() {
			return 0, net.ErrClosed
		}
		c.changed.Wait()
		if c.err != nil {
			return 0, c.err
		}
	}
	next := pool(size).Get().(*piece)
	next.start, next.end = 0, copy(next.buf, p)
	c.pieces = append(c.pieces, next)
	if !c.writing {
		c.writing = true
		go c.writePieces()
	}
	return next.end, nil
}

// writePieces writes what is unread until there is nothing left.
func (c *Conn) writePieces() {
	c.mu.Lock()
	queued, movedAt := c.Unacknowledged(), time.Now()
	for c.err == nil && len(c.pieces) > 0 {
		first := c.pieces[0]
		unread := first.buf[first.start:first.end]
		deadline := time.Now().Add(readCheckInterval)
		for _, end := range []time.Time{movedAt.Add(backlog.ReadTimeout), c.closing} {
			if !end.IsZero() && end.Before(deadline) {
				deadline = end
			}
		}
		c.mu.Unlock()
		// An error means that the connection is closed, which the write reports.
		_ = c.Conn.SetWriteDeadline(deadline)
		n, err := c.Conn.Write(unread)
		c.mu.Lock()
		if c.err != nil {
			break
		}
		c.advance(first, n)
		left, now := c.Unacknowledged(), time.Now()
		if n > 0 || left < queued {
			movedAt = now
		}
		queued = left
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && now.Sub(movedAt) < backlog.ReadTimeout && (c.closing.IsZero() || now.Before(c.closing)):
			// The caller reads, if slowly, or may still do so.
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.giveUpLocked(backlog.ReasonStalled)
		case err != nil:
			c.fail(err)
		}
	}
	c.writing = false
	if c.err == nil {
		_ = c.Conn.SetWriteDeadline(time.Time{})
	}
	closed := c.closed
	if !c.closing.IsZero() {
		_ = c.Conn.Close()
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	if closed != nil {
		closed()
	}
}

// readCheckInterval is how often it is checked whether a caller that has fallen behind reads: the kernel
// tells room for more only in large steps.
const readCheckInterval = time.Second

// acknowledger is a connection that knows how many bytes its peer has not acknowledged.
type acknowledger interface {
	Unacknowledged() int
}

// Unacknowledged returns how many bytes the socket still holds for the caller; zero if it does not tell.
func (c *Conn) Unacknowledged() int {
	if a, ok := c.Conn.(acknowledger); ok {
		return a.Unacknowledged()
	}
	n := 0
	if c.raw != nil {
		// An error means that the connection is closed.
		_ = c.raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	}
	return n
}

// advance records that n bytes of the first piece were read. The caller holds c.mu.
func (c *Conn) advance(first *piece, n int) {
	first.start += n
	freed := 0
	if first.start == first.end {
		freed = len(first.buf)
		c.pieces[0] = nil
		c.pieces = c.pieces[1:]
		pool(len(first.buf)).Put(first)
	}
	c.account.Read(&c.reader, int64(n), int64(freed), time.Now())
	c.changed.Broadcast()
}

// fail makes all further writes fail. The caller holds c.mu.
func (c *Conn) fail(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	// The first piece may be in use by a write.
	c.pieces = nil
	c.account.Drop(&c.reader)
	c.changed.Broadcast()
}

func (c *Conn) giveUp(reason backlog.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveUpLocked(reason)
}

func (c *Conn) giveUpLocked(reason backlog.Reason) {
	if c.err != nil {
		return
	}
	c.fail(GivenUp(reason))
	if t, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Conn.Close()
	if c.onGiveUp != nil {
		c.onGiveUp(c.customer, reason)
	}
}

// Await blocks until the caller has read what was written, as far as the connection knows. It returns the
// error of the connection, or the cause of ctx if that ends first.
func (c *Conn) Await(ctx context.Context) error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing || c.err != nil {
		return c.err
	}
	stop := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	})
	defer stop()
	for c.writing && c.err == nil {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		c.changed.Wait()
	}
	return c.err
}

// Behind reports whether the caller has something to read, or writing failed.
func (c *Conn) Behind() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing || c.err != nil
}

// Closed reports whether the caller has closed the connection, also if nobody has read so far. It is
// false if the connection does not tell.
func (c *Conn) Closed() bool {
	if c == nil || c.raw == nil {
		return false
	}
	closed := false
	var next [1]byte
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
	})
	return closed || err != nil
}

// Err returns the error of all further writes, nil if there is none.
func (c *Conn) Err() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close closes the connection once the caller has read what is left, within closeTime.
func (c *Conn) Close() error {
	c.mu.Lock()
	if c.writing && c.err == nil {
		defer c.mu.Unlock()
		if c.closing.IsZero() {
			c.closing = time.Now().Add(closeTime)
			c.changed.Broadcast()
		}
		return nil
	}
	c.fail(net.ErrClosed)
	c.mu.Unlock()
	return c.Conn.Close()
}

// AfterClose calls f once the socket of a connection that the server has closed is closed too: at once unless something is
// left to write. It must be called once at most.
func (c *Conn) AfterClose(f func()) {
	c.mu.Lock()
	writing := c.writing
	if writing {
		c.closed = f
	}
	c.mu.Unlock()
	if !writing {
		f()
	}
}

// CloseWrite shuts down the writing side, if the connection can, unless there is something left to write.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		return nil
	}
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetDeadline sets the deadline for reads.
func (c *Conn) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

// SetWriteDeadline does nothing: the connection bounds its writes.
func (*Conn) SetWriteDeadline(time.Time) error { return nil }
