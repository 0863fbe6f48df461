// Package link carries short signed POST requests between instances over one kept connection for
// each pair of them. Requests that are under way at the same time share its reads and writes, and
// one that is given up leaves the connection as it is, so that a request costs a fraction of one of
// net/http.
package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"sync"
)

// A frame is its length in four bytes and this many bytes: the number of the request, a status, the
// lengths of the path and of the signature, path, signature and body. The status is zero in requests,
// the path empty in responses.
const (
	lengthBytes = 4
	headBytes   = 4 + 2 + 1 + 1
	// maxFrameBytes bounds a frame, so that a faulty peer cannot take all memory.
	maxFrameBytes = 2 << 20
	maxFieldBytes = 255
)

var (
	errMalformed = errors.New("link: malformed frame")
	errTooLong   = errors.New("link: request or response is too long")
)

// frame is a request or a response.
type frame struct {
	id        uint32
	status    uint16
	path      string
	signature string
	body      []byte
}

func (f frame) length() int { return headBytes + len(f.path) + len(f.signature) + len(f.body) }

// append appends the encoded frame to a buffer.
func (f frame) append(buf []byte) ([]byte, error) {
	if len(f.path) > maxFieldBytes || len(f.signature) > maxFieldBytes || f.length() > maxFrameBytes {
		return buf, errTooLong
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(f.length()))
	buf = binary.BigEndian.AppendUint32(buf, f.id)
	buf = binary.BigEndian.AppendUint16(buf, f.status)
	buf = append(buf, byte(len(f.path)), byte(len(f.signature)))
	buf = append(buf, f.path...)
	buf = append(buf, f.signature...)
	return append(buf, f.body...), nil
}

// readFrame reads one frame.
func readFrame(r *bufio.Reader) (frame, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n < headBytes || n > maxFrameBytes {
		return frame{}, errMalformed
	}
	data, err := readBytes(r, int(n))
	if err != nil {
		return frame{}, err
	}
	f := frame{id: binary.BigEndian.Uint32(data), status: binary.BigEndian.Uint16(data[4:])}
	path, signature := int(data[6]), int(data[7])
	data = data[headBytes:]
	if len(data) < path+signature {
		return frame{}, errMalformed
	}
	f.path, f.signature, f.body = string(data[:path]), string(data[path:path+signature]), data[path+signature:]
	return f, nil
}

// frameWriter writes frames. Those that are added while one write is under way are written together
// by the next one, except that long frames wait for all others and are written one at a time: a
// reservation waits for one of them at most. Add never waits for the peer. It is safe for concurrent use.
type frameWriter struct {
	out io.Writer
	// onError is called when a write has failed or too much waits; nothing is written after it.
	onError func(error)

	mu      sync.Mutex
	pending []byte
	long    [][]byte // frames of more than maxSpareBytes, oldest first
	waiting int      // bytes of pending and long
	spare   []byte   // buffer of the last write
	writing bool
	failed  bool
	// shortWritten is set if the last write held short frames: then a long one is next.
	shortWritten bool
}

// maxPendingBytes bounds what waits for a peer that does not read.
const maxPendingBytes = 2 << 20

var errPending = errors.New("link: the peer does not read")

func (w *frameWriter) add(f frame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed {
		return errPending
	}
	if w.waiting > maxPendingBytes {
		w.failed = true
		go w.onError(errPending)
		return errPending
	}
	if f.length() > maxSpareBytes {
		data, err := f.append(nil)
		if err != nil {
			return err
		}
		w.long = append(w.long, data)
	} else {
		pending, err := f.append(w.pending)
		if err != nil {
			return err
		}
		w.pending = pending
	}
	w.waiting += lengthBytes + f.length()
	if !w.writing {
		w.writing = true
		go w.flush()
	}
	return nil
}

// flush writes what is pending until there is nothing left.
func (w *frameWriter) flush() {
	for {
		w.mu.Lock()
		data := w.take()
		if len(data) == 0 {
			w.writing = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
		_, err := w.out.Write(data)
		w.mu.Lock()
		if cap(data) <= maxSpareBytes {
			w.spare = data
		}
		w.failed = w.failed || err != nil
		w.mu.Unlock()
		if err != nil {
			w.onError(err)
			return
		}
	}
}

// take returns what is written next, nothing if nothing waits. The caller holds the lock.
func (w *frameWriter) take() []byte {
	data := w.pending
	switch {
	case len(w.long) > 0 && (len(data) == 0 || w.shortWritten):
		data, w.long[0] = w.long[0], nil
		w.long, w.shortWritten = w.long[1:], false
	case len(data) > 0:
		w.pending, w.spare, w.shortWritten = w.spare[:0], nil, true
	}
	w.waiting -= len(data)
	return data
}

// maxSpareBytes is the largest buffer that is kept for the next write, and the largest frame that is
// written together with others.
const maxSpareBytes = 16 << 10

// readBytes reads n bytes and takes memory as they arrive.
func readBytes(r io.Reader, n int) ([]byte, error) {
	data := make([]byte, min(n, maxSpareBytes))
	for read := 0; ; {
		m, err := io.ReadFull(r, data[read:])
		read += m
		if err != nil || read == n {
			return data, err
		}
		data = append(data, make([]byte, min(n-read, read))...)
	}
}
