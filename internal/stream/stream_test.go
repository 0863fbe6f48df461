package stream_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/stream"
)

// FuzzEvents checks that whatever an endpoint sends in a stream, a caller gets events with
// consecutive IDs only.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\n: c\n\nspoiled\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("\n\nx: y\nid: 1\ndata\n\nid: 3\ndata: b\n\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		part, last, _ := stream.New("", "").Next(sent[:stream.CompleteEnd(sent)])
		require.LessOrEqual(t, len(part), len(sent))
		require.Equal(t, string(sent[:len(part)]), string(part), "sound events are a prefix of what was sent")
		next := int64(1)
		for block := range strings.SplitSeq(strings.ReplaceAll(string(part), "\r\n", "\n"), "\n\n") {
			for line := range strings.Lines(block) {
				if value, ok := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "id:"); ok {
					require.Equal(t, strconv.FormatInt(next, 10), strings.TrimLeft(strings.TrimSpace(value), "+0"))
					next++
				}
			}
		}
		require.Equal(t, next-1, last)
	})
}
