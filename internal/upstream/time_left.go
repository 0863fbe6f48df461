package upstream

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The connection itself ends an exchange whose time is over: the runtime wakes its reader, which closes it. A
// context takes three goroutines for that one after the other, each of which waits for the processor.

// read reads from the connection while time is left.
func (c *conn) read(p []byte) (int, error) {
	for {
		n, err := c.netConn.Read(p)
		if n > 0 || c.timeLeft == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
			return n, err
		}
	}
}

// readyTime is how long the reads of what has arrived may take in all.
const readyTime = 20 * time.Millisecond

// unreader is a connection that knows whether it holds data that has not been read.
type unreader interface {
	Unread() bool
}

// unread reports whether the socket holds data that has not been read; false if it does not tell.
func (c *conn) unread() bool {
	if u, ok := c.netConn.(unreader); ok {
		return u.Unread()
	}
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var peek [1]byte
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) { n, _, _ = unix.Recvfrom(int(fd), peek[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) })
	return n > 0
}

// extend lets the exchange go on for the time that is left. If there is none, it closes the connection and
// returns false.
func (c *conn) extend() bool {
	left := c.timeLeft()
	if left <= 0 && !c.lastReads && c.unread() {
		// What has arrived is not thrown away because its reader was late.
		c.lastReads, left = true, readyTime
	}
	if left > 0 {
		// An error means that the connection is closed, which the next use reports.
		_ = c.netConn.SetReadDeadline(time.Now().Add(left))
		return true
	}
	c.expired = true
	c.abort()
	return false
}

// endTime makes reads wait without limit again. It reports whether the connection can be used further.
func (c *conn) endTime() bool {
	if c.timeLeft == nil {
		return true
	}
	c.timeLeft, c.lastReads = nil, false
	return c.netConn.SetReadDeadline(time.Time{}) == nil
}
