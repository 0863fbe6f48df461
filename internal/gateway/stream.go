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

// maxEvent bounds an event that is held until it is whole, in bytes.
const maxEvent = 1 << 20

var (
	errEventTooLong = errors.New("an event is too long")
	errOrder        = errors.New("events are missing or out of order")
	errCutEvent     = errors.New("the stream ends within an event")
)

// stream carries events back as they become whole. After a break the caller has
// only whole events, so that another endpoint can go on.
func (c *call) stream(a *upstream.Answer, run *placement.Run) outcome {
	timer := c.stallTimer(a)
	if timer != nil {
		defer timer.Stop()
	}
	buf := buffers.Get().(*[copyBuffer]byte)
	defer buffers.Put(buf)
	broken := func(err error) outcome {
		return outcome{kind: outcomeUnknown, reason: fleet.ReasonBroken, cause: err}
	}
	var held []byte
	begun, events := time.Time{}, 0
	defer func() {
		if !begun.IsZero() {
			run.RecordStream(events, time.Since(begun))
		}
	}()
	for {
		n, err := a.Read(buf[:])
		run.RecordData(time.Now())
		if timer != nil {
			timer.Reset(stall)
		}
		held = append(held, buf[:n]...)
		if len(held) > maxEvent {
			return broken(errEventTooLong)
		}
		end := lastEvent(held)
		if end > 0 {
			c.began(run)
			if begun.IsZero() {
				begun = time.Now()
			} else {
				events += bytes.Count(held[:end], []byte("\n\n"))
			}
			if ferr := c.forward(a, held[:end]); ferr != nil {
				return broken(ferr)
			}
			held = append(held[:0], held[end:]...)
		}
		if err == io.EOF && len(held) > 0 {
			return broken(errCutEvent)
		}
		if err == io.EOF {
			c.header(a)
			return c.done(a)
		}
		if err != nil {
			return broken(err)
		}
	}
}

// stall is how long a stream that another endpoint could go on with may stand
// still: callers leave one after two seconds or more.
const stall = 1200 * time.Millisecond

// stallTimer breaks an answer off that stalls. It is nil if no other endpoint may go
// on: the answer is awaited to its end then.
func (c *call) stallTimer(a *upstream.Answer) *time.Timer {
	if !c.repeatable() || c.runs >= c.attempts() {
		return nil
	}
	return time.AfterFunc(stall, a.Abandon)
}

// lastEvent returns the place after the last whole event.
func lastEvent(p []byte) int {
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

// forward sends whole events to the caller, without those that it has already.
func (c *call) forward(a *upstream.Answer, events []byte) error {
	if c.started && c.runs > 1 {
		events = c.unseen(events)
	}
	if len(events) == 0 {
		return nil
	}
	first, last := eventIDs(events)
	if before, ok := number(c.last); ok && c.runs > 1 {
		if next, ok := number(first); ok && next > before+1 {
			return errOrder
		}
	}
	c.header(a)
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	if last != "" {
		c.last = last
	}
	return http.NewResponseController(c.w).Flush()
}

// unseen cuts off the events at the beginning that the caller has already.
func (c *call) unseen(events []byte) []byte {
	seen, ok := number(c.last)
	if !ok {
		return events
	}
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n"))
		if end < 0 {
			return events
		}
		id, _ := eventIDs(events[:end+2])
		if n, ok := number(id); !ok || n > seen {
			return events
		}
		events = events[end+2:]
	}
	return nil
}

// eventIDs returns the first and the last ID in a series of events.
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

func number(id string) (int64, bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil
}
