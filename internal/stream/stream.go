// Package stream checks the server-sent events of a stream that endpoints send, so that callers get
// each event once and in order, also when another endpoint goes on with a broken stream.
package stream

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Errors of invalid events.
var (
	ErrTooLong  = errors.New("stream event exceeds the maximum size")
	ErrNotEvent = errors.New("endpoint sent bytes that are no event in a stream")
	ErrOrder    = errors.New("stream events are missing, repeated or out of order")
)

// Sequence checks the events of one attempt of a stream. IDs are whole numbers that start at 1
// and grow by 1; a stream that goes on after an event that the caller has continues its numbers.
// Comments may stand between events. Exported fields are set before the first event. It is not safe
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
	// AllowNamed lets events that have a name stand without an ID, between others or at the end.
	AllowNamed bool
	// OnNoEvent is called with the kind of each block without an event. Nil means no callback.
	OnNoEvent func(Kind)

	last    int64 // ID of the last event of this attempt, zero before the first one
	started bool
	count   int
}

// Kind is what a block without an event consists of.
type Kind string

// Kinds of blocks without an event; of several that apply, the last one of this list.
const (
	KindEmpty   Kind = "empty"   // an empty line
	KindComment Kind = "comment" // comments
	KindSetting Kind = "setting" // a reconnection time
	KindName    Kind = "name"    // the name of an event, without data
)

// MaxEventBytes is the maximum size of an event: the data that is buffered until it is complete.
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

// Next checks complete events and returns the part of them that the caller lacks, up to the first
// one that is invalid, and the ID of the last event in it, zero if it has none. The error is that
// of the invalid event, nil if there is none.
func (s *Sequence) Next(events []byte) (part []byte, last int64, err error) {
	from, to := 0, 0
	for to < len(events) {
		end := to + firstEnd(events[to:])
		id, hasID, err := s.parse(events[to:end])
		if err == nil && hasID {
			err = s.advance(id)
		}
		if err != nil {
			return events[from:to], last, err
		}
		to = end
		switch {
		case hasID && id <= s.Relayed:
			from = to
		case hasID:
			last = id
			s.count++
		}
	}
	return events[from:to], last, nil
}

// Count returns how many events with an ID the caller has got by this attempt.
func (s *Sequence) Count() int { return s.count }

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

// firstEnd returns the offset after the first complete event, 0 if there is none. An event ends
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

// CompleteEnd returns the offset after the last complete event, 0 if there is none.
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

// parse returns the ID of one complete event; hasID is false for comments and settings of the
// stream, which are no events, and for named events without one. An event has one ID and data. Fields
// of other names are ignored.
func (s *Sequence) parse(event []byte) (id int64, hasID bool, err error) {
	hasData, hasOther, hasName, kind := false, false, false, KindEmpty
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		if line[0] == ':' {
			if kind == KindEmpty {
				kind = KindComment
			}
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case string(name) == "data":
			hasData = true
		case string(name) == "id":
			repeated := hasID
			if id, hasID = parseID(string(bytes.TrimSpace(value))); !hasID || repeated {
				return 0, false, fmt.Errorf("%w: ID %.40q", ErrNotEvent, value)
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
			return 0, false, fmt.Errorf("%w: line %.40q", ErrNotEvent, line)
		}
	}
	if s.AllowNamed && hasName && !hasID {
		return 0, false, nil
	}
	if hasID != hasData || hasOther && !hasID {
		return 0, false, fmt.Errorf("%w: ID %t, data %t in %.40q", ErrNotEvent, hasID, hasData, event)
	}
	if !hasID && s.OnNoEvent != nil {
		s.OnNoEvent(kind)
	}
	return id, hasID, nil
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

func parseID(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil && n >= 0
}
