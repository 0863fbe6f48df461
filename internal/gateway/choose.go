package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// maxReservations is the maximum number of reservations tried for one request:
	// each costs a round trip to another instance, the endpoint's home.
	maxReservations = 3
	// lowLoadFraction is the fraction of an endpoint's slots in use below which a
	// request is sent without a reservation, provided that it would not wait there.
	lowLoadFraction = 0.5
)

// chooseEndpoint selects an endpoint that admits the request. If it returns false, the
// request has been ended with an error.
func (c *call) chooseEndpoint(ctx context.Context) bool {
	for {
		choice, ok := c.h.Balancer.Choose(c.placementRequest(), time.Now())
		if !ok && len(c.refusedBy) > 0 {
			c.fail(outcome{kind: outcomeNotRun, reason: fleet.ReasonQueueFull})
			return false
		}
		if !ok {
			c.fail(outcome{kind: outcomeNotRun, reason: c.h.Balancer.RefusalReason(c.placementRequest(), time.Now())})
			return false
		}
		c.choice = choice
		if c.runs > 0 {
			return true
		}
		if c.admit(ctx) {
			c.h.Ledger.RecordServed(c.customer, c.tokenCost(), time.Now())
			return true
		}
		if c.grant != fleet.GrantRefused || len(c.refusedBy) == maxReservations {
			c.fail(outcome{kind: outcomeNotRun, reason: fleet.ReasonQueueFull})
			return false
		}
	}
}

// admit reports whether the request is sent to the chosen endpoint. A stream that would
// go to a loaded endpoint needs a reservation at the endpoint's home instance: instances
// learn of each other's requests with a delay and could overload the endpoint together.
func (c *call) admit(ctx context.Context) bool {
	c.grant = ""
	r := admission.Request{Customer: c.customer, TargetLatency: c.config.targetLatencies[c.service], PastTarget: c.pastTarget}
	limit := c.h.Ledger.MaxQueueWait(r, time.Now())
	c.maxWait = limit
	if c.choice.Wait > limit {
		c.h.Metrics.Count(gauge.Name("waits_refused_total", "service", c.service, "bound", string(admission.BoundOf(r, limit)),
			"shorter", strconv.FormatBool(c.choice.LeastWait <= limit)))
		return false
	}
	if c.h.Homes == nil || !c.route.Stream {
		return true
	}
	if !c.h.Homes.Sparse() && c.choice.Wait == 0 && c.choice.Runs < lowLoadFraction*float64(c.choice.Endpoint.Slots) {
		return true
	}
	c.grant = c.h.Homes.Reserve(ctx, fleet.Reservation{Endpoint: c.choice.Endpoint.ID, Tokens: c.choice.Tokens, MaxWait: limit})
	c.h.Metrics.Count(gauge.Name("reservations_total", "answer", string(c.grant)))
	if c.grant != fleet.GrantRefused {
		return true
	}
	if c.h.Balancer.Unavailability(c.choice, time.Now()) == "" {
		c.refusedBy = append(c.refusedBy, c.choice.Endpoint.ID)
	}
	return false
}

func (c *call) placementRequest() placement.Request {
	return placement.Request{
		Service: c.service, Shared: c.attrs.SharedParts(), AffinityKey: c.attrs.LastSharedPartID(), Tokens: c.attrs.PromptTokens(),
		Stream: c.route.Stream, TargetLatency: c.route.TargetLatency(), Avoid: slices.Concat(c.avoid, c.refusedBy),
		Events:    c.config.eventCount(c.service, c.attrs.OutputEstimate),
		Regions:   c.config.allowedRegions(c.route, c.customer),
		BodyBytes: int64(len(c.body)),
	}
}
