package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// maxAsks bounds the homes that are asked for one request: each costs a
	// way between instances.
	maxAsks = 3
	// easyPart is the part of an endpoint's slots below which a place is taken
	// without asking, if nothing waits there.
	easyPart = 0.5
)

// choose finds an endpoint or refuses the request.
func (c *call) choose(ctx context.Context) bool {
	for {
		place, ok := c.h.Board.Choose(c.request(), time.Now())
		if !ok && len(c.full) > 0 {
			c.fail(outcome{kind: outcomeNotRun, reason: fleet.ReasonQueueFull})
			return false
		}
		if !ok {
			c.fail(outcome{kind: outcomeNotRun, reason: fleet.ReasonNoEndpoint})
			return false
		}
		c.place = place
		if c.runs > 0 {
			return true
		}
		if c.admit(ctx) {
			c.h.Ledger.RecordServed(c.customer, c.tokens(), time.Now())
			return true
		}
		if c.grant != fleet.GrantRefused || len(c.full) == maxAsks {
			c.fail(outcome{kind: outcomeNotRun, reason: fleet.ReasonQueueFull})
			return false
		}
	}
}

// admit decides whether the request is sent to the chosen endpoint. The endpoint's home
// has the last word where instances that know late of each other could crowd.
func (c *call) admit(ctx context.Context) bool {
	c.grant = ""
	limit := c.h.Ledger.MaxQueueWait(admission.Request{Customer: c.customer, TargetLatency: c.edition.aims[c.service], PastTarget: c.late}, time.Now())
	if c.place.Wait > limit {
		return false
	}
	if c.h.Homes == nil || !c.route.Stream || c.place.Wait == 0 && c.place.Runs < easyPart*float64(c.place.Endpoint.Slots) {
		return true
	}
	c.grant = c.h.Homes.Reserve(ctx, fleet.Reservation{Endpoint: c.place.Endpoint.ID, Tokens: c.place.Tokens, Limit: limit})
	c.h.Metrics.Count(gauge.Name("reservations_total", "answer", string(c.grant)))
	if c.grant != fleet.GrantRefused {
		return true
	}
	c.full = append(c.full, c.place.Endpoint.ID)
	return false
}

func (c *call) request() placement.Request {
	return placement.Request{
		Service: c.service, Shared: c.ask.Shared(), AffinityKey: c.ask.Subject(), Tokens: c.ask.Input,
		Stream: c.route.Stream, TargetLatency: c.route.Goal(), Avoid: slices.Concat(c.avoid, c.full),
		Events: c.edition.events(c.service, c.ask.Hint),
	}
}
