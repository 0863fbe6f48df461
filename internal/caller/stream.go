package caller

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/greengagestep/greengagestep/internal/stream"
)

// mayBeNumbered reports whether a response may be a stream of numbered events: a success of a service
// that promises them.
func (c *call) mayBeNumbered(resp *http.Response) bool {
	return c.service.Resume && c.r.Method != http.MethodHead && resp.StatusCode/100 == 2
}

// readOpening reads a body until its bytes say whether it is a stream of numbered events, and returns
// what it has read. One that ends before that is none.
func readOpening(body io.Reader) (read []byte, opening stream.Opening, err error) {
	buf := make([]byte, 4<<10)
	for {
		n, err := body.Read(buf)
		read = append(read, buf[:n]...)
		opening := stream.ReadOpening(read)
		switch {
		case opening != stream.OpeningUndecided:
			return read, opening, nil
		case err == io.EOF:
			return read, stream.OpeningOther, nil
		case err != nil:
			return nil, "", err
		}
	}
}

// eventStream parses server-sent events that arrive in chunks, which may end anywhere. Lines end
// with LF, CR or both, an event with an empty line. A block without data is no event. An event
// without a name counts as one token.
type eventStream struct {
	// sequence checks the events of a stream that another endpoint can resume. Incomplete
	// events are held back then, so that the stream can go on after the last complete one. Nil
	// means that the chunks are forwarded as they come.
	sequence *stream.Sequence

	linePrefix  []byte
	afterCR     bool
	hasName     bool
	hasData     bool
	withinEvent bool
	received    bool // an event has ended
	incomplete  []byte
}

// process parses a chunk. It returns the bytes that may be sent to the caller, the
// number of tokens in them and the ID of the last one, zero if they have none or no sequence is
// checked. The bytes are valid until the next call. The error is that of an invalid event after them.
func (s *eventStream) process(p []byte) (part []byte, tokens int, last int64, err error) {
	tokens = s.scan(p)
	if s.sequence == nil {
		return p, tokens, 0, nil
	}
	s.incomplete = append(s.incomplete, p...)
	if len(s.incomplete) > stream.MaxEventBytes {
		return nil, 0, 0, stream.ErrTooLong
	}
	end, before := stream.CompleteEnd(s.incomplete), s.sequence.Count()
	part, last, err = s.sequence.Next(s.incomplete[:end])
	s.incomplete = append([]byte(nil), s.incomplete[end:]...)
	return part, s.sequence.Count() - before, last, err
}

// scan returns the number of tokens that end in a chunk.
func (s *eventStream) scan(p []byte) (tokens int) {
	for _, b := range p {
		endedByCR := b == '\n' && s.afterCR
		s.afterCR = b == '\r'
		switch {
		case endedByCR:
		case b == '\n' || b == '\r':
			if s.endLine() {
				tokens++
			}
		default:
			s.withinEvent = true
			if len(s.linePrefix) < len("event:") {
				s.linePrefix = append(s.linePrefix, b)
			}
		}
	}
	return tokens
}

// endLine parses a line that has ended and reports whether a token ends with it.
func (s *eventStream) endLine() bool {
	if len(s.linePrefix) > 0 {
		field, _, _ := bytes.Cut(s.linePrefix, []byte(":"))
		s.hasName = s.hasName || string(field) == "event"
		s.hasData = s.hasData || string(field) == "data"
		s.linePrefix = s.linePrefix[:0]
		return false
	}
	isToken := s.hasData && !s.hasName
	s.received = s.received || s.hasData
	s.withinEvent, s.hasData, s.hasName = false, false, false
	return isToken
}

var (
	errIncompleteEvent = errors.New("stream ended within an event")
	errNoEvent         = errors.New("response ended before its first event")
)

// checkEnd returns an error if the stream was broken off where it ended. framed is set if the
// response stated where its body ends.
func (s *eventStream) checkEnd(framed bool) error {
	switch {
	case s.withinEvent || len(s.incomplete) > 0:
		return errIncompleteEvent
	case !framed && !s.received:
		return errNoEvent
	case s.sequence != nil:
		return s.sequence.End()
	}
	return nil
}
