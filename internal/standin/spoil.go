package standin

import (
	"fmt"
	"net/http"
	"slices"
)

// SpoilKind is a way in which an engine spoils a stream.
type SpoilKind string

// Ways of spoiling a stream. Those that name a block send it before the sound event.
const (
	SpoilNoID    SpoilKind = "noid"    // an event without an ID replaces the sound one
	SpoilOtherID SpoilKind = "otherid" // one with another ID does
	SpoilBytes   SpoilKind = "bytes"   // bytes that are no event do
	SpoilEmpty   SpoilKind = "empty"   // empty lines
	SpoilName    SpoilKind = "name"    // a block with a name alone
	SpoilSetting SpoilKind = "setting" // a block with a reconnection time alone
	SpoilComment SpoilKind = "comment" // a comment of arbitrary bytes
	SpoilCR      SpoilKind = "cr"      // a CR alone, which ends a line, within the data
	SpoilSign    SpoilKind = "sign"    // the ID has a sign
	SpoilZero    SpoilKind = "zero"    // the ID has a leading zero
	SpoilUntyped SpoilKind = "untyped" // bytes that are no event, in a response without a Content-Type
	SpoilLetters SpoilKind = "letters" // the same with the Content-Type in other letters
	SpoilFirst   SpoilKind = "first"   // empty lines and a comment before the first event

	// SpoilPlain sends bytes that are no event in a response of type text/plain. It is none of
	// SpoilKinds: a caller that heeds the type does not read that response as a stream.
	SpoilPlain SpoilKind = "plain"
)

// spoilKinds are the kinds in the order in which they take turns.
var spoilKinds = []SpoilKind{
	SpoilNoID, SpoilOtherID, SpoilBytes, SpoilEmpty, SpoilName, SpoilSetting, SpoilComment, SpoilCR, SpoilSign, SpoilZero,
	SpoilUntyped, SpoilLetters, SpoilFirst,
}

// SpoilKinds returns the kinds that spoil what callers read as a stream.
func SpoilKinds() []SpoilKind { return slices.Clone(spoilKinds) }

// Event returns what is sent in place of the event with an ID and data.
func (k SpoilKind) Event(id int, data string) string {
	sound := answerEvent(id, data)
	switch k {
	case SpoilNoID:
		return "data: spoiled\n\n"
	case SpoilOtherID:
		return fmt.Sprintf("id: 1%d\ndata: spoiled\n\n", id)
	case SpoilEmpty:
		return "\n\r\n" + sound
	case SpoilName:
		return "event: spoiled\n\n" + sound
	case SpoilSetting:
		return "retry: 3\n\n" + sound
	case SpoilComment, SpoilFirst:
		return ":\x00\xff\xfe\n\n" + sound
	case SpoilCR:
		return fmt.Sprintf("id: %d\ndata: %s\rid: 9%d\n\n", id, data, id)
	case SpoilSign:
		return fmt.Sprintf("id: +%d\ndata: %s\n\n", id, data)
	case SpoilZero:
		return fmt.Sprintf("id: 0%d\ndata: %s\n\n", id, data)
	case SpoilBytes, SpoilUntyped, SpoilLetters, SpoilPlain:
	}
	return "spoiled\n\n" + sound
}

// Preface returns what is sent before the first event.
func (k SpoilKind) Preface() string {
	if k == SpoilFirst {
		return "\n: \xff\n\n"
	}
	return ""
}

// SetType sets the Content-Type of a response with a spoiled stream, or keeps it missing. The
// zero kind sets that of a sound one.
func (k SpoilKind) SetType(header http.Header) {
	switch k {
	case SpoilUntyped:
		header["Content-Type"] = nil // else net/http guesses one
	case SpoilLetters:
		header.Set("Content-Type", "Text/Event-Stream")
	case SpoilPlain:
		header.Set("Content-Type", "text/plain")
	default:
		header.Set("Content-Type", "text/event-stream")
	}
}

func answerEvent(id int, token string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, token) }
