package connection

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReportReset returns a dial function whose TCP connections report a reset to reads as well. The kernel reports it only
// once: if a concurrent write gets it, reads see io.EOF, and a response that ends with its connection looks complete.
func ReportReset(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return reportReset(c)
	}
}

func reportReset(c net.Conn) (net.Conn, error) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		_ = t.Close()
		return nil, err
	}
	return &tcpConn{Conn: t, raw: raw}, nil
}

// tcpConn is a TCP connection whose writes do not hide from reads that it has failed. It embeds only net.Conn, since
// ReadFrom of net.TCPConn would bypass Write.
type tcpConn struct {
	net.Conn
	raw syscall.RawConn

	// mu is held during the system call of a write: a read that sees the effect of an error on the socket finds failed
	// set.
	mu     sync.Mutex
	failed error // of the first write that failed; nil for EPIPE, with which the peer's FIN may have come first
}

// Read implements net.Conn. It returns the error of a failed write instead of io.EOF.
func (c *tcpConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.failed != nil {
			err = c.opError("read", c.failed)
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *tcpConn) Write(p []byte) (written int, err error) {
	var failure error
	err = c.raw.Write(func(fd uintptr) (done bool) {
		var n int
		n, done, failure = c.writeSocket(int(fd), p[written:])
		written += n
		return done
	})
	if failure != nil {
		err = c.opError("write", failure)
	}
	return written, err
}

// writeSocket writes as much as the socket has room for. It returns false if there is more to write and no error.
func (c *tcpConn) writeSocket(fd int, p []byte) (written int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for written < len(p) {
		n, err := unix.Write(fd, p[written:])
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return written, false, nil
		case err != nil:
			// On a connection that the peer has closed in order, a reset is reported as EPIPE.
			if c.failed == nil && err != unix.EPIPE {
				c.failed = err
			}
			return written, true, err
		default:
			written += n
		}
	}
	return written, true, nil
}

func (c *tcpConn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(op, err)}
}

// SyscallConn implements syscall.Conn.
func (c *tcpConn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// SetLinger is that of net.TCPConn.
func (c *tcpConn) SetLinger(seconds int) error { return c.Conn.(*net.TCPConn).SetLinger(seconds) }
