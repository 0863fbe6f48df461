package upstream

import (
	"errors"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// bodyStallTime is how long an endpoint may take no byte of a long body: longer than a sound one pauses.
const bodyStallTime = 5 * time.Second

// bodyCheckInterval is how often it is checked whether the endpoint takes bytes of the body: the kernel tells
// room for more only in large steps.
const bodyCheckInterval = 500 * time.Millisecond

// steadyWriter writes to an endpoint as long as it keeps reading, and closes its connection otherwise:
// a request without a deadline would wait, and hold its body, for as long as the endpoint likes.
type steadyWriter struct{ conn *conn }

// Write writes p. It returns os.ErrDeadlineExceeded if none of it was taken for bodyStallTime.
func (w steadyWriter) Write(p []byte) (written int, err error) {
	c := w.conn.netConn
	// An error means that the connection is closed, which the next write on it reports.
	defer func() { _ = c.SetWriteDeadline(time.Time{}) }()
	queued, movedAt := w.conn.queued(), time.Now()
	for {
		deadline := time.Now().Add(bodyCheckInterval)
		if end := movedAt.Add(bodyStallTime); end.Before(deadline) && !w.conn.answered.Load() {
			deadline = end
		}
		if err := c.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.Write(p[written:])
		written += n
		stalled := errors.Is(err, os.ErrDeadlineExceeded)
		left, now := w.conn.queued(), time.Now()
		if n > 0 || left < queued {
			movedAt = now
		}
		queued = left
		if stalled && (now.Sub(movedAt) < bodyStallTime || w.conn.answered.Load()) {
			continue
		}
		if stalled {
			w.conn.abort()
		}
		return written, err
	}
}

// queued returns how many bytes the socket still holds for the endpoint; zero if it does not tell.
func (c *conn) queued() int {
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n
}
