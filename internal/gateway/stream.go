package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// maxEventBytes is the maximum size of the data buffered until an event is complete.
const maxEventBytes = 1 << 20

var (
	errEventTooLong    = errors.New("stream event exceeds the maximum size")
	errEventOrder      = errors.New("stream events are missing or out of order")
	errIncompleteEvent = errors.New("stream ended within an event")
	errNoEvent         = errors.New("stream ended with its connection before the first event")
)

// relayStream copies an event stream to the caller, complete events only. If the
// stream breaks, the caller has no partial event, so that another endpoint can resume the
// stream after the last one.
func (c *call) relayStream(a *upstream.Answer, run *placement.Run) outcome {
	timer := c.stallTimer(a)
	if timer != nil {
		defer timer.Stop()
	}
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	broken := func(err error) outcome {
		return outcome{kind: outcomeUnknown, reason: fleet.ReasonEndpointFailed, cause: err}
	}
	var pending []byte
	firstEventAt, lastEventAt, events := time.Time{}, time.Time{}, 0
	defer func() {
		if !firstEventAt.IsZero() {
			run.RecordStream(events, firstEventAt, time.Now())
		}
	}()
	for {
		n, err := a.Read(buf[:])
		if n > 0 {
			run.RecordData(time.Now())
		}
		pending = append(pending, buf[:n]...)
		if len(pending) > maxEventBytes {
			return broken(errEventTooLong)
		}
		end := completeEventsEnd(pending)
		if end > 0 {
			c.recordFirst(run)
			now := time.Now()
			if firstEventAt.IsZero() {
				firstEventAt = now
			} else {
				events += bytes.Count(pending[:end], []byte("\n\n")) + bytes.Count(pending[:end], []byte("\r\n\r\n"))
				c.longestGap = max(c.longestGap, now.Sub(lastEventAt))
			}
			lastEventAt = now
			if timer != nil && hasData(pending[:end]) {
				timer.Reset(silenceLimit)
			}
			if ferr := c.forward(a, pending[:end]); ferr != nil {
				return broken(ferr)
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if err == io.EOF && len(pending) > 0 {
			return broken(errIncompleteEvent)
		}
		if err == io.EOF && !a.Framed && firstEventAt.IsZero() {
			return broken(errNoEvent)
		}
		if err == io.EOF {
			c.sendHeaders(a)
			return c.finish(a)
		}
		if err != nil {
			return broken(err)
		}
	}
}

// hasData reports whether there is an event with data among complete ones: an endpoint that
// sends only comments makes no progress.
func hasData(events []byte) bool {
	return bytes.HasPrefix(events, []byte("data:")) || bytes.Contains(events, []byte("\ndata:"))
}

// silenceLimit is how long an endpoint may send nothing until work that another one can take over
// is taken from it: sound endpoints pause for a second or so, and callers of streams leave after a
// pause of two seconds or more.
const silenceLimit = 1700 * time.Millisecond

// stallTimer returns a timer that abandons a stalled stream. It returns nil if no other
// endpoint may resume the stream: then it is read to its end, however long it pauses.
func (c *call) stallTimer(a *upstream.Answer) *time.Timer {
	if !c.repeatable() || c.runs >= c.maxRuns() {
		return nil
	}
	return time.AfterFunc(silenceLimit, a.Abandon)
}

// completeEventsEnd returns the offset after the last complete event, 0 if there is none.
func completeEventsEnd(p []byte) int {
	i := bytes.LastIndex(p, []byte("\n\n"))
	j := bytes.LastIndex(p, []byte("\r\n\r\n"))
	switch {
	case j > i:
		return j + len("\r\n\r\n")
	case i >= 0:
		return i + len("\n\n")
	}
	return 0
}

// firstEventEnd returns the offset after the first complete event, 0 if there is none.
func firstEventEnd(p []byte) int {
	end := 0
	for _, separator := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(p, []byte(separator)); i >= 0 && (end == 0 || i+len(separator) < end) {
			end = i + len(separator)
		}
	}
	return end
}

// forward writes complete events to the caller, without those that it already has. It
// returns an error if the write fails or if events are missing after a resumption.
func (c *call) forward(a *upstream.Answer, events []byte) error {
	if c.headersSent && c.runs > 1 {
		events = c.dropRelayed(events)
	}
	if len(events) == 0 {
		return nil
	}
	first, last := eventIDs(events)
	if before, ok := parseEventID(c.lastEventID); ok && c.runs > 1 {
		if next, ok := parseEventID(first); ok && next > before+1 {
			return errEventOrder
		}
	}
	c.sendHeaders(a)
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	if last != "" {
		c.lastEventID = last
	}
	return http.NewResponseController(c.w).Flush()
}

// dropRelayed removes the leading events that the caller already has, by their IDs.
// It stops at the first event without a numeric ID.
func (c *call) dropRelayed(events []byte) []byte {
	seen, ok := parseEventID(c.lastEventID)
	if !ok {
		return events
	}
	for len(events) > 0 {
		end := firstEventEnd(events)
		id, _ := eventIDs(events[:end])
		if n, ok := parseEventID(id); end == 0 || !ok || n > seen {
			return events
		}
		events = events[end:]
	}
	return nil
}

// eventIDs returns the first and the last ID in a sequence of events; they are empty if
// no event has one.
func eventIDs(events []byte) (first, last string) {
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		last = string(bytes.TrimSpace(value))
		if first == "" {
			first = last
		}
	}
	return first, last
}

func parseEventID(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}
