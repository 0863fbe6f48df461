package caller

import "strings"

// stream follows server-sent events that arrive in pieces cut anywhere. An event
// ends with an empty line; one that has a name of its own is not a token.
type stream struct {
	// whole holds incomplete events back, so that a stream which breaks can
	// be resumed after the last complete one.
	whole bool

	line  []byte
	named bool
	data  bool
	held  []byte
}

// next takes in a piece. It returns what may go to the caller and the tokens in
// it. The result is valid until the next call.
func (s *stream) next(p []byte, last bool) ([]byte, int) {
	tokens, end := s.scan(p)
	if !s.whole {
		return p, tokens
	}
	if last {
		end = len(p)
	}
	if len(s.held) == 0 && end == len(p) {
		return p, tokens
	}
	if end == 0 {
		s.held = append(s.held, p...)
		return nil, tokens
	}
	out := append(s.held, p[:end]...)
	s.held = append([]byte(nil), p[end:]...)
	return out, tokens
}

// scan returns the tokens that end in a piece and the place after the last
// complete event.
func (s *stream) scan(p []byte) (tokens, end int) {
	for i, b := range p {
		if b == '\r' {
			continue
		}
		if b != '\n' {
			if len(s.line) < len("event:") {
				s.line = append(s.line, b)
			}
			continue
		}
		if len(s.line) == 0 {
			end = i + 1
			if s.data && !s.named {
				tokens++
			}
			s.data, s.named = false, false
		}
		s.named = s.named || string(s.line) == "event:"
		s.data = s.data || strings.HasPrefix(string(s.line), "data:")
		s.line = s.line[:0]
	}
	return tokens, end
}
