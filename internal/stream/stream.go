// Package stream checks the server-sent events of a stream that endpoints send, so that callers get
// each event once and in order, also when another endpoint goes on with a broken stream.
//
// A block is what an empty line ends. It is an event with an ID and data, or it has no event by the
// format's standard (an empty line, comments, a reconnection time, a name without data), or it is
// invalid. Lines end with LF or CRLF. A lone CR ends a line by the standard, too, but readers differ in
// it: a block with one is invalid. So is one with anything but text outside of its data; data may hold
// any bytes, since an endpoint may split a character over two events.
package stream

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode"
	"unicode/utf8"
)

// Errors of invalid events.
var (
	ErrTooLong  = errors.New("stream event exceeds the maximum size")
	ErrNotEvent = errors.New("endpoint sent bytes that are no event in a stream")
	ErrOrder    = errors.New("stream events are missing, repeated or out of order")
)

// Sequence checks the events of one attempt of a stream. IDs are whole numbers that start at 1
// and grow by 1; a stream that goes on after an event that the caller has continues its numbers.
// Blocks without an event may stand between events; they are not for the caller, since some readers
// take them for an event without an ID. Exported fields are set before the first event. It is not safe
// for concurrent use.
type Sequence struct {
	// Relayed is the ID of the last event that this instance has written to the caller, zero
	// if there is none. Up to it, an endpoint may repeat events.
	Relayed int64
	// After is the last event that the caller says it has from an earlier response, zero if
	// it says none. An endpoint may also start again at 1.
	After int64
	// AnyStart is set if the caller named a last event that is no number, so that the first
	// ID is not known.
	AnyStart bool
	// AllowNamed lets events that have a name and data stand without an ID, between others or at
	// the end.
	AllowNamed bool
	// OnNoEvent is called with the kind of each block without an event. Nil means no callback.
	OnNoEvent func(Kind)

	last    int64 // ID of the last event of this attempt, zero before the first one
	started bool
	count   int
	events  int
	skipped int // bytes of blocks without an event since the last event
	// held has the named events before the first event with an ID of a resumed stream: that one says
	// whether the endpoint repeats them.
	held []byte
}

// Kind is what a block consists of.
type Kind string

// Kinds of blocks without an event; of several that apply, the last one of this list.
const (
	KindEmpty   Kind = "empty"   // an empty line
	KindComment Kind = "comment" // comments
	KindSetting Kind = "setting" // a reconnection time
	KindName    Kind = "name"    // the name of an event, without data
)

// Kinds of events.
const (
	kindNumbered Kind = "numbered" // with an ID
	kindNamed    Kind = "named"    // with a name and without an ID
)

// MaxEventBytes is the maximum size of an event, the data that is buffered until it is complete, and of
// the blocks without an event between two events: an endpoint may send them without end.
const MaxEventBytes = 1 << 20

// New returns a sequence for the next attempt of a stream, given the ID of the last event that was
// written to the caller and the one that the caller named in its request; empty if there is none.
func New(written, named string) *Sequence {
	s := &Sequence{}
	if written != "" {
		s.Relayed, _ = parseID(written)
		return s
	}
	if named != "" {
		var ok bool
		s.After, ok = parseID(named)
		s.AnyStart = !ok
	}
	return s
}

// Replay returns a sequence for a stream that is whole, given the ID of the last event that the caller has; without one,
// or with one that is no number, it lacks all.
func Replay(has string) *Sequence {
	s := &Sequence{}
	if id, ok := parseID(has); ok {
		s.Relayed = id
	}
	return s
}

// Next checks complete blocks and returns the events that the caller lacks, up to the first block that
// is invalid, and the ID of the last one, zero if none has an ID. The error is that of the invalid block,
// nil if there is none. The part may be stored in place of the blocks and overwrites them.
func (s *Sequence) Next(blocks []byte) (part []byte, last int64, err error) {
	kept, from := 0, 0
	for from < len(blocks) {
		n := firstEnd(blocks[from:])
		if n == 0 {
			return blocks[:kept], last, fmt.Errorf("%w: incomplete block", ErrNotEvent)
		}
		block := blocks[from : from+n]
		from += n
		kind, id, err := s.parse(block)
		if err == nil && kind == kindNumbered {
			err = s.advance(id)
		}
		if err != nil {
			return blocks[:kept], last, err
		}
		s.skipped += len(block)
		if kind == kindNumbered || kind == kindNamed {
			s.skipped = 0
		}
		if s.skipped > MaxEventBytes {
			return blocks[:kept], last, fmt.Errorf("%w: %d bytes without an event", ErrNotEvent, s.skipped)
		}
		switch {
		case kind == kindNumbered && id <= s.Relayed:
			s.events++
			s.held = nil
		case kind == kindNumbered:
			s.events++
			s.count++
			last = id
			if len(s.held) > 0 {
				// Nothing else has been kept yet.
				kept = len(s.held)
				blocks = append(s.held, blocks[from-n:]...)
				block, from, s.held = blocks[kept:kept+n], kept+n, nil
			}
			kept += copy(blocks[kept:], block)
		case kind == kindNamed && s.repeats():
		case kind == kindNamed && s.Relayed > 0 && !s.started:
			s.held = append(s.held, block...)
			if len(s.held) > MaxEventBytes {
				return blocks[:kept], last, ErrTooLong
			}
		case kind == kindNamed:
			kept += copy(blocks[kept:], block)
		case s.OnNoEvent != nil:
			s.OnNoEvent(kind)
		}
	}
	return blocks[:kept], last, nil
}

// Count returns how many events with an ID the caller has got by this attempt.
func (s *Sequence) Count() int { return s.count }

// Events returns how many events with an ID the endpoint has sent in this attempt, together with those
// that the caller had before.
func (s *Sequence) Events() int { return s.events }

// End returns the named events that the caller lacks at the end of the stream. The error says that the stream
// is incomplete for certain: the endpoint has repeated some of the events that the caller has, but not all.
func (s *Sequence) End() (rest []byte, err error) {
	if s.repeats() {
		return nil, fmt.Errorf("%w: end after ID %d, the caller has %d", ErrOrder, s.last, s.Relayed)
	}
	return s.held, nil
}

// repeats reports whether the endpoint has sent only events that the caller has.
func (s *Sequence) repeats() bool { return s.started && s.last < s.Relayed }

// advance checks the ID of the next event.
func (s *Sequence) advance(id int64) error {
	valid := id == s.last+1
	if !s.started {
		valid = id >= 1 && (s.AnyStart || id == s.After+1 || id == 1 || id <= s.Relayed+1)
	}
	if !valid {
		return fmt.Errorf("%w: ID %d after %d", ErrOrder, id, max(s.last, s.Relayed, s.After))
	}
	s.last, s.started = id, true
	return nil
}

// firstEnd returns the offset after the first complete block, 0 if there is none. A block ends
// with an empty line.
func firstEnd(p []byte) int {
	for end := 0; ; {
		n := bytes.IndexByte(p[end:], '\n')
		if n < 0 {
			return 0
		}
		line := p[end : end+n]
		end += n + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return end
		}
	}
}

// CompleteEnd returns the offset after the last complete block, 0 if there is none.
func CompleteEnd(p []byte) int {
	end := 0
	for {
		n := firstEnd(p[end:])
		if n == 0 {
			return end
		}
		end += n
	}
}

// CompleteEndOfAny is like CompleteEnd for streams that are relayed as they are: a line may end with CR alone, too. If p ends between
// the CR and the LF of an empty line, the block ends at the CR, since an event must not wait for what follows.
func CompleteEndOfAny(p []byte) int {
	end, empty := 0, true
	for i := 0; i < len(p); i++ {
		if p[i] != '\n' && p[i] != '\r' {
			empty = false
			continue
		}
		if p[i] == '\r' && i+1 < len(p) && p[i+1] == '\n' {
			i++
		}
		if empty {
			end = i + 1
		}
		empty = true
	}
	return end
}

// parse returns what one complete block is, and the ID of an event that has one. Fields of other
// names are ignored in events with an ID, and invalid elsewhere.
func (s *Sequence) parse(block []byte) (Kind, int64, error) {
	id, hasID, hasData, hasOther, hasName, kind := int64(0), false, false, false, false, KindEmpty
	for line := range bytes.Lines(block) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if bytes.IndexByte(line, '\r') >= 0 {
			return "", 0, fmt.Errorf("%w: carriage return within line %.40q", ErrNotEvent, line)
		}
		if len(line) == 0 {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if string(name) == "data" {
			hasData = true
			continue
		}
		if !isText(line) {
			return "", 0, fmt.Errorf("%w: line %.40q", ErrNotEvent, line)
		}
		switch {
		case found && len(name) == 0:
			if kind == KindEmpty {
				kind = KindComment
			}
		case string(name) == "id":
			repeated := hasID
			if id, hasID = parseEventID(string(bytes.TrimPrefix(value, []byte(" ")))); !hasID || repeated {
				return "", 0, fmt.Errorf("%w: ID %.40q", ErrNotEvent, value)
			}
		case string(name) == "event":
			hasName, kind = true, KindName
		case string(name) == "retry":
			if kind != KindName {
				kind = KindSetting
			}
		case found && isFieldName(name):
			hasOther = true
		default:
			return "", 0, fmt.Errorf("%w: line %.40q", ErrNotEvent, line)
		}
	}
	switch {
	case s.AllowNamed && hasName && !hasID && hasData:
		return kindNamed, 0, nil
	case s.AllowNamed && hasName && !hasID:
		return KindName, 0, nil
	case hasID != hasData || hasOther && !hasID:
		return "", 0, fmt.Errorf("%w: ID %t, data %t in %.40q", ErrNotEvent, hasID, hasData, block)
	case hasID:
		return kindNumbered, id, nil
	}
	return kind, 0, nil
}

// isText reports whether a line is UTF-8 without control characters but tabs.
func isText(line []byte) bool {
	return utf8.Valid(line) && !bytes.ContainsFunc(line, func(r rune) bool { return unicode.IsControl(r) && r != '\t' })
}

// isFieldName reports whether a name is one that a field of an event may have.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return len(name) > 0
}

// parseEventID parses the ID of an event, which endpoints send in one spelling only: decimal digits
// without a leading zero.
func parseEventID(id string) (int64, bool) {
	n, ok := parseID(id)
	return n, ok && strconv.FormatInt(n, 10) == id
}

// parseID parses an ID that a caller names.
func parseID(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil && n >= 0
}
