package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/warmup"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// maxReservations is the maximum number of reservations tried for one request:
	// each costs a round trip to another instance, the endpoint's home.
	maxReservations = 3
	// maxStartRefusals is after how many refused starts a request is sent to warm endpoints
	// only.
	maxStartRefusals = 3
	// lowLoadFraction is the fraction of an endpoint's slots in use below which a
	// request is sent without a reservation, provided that it would not wait there.
	lowLoadFraction = 0.5
	// boundHome is what set the wait of a request that the homes of the endpoints refused.
	boundHome = "home"
)

// chooseEndpoint selects an endpoint that admits the request. If it returns false, the
// request has been ended with an error.
func (c *call) chooseEndpoint(ctx context.Context) bool {
	for {
		if c.runs == 0 {
			c.maxWait = c.h.Ledger.MaxQueueWait(c.admissionRequest(), time.Now())
		} else {
			// A request that has run already is not refused for a wait: no limit.
			c.maxWait = fleet.NoLimit
		}
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
			if !choice.Cold || c.reserveStart(ctx, c.maxWait) {
				return true
			}
			if c.grant == fleet.GrantRefused {
				c.startRefusals++
			}
			continue
		}
		if c.admit(ctx) {
			c.h.Ledger.RecordServed(c.customer, c.tokenCost(), time.Now())
			c.h.answerTimes.record(c.route.Name, c.choice.Expected)
			return true
		}
		if c.grant == fleet.GrantNoStart {
			continue
		}
		if c.grant != fleet.GrantRefused || len(c.refusedBy) == maxReservations {
			if c.grant == fleet.GrantRefused {
				c.h.refusals.record(c, boundHome, time.Now())
			}
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
	c.h.Metrics.Count(gauge.Name("placements_total", "service", c.service, "weighing", string(c.choice.Weighing)))
	if c.choice.Weighing == placement.WeighingOver {
		bound := admission.BoundOf(c.admissionRequest(), c.maxWait)
		c.h.Metrics.Count(gauge.Name("waits_refused_total", "service", c.service, "bound", string(bound),
			"shorter", strconv.FormatBool(c.choice.LeastWait <= c.maxWait)))
		c.h.refusals.record(c, string(bound), time.Now())
		return false
	}
	if c.choice.Cold {
		return c.reserveStart(ctx, c.maxWait)
	}
	if c.h.Homes == nil || !c.route.Stream {
		return true
	}
	if !c.h.Homes.Partial() && c.choice.Wait == 0 && c.choice.Runs < lowLoadFraction*float64(c.choice.Endpoint.Slots) {
		return true
	}
	return c.reserve(ctx, c.maxWait)
}

// reserveStart reports whether the request may be started at the chosen endpoint, which is cold. The
// home grants the starts of all instances.
func (c *call) reserveStart(ctx context.Context, limit time.Duration) bool {
	c.grant = fleet.GrantNoStart
	if c.h.Homes == nil {
		c.startRefusals = maxStartRefusals
		return false
	}
	return c.reserve(ctx, limit)
}

// reserve reports whether the home of the chosen endpoint admits the request.
func (c *call) reserve(ctx context.Context, limit time.Duration) bool {
	requested := time.Now()
	c.grant = c.h.Homes.Reserve(ctx, fleet.Reservation{Endpoint: c.choice.Endpoint.ID, Tokens: c.choice.Tokens, MaxWait: limit, Start: c.choice.Cold})
	c.h.Metrics.Count(gauge.Name("reservations_total", "answer", string(c.grant)))
	switch c.grant {
	case fleet.GrantStart:
		c.choice.StartUntil = requested.Add(warmup.GrantLifetime)
		return true
	case fleet.GrantNoStart:
		c.startRefusals++
		return false
	case fleet.GrantAccepted:
		return true
	case fleet.GrantNoAnswer:
		if !c.choice.Cold {
			return true
		}
		c.grant = fleet.GrantNoStart
		c.startRefusals++
		return false
	case fleet.GrantRefused:
	}
	if reason := c.h.Balancer.Unavailability(c.choice, time.Now()); reason == "" || reason == placement.UnavailableCold {
		c.refusedBy = append(c.refusedBy, c.choice.Endpoint.ID)
	}
	return false
}

func (c *call) admissionRequest() admission.Request {
	return admission.Request{Customer: c.customer, TargetLatency: c.config.targetLatencies[c.service], PastTarget: c.pastTarget}
}

func (c *call) placementRequest() placement.Request {
	return placement.Request{
		Service: c.service, Shared: c.attrs.SharedParts(), AffinityKey: c.attrs.LastSharedPartID(), Tokens: c.attrs.PromptTokens(),
		Stream: c.route.Stream, TargetLatency: c.route.TargetLatency(), Avoid: slices.Concat(c.avoid, c.refusedBy), BodyBytes: int64(len(c.body)),
		MaxWait:  c.maxWait,
		Shortage: c.h.Ledger.Shortage(time.Now()),
		Warm:     c.startRefusals >= maxStartRefusals,
		Events:   c.config.eventCount(c.service, c.attrs.OutputEstimate),
		Regions:  c.config.allowedRegions(c.route, c.customer),
	}
}
