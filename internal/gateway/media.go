package gateway

import (
	"net/http"
	"strings"
)

const (
	mediaTypeEvents = "text/event-stream"
	// mediaTypeNone is the log value and label of a response without a Content-Type.
	mediaTypeNone = "none"
	// maxMediaTypeBytes bounds a media type in log lines.
	maxMediaTypeBytes = 64
)

// mediaType returns the media type of a response in lower case and without parameters.
func mediaType(h http.Header) string {
	t, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	if t = strings.ToLower(strings.TrimSpace(t)); t == "" {
		return mediaTypeNone
	}
	return t[:min(len(t), maxMediaTypeBytes)]
}

// mediaTypeLabel returns the label value of a media type in metrics: endpoints choose media types, so
// their number has no bound.
func mediaTypeLabel(mediaType string) string {
	switch mediaType {
	case mediaTypeEvents:
		return "event-stream"
	case mediaTypeNone:
		return mediaTypeNone
	}
	return "other"
}
