package link

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"
)

const (
	// idleTime is how long a link without a request is kept open by the side that sends them:
	// instances of a fleet exchange messages more often, also where they are no neighbors.
	idleTime = 20 * time.Second
	// acceptedIdleTime is how long the other side keeps it open, longer so that no request is
	// sent on a link that is being closed.
	acceptedIdleTime = 3 * idleTime
)

var errIdle = errors.New("link: closed without requests for a while")

// idleReader waits for frames on a link. It is not safe for concurrent use.
type idleReader struct {
	*bufio.Reader
	conn net.Conn
	// limit is how long the link may be without a frame, and at least three quarters of it.
	limit time.Duration
	// keep is called when it was without one and reports whether it is kept open for another
	// limit; nil means that it is not.
	keep func() bool

	extendedAt time.Time // when the deadline was last set
}

// next reads the next frame. If the link is idle for too long, it returns os.ErrDeadlineExceeded.
func (r *idleReader) next() (frame, error) {
	for {
		r.extend()
		_, err := r.Peek(1)
		if err == nil {
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || r.keep == nil || !r.keep() {
			return frame{}, err
		}
		r.extendedAt = time.Time{}
	}
	r.extend()
	return readFrame(r.Reader)
}

// extend sets the deadline anew unless that was done lately. An error means that the connection is
// closed, which the next read reports.
func (r *idleReader) extend() {
	now := time.Now()
	if now.Sub(r.extendedAt) < r.limit/4 {
		return
	}
	r.extendedAt = now
	_ = r.conn.SetReadDeadline(now.Add(r.limit))
}
