package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
)

var errFraming = errors.New("response of HTTP/1.0 with a transfer encoding")

// namesChunksInHTTP10 reports whether the next response is one of HTTP/1.0 with a transfer encoding, which
// net/http removes and ignores: what follows may be chunks, or not. It looks at as much of the head as the buffer holds.
func namesChunksInHTTP10(r *bufio.Reader) bool {
	const version = "HTTP/1.0"
	if head, err := r.Peek(len(version)); err != nil || string(head) != version {
		return false
	}
	var head []byte
	for {
		// It never waits for what is buffered.
		head, _ = r.Peek(r.Buffered())
		if bytes.Contains(head, []byte("\n\r\n")) || bytes.Contains(head, []byte("\n\n")) {
			break
		}
		if _, err := r.Peek(len(head) + 1); err != nil {
			break // The connection has ended, or the buffer is full.
		}
	}
	for line := range bytes.Lines(head) {
		if len(bytes.TrimSpace(line)) == 0 {
			return false
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); strings.EqualFold(string(name), "Transfer-Encoding") {
			return true
		}
	}
	return false
}
