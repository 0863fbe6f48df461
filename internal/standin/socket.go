package standin

import (
	"net"
	"os"
	"sync"
	"time"
)

// Socket is a connection that writes as one of an operating system does, for tests with fake time: bytes go into a buffer
// until it is full, and then none do until a third of it is free. It tells how many the other side has not taken. Reads are those of
// Conn. Fields are set before the first use. It is safe for concurrent use.
type Socket struct {
	net.Conn
	// Buffer is the size of the buffer in bytes.
	Buffer int

	mu       sync.Mutex
	held     int
	full     bool
	closed   bool
	deadline time.Time
}

// writePoll is how often a write looks for room.
const writePoll = time.Millisecond

// Write implements net.Conn.
func (s *Socket) Write(p []byte) (written int, err error) {
	for {
		n, err := s.put(p[written:])
		written += n
		if written == len(p) || err != nil {
			return written, err
		}
		time.Sleep(writePoll)
	}
}

func (s *Socket) put(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return 0, net.ErrClosed
	case !s.deadline.IsZero() && !time.Now().Before(s.deadline):
		return 0, os.ErrDeadlineExceeded
	case s.full:
		return 0, nil
	}
	n := min(len(p), s.Buffer-s.held)
	s.held += n
	s.full = s.held == s.Buffer
	return n, nil
}

// Take takes up to n bytes as the other side and returns how many there were.
func (s *Socket) Take(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, s.held)
	s.held -= n
	s.full = s.full && s.Buffer-s.held < s.Buffer/3
	return n
}

// Unacknowledged returns how many bytes the other side has not taken.
func (s *Socket) Unacknowledged() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// SetWriteDeadline implements net.Conn.
func (s *Socket) SetWriteDeadline(at time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadline = at
	return nil
}

// Close implements net.Conn.
func (s *Socket) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	return s.Conn.Close()
}
