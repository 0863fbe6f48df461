package stream_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/stream"
)

// A body without the type of event streams was taken for a stream, or for none, by the type that its
// endpoint named.
func TestOpeningTellsStreamsFromOtherBodies(t *testing.T) {
	for body, want := range map[string]stream.Opening{
		"":                                      stream.OpeningUndecided,
		"id":                                    stream.OpeningUndecided,
		"id: 1\nda":                             stream.OpeningUndecided,
		": c\n\n\nevent: x\ndata: a\n\nid: 1\n": stream.OpeningUndecided,
		"id: 1\ndata: a\n\n":                    stream.OpeningEvents,
		"weight-versions: 3\nid: 1\ndata\n\n{":  stream.OpeningEvents,
		": c\n\n\nevent: x\ndata: a\n\nid: 7\r\ndata: a\r\n\r\n": stream.OpeningEvents,
		`{"id": 1}`:                      stream.OpeningOther,
		"[":                              stream.OpeningOther,
		"<!doctype html>":                stream.OpeningOther,
		"\x00":                           stream.OpeningOther,
		"ok\n\n":                         stream.OpeningOther,
		"data: a\n\n":                    stream.OpeningOther,
		"# HELP requests x\n":            stream.OpeningOther,
		"warning: low disk\n\n":          stream.OpeningOther,
		strings.Repeat("a", 16<<10+1):    stream.OpeningOther,
		strings.Repeat(": c\n\n", 4<<10): stream.OpeningOther,
	} {
		require.Equal(t, want, stream.ReadOpening([]byte(body)), "%.40q", body)
	}
}
