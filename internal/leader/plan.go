package leader

import (
	"slices"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// changePart is the part of a service's endpoints that may be out of service at a
// time while their model is changed: one in this many.
const changePart = 4

// Endpoint is what the plan knows about one endpoint.
type Endpoint struct {
	Name    string
	Service string
	// Model, Version and Role are what it has loaded; Running is how many
	// requests it runs.
	Model   string
	Version string
	Role    string
	Running int
	// Reported is false if it has not reported its load.
	Reported bool
	Leaving  bool
}

// Order is what an endpoint has to load.
type Order struct {
	Endpoint string `json:"-"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Role     string `json:"role,omitempty"`
	Fence    int64  `json:"fence"`
	From     string `json:"from"`
}

// Plan says what the leader has to do now.
type Plan struct {
	// Orders can be given at once: nothing runs on their endpoints.
	Orders []Order
	// Drain lists endpoints that must get no new work, because their model is
	// to be changed.
	Drain []string
	// Waits names, for services that are not ordered up yet, the dependency
	// that is not ready.
	Waits map[string]string
}

// Make works out the plan for the endpoints of one failure domain. Ready tells
// whether a service is ready anywhere in the fleet.
func Make(text arrangement.Config, endpoints []Endpoint, ready func(service string) bool) Plan {
	plan := Plan{Waits: map[string]string{}}
	for _, s := range text.Services {
		model, ok := text.Model(s.Model)
		if !ok {
			continue
		}
		if need, waits := missing(s, ready); waits {
			plan.Waits[s.Name] = need
			continue
		}
		plan.service(s, model, endpoints)
	}
	return plan
}

func missing(s arrangement.Service, ready func(string) bool) (string, bool) {
	for _, need := range s.Needs {
		if !ready(need) {
			return need, true
		}
	}
	return "", false
}

// service plans one service: endpoints without the model are ordered at once, the
// ones with another version a few at a time, once nothing runs on them.
func (p *Plan) service(s arrangement.Service, model arrangement.Model, endpoints []Endpoint) {
	var own, old []Endpoint
	out := 0
	for _, e := range endpoints {
		if e.Service != s.Name || e.Leaving || !e.Reported {
			continue
		}
		own = append(own, e)
		if e.Model != model.Name {
			p.order(e, model)
			out++
			continue
		}
		if e.Version != model.Version || e.Role != model.Role {
			old = append(old, e)
		}
	}
	slices.SortFunc(old, func(a, b Endpoint) int {
		if a.Running != b.Running {
			return a.Running - b.Running
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	allowed := max(1, len(own)/changePart) - out
	for _, e := range old[:max(0, min(allowed, len(old)))] {
		p.Drain = append(p.Drain, e.Name)
		if e.Running == 0 {
			p.order(e, model)
		}
	}
}

func (p *Plan) order(e Endpoint, model arrangement.Model) {
	p.Orders = append(p.Orders, Order{Endpoint: e.Name, Model: model.Name, Version: model.Version, Role: model.Role})
}
