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
	// maxAttempts bounds the consecutive attempts of one request that make no
	// progress. An attempt that sent further events of a stream to the caller
	// sets the count back to 0.
	maxAttempts = 4
	// baseBackoff is the maximum delay before the retry that follows an attempt
	// with progress. Each attempt without progress doubles the maximum.
	baseBackoff = 25 * time.Millisecond
)

// prepareRetry decides whether another attempt follows a failed one and waits for a
// random delay before it. If none follows, it responds to the caller and returns
// false.
func (c *call) prepareRetry(ctx context.Context, f *endpoint.Failure, attemptsWithoutProgress int) bool {
	if ctx.Err() != nil || f.Reason == fleet.ReasonCancelled {
		c.answerCancelled(f)
		return false
	}
	if !c.canRetry(f) {
		c.giveUp(f, f.Reason)
		return false
	}
	if attemptsWithoutProgress == maxAttempts || !c.h.Budget.Withdraw(c.key.Service, time.Now()) {
		c.giveUp(f, fleet.ReasonRetryBudget)
		return false
	}
	if c.h.Quarantine != nil && c.h.Quarantine.Contains(c.signatures) {
		c.giveUp(f, fleet.ReasonQuarantine)
		return false
	}
	c.recordStep("retry", "after "+string(f.Reason)+" at "+f.Endpoint)
	delay := rand.N(baseBackoff << attemptsWithoutProgress)
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		c.answerCancelled(f)
		return false
	}
}

// canRetry reports whether another attempt is safe: it neither executes a request
// twice that is not idempotent nor corrupts the response.
func (c *call) canRetry(f *endpoint.Failure) bool {
	if !c.body.replayable() {
		return false
	}
	if c.responseStarted {
		return c.resumable
	}
	return !f.Reached || c.idempotent
}

func (c *call) giveUp(f *endpoint.Failure, reason fleet.Reason) {
	if c.responseStarted {
		c.abort(reason)
		return
	}
	if !c.reached {
		c.refuse(http.StatusServiceUnavailable, reason, f.Error())
		return
	}
	c.writeError(http.StatusBadGateway, fleet.OutcomeUnknown, reason, f.Error())
}

func (c *call) answerCancelled(f *endpoint.Failure) {
	if c.responseStarted {
		c.abort(fleet.ReasonCancelled)
		return
	}
	if c.reached {
		c.writeError(http.StatusGatewayTimeout, fleet.OutcomeUnknown, fleet.ReasonDeadline, "the caller's time ran out while the request ran")
		return
	}
	c.refuse(http.StatusGatewayTimeout, fleet.ReasonDeadline, "the caller's time ran out before the request ran")
}
