package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
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
	unframed bool
	parts    []string
	// end is "end" if the response ends as a complete one, "break" if the connection is
	// closed within it.
	end string
}

// streamCase is one request of a caller.
type streamCase struct {
	route   arrangement.Route
	after   string         // last event that the caller names; empty means none
	scripts []streamScript // of the requests that reach endpoints, in turn; further ones get a sound stream

	mu   sync.Mutex
	runs int
}

// soundEvents is the number of events in a sound stream.
const soundEvents = 5

func (s *streamCase) serve(r *http.Request, _ string, w io.Writer) bool {
	s.mu.Lock()
	script := streamScript{end: "end"}
	if s.runs < len(s.scripts) {
		script = s.scripts[s.runs]
	} else {
		after, _ := strconv.Atoi(r.Header.Get("After"))
		for n := after + 1; n <= soundEvents; n++ {
			script.parts = append(script.parts, fmt.Sprintf("id: %d\ndata: a\n\n", n))
		}
	}
	s.runs++
	s.mu.Unlock()
	fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n", r.Header.Get("Request-Id"))
	if !script.unframed {
		fmt.Fprint(w, "Transfer-Encoding: chunked\r\n")
	}
	fmt.Fprint(w, "\r\n")
	for _, part := range script.parts {
		if script.unframed {
			fmt.Fprint(w, part)
			continue
		}
		_ = writeChunk(w, part)
	}
	if script.end == "end" && !script.unframed {
		fmt.Fprint(w, "0\r\n\r\n")
	}
	return false
}

// play sends the request and returns what became of it, as scripts state it.
func (s *streamCase) play(t *testing.T) string {
	route := s.route
	route.Name, route.Path, route.Targets = "r", "/", []arrangement.Target{{Service: "portal", Weight: 1}}
	g := newTestGateway(t, arrangement.Config{Routes: []arrangement.Route{route}})
	for _, id := range []string{"e1", "e2", "e3"} {
		g.addEndpoint(id, s.serve)
	}
	req, err := http.NewRequest(http.MethodPost, "http://front/a", strings.NewReader("body"))
	require.NoError(t, err)
	req.Header.Set("Request-Id", "1")
	if s.after != "" {
		req.Header.Set("After", s.after)
	}
	resp, err := g.client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return fmt.Sprintf("caller %d whole=%t events=%s runs=%d", resp.StatusCode, err == nil, strings.Join(receivedIDs(resp.StatusCode, string(body)), ","), s.runs)
}

// receivedIDs returns the IDs of the events in a stream, as a caller sees them: the ID of an event
// without one is empty.
func receivedIDs(status int, body string) (ids []string) {
	if status != http.StatusOK {
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
// complete one. Scripts state what endpoints send and what the caller gets:
//
//	route FIELD...       the route of the cases that follow
//	after ID             the last event that the caller names
//	unframed             the next endpoint's response has neither a length nor chunks
//	send PART... END     an endpoint sends parts and ends its response, "end", or its connection, "break"
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
	c, unframed := &streamCase{}, false
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
		case "unframed":
			unframed = true
		case "send":
			c.scripts = append(c.scripts, parseStreamScript(t, rest, unframed))
			unframed = false
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

func parseStreamScript(t *testing.T, text string, unframed bool) streamScript {
	s := streamScript{unframed: unframed}
	for strings.HasPrefix(text, `"`) {
		quoted, err := strconv.QuotedPrefix(text)
		require.NoError(t, err, text)
		part, err := strconv.Unquote(quoted)
		require.NoError(t, err, text)
		s.parts = append(s.parts, part)
		text = strings.TrimSpace(text[len(quoted):])
	}
	require.Contains(t, []string{"end", "break"}, text)
	s.end = text
	return s
}
