package stream

import (
	"net/http"
	"strings"
)

// MediaTypeEvents is the media type of server-sent events.
const MediaTypeEvents = "text/event-stream"

// MediaType returns the media type that a response names, in lower case and without parameters; empty
// if it names none.
func MediaType(h http.Header) string {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}
