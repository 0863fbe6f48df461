package outlet

import "time"

// promptRead is how long a read takes at most that finds what it reads.
const promptRead = 2 * time.Millisecond

// delay is how long the first bytes from a caller have waited since its connection was accepted.
type delay struct {
	accepted time.Time
	read     bool
	waited   time.Duration
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.delay.read {
		return c.Conn.Read(p)
	}
	began := time.Now()
	n, err := c.Conn.Read(p)
	c.delay.read = true
	if n > 0 && time.Since(began) < promptRead {
		c.delay.waited = began.Sub(c.delay.accepted)
	}
	return n, err
}

// TakeDelay returns for how long a request had waited in this process when its first byte was read: beside a processor that lags,
// a connection that is new waits for its goroutine once more. It is zero for all but the first request of a connection.
// It must be called by the request's handler.
func (c *Conn) TakeDelay() time.Duration {
	if c == nil {
		return 0
	}
	waited := c.delay.waited
	c.delay.waited = 0
	return waited
}
