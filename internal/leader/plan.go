package leader

import (
	"slices"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// changeDivisor limits how many endpoints of a service may be out of service at a time
// while their model is changed: one in this many, but at least one.
const changeDivisor = 4

// Endpoint is the state of one endpoint that a plan is made from.
type Endpoint struct {
	Name    string
	Service string
	// Model, Version and Role describe the model that is loaded; Running is the
	// number of requests in progress.
	Model   string
	Version string
	Role    string
	Running int
	// Reported is false if the endpoint has not reported its load. Leaving is true
	// if it is about to leave the fleet. An endpoint gets no order in either case.
	Reported bool
	Leaving  bool
}

// Order instructs an endpoint to load a model in a given version and role.
type Order struct {
	Endpoint string `json:"-"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Role     string `json:"role,omitempty"`
	Fence    int64  `json:"fence"`
	From     string `json:"from"`
}

// Plan is what the leader has to do now.
type Plan struct {
	// Orders can be sent at once: their endpoints either do not have the model
	// loaded or run no requests.
	Orders []Order
	// Drain lists endpoints that must get no new requests, because their model is
	// to be changed.
	Drain []string
	// Waits maps each service that gets no orders yet to a dependency that is not
	// ready.
	Waits map[string]string
}

// NewPlan returns the plan for the endpoints of one failure domain. ready reports whether
// a service is ready anywhere in the fleet.
func NewPlan(config arrangement.Config, endpoints []Endpoint, ready func(service string) bool) Plan {
	plan := Plan{Waits: map[string]string{}}
	for _, s := range config.Services {
		model, ok := config.Model(s.Model)
		if !ok {
			continue
		}
		if need, waits := missingDependency(s, ready); waits {
			plan.Waits[s.Name] = need
			continue
		}
		plan.addService(s, model, endpoints)
	}
	return plan
}

func missingDependency(s arrangement.Service, ready func(string) bool) (string, bool) {
	for _, need := range s.Needs {
		if !ready(need) {
			return need, true
		}
	}
	return "", false
}

// addService plans one service. Endpoints without the model get an order at once. Those
// with another version or role of it are drained a few at a time and get an order once
// they run no requests.
func (p *Plan) addService(s arrangement.Service, model arrangement.Model, endpoints []Endpoint) {
	var members, outdated []Endpoint
	loading := 0
	for _, e := range endpoints {
		if e.Service != s.Name || e.Leaving || !e.Reported {
			continue
		}
		members = append(members, e)
		if e.Model != model.Name {
			p.addOrder(e, model)
			loading++
			continue
		}
		if e.Version != model.Version || e.Role != model.Role {
			outdated = append(outdated, e)
		}
	}
	slices.SortFunc(outdated, func(a, b Endpoint) int {
		if a.Running != b.Running {
			return a.Running - b.Running
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	allowed := max(1, len(members)/changeDivisor) - loading
	for _, e := range outdated[:max(0, min(allowed, len(outdated)))] {
		p.Drain = append(p.Drain, e.Name)
		if e.Running == 0 {
			p.addOrder(e, model)
		}
	}
}

func (p *Plan) addOrder(e Endpoint, model arrangement.Model) {
	p.Orders = append(p.Orders, Order{Endpoint: e.Name, Model: model.Name, Version: model.Version, Role: model.Role})
}
