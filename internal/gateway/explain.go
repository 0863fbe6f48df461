package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Explanation says where a request would go now, and why.
type Explanation struct {
	// Version is that of the configuration.
	Version  int64  `json:"version"`
	Route    string `json:"route"`
	Customer string `json:"customer,omitempty"`
	// Overload is the fraction of the work that is refused because the processor cannot keep up,
	// late and costly requests first.
	Overload float64 `json:"overload"`
	// Regions lists those whose endpoints may get the request; nil means all.
	Regions []string `json:"regions"`
	// Targets are the services of the route, one of which is drawn for each request.
	Targets []Target `json:"targets"`
}

// Target is what would become of a request that goes to a certain service.
type Target struct {
	Service string `json:"service"`
	// Share is the fraction of the requests of the route that go to the service.
	Share float64 `json:"share"`
	// Refused is why the request would be refused; empty means that it would be sent.
	Refused fleet.Reason `json:"refused,omitempty"`
	// Endpoint is the one that gets the request; empty if it would be refused.
	Endpoint string `json:"endpoint,omitempty"`
	// Weighing is how the cached tokens were weighed against the wait, Pressure the probability
	// that the time of another endpoint is needed by others.
	Weighing placement.Weighing `json:"weighing,omitempty"`
	Pressure float64            `json:"pressure"`
	// Limit is the longest wait with which it is admitted, in milliseconds; negative means
	// that there is none. It is that of a first attempt of the caller.
	Limit float64 `json:"limit"`
	// Asks is set if the home of the endpoint is asked first, and may refuse.
	Asks bool `json:"asks"`
	// Candidates are the endpoints of the service in the order of their costs.
	Candidates []placement.Candidate `json:"candidates"`
}

// ErrNoConfiguration, ErrUnknownRoute and ErrUnknownKey are the errors of Explain.
var (
	ErrNoConfiguration = errors.New("gateway: no configuration is in force yet")
	ErrUnknownRoute    = errors.New("gateway: no route has this host and path")
	ErrUnknownKey      = errors.New("gateway: the key belongs to no customer")
)

// Explain returns where a request with the host, path and headers of a caller's would go now. It
// sends nothing, and nothing is counted or learned from it.
func (h *Handler) Explain(r *http.Request) (Explanation, error) {
	now := time.Now()
	c := &call{h: h, r: r, arrived: now, attrs: h.HeaderCodec.DecodeRequest(r.Header), config: h.config.Load()}
	if c.config == nil {
		return Explanation{}, ErrNoConfiguration
	}
	var ok bool
	if c.route, ok = c.config.routes.Find(r.Host, r.URL.Path); !ok {
		return Explanation{}, ErrUnknownRoute
	}
	if !c.route.Public && !c.config.noAuth {
		if c.customer, ok = c.config.customers[c.attrs.Key]; !ok || c.attrs.Key == "" {
			return Explanation{}, ErrUnknownKey
		}
	}
	e := Explanation{Version: c.config.version, Route: c.route.Name, Customer: c.customer, Regions: c.config.allowedRegions(c.route, c.customer)}
	if h.Overload != nil {
		e.Overload = h.Overload.RejectFraction()
	}
	total := 0.0
	for _, t := range c.route.Targets {
		total += t.Weight
	}
	for _, t := range c.route.Targets {
		c.service = t.Service
		target := c.explainTarget(now)
		target.Share = 1 / float64(len(c.route.Targets))
		if total > 0 {
			target.Share = t.Weight / total
		}
		e.Targets = append(e.Targets, target)
	}
	return e, nil
}

// explainTarget returns what would become of the request at its service.
func (c *call) explainTarget(now time.Time) Target {
	c.maxWait = c.h.Ledger.MaxQueueWait(c.admissionRequest(), now)
	t := Target{Service: c.service, Limit: -1, Candidates: c.h.Balancer.Explain(c.placementRequest(), now)}
	if c.config.targetLatencies[c.service] > 0 {
		t.Limit = float64(c.maxWait) / float64(time.Millisecond)
	}
	choice, ok := c.h.Balancer.Weigh(c.placementRequest(), now)
	if !ok {
		t.Refused = c.h.Balancer.RefusalReason(c.placementRequest(), now)
		return t
	}
	t.Weighing, t.Pressure = choice.Weighing, choice.Pressure
	if choice.Weighing == placement.WeighingOver {
		t.Refused = fleet.ReasonQueueFull
		return t
	}
	t.Endpoint = choice.Endpoint.ID
	t.Asks = choice.Cold || c.h.Homes != nil && c.route.Stream &&
		(c.h.Homes.Partial() || choice.Wait > 0 || choice.Runs >= lowLoadFraction*float64(choice.Endpoint.Slots))
	return t
}
