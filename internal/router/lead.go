package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/internal/leader"
	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

const (
	leadInterval = time.Second
	// orderTimeout bounds one order, including the time to load the model.
	orderTimeout = 5 * time.Minute
	// orderRetryDelay is the delay after an order that failed, for example because
	// the weight store could not serve the model.
	orderRetryDelay = 2 * time.Second
	// drainValidity is how long an endpoint stays drained after the leader's last
	// message about it, in case the leader has failed.
	drainValidity = 3 * time.Second
)

// leadership is the state of the instance for leading its failure domain.
type leadership struct {
	lease   *leader.Lease
	leading bool
	// An endpoint gets no order while one is in progress, nor before its
	// nextOrderAt.
	orderPending map[string]bool
	nextOrderAt  map[string]time.Time
	// drainUntil maps each endpoint that a leader drains to the time at which the
	// drain ends unless it is renewed.
	drainUntil map[string]time.Time
	draining   []string          // endpoints that this instance drains as the leader
	waitingFor map[string]string // dependency that is not ready, by service
}

// lead updates the lease of the instance's failure domain and, if the instance is the
// leader, sends the orders that are due.
func (r *Router) lead(ctx context.Context) {
	candidate := false
	r.dispatcher.With(func(s *scheduler.Scheduler) { candidate = s.Table.Owner("leader", r.Domain) == r.Name })
	l := r.lease()
	advanceCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	err := l.Advance(advanceCtx, candidate && !r.isStopping(), time.Now)
	cancel()
	_, leads := l.Leads(time.Now())
	r.recordLeadership(leads, err)
	if !leads {
		return
	}
	config := r.policy.config.Load()
	if config == nil {
		return
	}
	plan := leader.NewPlan(*config, r.planEndpoints(), r.servable)
	r.setDraining(plan)
	for _, o := range plan.Orders {
		r.startOrder(ctx, *config, o)
	}
}

func (r *Router) lease() *leader.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leadership.lease == nil {
		r.leadership = leadership{
			lease:        &leader.Lease{Self: r.Name, Incarnation: r.self.Incarnation, Domain: r.Domain, Log: r.Log},
			orderPending: map[string]bool{}, nextOrderAt: map[string]time.Time{}, drainUntil: map[string]time.Time{},
		}
	}
	return r.leadership.lease
}

func (r *Router) recordLeadership(leads bool, cause error) {
	r.mu.Lock()
	changed := r.leadership.leading != leads
	r.leadership.leading = leads
	if !leads {
		r.leadership.draining = nil
	}
	r.mu.Unlock()
	if !changed {
		return
	}
	e := audit.Entry{Type: audit.EventLeader, Subject: "domain " + r.Domain, Change: "led by " + r.Name, Cause: "record in the log"}
	if !leads {
		e.Change, e.Cause = "no longer led by "+r.Name, "lease lapsed or taken over"
	}
	if cause != nil {
		e.Cause = cause.Error()
	}
	r.trail.Add(e)
}

// planEndpoints returns the endpoints of the instance's failure domain as input for the
// plan.
func (r *Router) planEndpoints() []leader.Endpoint {
	r.mu.Lock()
	states := r.endpoints.States(time.Now())
	r.mu.Unlock()
	planned := make([]leader.Endpoint, len(states))
	var wg sync.WaitGroup
	for i, s := range states {
		if s.Domain != r.Domain {
			continue
		}
		wg.Go(func() { planned[i] = r.planEndpoint(s) })
	}
	wg.Wait()
	return slices.DeleteFunc(planned, func(e leader.Endpoint) bool { return e.Name == "" })
}

// planEndpoint requests the load from the endpoint itself, because its home may be
// another instance.
func (r *Router) planEndpoint(s endpoint.State) leader.Endpoint {
	load, err := r.fetchLoad(context.Background(), s.Name)
	return leader.Endpoint{
		Name: s.Name, Service: s.Service, Model: load.Model, Version: load.Version, Role: load.Role,
		Running: load.Running, Reported: err == nil, Leaving: load.Leaving || endpoint.Reason(s.ClosedReason) == endpoint.ReasonLeaving,
	}
}

func (r *Router) setDraining(plan leader.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leadership.draining = plan.Drain
	r.leadership.waitingFor = plan.Waits
	for _, name := range plan.Drain {
		r.leadership.drainUntil[name] = time.Now().Add(drainValidity)
	}
}

// isDraining reports whether a leader drains an endpoint. The caller holds r.mu.
func (r *Router) isDraining(name string, now time.Time) bool {
	return now.Before(r.leadership.drainUntil[name])
}

// startOrder sends an order in a new goroutine, unless one is in progress for the
// endpoint or the last one failed less than orderRetryDelay ago.
func (r *Router) startOrder(ctx context.Context, config arrangement.Config, o leader.Order) {
	now := time.Now()
	r.mu.Lock()
	in, ok := r.endpoints.Instance(o.Endpoint)
	skip := !ok || r.leadership.orderPending[o.Endpoint] || now.Before(r.leadership.nextOrderAt[o.Endpoint])
	if !skip {
		r.leadership.orderPending[o.Endpoint] = true
	}
	r.mu.Unlock()
	if skip {
		return
	}
	service, _ := config.Service(in.Service)
	go func() {
		err := r.sendOrder(ctx, service, o)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.leadership.orderPending, o.Endpoint)
		if err != nil {
			r.leadership.nextOrderAt[o.Endpoint] = time.Now().Add(orderRetryDelay)
		}
	}()
}

// sendOrder checks the lease once more and sends the order. The endpoint's next load
// report shows whether the order took effect; if not, the order is sent again.
func (r *Router) sendOrder(ctx context.Context, service arrangement.Service, o leader.Order) error {
	now := time.Now()
	fence, leads := r.lease().Leads(now)
	if !leads || !service.Fencing && !r.lease().SafeWithoutFencing(now) {
		return leader.ErrUnavailable
	}
	o.Fence, o.From = fence, r.Name
	data, err := json.Marshal(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := r.callEndpoint(ctx, endpoint.UseOrder, o.Endpoint, http.MethodPost, "/order", data)
	if err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("router: endpoint answered status %d to an order", resp.StatusCode)
		}
	}
	e := audit.Entry{Type: audit.EventOrder, Subject: o.Endpoint, Change: fmt.Sprintf("%s %s, fencing number %d", o.Model, o.Version, fence), Cause: "carried out"}
	if err != nil {
		e.Cause = err.Error()
	}
	r.trail.Add(e)
	return err
}

// drainPart sends peers the endpoints that this instance drains as the leader.
type drainPart struct {
	r *Router
}

func (drainPart) key() string       { return "d" }
func (drainPart) sent(string, bool) {}

func (d drainPart) compose(string) json.RawMessage {
	d.r.mu.Lock()
	defer d.r.mu.Unlock()
	if len(d.r.leadership.draining) == 0 {
		return nil
	}
	data, err := json.Marshal(d.r.leadership.draining)
	if err != nil {
		return nil
	}
	return data
}

func (d drainPart) receive(_ member.Member, data json.RawMessage) error {
	var names []string
	if err := json.Unmarshal(data, &names); err != nil {
		return fmt.Errorf("router: unreadable list of drained endpoints: %w", err)
	}
	d.r.lease()
	d.r.mu.Lock()
	defer d.r.mu.Unlock()
	for _, name := range names {
		d.r.leadership.drainUntil[name] = time.Now().Add(drainValidity)
	}
	return nil
}

// hasRequiredModel reports whether an endpoint has loaded the model that its service
// needs. Any version of the model is accepted, so that a new version can be rolled
// out.
func (r *Router) hasRequiredModel(service string, l endpoint.Load) bool {
	config := r.policy.config.Load()
	if config == nil {
		return true
	}
	s, ok := config.Service(service)
	return ok && (s.Model == "" || s.Model == l.Model)
}

// readiness holds which services can be served. It is recomputed whenever endpoints,
// members or the configuration change.
type readiness struct {
	// servable contains the services that have an endpoint that can serve them.
	servable map[string]bool
	// domains contains, by service, the failure domains that have such an endpoint.
	domains map[string]map[string]bool
	// missing maps each service that is not ready to the service that is not
	// servable: the service itself or one that it depends on.
	missing map[string]string
}

// updateReadiness recomputes the readiness.
func (r *Router) updateReadiness(states []endpoint.State) {
	config := r.policy.config.Load()
	if config == nil {
		return
	}
	current := &readiness{servable: map[string]bool{}, domains: map[string]map[string]bool{}, missing: map[string]string{}}
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		for _, e := range states {
			if e.Ready && s.Home(e.Name) != "" {
				current.servable[e.Service] = true
				if current.domains[e.Service] == nil {
					current.domains[e.Service] = map[string]bool{}
				}
				current.domains[e.Service][e.Domain] = true
			}
		}
	})
	for _, s := range config.Services {
		if missing, ok := current.check(*config, s.Name); !ok {
			current.missing[s.Name] = missing
		}
	}
	r.readiness.Store(current)
}

// check reports whether a service and all services that it depends on can be served.
// If not, it returns the first service that cannot.
func (n *readiness) check(config arrangement.Config, service string) (string, bool) {
	s, _ := config.Service(service)
	for _, need := range s.Needs {
		if missing, ok := n.check(config, need); !ok {
			return missing, false
		}
	}
	return service, n.servable[service]
}

// servable reports whether a service has an endpoint that can serve it.
func (r *Router) servable(service string) bool {
	current := r.readiness.Load()
	return current != nil && current.servable[service]
}

// serviceReady implements caller.Ready: a service is ready if it and all services that
// it depends on can be served.
func (r *Router) serviceReady(service string) (string, bool) {
	current := r.readiness.Load()
	if current == nil {
		return service, false
	}
	missing, notReady := current.missing[service]
	return missing, !notReady
}
