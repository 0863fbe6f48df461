package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

var (
	errNotEvent   = errors.New("endpoint sent bytes that are no event in a stream")
	errEventOrder = errors.New("stream events are missing, repeated or out of order")
)

// eventSequence checks the events of one attempt of a stream. IDs are whole numbers that start at 1
// and grow by 1; a stream that goes on after an event that the caller has continues its numbers.
// Comments may stand between events. It is not safe for concurrent use.
type eventSequence struct {
	// relayed is the ID of the last event that this gateway has written to the caller, zero
	// if there is none. Up to it, an endpoint may repeat events.
	relayed int64
	// after is the last event that the caller says it has from an earlier response, zero if
	// it says none. An endpoint may also start again at 1.
	after int64
	// anyStart is set if the caller named a last event that is no number, so that the first
	// ID is not known.
	anyStart bool

	last    int64 // ID of the last event of this attempt, zero before the first one
	started bool
}

// newEventSequence returns a sequence for the next attempt of a stream.
func (c *call) newEventSequence() *eventSequence {
	s := &eventSequence{}
	if c.lastEventID != "" {
		s.relayed, _ = parseEventID(c.lastEventID)
		return s
	}
	if c.attrs.LastEventID != "" {
		var ok bool
		s.after, ok = parseEventID(c.attrs.LastEventID)
		s.anyStart = !ok
	}
	return s
}

// next checks complete events and returns the part of them that the caller lacks, up to the first
// one that is invalid, and the ID of the last event in it, zero if it has none. The error is that
// of the invalid event, nil if there is none.
func (s *eventSequence) next(events []byte) (part []byte, last int64, err error) {
	from, to := 0, 0
	for to < len(events) {
		end := to + eventEnd(events[to:])
		id, hasID, err := parseEvent(events[to:end])
		if err == nil && hasID {
			err = s.advance(id)
		}
		if err != nil {
			return events[from:to], last, err
		}
		to = end
		switch {
		case hasID && id <= s.relayed:
			from = to
		case hasID:
			last = id
		}
	}
	return events[from:to], last, nil
}

// advance checks the ID of the next event.
func (s *eventSequence) advance(id int64) error {
	valid := id == s.last+1
	if !s.started {
		valid = id >= 1 && (s.anyStart || id == s.after+1 || id == 1 || id <= s.relayed+1)
	}
	if !valid {
		return fmt.Errorf("%w: ID %d after %d", errEventOrder, id, max(s.last, s.relayed, s.after))
	}
	s.last, s.started = id, true
	return nil
}

// eventEnd returns the offset after the first complete event, 0 if there is none. An event ends
// with an empty line.
func eventEnd(p []byte) int {
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

// completeEventsEnd returns the offset after the last complete event, 0 if there is none.
func completeEventsEnd(p []byte) int {
	end := 0
	for {
		n := eventEnd(p[end:])
		if n == 0 {
			return end
		}
		end += n
	}
}

// parseEvent returns the ID of one complete event; hasID is false for comments and settings of the
// stream, which are no events. An event has one ID and data. Fields of other names are ignored.
func parseEvent(event []byte) (id int64, hasID bool, err error) {
	hasData, hasOther := false, false
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case string(name) == "data":
			hasData = true
		case string(name) == "id":
			repeated := hasID
			if id, hasID = parseEventID(string(bytes.TrimSpace(value))); !hasID || repeated {
				return 0, false, fmt.Errorf("%w: ID %.40q", errNotEvent, value)
			}
		case string(name) == "event" || string(name) == "retry":
		case found && isFieldName(name):
			hasOther = true
		default:
			return 0, false, fmt.Errorf("%w: line %.40q", errNotEvent, line)
		}
	}
	if hasID != hasData || hasOther && !hasID {
		return 0, false, fmt.Errorf("%w: ID %t, data %t in %.40q", errNotEvent, hasID, hasData, event)
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

func parseEventID(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil && n >= 0
}
