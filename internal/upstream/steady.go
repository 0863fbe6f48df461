package upstream

import (
	"errors"
	"os"
	"time"
)

// bodyStallTime is how long an endpoint may take no byte of a long body: longer than a sound one pauses.
const bodyStallTime = 5 * time.Second

// steadyWriter writes to an endpoint as long as it keeps reading, and closes its connection otherwise:
// a request without a deadline would wait, and hold its body, for as long as the endpoint likes.
type steadyWriter struct{ conn *conn }

// Write writes p. It returns os.ErrDeadlineExceeded if none of it was taken for bodyStallTime.
func (w steadyWriter) Write(p []byte) (written int, err error) {
	c := w.conn.netConn
	// An error means that the connection is closed, which the next write on it reports.
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	for {
		if err := c.SetWriteDeadline(time.Now().Add(bodyStallTime)); err != nil {
			return written, err
		}
		n, err := c.Write(p[written:])
		written += n
		stalled := errors.Is(err, os.ErrDeadlineExceeded)
		if stalled && n > 0 {
			continue
		}
		if stalled {
			w.conn.abort()
		}
		return written, err
	}
}
