// Package history reads structured logs and reconstructs the course of a request and the
// state of an instance at a given time.
package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/greengagestep/greengagestep/internal/event"
)

// maxLineBytes is the maximum length of a line of a log.
const maxLineBytes = 1 << 20

// Line is one logged event.
type Line struct {
	At       time.Time      `json:"at"`
	Instance string         `json:"instance"`
	Event    string         `json:"event"`
	Fields   map[string]any `json:"fields"`
}

// Log is a merged set of log lines, oldest first.
type Log struct {
	Lines []Line
	// Dropped is how many lines the instances report as not written.
	Dropped int
	// Unreadable is how many lines contain a brace but could not be decoded as an
	// event.
	Unreadable int
}

// Read adds the lines of a log. Text before the first brace of a line is skipped, since
// log collectors may prefix lines. It returns an error if reading fails or a line is
// longer than 1 MiB.
func (l *Log) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		l.add(lines.Bytes())
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("history: log cannot be read: %w", err)
	}
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return nil
}

func (l *Log) add(data []byte) {
	i := bytes.IndexByte(data, '{')
	if i < 0 {
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(data[i:], &fields); err != nil {
		l.Unreadable++
		return
	}
	line := Line{Event: stringField(fields, "msg"), Instance: stringField(fields, "instance"), Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, stringField(fields, "time"))
	if err != nil || line.Event == "" {
		l.Unreadable++
		return
	}
	line.At = at
	for _, name := range []string{"msg", "instance", "time", "level"} {
		delete(fields, name)
	}
	if line.Event == event.Dropped {
		if n, ok := fields["lines"].(float64); ok {
			l.Dropped += int(n)
		}
	}
	l.Lines = append(l.Lines, line)
}

func stringField(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	return value
}

// RequestLines returns the lines of the request with the given ID, oldest first; nil if
// there are none.
func (l *Log) RequestLines(id string) []Line {
	var lines []Line
	for _, line := range l.Lines {
		if stringField(line.Fields, "id") == id {
			lines = append(lines, line)
		}
	}
	return lines
}

// State is the state that an instance logged of its configuration, endpoints and
// dependencies up to a given time.
type State struct {
	Instance string `json:"instance"`
	// Version is the version of the applied configuration, zero if none was applied.
	Version int64 `json:"version"`
	// Since is when that version was applied.
	Since time.Time `json:"since"`
	// Endpoints holds the last line about each listed endpoint, by endpoint ID.
	Endpoints map[string]Line `json:"endpoints"`
	// Lost holds the dependencies that did not respond, with the line that reported
	// the failure.
	Lost map[string]Line `json:"lost"`
	// Overloaded is set if the instance rejected requests because of overload.
	Overloaded bool `json:"strained"`
}

// StateAt returns the state of an instance at a given time.
func (l *Log) StateAt(instance string, at time.Time) State {
	s := State{Instance: instance, Endpoints: map[string]Line{}, Lost: map[string]Line{}}
	for _, line := range l.Lines {
		if line.Instance != instance || line.At.After(at) {
			continue
		}
		s.apply(line)
	}
	return s
}

func (s *State) apply(line Line) {
	switch line.Event {
	case event.Start:
		// A new process does not have the state of the previous one.
		*s = State{Instance: s.Instance, Endpoints: map[string]Line{}, Lost: map[string]Line{}}
	case event.Configuration:
		if v, ok := line.Fields["version"].(float64); ok {
			s.Version, s.Since = int64(v), line.At
		}
	case event.Endpoint:
		id := stringField(line.Fields, "endpoint")
		s.Endpoints[id] = line
		if stringField(line.Fields, "to") == "gone" {
			delete(s.Endpoints, id)
		}
	case event.DependencyLost:
		s.Lost[dependency(line)] = line
	case event.DependencyRecovered:
		delete(s.Lost, dependency(line))
	case event.Overload:
		s.Overloaded = true
	case event.OverloadEnded:
		s.Overloaded = false
	}
}

func dependency(line Line) string {
	if feed := stringField(line.Fields, "feed"); feed != "" {
		return "feed " + feed
	}
	return "peer " + stringField(line.Fields, "peer")
}

// String formats a line for human readers: the event and its fields, ordered by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.At.Format("15:04:05.000"), l.Instance, l.Event)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "id" {
			fmt.Fprintf(&b, "  %s=%v", name, l.Fields[name])
		}
	}
	return b.String()
}

// Print writes a state as text for human readers.
func (s State) Print(w io.Writer) {
	fmt.Fprintf(w, "%s believed:\n  configuration version %d since %s\n", s.Instance, s.Version, s.Since.Format("15:04:05.000"))
	if s.Overloaded {
		fmt.Fprintln(w, "  its processor was behind")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Lost)) {
		fmt.Fprintf(w, "  %s lost: %s\n", name, s.Lost[name])
	}
	counts := map[string]int{}
	for _, line := range s.Endpoints {
		counts[stringField(line.Fields, "service")+" "+stringField(line.Fields, "to")]++
	}
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "  endpoints %s: %d\n", state, counts[state])
	}
}
