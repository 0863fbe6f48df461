package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/overload"
)

const (
	// eventWork and byteWork are the processor time for an event of a stream and for a byte of the
	// body, as fractions of that for a request without either.
	eventWork = 0.15
	byteWork  = 1.0 / (32 << 10)
	// answerTimeWeight is the weight of the latest request in the time that those of its route take.
	answerTimeWeight = 0.1
)

// shed reports whether the request is refused because the processor cannot serve all.
func (c *call) shed(now time.Time) bool {
	if c.h.Overload == nil {
		return false
	}
	fraction := c.h.Overload.RejectFraction()
	d := overload.Demand{Customer: c.customer, Satisfaction: c.h.Ledger.Satisfaction(c.customer, now), Cost: c.processorWork()}
	// The answer takes about the lag on its way, as the request did.
	d.Late = fraction > 0 && c.late(now, c.h.Overload.Lag())
	if !c.h.Shedder.Refuse(d, fraction, c.h.draw(), now) {
		return false
	}
	c.h.Ledger.RecordTurnedAway(c.customer, c.tokenCost(), now)
	return true
}

// draw returns a random number from 0 to 1.
func (h *Handler) draw() float64 {
	if h.Draw == nil {
		return rand.Float64()
	}
	return h.Draw()
}

// late reports whether the request can no longer be answered within its target latency.
func (c *call) late(now time.Time, lag time.Duration) bool {
	slack, ok := c.slack(now)
	return ok && slack < lag || c.h.RetryDetector.IsPastTarget(c.route.Name, c.attrs.Timeout, c.route.TargetLatency())
}

// slack returns how much is left of the request's target latency, or of its time limit if it has none, beside the
// time that endpoints are expected to take. It returns false if the request has neither.
func (c *call) slack(now time.Time) (time.Duration, bool) {
	target := c.route.TargetLatency()
	if target == 0 {
		target = c.timeLimit()
	}
	return target - now.Sub(c.arrived) - c.h.answerTimes.expected(c.route.Name), target > 0
}

// processorWork returns the processor time that the request takes, as a multiple of that for one without a
// body and a stream.
func (c *call) processorWork() float64 {
	work := 1 + byteWork*float64(max(c.r.ContentLength, 0))
	if c.route.Stream {
		work += eventWork * c.config.eventCount(c.service, c.outputTokens())
	}
	return work
}

// answerTimes holds how long endpoints are expected to take until the first event or the response, by
// route. The zero value is ready to use. It is safe for concurrent use.
type answerTimes struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

func (a *answerTimes) record(route string, expected time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.routes == nil {
		a.routes = map[string]time.Duration{}
	}
	if mean, ok := a.routes[route]; ok {
		expected = mean + time.Duration(answerTimeWeight*float64(expected-mean))
	}
	a.routes[route] = expected
}

// expected returns the mean of the route's recent requests; zero means that there were none.
func (a *answerTimes) expected(route string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.routes[route]
}
