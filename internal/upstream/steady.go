package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxInlineBodyBytes is the largest body that is written before the
	// response is read; a longer one may fill the send window of a connection
	// that the endpoint does not read, and block.
	maxInlineBodyBytes = 8 << 10
	// writeBufferBytes is the size of the buffer for writing a request.
	writeBufferBytes = 4 << 10
	// bodyStallTime is how long an endpoint may take no byte of a long body: longer than a sound one pauses.
	bodyStallTime = 5 * time.Second
	// bodyCheckInterval is how often it is checked whether the endpoint takes bytes of the body: the kernel tells
	// room for more only in large steps.
	bodyCheckInterval = 500 * time.Millisecond
)

// send writes a request and returns a channel that receives the result of the write. A
// request with a short body is written before send returns, one with a long body
// concurrently with reading the response, which may arrive before the body is sent.
func (c *conn) send(r Request) chan error {
	req := &http.Request{
		Method: r.Method, URL: targetURL(r.Target), Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: http.NoBody, ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		// Keeps net/http from adding its own User-Agent.
		r.Header["User-Agent"] = []string{""}
	}
	c.answered.Store(false)
	result := make(chan error, 1)
	if len(r.Body) <= maxInlineBodyBytes {
		result <- write(req, c.netConn)
		return result
	}
	go func() { result <- write(req, steadyWriter{c}) }()
	return result
}

// writers holds buffers for writing requests, of type *bufio.Writer.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// write writes a request through a buffer.
func write(req *http.Request, to io.Writer) error {
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(to)
	defer w.Reset(nil)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// targetURL returns a URL that net/http writes as the same bytes as the given request
// target.
func targetURL(raw string) *url.URL {
	if strings.HasPrefix(raw, "/") && !strings.HasPrefix(raw, "//") {
		path, query, found := strings.Cut(raw, "?")
		return &url.URL{Opaque: path, RawQuery: query, ForceQuery: found && query == ""}
	}
	u, err := url.ParseRequestURI(raw)
	if err != nil {
		return &url.URL{Path: raw}
	}
	return u
}

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
	if a, ok := c.netConn.(acknowledger); ok {
		return a.Unacknowledged()
	}
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
