package gateway

import (
	"net/http"

	"github.com/greengagestep/greengagestep/internal/stream"
)

const (
	// mediaTypeNone is the log value and label of a response without a Content-Type.
	mediaTypeNone = "none"
	// maxMediaTypeBytes bounds a media type in log lines.
	maxMediaTypeBytes = 64
)

// mediaTypeField returns the media type of a response as a log field.
func mediaTypeField(h http.Header) string {
	t := stream.MediaType(h)
	if t == "" {
		return mediaTypeNone
	}
	return t[:min(len(t), maxMediaTypeBytes)]
}

// mediaTypeLabel returns the label value of a media type in metrics: endpoints choose media types, so
// their number has no bound.
func mediaTypeLabel(field string) string {
	switch field {
	case stream.MediaTypeEvents:
		return "event-stream"
	case mediaTypeNone:
		return mediaTypeNone
	}
	return "other"
}
