package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/service"
)

const (
	// Path is the HTTP path at which a connection becomes a link.
	Path = "/link"
	// protocol is the value of the Upgrade header.
	protocol = "greengagestep-link"
	// maxInlineBytes is the longest request that is answered by the goroutine that reads the
	// link: what follows a longer one does not wait for it.
	maxInlineBytes = 4 << 10
)

// Handler accepts links and answers their requests. Exported fields are set before the first
// request. It is safe for concurrent use.
type Handler struct {
	// Next answers the requests, with their path, their signature header and their body.
	Next http.Handler
	// SignatureHeader names the only header that is carried.
	SignatureHeader string
	Logger          *zap.Logger

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// ServeHTTP implements http.Handler. It returns when the link ends.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "not a link", http.StatusBadRequest)
		return
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	if !h.add(conn) {
		return
	}
	defer h.remove(conn)
	// An error means that the connection is closed, which the next read reports.
	_ = conn.SetDeadline(time.Time{})
	if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		return
	}
	out := &frameWriter{out: conn, onError: func(error) { _ = conn.Close() }}
	frames := &idleReader{Reader: buffered.Reader, conn: conn, limit: acceptedIdleTime}
	for {
		f, err := frames.next()
		if err != nil {
			// The peer has closed the link, opens a new one or sends nothing.
			return
		}
		if len(f.body) > maxInlineBytes {
			service.Go(h.Logger, "link", func() { h.answer(out, f, r.RemoteAddr) })
			continue
		}
		h.answerInline(out, f, r.RemoteAddr)
	}
}

// answerInline answers a request. A panic ends only that request.
func (h *Handler) answerInline(out *frameWriter, f frame, remote string) {
	defer func() {
		if reason := recover(); reason != nil {
			h.Logger.Error(event.Panic, zap.String("task", "link"), zap.Any("reason", reason), zap.Stack("stack"))
		}
	}()
	h.answer(out, f, remote)
}

func (h *Handler) answer(out *frameWriter, f frame, remote string) {
	r := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: f.path}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{h.SignatureHeader: {f.signature}}, Body: io.NopCloser(bytes.NewReader(f.body)), ContentLength: int64(len(f.body)), RemoteAddr: remote,
	}
	w := &response{header: http.Header{}, status: http.StatusOK}
	h.Next.ServeHTTP(w, r)
	reply := frame{id: f.id, status: uint16(w.status), signature: w.header.Get(h.SignatureHeader), body: w.body}
	if err := out.add(reply); err != nil {
		h.Logger.Warn(event.InvalidData, zap.String("path", f.path), zap.Error(err))
		if errors.Is(err, errTooLong) {
			_ = out.add(frame{id: f.id, status: http.StatusInternalServerError})
		}
	}
}

func (h *Handler) add(c net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	if h.conns == nil {
		h.conns = map[net.Conn]struct{}{}
	}
	h.conns[c] = struct{}{}
	return true
}

func (h *Handler) remove(c net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, c)
}

// Close closes all links and accepts no more: an HTTP server that is closed leaves them open.
func (h *Handler) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for c := range h.conns {
		_ = c.Close()
	}
}

// response collects what a handler responds.
type response struct {
	header http.Header
	status int
	body   []byte
}

// Header implements http.ResponseWriter.
func (r *response) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *response) Write(p []byte) (int, error) {
	r.body = append(r.body, p...)
	return len(p), nil
}
