package standin

import (
	"fmt"
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
)

// spoilKinds are all kinds in the order in which they take turns.
var spoilKinds = []SpoilKind{
	SpoilNoID, SpoilOtherID, SpoilBytes, SpoilEmpty, SpoilName, SpoilSetting, SpoilComment, SpoilCR, SpoilSign, SpoilZero,
	SpoilUntyped, SpoilLetters, SpoilFirst,
}

// SpoilKinds returns all kinds.
func SpoilKinds() []SpoilKind { return slices.Clone(spoilKinds) }

// event returns what an engine sends in place of the event with an ID and a token.
func (k SpoilKind) event(id int, token string) string {
	sound := answerEvent(id, token)
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
		return fmt.Sprintf("id: %d\ndata: %s\rid: 9%d\n\n", id, token, id)
	case SpoilSign:
		return fmt.Sprintf("id: +%d\ndata: %s\n\n", id, token)
	case SpoilZero:
		return fmt.Sprintf("id: 0%d\ndata: %s\n\n", id, token)
	case SpoilBytes, SpoilUntyped, SpoilLetters:
	}
	return "spoiled\n\n" + sound
}

// contentType returns the Content-Type of a spoiled stream, empty for none.
func (k SpoilKind) contentType() string {
	switch k {
	case SpoilUntyped:
		return ""
	case SpoilLetters:
		return "Text/Event-Stream"
	default:
		return "text/event-stream"
	}
}

func answerEvent(id int, token string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, token) }
