package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/stream"
	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

var (
	errIncompleteEvent = errors.New("stream ended within an event")
	errNoEvent         = errors.New("stream ended with its connection before the first event")
)

// numbered reports whether responses on the route are streams of events with IDs.
func (c *call) numbered() bool {
	return c.route.Stream || c.route.Repeat == arrangement.RepeatResume
}

// relayStream copies an event stream to the caller, complete events only. If the
// stream breaks, the caller has no partial event, so that another endpoint can resume the
// stream after the last one. On a route for streams, an invalid event breaks it.
func (c *call) relayStream(a *upstream.Answer, run *placement.Run) outcome {
	watch := c.watchStall(a)
	defer func() { c.retryWithdrawn = watch.end() }()
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	broken := func(err error) outcome {
		reason := fleet.ReasonEndpointFailed
		if errors.Is(err, stream.ErrNotEvent) || errors.Is(err, stream.ErrOrder) {
			reason = fleet.ReasonInvalidResponse
		}
		return outcome{kind: outcomeUnknown, reason: reason, cause: err}
	}
	var sequence *stream.Sequence
	if c.numbered() {
		sequence = stream.New(c.lastEventID, c.attrs.LastEventID)
		sequence.OnNoEvent = func(k stream.Kind) {
			c.h.Metrics.Count(gauge.Name("stream_blocks_without_event_total", "kind", string(k)))
		}
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
		if len(pending) > stream.MaxEventBytes {
			return broken(stream.ErrTooLong)
		}
		end := stream.CompleteEnd(pending)
		part, last, invalid := pending[:end], int64(0), error(nil)
		if sequence != nil {
			part, last, invalid = sequence.Next(part)
		}
		if end > 0 && (invalid == nil || len(part) > 0) {
			c.recordFirst(run)
			now := time.Now()
			if firstEventAt.IsZero() {
				firstEventAt = now
			} else {
				events += bytes.Count(pending[:end], []byte("\n\n")) + bytes.Count(pending[:end], []byte("\r\n\r\n"))
				c.longestGap = max(c.longestGap, now.Sub(lastEventAt))
			}
			lastEventAt = now
			watch.relay(hasData(pending[:end]))
			if ferr := c.forward(a, part, last); ferr != nil {
				return broken(ferr)
			}
		}
		if invalid != nil {
			return broken(invalid)
		}
		pending = append(pending[:0], pending[end:]...)
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

// forward writes complete events to the caller. Last is the ID of the last one, zero if they have
// none.
func (c *call) forward(a *upstream.Answer, events []byte, last int64) error {
	if len(events) == 0 {
		return nil
	}
	c.sendHeaders(a)
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	if last > 0 {
		c.lastEventID = strconv.FormatInt(last, 10)
	}
	return http.NewResponseController(c.w).Flush()
}
