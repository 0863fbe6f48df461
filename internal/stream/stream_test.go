package stream_test

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/stream"
)

// FuzzEvents checks that whatever an endpoint sends in a stream, a caller gets events with
// consecutive IDs only, unchanged and in order, and that readers of two kinds agree on them.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), uint8(0), uint16(9))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\n: c\n\nspoiled\n\nid: 2\ndata: b\n\n"), uint8(0), uint16(20))
	f.Add([]byte("\n\nx: y\nid: 1\ndata\n\nid: 3\ndata: b\n\n"), uint8(0), uint16(1))
	f.Add([]byte("\n: c\n\nretry: 1\n\nid: 1\ndata: a\n\nevent: x\n\r\nid: 2\ndata: \xff\n\n"), uint8(0), uint16(30))
	f.Add([]byte("id: 1\ndata: a\rid: 9\n\nid: 2\ndata: x\r\rdata: y\n\n"), uint8(0), uint16(3))
	f.Add([]byte("id: 1\ndata: a\n\nid: 02\ndata: a\n\n"), uint8(0), uint16(3))
	f.Add([]byte("id: 1\ndata: a\n\n:\x00\xff\n\nid: 2\ndata: a\n\n"), uint8(0), uint16(3))
	f.Add([]byte("id: 1\ndata: a\n\n\nid: 2\ndata: a\n\nid: 3\nweight-versions: 2\ndata: a\n\n: c\n\nid: 4\ndata: a\n\n"), uint8(2), uint16(28))
	f.Fuzz(func(t *testing.T, sent []byte, written uint8, split uint16) {
		name := ""
		if written > 0 {
			name = strconv.Itoa(int(written))
		}
		// Next overwrites what it gets.
		sequence := stream.New(name, "")
		got, last, err := sequence.Next(bytes.Clone(sent[:stream.CompleteEnd(sent)]))
		require.Equal(t, last > 0, sequence.Count() > 0)

		relayed, offered := blocks(string(got)), blocks(string(sent[:stream.CompleteEnd(sent)]))
		next, from := int64(written)+1, 0
		for _, block := range relayed {
			for offered[from] != block {
				from++
				require.Less(t, from, len(offered), "%q is no block that was sent, or not in its place", block)
			}
			from++
		}
		require.Equal(t, string(got), strings.Join(relayed, ""), "what is relayed consists of whole blocks")

		ids := splittingReader(t, string(got))
		for _, id := range ids {
			require.Equal(t, strconv.FormatInt(next, 10), id)
			next++
		}
		require.Equal(t, ids, standardReader(string(got)), "readers get other events")
		require.Len(t, ids, sequence.Count())
		require.GreaterOrEqual(t, sequence.Events(), sequence.Count())
		if len(ids) > 0 {
			require.Equal(t, next-1, last)
			// Nothing that a reader takes for an event was left out, but what the caller had.
			all := standardReader(strings.Join(offered[:from], ""))
			require.Equal(t, ids, all[len(all)-len(ids):])
			require.LessOrEqual(t, len(all)-len(ids), int(written))
		} else {
			require.Zero(t, last)
		}

		// It makes no difference in how many parts the bytes come.
		parts, pending, partsErr := stream.New(name, ""), []byte(nil), error(nil)
		var joined []byte
		for _, piece := range [][]byte{sent[:min(int(split), len(sent))], sent[min(int(split), len(sent)):]} {
			pending = append(pending, piece...)
			end := stream.CompleteEnd(pending)
			part, _, err := parts.Next(pending[:end])
			joined, pending = append(joined, part...), bytes.Clone(pending[end:])
			if partsErr = err; err != nil {
				break
			}
		}
		require.Equal(t, string(got), string(joined))
		require.Equal(t, err, partsErr)
	})
}

// blocks returns the blocks of complete ones, each with the empty line that ends it.
func blocks(text string) (list []string) {
	block := ""
	for line := range strings.Lines(text) {
		block += line
		if line == "\n" || line == "\r\n" {
			list = append(list, block)
			block = ""
		}
	}
	return list
}

// splittingReader returns the IDs that a caller reads who splits a stream at empty lines and takes
// each piece for an event.
func splittingReader(t *testing.T, text string) (ids []string) {
	if text == "" {
		return nil
	}
	pieces := strings.Split(strings.ReplaceAll(text, "\r\n", "\n"), "\n\n")
	require.Empty(t, pieces[len(pieces)-1], "the last event is complete")
	for _, piece := range pieces[:len(pieces)-1] {
		var own []string
		data := false
		for _, line := range strings.Split(piece, "\n") {
			if value, ok := strings.CutPrefix(line, "id:"); ok {
				own = append(own, strings.TrimPrefix(value, " "))
			}
			data = data || line == "data" || strings.HasPrefix(line, "data:")
		}
		require.Len(t, own, 1, "%q", piece)
		require.True(t, data, "%q", piece)
		ids = append(ids, own[0])
	}
	return ids
}

// standardReader returns the IDs of the events that a reader dispatches who follows the standard of
// server-sent events: lines end with LF, CRLF or CR.
func standardReader(text string) (ids []string) {
	text = strings.TrimPrefix(text, "\ufeff")
	text = strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n")
	id, data := "", false
	lines := strings.Split(text, "\n")
	for _, line := range lines[:len(lines)-1] {
		if line == "" {
			if data {
				ids = append(ids, id)
			}
			data = false
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		switch name {
		case "id":
			if !strings.Contains(value, "\x00") {
				id = strings.TrimPrefix(value, " ")
			}
		case "data":
			data = true
		}
	}
	return ids
}

// An endpoint sends comments or empty lines without end: nothing is relayed that would bound them, so
// that the check does. Signs of life between events are no reason to end a stream.
func TestEndlessBlocksWithoutEventAreInvalid(t *testing.T) {
	for _, block := range []string{": c\n\n", "\n", "retry: 1\n\n", "event: x\n\n"} {
		blocks := strings.Repeat(block, 4096/len(block))
		sequence := stream.New("", "")
		var err error
		for sent := 0; err == nil; sent += len(blocks) {
			require.LessOrEqual(t, sent, stream.MaxEventBytes, "%q", block)
			_, _, err = sequence.Next([]byte(blocks))
		}
		require.ErrorIs(t, err, stream.ErrNotEvent)

		sequence = stream.New("", "")
		for n := range 5 {
			for range stream.MaxEventBytes / len(blocks) {
				_, _, err = sequence.Next([]byte(blocks))
				require.NoError(t, err)
			}
			_, _, err = sequence.Next([]byte("id: " + strconv.Itoa(n+1) + "\ndata: a\n\n"))
			require.NoError(t, err)
		}
	}
}

// On a stream with named events these need no ID if they have data; one without data is no event.
func TestNamedEventsStandWithoutID(t *testing.T) {
	for sent, want := range map[string]string{
		"id: 1\ndata: a\n\nevent: x\ndata: b\n\n": "id: 1\ndata: a\n\nevent: x\ndata: b\n\n",
		"event: x\n\nid: 1\ndata: a\n\n":          "id: 1\ndata: a\n\n",
		"event: x\nmore: y\n\nid: 1\ndata: a\n\n": "id: 1\ndata: a\n\n",
	} {
		sequence := stream.New("", "")
		sequence.AllowNamed = true
		got, last, err := sequence.Next([]byte(sent))
		require.NoError(t, err, "%q", sent)
		require.Equal(t, want, string(got))
		require.EqualValues(t, 1, last)
		require.Equal(t, 1, sequence.Count())
	}
}

// Another endpoint starts a broken stream again and repeats named events, too. Whether callers got them twice
// depended on where reads ended.
func TestNamedEventsAmongRepeatedOnesAreRepeats(t *testing.T) {
	blocks := []string{"event: x\ndata: 0\n\n", "id: 1\ndata: a\n\n", "event: x\ndata: 1\n\n", "id: 2\ndata: a\n\n", "event: x\ndata: 2\n\n", "id: 3\ndata: a\n\n"}
	sent := strings.Join(blocks, "")
	for split := range len(sent) + 1 {
		sequence := stream.New("2", "")
		sequence.AllowNamed = true
		got, pending := "", ""
		for _, piece := range []string{sent[:split], sent[split:]} {
			pending += piece
			end := stream.CompleteEnd([]byte(pending))
			part, _, err := sequence.Next([]byte(pending[:end]))
			require.NoError(t, err)
			got, pending = got+string(part), pending[end:]
		}
		require.Equal(t, blocks[0]+blocks[4]+blocks[5], got, "split at %d", split)
	}
}

// An endpoint that goes on with a stream ends it within what the caller has: the stream counted as
// complete.
func TestStreamThatEndsWithinRepeatedEventsIsIncomplete(t *testing.T) {
	for _, c := range []struct {
		sent       string
		incomplete bool
	}{
		{"", false},
		{": c\n\n", false},
		{"id: 1\ndata: a\n\n", true},
		{"id: 3\ndata: a\n\n", true},
		{"id: 1\ndata: a\n\nid: 2\ndata: a\n\nid: 3\ndata: a\n\nid: 4\ndata: a\n\n", false},
		{"id: 5\ndata: a\n\n", false},
	} {
		sequence := stream.New("4", "")
		_, _, err := sequence.Next([]byte(c.sent))
		require.NoError(t, err)
		require.Equal(t, c.incomplete, errors.Is(sequence.End(), stream.ErrOrder), "%q", c.sent)
	}
}
