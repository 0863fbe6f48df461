package gateway

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// accept runs all checks that do not depend on endpoints, and reads the body. If it
// returns false, the request has been answered.
func (c *call) accept() bool {
	c.config = c.h.config.Load()
	if c.config == nil {
		c.refuse(fleet.ReasonNotReady)
		return false
	}
	if !c.resolveRoute() {
		return false
	}
	if c.shed(time.Now()) {
		c.w.Header().Set("Connection", "close")
		c.refuse(fleet.ReasonCPUOverload)
		return false
	}
	if c.refuseStopping(c.arrived) {
		return false
	}
	return c.readBody() && !c.refuseStopping(time.Now()) && !c.quarantined()
}

// resolveRoute finds the route, the customer and the service of the request. If it
// returns false, the request has been answered.
func (c *call) resolveRoute() bool {
	route, ok := c.config.routes.Find(c.r.Host, c.r.URL.Path)
	if !ok {
		c.reject(http.StatusNotFound, "no-route")
		return false
	}
	c.route = route
	if !route.Public && !c.config.noAuth {
		if c.customer, ok = c.config.customers[c.attrs.Key]; !ok || c.attrs.Key == "" {
			c.reject(http.StatusUnauthorized, "unknown-customer")
			return false
		}
	}
	if c.service = pickService(route.Targets); c.service == "" {
		c.refuse(fleet.ReasonNoEndpoint)
		return false
	}
	return true
}

// pickService selects one of a route's services at random by weight. It returns an
// empty string if there are none.
func pickService(targets []arrangement.Target) string {
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	draw := rand.Float64() * total
	for _, t := range targets {
		if draw -= t.Weight; draw < 0 {
			return t.Service
		}
	}
	if len(targets) == 0 {
		return ""
	}
	return targets[len(targets)-1].Service
}

// quarantined refuses a request like others that crashed endpoints, and reports whether it
// did. It sets the signatures by which crashes are attributed to the request.
func (c *call) quarantined() bool {
	if c.h.Quarantine == nil {
		return false
	}
	for _, part := range c.attrs.SharedParts() {
		c.signatures = append(c.signatures, xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(c.service), part.ID)))
	}
	d := xxhash.New()
	for _, part := range []string{c.customer, c.r.Method, c.r.Host, c.r.RequestURI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	c.signatures = append(c.signatures, d.Sum64())
	if !c.h.Quarantine.Contains(c.signatures) {
		return false
	}
	c.refuse(fleet.ReasonQuarantine)
	return true
}

// timeLimit returns how long after its arrival the request has to be answered: the caller's own
// timeout or the route's, whichever is shorter. Zero means that there is no limit.
func (c *call) timeLimit() time.Duration {
	limit := max(c.attrs.Timeout, 0)
	if d := c.route.TimeoutDuration(); d > 0 && (limit == 0 || d < limit) {
		limit = d
	}
	return limit
}

// requestContext returns a context that is canceled when the caller disconnects, at the time limit
// of the request, and by EndRequests.
func (c *call) requestContext() (context.Context, context.CancelFunc) {
	ctx, cancel := c.h.ending.join(c.r.Context())
	limit := c.timeLimit()
	if limit == 0 {
		return ctx, cancel
	}
	c.deadline = c.arrived.Add(limit)
	ctx, cancelDeadline := context.WithDeadline(ctx, c.deadline)
	c.expire = cancelDeadline
	return ctx, func() {
		cancelDeadline()
		cancel()
	}
}

func (c *call) timeLeft() time.Duration {
	if c.deadline.IsZero() {
		return c.attrs.Timeout
	}
	return max(time.Until(c.deadline), time.Millisecond)
}

// tokenCost returns the cost of the request in tokens: each prompt token counts once,
// each generated token twice.
func (c *call) tokenCost() float64 {
	return float64(c.attrs.PromptTokens() + 2*c.outputTokens())
}

// outputTokens returns the caller's estimate of the generated tokens, or else half of their maximum.
func (c *call) outputTokens() int {
	if c.attrs.OutputEstimate > 0 {
		return c.attrs.OutputEstimate
	}
	return c.attrs.MaxOutputTokens / 2
}
