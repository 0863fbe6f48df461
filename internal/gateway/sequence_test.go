package gateway_test

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// streamScript is how an endpoint answers one request for a stream.
type streamScript struct {
	status int
	// head are lines of the head besides status, ID and seal.
	head  []string
	frame streamFraming
	parts []string
	// end is "end" if the response ends as a complete one, "break" if the connection is
	// closed within it.
	end string
}

// streamFraming is how a response states where its body ends.
type streamFraming string

const (
	streamFramingChunked streamFraming = "chunked"
	streamFramingLength  streamFraming = "length"
	streamFramingNone    streamFraming = "unframed" // by the end of its connection
)

const eventStreamType = "Content-Type: text/event-stream"

// soundScript returns a response with the events after the given one.
func soundScript(after int) streamScript {
	s := streamScript{status: http.StatusOK, head: []string{eventStreamType}, frame: streamFramingChunked, end: "end"}
	s.parts = soundParts(after+1, soundEvents)
	return s
}

// soundParts returns the events of a sound stream from the first to the last ID.
func soundParts(first, last int) (parts []string) {
	for n := first; n <= last; n++ {
		parts = append(parts, fmt.Sprintf("id: %d\ndata: a\n\n", n))
	}
	return parts
}

// streamCase is one request of a caller.
type streamCase struct {
	route   arrangement.Route
	method  string         // empty means POST
	after   string         // last event that the caller names; empty means none
	body    string         // that the caller gets, byte for byte; empty means that it is not compared
	scripts []streamScript // of the requests that reach endpoints, in turn; further ones get a sound stream

	mu   sync.Mutex
	runs int
}

// soundEvents is the number of events in a sound stream.
const soundEvents = 5

func (s *streamCase) serve(r *http.Request, _ string, w io.Writer) bool {
	s.mu.Lock()
	after, _ := strconv.Atoi(r.Header.Get("After"))
	script := soundScript(after)
	if s.runs < len(s.scripts) {
		script = s.scripts[s.runs]
	}
	s.runs++
	s.mu.Unlock()
	script.write(w, r.Header.Get("Request-Id"))
	return false
}

// write writes the response to the request with the given ID.
func (s streamScript) write(w io.Writer, id string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nSeal: s\r\n", s.status, id)
	for _, line := range s.head {
		fmt.Fprintf(w, "%s\r\n", line)
	}
	switch s.frame {
	case streamFramingChunked:
		fmt.Fprint(w, "Transfer-Encoding: chunked\r\n")
	case streamFramingLength:
		fmt.Fprintf(w, "Content-Length: %d\r\n", len(strings.Join(s.parts, "")))
	}
	fmt.Fprint(w, "\r\n")
	for _, part := range s.parts {
		if s.frame != streamFramingChunked {
			fmt.Fprint(w, part)
			continue
		}
		_ = writeChunk(w, part)
	}
	if s.end == "end" && s.frame == streamFramingChunked {
		fmt.Fprint(w, "0\r\n\r\n")
	}
}

// play sends the request and returns what became of it, as scripts state it.
func (s *streamCase) play(t *testing.T) string {
	route := s.route
	route.Name, route.Path, route.Targets = "r", "/", []arrangement.Target{{Service: "portal", Weight: 1}}
	g := newTestGateway(t, arrangement.Config{Routes: []arrangement.Route{route}})
	for _, id := range []string{"e1", "e2", "e3"} {
		g.addEndpoint(id, s.serve)
	}
	req, err := http.NewRequest(cmp.Or(s.method, http.MethodPost), "http://front/a", strings.NewReader("body"))
	require.NoError(t, err)
	req.Header.Set("Request-Id", "1")
	if s.after != "" {
		req.Header.Set("After", s.after)
	}
	resp, err := g.client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	ids := receivedIDs(resp.StatusCode, string(body))
	if route.Stream && resp.StatusCode/100 == 2 {
		require.Equal(t, ids, piecesByEmptyLines(string(body)), "a caller that splits at empty lines reads others in %q", body)
		require.Equal(t, ids, eventsByStandard(string(body)), "a caller that reads by the standard reads others in %q", body)
	}
	if s.body != "" {
		require.Equal(t, s.body, string(body))
	}
	return fmt.Sprintf("caller %d whole=%t events=%s runs=%d", resp.StatusCode, err == nil, strings.Join(ids, ","), s.runs)
}

// piecesByEmptyLines returns the IDs that a caller reads who splits a stream at empty lines and takes
// each piece for an event, also one without an ID or without anything.
func piecesByEmptyLines(body string) (ids []string) {
	body, ended := strings.CutSuffix(strings.ReplaceAll(body, "\r\n", "\n"), "\n\n")
	if body == "" && !ended {
		return nil
	}
	for piece := range strings.SplitSeq(body, "\n\n") {
		id := ""
		for line := range strings.SplitSeq(piece, "\n") {
			if value, ok := strings.CutPrefix(line, "id:"); ok {
				id = strings.TrimSpace(value)
			}
		}
		ids = append(ids, id)
	}
	return ids
}

// eventsByStandard returns the IDs of the events that a caller reads by the standard of server-sent
// events, where lines end with LF, CRLF or CR.
func eventsByStandard(body string) (ids []string) {
	body = strings.ReplaceAll(strings.ReplaceAll(body, "\r\n", "\n"), "\r", "\n")
	id, data := "", false
	for line := range strings.Lines(body) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ":")
		switch {
		case line == "\n" && data:
			ids = append(ids, id)
			data = false
		case name == "id":
			id = strings.TrimPrefix(value, " ")
		case name == "data":
			data = true
		}
	}
	return ids
}

// receivedIDs returns the IDs of the events in a stream, as a caller sees them: the ID of an event
// without one is empty.
func receivedIDs(status int, body string) (ids []string) {
	if status/100 != 2 {
		return nil
	}
	for block := range strings.SplitSeq(strings.ReplaceAll(body, "\r", ""), "\n\n") {
		id, event := "", false
		for line := range strings.Lines(block) {
			line = strings.TrimSuffix(line, "\n")
			name, value, _ := strings.Cut(line, ":")
			switch {
			case name == "id":
				id = strings.TrimSpace(value)
			case name == "data":
				event = true
			case line != "" && name != "" && name != "event" && name != "retry" && name != "weight-versions" && name != "new_field.1":
				event = true
			}
		}
		if event {
			ids = append(ids, id)
		}
	}
	return ids
}

// Spoiled bytes and events out of order in a stream reached the caller, whose response ended as a
// complete one; so did blocks without an event, which some callers take for one without an ID, and
// whatever came in a response that named another media type. Scripts state what endpoints send and what
// the caller gets:
//
//	route FIELD...       the route of the cases that follow
//	after ID             the last event that the caller names
//	method NAME          the method of the request
//	status CODE          the status of the next endpoint's response
//	head LINE            a line of its head; the first one replaces the Content-Type, an empty one is none
//	unframed             it has neither a length nor chunks
//	length               it has a length
//	send PART... END     an endpoint sends parts and ends its response, "end", or its connection, "break";
//	                     a part is a string, or sound events from M to N: M-N
//	body STRING          the body that the caller gets, byte for byte
//	caller ...           plays the case
func TestSpoiledEventsDoNotReachCaller(t *testing.T) {
	files, err := filepath.Glob("testdata/stream/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) { runStreamScript(t, file) })
	}
}

func runStreamScript(t *testing.T, file string) {
	f, err := os.Open(file)
	require.NoError(t, err)
	defer f.Close()
	c, next := &streamCase{}, soundScript(0)
	next.head = nil
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line := lines.Text()
		command, rest, _ := strings.Cut(line, " ")
		switch command {
		case "", "#":
		case "route":
			c.route = parseRoute(t, strings.Fields(rest))
		case "after":
			c.after = rest
		case "method":
			c.method = rest
		case "body":
			c.body, err = strconv.Unquote(rest)
			require.NoError(t, err)
		case "status":
			next.status, err = strconv.Atoi(rest)
			require.NoError(t, err)
		case "head":
			next.head = append(next.head, rest)
		case "unframed", "length":
			next.frame = streamFraming(command)
		case "send":
			c.scripts = append(c.scripts, parseStreamScript(t, rest, next))
			next = soundScript(0)
			next.head = nil
		case "caller":
			t.Run(fmt.Sprintf("line %d", n), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { require.Equal(t, line, c.play(t)) })
			})
			c = &streamCase{route: c.route}
		default:
			require.Fail(t, "unknown directive", line)
		}
	}
	require.NoError(t, lines.Err())
}

// parseStreamScript returns a response with the given head and what the text states.
func parseStreamScript(t *testing.T, text string, s streamScript) streamScript {
	s.parts = nil
	if s.head == nil {
		s.head = []string{eventStreamType}
	}
	s.head = slices.DeleteFunc(s.head, func(line string) bool { return line == "" })
	for {
		if strings.HasPrefix(text, `"`) {
			quoted, err := strconv.QuotedPrefix(text)
			require.NoError(t, err, text)
			part, err := strconv.Unquote(quoted)
			require.NoError(t, err, text)
			s.parts = append(s.parts, part)
			text = strings.TrimSpace(text[len(quoted):])
			continue
		}
		word, rest, _ := strings.Cut(text, " ")
		first, last, ok := strings.Cut(word, "-")
		if !ok {
			break
		}
		from, err := strconv.Atoi(first)
		require.NoError(t, err, text)
		to, err := strconv.Atoi(last)
		require.NoError(t, err, text)
		s.parts = append(s.parts, soundParts(from, to)...)
		text = rest
	}
	require.Contains(t, []string{"end", "break"}, text)
	s.end = text
	return s
}
