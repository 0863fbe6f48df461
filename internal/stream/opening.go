package stream

import "bytes"

// Opening is what the first bytes of a body say about it.
type Opening string

// Openings.
const (
	OpeningUndecided Opening = "undecided" // there are too few bytes
	OpeningEvents    Opening = "events"    // its first event has an ID and data
	OpeningOther     Opening = "other"     // it is no stream of events with IDs
)

// maxOpeningBytes is how many bytes may come before the first event with an ID.
const maxOpeningBytes = 16 << 10

// ReadOpening returns what the first bytes of a body say about it. Blocks without an event and named events
// may come before the first event with an ID.
func ReadOpening(p []byte) Opening {
	s := &Sequence{AllowNamed: true}
	rest := p
	for {
		n := firstEnd(rest)
		if n == 0 {
			break
		}
		kind, _, err := s.parse(rest[:n])
		if err != nil {
			return OpeningOther
		}
		if kind == kindNumbered {
			return OpeningEvents
		}
		rest = rest[n:]
	}
	for line := range bytes.Lines(rest) {
		if !mayBeginField(line) {
			return OpeningOther
		}
	}
	if len(p) > maxOpeningBytes {
		return OpeningOther
	}
	return OpeningUndecided
}

// mayBeginField reports whether a line, which may be incomplete, is a comment or begins as a field does.
func mayBeginField(line []byte) bool {
	line = bytes.TrimRight(line, "\r\n")
	name, _, _ := bytes.Cut(line, []byte(":"))
	return len(name) == 0 || isFieldName(name)
}
