package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// wireProblem is the body of an answer that the fleet itself gives.
type wireProblem struct {
	Outcome fleet.Outcome `json:"outcome"`
	Reason  fleet.Reason  `json:"reason"`
	Message string        `json:"message"`
	Request string        `json:"request"`
}

const (
	retryAfter = "1"  // seconds
	sampleSize = 1024 // request times that the histogram keeps
)

// refuse answers a request that did not run.
func (c *call) refuse(status int, reason fleet.Reason, message string) {
	c.fail(status, fleet.OutcomeRefused, reason, message)
}

// fail answers in the fleet's own words.
func (c *call) fail(status int, outcome fleet.Outcome, reason fleet.Reason, message string) {
	if c.ticket != nil {
		c.closeTicket(outcome)
	}
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(outcome))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusConflict {
		header.Set("Retry-After", retryAfter)
	}
	c.w.WriteHeader(status)
	_ = json.NewEncoder(c.w).Encode(wireProblem{outcome, reason, message, c.id})
	c.count(outcome, reason)
}

func (c *call) closeTicket(outcome fleet.Outcome) {
	if outcome == fleet.OutcomeRefused {
		c.ticket.Release()
		return
	}
	c.ticket.Unknown()
}

// outcome ends an answer that was carried back, in the trailer.
func (c *call) outcome(outcome fleet.Outcome, detail string) {
	c.w.Header().Set(HeaderOutcome, string(outcome))
	c.count(outcome, fleet.Reason(detail))
}

func (c *call) count(outcome fleet.Outcome, reason fleet.Reason) {
	c.step("outcome "+string(outcome), string(reason))
	if c.h.Metrics == nil {
		return
	}
	metrics.GetOrRegisterCounter("requests."+string(outcome), c.h.Metrics).Inc(1)
	if outcome != fleet.OutcomeRan {
		metrics.GetOrRegisterCounter("requests."+string(outcome)+"."+string(reason), c.h.Metrics).Inc(1)
	}
	// A timer of the library would start a goroutine for the whole process.
	sample := metrics.GetOrRegisterHistogram("requests.milliseconds", c.h.Metrics, metrics.NewUniformSample(sampleSize))
	sample.Update(time.Since(c.arrived).Milliseconds())
}

// breakOff ends an answer that cannot be completed, so that the caller sees that
// it is not whole.
func (c *call) breakOff(reason fleet.Reason) {
	if c.ticket != nil {
		c.ticket.Unknown()
	}
	c.count(fleet.OutcomeUnknown, reason)
	panic(http.ErrAbortHandler)
}
