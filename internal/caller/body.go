package caller

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// headBytes is how much of a body is read before the request is queued. A shorter
// body can be sent again. The fingerprint covers this part of the body.
const headBytes = 64 << 10

const (
	// bodyReadTimeout bounds how long the beginning of a body may take to arrive.
	bodyReadTimeout = 10 * time.Second
	// unreadBodyTimeout bounds how long an error response waits for the rest of a body, which the
	// server reads before it responds on a connection that it keeps.
	unreadBodyTimeout = 100 * time.Millisecond
)

// prefixBytes is how much of a body is hashed as the beginning of the prompt, for
// cache affinity.
const prefixBytes = 256

// body is a request body whose beginning is buffered, so that short bodies can be
// sent again to another endpoint. The rest is streamed.
type body struct {
	head          []byte
	rest          io.Reader // nil if head is the whole body
	restConsumed  atomic.Bool
	contentLength int64 // Content-Length, -1 if unknown
}

func newBody(w http.ResponseWriter, r *http.Request, maxBytes int64) (*body, error) {
	b := &body{contentLength: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	limited := http.MaxBytesReader(w, r.Body, maxBytes)
	controller := http.NewResponseController(w)
	// Errors mean that the connection is closed, which the read reports.
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	head, err := io.ReadAll(io.LimitReader(limited, headBytes))
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, err
	}
	b.head = head
	if len(head) == headBytes {
		b.rest = limited
	} else {
		b.contentLength = int64(len(head))
	}
	return b, nil
}

func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// limitUnreadBody bounds the time for which an error response waits for the rest of the body. The
// server closes the connection after the response if the rest has not arrived by then, and removes the
// bound before the next request.
func (c *call) limitUnreadBody() {
	if c.r.Body == nil || c.r.Body == http.NoBody || c.body != nil && c.body.rest == nil {
		return
	}
	// An error means that the connection is closed, which the write of the response reports.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// replayable reports whether the whole body can be sent in another attempt.
func (b *body) replayable() bool { return b.rest == nil || !b.restConsumed.Load() }

// newReader returns a reader of the body for one attempt.
func (b *body) newReader() io.ReadCloser {
	if len(b.head) == 0 {
		return http.NoBody
	}
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.head))
	}
	b.restConsumed.Store(true)
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), b.rest))
}

// memoryBytes returns the memory that the request uses while it is queued.
func (b *body) memoryBytes() int64 { return int64(len(b.head)) + requestOverheadBytes }

// requestOverheadBytes is the memory that a queued request uses besides its body.
const requestOverheadBytes = 8 << 10

// prefixHash returns a hash of the beginning of the body, or 0 if the body is empty.
func (b *body) prefixHash() uint64 {
	if len(b.head) == 0 {
		return 0
	}
	return xxhash.Sum64(b.head[:min(len(b.head), prefixBytes)])
}

// signatures returns hashes that identify what the request shares with others and, last, the
// request itself by its fingerprint.
func (b *body) signatures(service, fingerprint string) []uint64 {
	own := xxhash.Sum64String(fingerprint)
	if prefix := b.prefixHash(); prefix != 0 {
		return []uint64{xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(service), prefix)), own}
	}
	return []uint64{own}
}

// fingerprint returns a hash of the service, the method, the path, the length of the
// body and its first headBytes bytes.
func (b *body) fingerprint(service, method, path string) string {
	digest := xxhash.New()
	fmt.Fprintf(digest, "%s\x00%s\x00%s\x00%d\x00", service, method, path, b.contentLength)
	_, _ = digest.Write(b.head)
	return fmt.Sprintf("%016x", digest.Sum64())
}

// keyFingerprint returns the fingerprint of a request for its idempotency key, which the query belongs to. One
// without a query has the same as in earlier versions, whose records other instances may hold.
func keyFingerprint(fingerprint, query string) string {
	if query == "" {
		return fingerprint
	}
	return fmt.Sprintf("%s-%016x", fingerprint, xxhash.Sum64String(query))
}
