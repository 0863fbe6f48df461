package gateway

import (
	"bytes"
	"errors"
	"fmt"
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
	errNoEvent         = errors.New("response ended before its first event")
)

// numbered reports whether responses on the route are streams of events with IDs.
func (c *call) numbered() bool {
	return c.route.Stream || c.route.Repeat == arrangement.RepeatResume
}

// isStream reports whether a successful response is an event stream. On routes for streams each one
// with a body is, whatever media type the endpoint names: one that sends garbage may name any.
func (c *call) isStream(a *upstream.Answer) bool {
	if c.r.Method == http.MethodHead || a.StatusCode == http.StatusNoContent {
		return false
	}
	return c.numbered() || stream.MediaType(a.Header) == stream.MediaTypeEvents
}

// relayStream copies an event stream to the caller, complete events only. If the
// stream breaks, the caller has no partial event, so that another endpoint can resume the
// stream after the last one. On a route for streams, an invalid block breaks it, and one without an
// event is left out.
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
		sequence.OnNoEvent = c.countNoEvent
		// Blocks may be left out, and another endpoint may send the rest.
		a.Header.Del("Content-Length")
	}
	resumed := c.headersSent
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
		end := completeEnd(sequence, pending)
		checked := checkBlocks(sequence, pending[:end])
		if end > 0 && checked.err == nil {
			watch.receive(checked.progress)
		}
		if checked.events > 0 {
			c.recordFirst(run)
			now := time.Now()
			if firstEventAt.IsZero() {
				firstEventAt = now
			} else {
				events += checked.events
				c.longestGap = max(c.longestGap, now.Sub(lastEventAt))
			}
			lastEventAt = now
			if ferr := c.forward(a, checked.part, checked.last); ferr != nil {
				return callerFailed(ferr)
			}
		}
		if checked.err != nil {
			return broken(checked.err)
		}
		pending = append(pending[:0], pending[end:]...)
		if err == io.EOF && len(pending) > 0 {
			return broken(errIncompleteEvent)
		}
		if err == io.EOF && firstEventAt.IsZero() && (!a.Framed || resumed && stream.MediaType(a.Header) != stream.MediaTypeEvents) {
			// It may be no stream, so that it does not complete one either.
			return broken(errNoEvent)
		}
		if err == io.EOF && sequence != nil {
			// Named events are invalid here, so that there are none left.
			if _, incomplete := sequence.End(); incomplete != nil {
				return broken(incomplete)
			}
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

// callerFailed returns the outcome of a response that could not be written to the caller.
func callerFailed(cause error) outcome {
	return outcome{kind: outcomeUnknown, reason: fleet.ReasonCancelled, cause: fmt.Errorf("writing to the caller: %w", cause)}
}

// checkedBlocks is what complete blocks of a stream hold.
type checkedBlocks struct {
	part     []byte // for the caller
	last     int64  // ID of the last event in part, zero if it has none
	events   int    // together with those that the caller had before
	progress bool   // there is an event with data: an endpoint that sends only comments makes no progress
	err      error  // of the block that is invalid, nil if none is
}

// completeEnd returns the offset after the last complete block, 0 if there is none. Numbered events end their lines with LF.
func completeEnd(sequence *stream.Sequence, pending []byte) int {
	if sequence == nil {
		return stream.CompleteEndOfAny(pending)
	}
	return stream.CompleteEnd(pending)
}

// checkBlocks checks complete blocks, which it overwrites. Without a sequence each of them is for the
// caller.
func checkBlocks(sequence *stream.Sequence, blocks []byte) checkedBlocks {
	if sequence == nil {
		n := bytes.Count(blocks, []byte("\n\n")) + bytes.Count(blocks, []byte("\r\n\r\n")) + bytes.Count(blocks, []byte("\r\r"))
		return checkedBlocks{part: blocks, events: max(n, min(len(blocks), 1)), progress: hasData(blocks)}
	}
	before := sequence.Events()
	part, last, err := sequence.Next(blocks)
	events := sequence.Events() - before
	return checkedBlocks{part: part, last: last, events: events, progress: events > 0, err: err}
}

// noEventCounters are the names of the counters of blocks without an event.
var noEventCounters = map[stream.Kind]string{
	stream.KindEmpty:   noEventCounter(stream.KindEmpty),
	stream.KindComment: noEventCounter(stream.KindComment),
	stream.KindSetting: noEventCounter(stream.KindSetting),
	stream.KindName:    noEventCounter(stream.KindName),
}

func noEventCounter(kind stream.Kind) string {
	return gauge.Name("stream_blocks_without_event_total", "kind", string(kind))
}

// countNoEvent counts a block without an event.
func (c *call) countNoEvent(kind stream.Kind) { c.h.Metrics.Count(noEventCounters[kind]) }

// hasData reports whether there is an event with data among complete ones.
func hasData(events []byte) bool {
	return bytes.HasPrefix(events, []byte("data:")) || bytes.Contains(events, []byte("\ndata:")) || bytes.Contains(events, []byte("\rdata:"))
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
