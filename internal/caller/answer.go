package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// errorResponse is the body of a response that is not an endpoint's.
type errorResponse struct {
	Outcome fleet.Outcome `json:"outcome"`
	Reason  fleet.Reason  `json:"reason"`
	Message string        `json:"message"`
	Request string        `json:"request"`
}

const (
	retryAfterSeconds   = 1    // value of the Retry-After header
	histogramSampleSize = 1024 // request durations that the histogram keeps
)

// refuse responds to a request that did not run.
func (c *call) refuse(status int, reason fleet.Reason, message string) {
	c.writeError(status, fleet.OutcomeRefused, reason, message)
}

// writeError responds with an outcome, a reason and a message instead of an
// endpoint's response.
func (c *call) writeError(status int, outcome fleet.Outcome, reason fleet.Reason, message string) {
	if c.ticket != nil {
		c.closeTicket(outcome)
	}
	c.limitUnreadBody()
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(outcome))
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusConflict {
		header.Set("Retry-After", strconv.Itoa(c.retryAfter()))
	}
	c.w.WriteHeader(status)
	_ = json.NewEncoder(c.w).Encode(errorResponse{outcome, reason, message, c.id})
	c.recordOutcome(outcome, reason)
}

// retryAfter returns after how many seconds the caller may repeat the request.
func (c *call) retryAfter() int {
	until, quiet := c.quietUntil()
	if !quiet {
		return retryAfterSeconds
	}
	return max(retryAfterSeconds, int(math.Ceil(time.Until(until).Seconds())))
}

func (c *call) closeTicket(outcome fleet.Outcome) {
	if outcome == fleet.OutcomeRefused {
		c.ticket.Release()
		return
	}
	c.ticket.Unknown()
}

// writeOutcomeTrailer sets the trailer that ends a response with a status and a body
// of an endpoint.
func (c *call) writeOutcomeTrailer(outcome fleet.Outcome, detail string) {
	c.w.Header().Set(HeaderOutcome, string(outcome))
	c.recordOutcome(outcome, fleet.Reason(detail))
}

func (c *call) recordOutcome(outcome fleet.Outcome, reason fleet.Reason) {
	c.recordStep("outcome "+string(outcome), string(reason))
	if c.h.Metrics == nil {
		return
	}
	metrics.GetOrRegisterCounter("requests."+string(outcome), c.h.Metrics).Inc(1)
	if outcome != fleet.OutcomeRan {
		metrics.GetOrRegisterCounter("requests."+string(outcome)+"."+string(reason), c.h.Metrics).Inc(1)
	}
	// A timer of the metrics library would start a goroutine that runs until the
	// process ends.
	histogram := metrics.GetOrRegisterHistogram("requests.milliseconds", c.h.Metrics, metrics.NewUniformSample(histogramSampleSize))
	histogram.Update(time.Since(c.arrived).Milliseconds())
}

// abort closes the connection during a response that cannot be completed, so that the
// caller can see that the response is incomplete.
func (c *call) abort(reason fleet.Reason) {
	if c.ticket != nil {
		c.ticket.Unknown()
	}
	c.recordOutcome(fleet.OutcomeUnknown, reason)
	panic(http.ErrAbortHandler)
}
