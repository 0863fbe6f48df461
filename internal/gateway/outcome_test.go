package gateway_test

import (
	"bufio"
	"errors"
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
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// behaviour is how a simulated endpoint handles a request.
type behaviour string

const (
	behaveComplete behaviour = "well"    // sends a complete response
	behaveRefuse   behaviour = "refuse"  // reports that it did not run the request
	behaveDrop     behaviour = "drop"    // runs the request and closes the connection
	behaveFail     behaviour = "fail"    // runs the request and responds with status 500
	behaveShed     behaviour = "shed"    // responds with status 503 without reporting that it did not run the request
	behaveTruncate behaviour = "cut"     // sends half of a response and closes the connection
	behaveMismatch behaviour = "foreign" // sends the response to another request before the right one
	behaveUnsealed behaviour = "bare"    // responds with status 200 without a seal
	behaveEncoded  behaviour = "encoded" // sends a body with a Content-Encoding, so not the one that the endpoint produced
	behaveGarbage  behaviour = "noise"   // sends bytes that are not an HTTP response
	behaveHang     behaviour = "hang"    // runs the request and never responds
	behaveQuiet    behaviour = "quiet"   // reports that it did not run the request and asks for quiet
	behaveLeave    behaviour = "leave"   // reports that it did not run the request and that it leaves

	// The following responses have neither a length nor chunks and end with their connection.
	behaveUnframed      behaviour = "unframed"       // sends a complete response
	behaveUnframedEmpty behaviour = "unframed-empty" // ends a stream before its first event
	behaveUnframedCut   behaviour = "unframed-cut"   // ends a stream within an event
)

var behaviours = []behaviour{
	behaveComplete, behaveRefuse, behaveDrop, behaveFail, behaveShed, behaveTruncate, behaveMismatch, behaveUnsealed, behaveEncoded, behaveGarbage, behaveHang,
	behaveQuiet, behaveLeave,
	behaveUnframed, behaveUnframedEmpty, behaveUnframedCut,
}

// streamEvents is the number of events in a complete stream.
const streamEvents = 4

// scriptedEndpoints simulates all endpoints together: the first request that arrives at any
// of them gets the first behaviour of the script, the second one the second, and so on.
// Requests after the end of the script get a complete response.
type scriptedEndpoints struct {
	mu     sync.Mutex
	script []behaviour
	sends  int
	runs   int
	stream bool
}

func (eps *scriptedEndpoints) next() behaviour {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	b := behaveComplete
	if eps.sends < len(eps.script) {
		b = eps.script[eps.sends]
	}
	eps.sends++
	if !slices.Contains([]behaviour{behaveRefuse, behaveQuiet, behaveLeave}, b) {
		eps.runs++
	}
	return b
}

func (eps *scriptedEndpoints) serve(r *http.Request, _ string, w io.Writer) bool {
	b := eps.next()
	id := r.Header.Get("Request-Id")
	head := func(status int, fields string) {
		fmt.Fprintf(w, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%s", status, id, fields)
	}
	switch b {
	case behaveRefuse:
		head(503, "Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case behaveQuiet:
		head(503, "Not-Run: 1\r\nQuiet-Millis: 5000\r\nContent-Length: 0\r\n\r\n")
		return true
	case behaveLeave:
		head(503, "Not-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case behaveDrop:
		return false
	case behaveFail:
		head(500, "Seal: s\r\nContent-Length: 2\r\n\r\nno")
		return true
	case behaveShed:
		head(503, "Seal: s\r\nContent-Length: 0\r\n\r\n")
		return true
	case behaveUnsealed:
		head(200, "Content-Length: 2\r\n\r\nok")
		return true
	case behaveEncoded:
		head(200, "Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok")
		return true
	case behaveGarbage:
		fmt.Fprint(w, "noise\r\n\r\n")
		return false
	case behaveHang:
		_, _ = w.(io.Reader).Read(make([]byte, 1))
		return false
	case behaveMismatch:
		fmt.Fprint(w, "HTTP/1.1 200 X\r\nRequest-Id: other\r\nSeal: o\r\nContent-Length: 5\r\n\r\nother")
	}
	unframed := slices.Contains([]behaviour{behaveUnframed, behaveUnframedEmpty, behaveUnframedCut}, b)
	if eps.stream && unframed {
		eps.writeUnframedStream(r, w, b)
		return false
	}
	if eps.stream {
		return eps.writeStream(r, w, b == behaveTruncate)
	}
	if unframed {
		head(200, "Seal: s\r\n\r\nwhole")
		return false
	}
	if b == behaveTruncate {
		head(200, "Seal: s\r\nContent-Length: 10\r\n\r\nwhole")
		return false
	}
	writeResponse(w, r, http.StatusOK, "whole")
	return true
}

// writeStream sends the events after the last one that the caller has. With cut set, it
// sends one event and a part of the next.
func (eps *scriptedEndpoints) writeStream(r *http.Request, w io.Writer, cut bool) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
	after, _ := strconv.Atoi(r.Header.Get("After"))
	for n := after + 1; n <= streamEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: d%d\n\n", n, n)
		if cut && n == after+2 {
			event = event[:8]
		}
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		if cut && n == after+2 {
			return false
		}
	}
	fmt.Fprint(w, "0\r\n\r\n")
	return true
}

// writeUnframedStream sends the events after the last one that the caller has, or only a part
// of them, without saying where the stream ends.
func (eps *scriptedEndpoints) writeUnframedStream(r *http.Request, w io.Writer, b behaviour) {
	fmt.Fprintf(w, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Request-Id"))
	if b == behaveUnframedEmpty {
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("After"))
	for n := after + 1; n <= streamEvents; n++ {
		event := fmt.Sprintf("id: %d\ndata: d%d\n\n", n, n)
		if b == behaveUnframedCut && n == after+2 {
			fmt.Fprint(w, event[:8])
			return
		}
		fmt.Fprint(w, event)
	}
}

// callerResult is what the caller received.
type callerResult struct {
	status int // 0 if the connection was closed without a response
	body   string
	whole  bool
	retry  string
	took   time.Duration
}

func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= streamEvents; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: d%d\n\n", n, n)
	}
	return b.String()
}

// runScript sends one request through a gateway whose endpoints follow a script.
func runScript(t *testing.T, route arrangement.Route, script []behaviour) (callerResult, *scriptedEndpoints) {
	route.Name, route.Path = "r", "/"
	route.Targets = []arrangement.Target{{Service: "portal", Weight: 1}}
	route.TimeoutMillis = 1000
	g := newTestGateway(t, arrangement.Config{Routes: []arrangement.Route{route}})
	eps := &scriptedEndpoints{script: script, stream: route.Stream}
	for _, id := range []string{"e1", "e2", "e3", "e4", "e5"} {
		g.addEndpoint(id, eps.serve)
	}
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://front/a", strings.NewReader("body"))
	require.NoError(t, err)
	req.Header.Set("Request-Id", "1")
	req.Header.Set("Wait", "1000")
	var res callerResult
	resp, err := g.client.Do(req)
	if err == nil {
		body, rerr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		res = callerResult{status: resp.StatusCode, body: string(body), whole: rerr == nil, retry: resp.Header.Get("Retry-After")}
	} else {
		require.True(t, errors.Is(err, io.EOF) || strings.Contains(err.Error(), "EOF") || strings.Contains(err.Error(), "closed pipe"), err)
	}
	res.took = time.Since(start)
	return res, eps
}

// TestOutcomes runs every sequence of three endpoint behaviours on every kind of route and
// checks the invariants of the result: the limits on runs, no refusal after a run, complete
// bodies, and a final response by the route's timeout.
func TestOutcomes(t *testing.T) {
	routes := []arrangement.Route{
		{Repeat: arrangement.RepeatNever, Attempts: 3},
		{Repeat: arrangement.RepeatAny, Attempts: 3, TargetLatencyMillis: 100},
		{Repeat: arrangement.RepeatNever, Attempts: 3, Stream: true},
		{Repeat: arrangement.RepeatResume, Attempts: 3, Stream: true, TargetLatencyMillis: 100},
	}
	for _, route := range routes {
		for _, first := range behaviours {
			t.Run(fmt.Sprintf("%s-%t-%s", route.Repeat, route.Stream, first), func(t *testing.T) {
				for _, second := range behaviours {
					for _, third := range behaviours {
						script := []behaviour{first, second, third}
						synctest.Test(t, func(t *testing.T) {
							res, eps := runScript(t, route, script)
							checkOutcome(t, route, script, res, eps)
						})
					}
				}
			})
		}
	}
}

func checkOutcome(t *testing.T, route arrangement.Route, script []behaviour, res callerResult, eps *scriptedEndpoints) {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	if route.Repeat == arrangement.RepeatNever {
		require.LessOrEqual(t, eps.runs, 1, "%v ran twice", script)
	}
	require.LessOrEqual(t, eps.runs, route.Attempts, "%v", script)
	switch {
	case res.status == http.StatusOK && res.whole && route.Stream:
		require.Equal(t, wholeStream(), res.body, "%v", script)
	case res.status == http.StatusOK && res.whole:
		require.Equal(t, "whole", res.body, "%v", script)
	case res.status == http.StatusServiceUnavailable:
		require.Zero(t, eps.runs, "%v was refused though it had run", script)
		require.NotEmpty(t, res.retry)
	case res.status == http.StatusTooManyRequests, res.status == http.StatusRequestTimeout, res.status == http.StatusMisdirectedRequest:
		require.Zero(t, eps.runs, "%v was refused though it had run", script)
	}
	require.LessOrEqual(t, res.took, 1100*time.Millisecond, "%v had no final response by the route's timeout", script)
}

// TestScriptFiles runs the scripts in testdata. Each line sets the route, sets the
// behaviours of the endpoints in turn, or states the result that the caller must get.
func TestScriptFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) { runScriptFile(t, file) })
	}
}

func runScriptFile(t *testing.T, file string) {
	f, err := os.Open(file)
	require.NoError(t, err)
	defer f.Close()
	var route arrangement.Route
	var script []behaviour
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		switch words[0] {
		case "route":
			route = parseRoute(t, words[1:])
		case "endpoints":
			script = nil
			for _, w := range words[1:] {
				script = append(script, behaviour(w))
			}
		case "caller":
			synctest.Test(t, func(t *testing.T) {
				res, eps := runScript(t, route, script)
				eps.mu.Lock()
				got := fmt.Sprintf("caller %d whole=%t runs=%d sends=%d", res.status, res.whole, eps.runs, eps.sends)
				eps.mu.Unlock()
				require.Equal(t, strings.Join(words, " "), got, "%v", script)
			})
		default:
			require.Fail(t, "unknown directive", lines.Text())
		}
	}
	require.NoError(t, lines.Err())
}

func parseRoute(t *testing.T, words []string) arrangement.Route {
	var r arrangement.Route
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "repeat":
			r.Repeat = arrangement.Repeat(value)
		case "attempts":
			r.Attempts = n
		case "aim":
			r.TargetLatencyMillis = n
		case "stream":
			r.Stream = true
		default:
			require.Fail(t, "unknown route option", w)
		}
	}
	return r
}
