package caller

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// headBytes is how much of a body is read before the request is queued. A body
// that fits can be sent again; the fingerprint covers this much.
const headBytes = 64 << 10

// affinityBytes is how much of a body counts as the head of the prompt.
const affinityBytes = 256

// body is a request body whose beginning is kept, so that short bodies can be
// sent to another endpoint. The rest is streamed.
type body struct {
	head  []byte
	rest  io.Reader // nil if the head is all
	taken atomic.Bool
	long  int64 // Content-Length, -1 if unknown
}

func newBody(w http.ResponseWriter, r *http.Request, most int64) (*body, error) {
	b := &body{long: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		return b, nil
	}
	limited := http.MaxBytesReader(w, r.Body, most)
	head, err := io.ReadAll(io.LimitReader(limited, headBytes))
	if err != nil {
		return nil, err
	}
	b.head = head
	if len(head) == headBytes {
		b.rest = limited
	} else {
		b.long = int64(len(head))
	}
	return b, nil
}

func bodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// replayable reports whether the body can be sent again.
func (b *body) replayable() bool { return b.rest == nil || !b.taken.Load() }

// open returns the body for an attempt.
func (b *body) open() io.ReadCloser {
	if len(b.head) == 0 {
		return http.NoBody
	}
	if b.rest == nil {
		return io.NopCloser(bytes.NewReader(b.head))
	}
	b.taken.Store(true)
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), b.rest))
}

// size returns the memory that the body holds while it waits, in bytes.
func (b *body) size() int64 { return int64(len(b.head)) + requestBytes }

// requestBytes is what a waiting request holds besides its body.
const requestBytes = 8 << 10

// affinity hashes the beginning of the body; 0 means there is none.
func (b *body) affinity() uint64 {
	if len(b.head) == 0 {
		return 0
	}
	return xxhash.Sum64(b.head[:min(len(b.head), affinityBytes)])
}

// print is the fingerprint of a request: the service, the method, the path and
// the body, of a long one the beginning and the length.
func (b *body) print(service, method, path string) string {
	d := xxhash.New()
	fmt.Fprintf(d, "%s\x00%s\x00%s\x00%d\x00", service, method, path, b.long)
	_, _ = d.Write(b.head)
	return fmt.Sprintf("%016x", d.Sum64())
}
