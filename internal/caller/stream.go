package caller

import (
	"errors"
	"strings"
)

// eventStream parses server-sent events that arrive in chunks, which may end
// anywhere. An event ends with an empty line. An event with data and without a name
// counts as one token.
type eventStream struct {
	// completeOnly holds back incomplete events, so that a stream whose
	// connection breaks can be resumed after the last complete event.
	completeOnly bool

	linePrefix  []byte
	hasName     bool
	hasData     bool
	withinEvent bool
	received    bool // an event has ended
	incomplete  []byte
}

// process parses a chunk. It returns the bytes that may be sent to the caller and the
// number of tokens in them. The bytes are valid until the next call.
func (s *eventStream) process(p []byte) ([]byte, int) {
	tokens, end := s.scan(p)
	if !s.completeOnly {
		return p, tokens
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
			s.withinEvent = true
			if len(s.linePrefix) < len("event:") {
				s.linePrefix = append(s.linePrefix, b)
			}
			continue
		}
		if len(s.linePrefix) == 0 {
			end = i + 1
			s.received = s.received || s.withinEvent
			s.withinEvent = false
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

var (
	errIncompleteEvent = errors.New("stream ended within an event")
	errNoEvent         = errors.New("stream ended with its connection before the first event")
)

// checkEnd returns an error if the stream was broken off where it ended. framed is set if the
// response stated where its body ends.
func (s *eventStream) checkEnd(framed bool) error {
	switch {
	case s.withinEvent:
		return errIncompleteEvent
	case !framed && !s.received:
		return errNoEvent
	}
	return nil
}
