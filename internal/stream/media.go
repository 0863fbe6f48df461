package stream

import (
	"net/http"
	"strings"
)

// MediaTypeEvents is the media type of server-sent events.
const MediaTypeEvents = "text/event-stream"

// MediaType returns the media type that a response names, in lower case and without parameters; empty
// if it names none. Of several lines the one with MediaTypeEvents counts, else the first.
func MediaType(h http.Header) string {
	first := ""
	for n, line := range h.Values("Content-Type") {
		t := mediaType(line)
		if t == MediaTypeEvents {
			return t
		}
		if n == 0 {
			first = t
		}
	}
	return first
}

// mediaType returns the media type of one line. It also ends at a comma or a blank: proxies join lines, and
// some endpoints leave out the semicolon.
func mediaType(line string) string {
	line = strings.TrimSpace(line)
	if end := strings.IndexAny(line, ";, \t"); end >= 0 {
		line = line[:end]
	}
	return strings.ToLower(line)
}
