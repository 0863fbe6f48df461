package caller

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/greengagestep/greengagestep/internal/claim"
	"github.com/greengagestep/greengagestep/internal/stream"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// replayResponse responds with the answer that is kept under the key of the request.
func (c *call) replayResponse(d claim.Decision) {
	a := d.Result.Answer
	body, err := c.lacking(a)
	if err != nil {
		c.writeError(http.StatusConflict, fleet.OutcomeRan, "answer-not-kept", "the request ran under the same key for a part of the stream only: "+err.Error())
		return
	}
	for name, values := range a.Header {
		c.w.Header()[name] = values
	}
	keepTypeMissing(c.w.Header())
	c.w.Header().Set(HeaderRequestID, c.id)
	c.w.Header().Set("Replayed-From", d.Winner.Request)
	c.w.Header().Set("Trailer", HeaderOutcome)
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(body)
	c.writeOutcomeTrailer(fleet.OutcomeRan, "replayed")
}

// lacking returns what follows the last event that the caller has in an answer that was kept. The error says that events
// between are missing, since the answer is that to a request which resumed the stream later.
func (c *call) lacking(a *claim.Answer) ([]byte, error) {
	isStream := stream.MediaType(a.Header) == stream.MediaTypeEvents || stream.ReadOpening(a.Body) == stream.OpeningEvents
	if !c.service.Resume || a.Status/100 != 2 || !isStream {
		return a.Body, nil
	}
	sequence := stream.Replay(c.r.Header.Get(headerResume))
	if after := stream.Replay(a.After).Relayed; after > sequence.Relayed {
		return nil, fmt.Errorf("after event %d", after)
	}
	sequence.AllowNamed = true
	part, _, err := sequence.Next(bytes.Clone(a.Body))
	if err != nil {
		return nil, err
	}
	rest, err := sequence.End()
	return append(part, rest...), err
}
