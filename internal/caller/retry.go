package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// maxAttempts bounds the attempts of one request that bring nothing. One
	// that carried a stream on does not count.
	maxAttempts = 4
	// firstBackoff is the longest pause after an attempt that carried a stream
	// on; each one that brought nothing doubles it.
	firstBackoff = 25 * time.Millisecond
)

// again decides whether another attempt follows a failed one. If not, it answers
// the caller.
func (c *call) again(ctx context.Context, f *endpoint.Failure, fruitless int) bool {
	if ctx.Err() != nil || f.Reason == fleet.ReasonCancelled {
		c.cancelled(f)
		return false
	}
	if !c.mayRepeat(f) {
		c.giveUp(f, f.Reason)
		return false
	}
	if fruitless == maxAttempts || !c.h.Budget.Withdraw(c.key.Service, time.Now()) {
		c.giveUp(f, fleet.ReasonRetryBudget)
		return false
	}
	if c.h.Quarantine != nil && c.h.Quarantine.Held(c.print) {
		c.giveUp(f, fleet.ReasonQuarantine)
		return false
	}
	c.step("retry", "after "+string(f.Reason)+" at "+f.Endpoint)
	pause := rand.N(firstBackoff << fruitless)
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		c.cancelled(f)
		return false
	}
}

// mayRepeat reports whether another attempt can neither double the effect nor
// spoil the answer.
func (c *call) mayRepeat(f *endpoint.Failure) bool {
	if !c.body.replayable() {
		return false
	}
	if c.written {
		return c.service.Resume
	}
	return !f.Reached || c.repeat
}

func (c *call) giveUp(f *endpoint.Failure, reason fleet.Reason) {
	if c.written {
		c.breakOff(reason)
		return
	}
	if !c.reached {
		c.refuse(http.StatusServiceUnavailable, reason, f.Error())
		return
	}
	c.fail(http.StatusBadGateway, fleet.OutcomeUnknown, reason, f.Error())
}

func (c *call) cancelled(f *endpoint.Failure) {
	if c.written {
		c.breakOff(fleet.ReasonCancelled)
		return
	}
	if c.reached {
		c.fail(http.StatusGatewayTimeout, fleet.OutcomeUnknown, fleet.ReasonDeadline, "the caller's time ran out while the request ran")
		return
	}
	c.refuse(http.StatusGatewayTimeout, fleet.ReasonDeadline, "the caller's time ran out before the request ran")
}
