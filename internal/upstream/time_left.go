package upstream

import (
	"errors"
	"os"
	"time"
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

// extend lets the exchange go on for the time that is left. If there is none, it closes the connection and
// returns false.
func (c *conn) extend() bool {
	left := c.timeLeft()
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
	c.timeLeft = nil
	return c.netConn.SetReadDeadline(time.Time{}) == nil
}
