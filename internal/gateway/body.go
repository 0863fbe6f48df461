package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// bodyReadTimeout is the time limit for reading a request body.
	bodyReadTimeout = 10 * time.Second
	// largeBodyBytes is the size from which a body is large: large ones leave a part of the
	// memory for bodies to the others.
	largeBodyBytes = 256 << 10
	// largeBodyShare is the fraction of that memory that large bodies may take.
	largeBodyShare = 2.0 / 3
	// unreadBodyTimeout bounds how long a response of the gateway itself waits for the rest of
	// a body, which the server reads before it responds on a connection that it keeps.
	unreadBodyTimeout = 100 * time.Millisecond
	// firstBodyBytes is the first buffer for a body of unknown length.
	firstBodyBytes = 8 << 10
)

// BodyMemory bounds the memory that the bodies of requests in progress take together. MaxBytes is
// set before the first request. The zero value has no bound. It is safe for concurrent use.
type BodyMemory struct {
	// MaxBytes is the bound; zero means none.
	MaxBytes int64

	used      atomic.Int64
	usedLarge atomic.Int64 // by large bodies
}

// Used returns how many bytes the bodies of requests in progress take.
func (m *BodyMemory) Used() int64 { return m.used.Load() }

// reserve takes n more bytes for a body that takes held already. It reports false, and takes none,
// if there are too few.
func (m *BodyMemory) reserve(held, n int64) bool {
	if m.MaxBytes == 0 {
		return true
	}
	if m.used.Add(n) > m.MaxBytes {
		m.used.Add(-n)
		return false
	}
	if held+n < largeBodyBytes {
		return true
	}
	if held < largeBodyBytes {
		// What was taken while the body was small counts from now on, too.
		n += held
	}
	if m.usedLarge.Add(n) > int64(largeBodyShare*float64(m.MaxBytes)) {
		m.usedLarge.Add(-n)
		m.used.Add(-n)
		if held < largeBodyBytes {
			m.used.Add(held)
		}
		return false
	}
	return true
}

// release gives back the bytes of a body.
func (m *BodyMemory) release(held int64) {
	if m.MaxBytes == 0 {
		return
	}
	m.used.Add(-held)
	if held >= largeBodyBytes {
		m.usedLarge.Add(-held)
	}
}

var (
	errBodyTooLarge = errors.New("body exceeds the limit of the configuration")
	errBodyMemory   = errors.New("bodies of other requests take the memory for bodies")
)

// readBody reads the body. If it returns false, the request has been answered. The caller of
// readBody has to call releaseBody at the end of the request.
func (c *call) readBody() bool {
	if c.r.ContentLength > c.config.limits.MaxBodyBytes {
		c.reject(http.StatusRequestEntityTooLarge, "body-too-large")
		return false
	}
	if c.hasNoBody() {
		return true
	}
	read := c.h.bodyReads.begin(c.w, bodyReadTimeout)
	err := c.readWholeBody()
	read.end()
	var netErr net.Error
	switch {
	case err == nil:
		c.bodyRead = true
		return true
	case errors.Is(err, errBodyTooLarge):
		c.w.Header().Set("Connection", "close")
		c.reject(http.StatusRequestEntityTooLarge, "body-too-large")
	case errors.Is(err, errBodyMemory):
		// The rest of the body is not read.
		c.w.Header().Set("Connection", "close")
		c.refuse(fleet.ReasonBodyMemory)
	case errors.As(err, &netErr) && netErr.Timeout() && c.refuseStopping(time.Now()):
	case errors.As(err, &netErr) && netErr.Timeout():
		c.reject(http.StatusRequestTimeout, "slow-body")
	default:
		c.recordEnd(0, "left", "body not read")
		panic(http.ErrAbortHandler)
	}
	return false
}

func (c *call) hasNoBody() bool { return c.r.Body == nil || c.r.Body == http.NoBody }

// limitUnreadBody bounds the time for which a response waits for the rest of the body. The server
// closes the connection after the response if the rest has not arrived by then, and removes the
// bound before the next request.
func (c *call) limitUnreadBody() {
	if c.bodyRead || c.hasNoBody() {
		return
	}
	// An error means that the connection is closed, which the write of the response reports.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// readWholeBody reads the body into a buffer of its length, or into one that doubles if the length
// is not known.
func (c *call) readWholeBody() error {
	limit := c.config.limits.MaxBodyBytes
	size := c.r.ContentLength
	if size < 0 {
		size = min(firstBodyBytes, limit)
	}
	if !c.reserveBody(size) {
		return errBodyMemory
	}
	c.body = make([]byte, 0, size)
	for {
		if len(c.body) == cap(c.body) {
			if done, err := c.growBody(limit); done || err != nil {
				return err
			}
		}
		n, err := c.r.Body.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// growBody makes room for more of the body once its buffer is full. It returns true at the end of
// the body.
func (c *call) growBody(limit int64) (done bool, err error) {
	var next [1]byte
	n, err := io.ReadFull(c.r.Body, next[:])
	if err == io.EOF {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	size := int64(cap(c.body))
	if size >= limit {
		return false, errBodyTooLarge
	}
	more := min(max(size, firstBodyBytes), limit-size)
	if !c.reserveBody(more) {
		return false, errBodyMemory
	}
	body := make([]byte, len(c.body), size+more)
	copy(body, c.body)
	c.body = append(body, next[:n]...)
	return false, nil
}

func (c *call) reserveBody(n int64) bool {
	if !c.h.Bodies.reserve(c.bodyHeld, n) {
		return false
	}
	c.bodyHeld += n
	return true
}

// releaseBody gives back the memory of the body. Further calls do nothing.
func (c *call) releaseBody() {
	c.h.Bodies.release(c.bodyHeld)
	c.bodyHeld = 0
}
