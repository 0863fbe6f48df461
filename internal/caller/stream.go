package caller

import "strings"

// eventStream parses server-sent events that arrive in chunks, which may end
// anywhere. An event ends with an empty line. An event with data and without a name
// counts as one token.
type eventStream struct {
	// completeOnly holds back incomplete events, so that a stream whose
	// connection breaks can be resumed after the last complete event.
	completeOnly bool

	linePrefix []byte
	hasName    bool
	hasData    bool
	incomplete []byte
}

// process parses a chunk. It returns the bytes that may be sent to the caller and the
// number of tokens in them. The bytes are valid until the next call.
func (s *eventStream) process(p []byte, last bool) ([]byte, int) {
	tokens, end := s.scan(p)
	if !s.completeOnly {
		return p, tokens
	}
	if last {
		end = len(p)
	}
	if len(s.incomplete) == 0 && end == len(p) {
		return p, tokens
	}
	if end == 0 {
		s.incomplete = append(s.incomplete, p...)
		return nil, tokens
	}
	out := append(s.incomplete, p[:end]...)
	s.incomplete = append([]byte(nil), p[end:]...)
	return out, tokens
}

// scan returns the number of tokens that end in a chunk and the offset after the last
// complete event.
func (s *eventStream) scan(p []byte) (tokens, end int) {
	for i, b := range p {
		if b == '\r' {
			continue
		}
		if b != '\n' {
			if len(s.linePrefix) < len("event:") {
				s.linePrefix = append(s.linePrefix, b)
			}
			continue
		}
		if len(s.linePrefix) == 0 {
			end = i + 1
			if s.hasData && !s.hasName {
				tokens++
			}
			s.hasData, s.hasName = false, false
		}
		s.hasName = s.hasName || string(s.linePrefix) == "event:"
		s.hasData = s.hasData || strings.HasPrefix(string(s.linePrefix), "data:")
		s.linePrefix = s.linePrefix[:0]
	}
	return tokens, end
}
