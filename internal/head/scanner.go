package head

import (
	"fmt"
	"strings"
)

// Scanner checks the lines of one head, and of the informational ones before it, as its bytes arrive. net/http skips fields with a
// space in their name, joins lines that begin with a blank to the value before, and ends a head at an empty line that ends with LF
// alone. The zero value is ready for the first byte. It is not safe for concurrent use.
type Scanner struct {
	err    error
	ended  bool
	lines  int // number of complete lines
	column int // number of bytes in the current line
	cr     bool
	value  bool // the current line has had its colon
	// informational is set once the status begins with 1: another head follows.
	informational bool
}

// Write checks more bytes of the head. It ignores what follows the head, or a byte that is invalid. It never fails.
func (s *Scanner) Write(p []byte) (int, error) {
	for i := 0; i < len(p) && !s.ended && s.err == nil; i++ {
		if !s.scan(p[i]) {
			s.err = fmt.Errorf("%w: byte %q at column %d of line %d", ErrInvalid, p[i], s.column+1, s.lines+1)
		}
	}
	return len(p), nil
}

// Err returns an error that wraps ErrInvalid if a byte was invalid.
func (s *Scanner) Err() error { return s.err }

// scan returns false if a byte is invalid. Lines end with CRLF, field names are tokens, and other control bytes than tabs are
// neither in the status line nor in values (RFC 9110, section 5, RFC 9112, section 2.2).
func (s *Scanner) scan(b byte) bool {
	inName := s.lines > 0 && !s.value
	switch {
	case s.cr && s.column == 0 && s.informational:
		*s = Scanner{}
		return b == '\n'
	case s.cr:
		s.ended = s.column == 0
		s.lines, s.column, s.cr, s.value = s.lines+1, 0, false, false
		return b == '\n'
	case b == '\r':
		s.cr = true
		return !inName || s.column == 0
	case inName && b == ':':
		s.value = true
		return s.column > 0
	case inName && !isTokenByte(b), b < ' ' && b != '\t', b == 0x7f:
		return false
	}
	if s.lines == 0 && s.column == len("HTTP/1.1 ") {
		s.informational = b == '1'
	}
	s.column++
	return true
}

func isTokenByte(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
