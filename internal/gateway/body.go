package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// bodyReadTimeout is the time limit for reading a request body.
	bodyReadTimeout = 10 * time.Second
	// unreadBodyTimeout bounds how long a response of the gateway itself waits for the rest of
	// a body, which the server reads before it responds on a connection that it keeps.
	unreadBodyTimeout = 100 * time.Millisecond
	// firstBodyBytes is the first buffer for a body of unknown length.
	firstBodyBytes = 8 << 10
)

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
	ok, victims := c.h.Backlog.ReserveBody(c.customer, c.bodyHeld, n, time.Now())
	for _, v := range victims {
		go v.Reader.GiveUp(v.Reason)
	}
	if ok {
		c.bodyHeld += n
	}
	return ok
}

// releaseBody gives back the memory of the body. Further calls do nothing.
func (c *call) releaseBody() {
	if c.bodyHeld > 0 {
		c.h.Backlog.ReleaseBody(c.customer, c.bodyHeld)
	}
	c.body, c.bodyHeld = nil, 0
}
