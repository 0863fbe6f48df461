package router

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	// orderTimeout bounds one order, loading included.
	orderTimeout = 5 * time.Minute
	// orderPause follows an order that was not carried out, such as one that
	// the weight store could not serve.
	orderPause = 2 * time.Second
	// drainTerm is how long an endpoint stays drained without being told
	// again, in case the leader is gone.
	drainTerm = 3 * time.Second
)

var errNotListed = errors.New("router: endpoint is not in the instance list")

// leadership is what the instance keeps for the duty of leading its domain.
type leadership struct {
	lease   *leader.Lease
	leading bool
	// busy and paused endpoints get no order now.
	busy   map[string]bool
	paused map[string]time.Time
	// drained holds endpoints that a leader wants to be left alone, until.
	drained map[string]time.Time
	drain   []string
	waits   map[string]string
}

// lead follows the leadership of the own failure domain and, as its leader, gives
// the orders that are due.
func (r *Router) lead(ctx context.Context) {
	candidate := false
	r.dispatcher.With(func(s *scheduler.Scheduler) { candidate = s.Table.Owner("leader", r.Domain) == r.Name })
	l := r.lease()
	advanceCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	err := l.Advance(advanceCtx, candidate && !r.isStopping(), time.Now)
	cancel()
	_, leads := l.Leads(time.Now())
	r.noteLeading(leads, err)
	if !leads {
		return
	}
	text := r.policy.text.Load()
	if text == nil {
		return
	}
	plan := leader.Make(*text, r.planned(), r.servable)
	r.setDrain(plan)
	for _, o := range plan.Orders {
		r.give(ctx, *text, o)
	}
}

func (r *Router) lease() *leader.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaders.lease == nil {
		r.leaders = leadership{
			lease: &leader.Lease{Self: r.Name, Incarnation: r.self.Incarnation, Domain: r.Domain, Log: r.Log},
			busy:  map[string]bool{}, paused: map[string]time.Time{}, drained: map[string]time.Time{},
		}
	}
	return r.leaders.lease
}

func (r *Router) noteLeading(leads bool, cause error) {
	r.mu.Lock()
	changed := r.leaders.leading != leads
	r.leaders.leading = leads
	if !leads {
		r.leaders.drain = nil
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

// planned returns the endpoints of the own domain as the plan sees them.
func (r *Router) planned() []leader.Endpoint {
	r.mu.Lock()
	states := r.endpoints.States(time.Now())
	r.mu.Unlock()
	loads := make([]leader.Endpoint, len(states))
	var wg sync.WaitGroup
	for i, s := range states {
		if s.Domain != r.Domain {
			continue
		}
		wg.Go(func() { loads[i] = r.plannedOne(s) })
	}
	wg.Wait()
	return slices.DeleteFunc(loads, func(e leader.Endpoint) bool { return e.Name == "" })
}

// plannedOne asks an endpoint itself, since its home may be another instance.
func (r *Router) plannedOne(s endpoint.State) leader.Endpoint {
	load, err := r.load(context.Background(), s.Name)
	return leader.Endpoint{
		Name: s.Name, Service: s.Service, Model: load.Model, Version: load.Version, Role: load.Role,
		Running: load.Running, Reported: err == nil, Leaving: load.Leaving || s.Why == "leaving",
	}
}

func (r *Router) setDrain(plan leader.Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaders.drain = plan.Drain
	r.leaders.waits = plan.Waits
	for _, name := range plan.Drain {
		r.leaders.drained[name] = time.Now().Add(drainTerm)
	}
}

// isDrained reports whether a leader wants an endpoint to be left alone. The
// caller holds the lock.
func (r *Router) isDrained(name string, now time.Time) bool {
	return now.Before(r.leaders.drained[name])
}

// give gives an order, unless one is under way or the last one failed just now.
func (r *Router) give(ctx context.Context, text arrangement.Config, o leader.Order) {
	now := time.Now()
	r.mu.Lock()
	in, ok := r.endpoints.Instance(o.Endpoint)
	skip := !ok || r.leaders.busy[o.Endpoint] || now.Before(r.leaders.paused[o.Endpoint])
	if !skip {
		r.leaders.busy[o.Endpoint] = true
	}
	r.mu.Unlock()
	if skip {
		return
	}
	service, _ := text.Service(in.Service)
	go func() {
		err := r.order(ctx, service, in.Address, o)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.leaders.busy, o.Endpoint)
		if err != nil {
			r.leaders.paused[o.Endpoint] = time.Now().Add(orderPause)
		}
	}()
}

// order checks the lease once more and sends the order. The endpoint's next load
// report shows whether it took effect; if not, the order is given again.
func (r *Router) order(ctx context.Context, service arrangement.Service, address string, o leader.Order) error {
	now := time.Now()
	fence, leads := r.lease().Leads(now)
	if !leads || !service.Fencing && !r.lease().Settled(now) {
		return leader.ErrUnavailable
	}
	o.Fence, o.From = fence, r.Name
	data, err := json.Marshal(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/order", bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := r.endpointClient.Do(req)
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

// drainPart tells peers which endpoints the leader wants to be left alone.
type drainPart struct {
	r *Router
}

func (drainPart) name() string      { return "d" }
func (drainPart) sent(string, bool) {}

func (d drainPart) compose(string) json.RawMessage {
	d.r.mu.Lock()
	defer d.r.mu.Unlock()
	if len(d.r.leaders.drain) == 0 {
		return nil
	}
	data, err := json.Marshal(d.r.leaders.drain)
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
		d.r.leaders.drained[name] = time.Now().Add(drainTerm)
	}
	return nil
}

// wants reports whether an endpoint has loaded what its service needs. Any version
// of the model serves, so that a change of version can be rolled out.
func (r *Router) wants(service string, l endpoint.Load) bool {
	text := r.policy.text.Load()
	if text == nil {
		return true
	}
	s, ok := text.Service(service)
	return ok && (s.Model == "" || s.Model == l.Model)
}

// readiness says which services can be served. It is worked out anew whenever
// endpoints, members or the configuration change.
type readiness struct {
	// servable services have an endpoint that can serve them.
	servable map[string]bool
	// missing names, for services that are not ready, what they wait for.
	missing map[string]string
}

// workOut brings the readiness up to date.
func (r *Router) workOut(states []endpoint.State) {
	text := r.policy.text.Load()
	if text == nil {
		return
	}
	now := &readiness{servable: map[string]bool{}, missing: map[string]string{}}
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		for _, e := range states {
			if e.Ready && s.Home(e.Name) != "" {
				now.servable[e.Service] = true
			}
		}
	})
	for _, s := range text.Services {
		if missing, ok := now.check(*text, s.Name); !ok {
			now.missing[s.Name] = missing
		}
	}
	r.readiness.Store(now)
}

// check reports whether a service and all that it depends on can be served, and
// which one cannot.
func (n *readiness) check(text arrangement.Config, service string) (string, bool) {
	s, _ := text.Service(service)
	for _, need := range s.Needs {
		if missing, ok := n.check(text, need); !ok {
			return missing, false
		}
	}
	return service, n.servable[service]
}

// servable reports whether a service has an endpoint that can serve it.
func (r *Router) servable(service string) bool {
	now := r.readiness.Load()
	return now != nil && now.servable[service]
}

// serviceReady implements caller.Ready: a service is ready if all that it depends
// on is.
func (r *Router) serviceReady(service string) (string, bool) {
	now := r.readiness.Load()
	if now == nil {
		return service, false
	}
	missing, waits := now.missing[service]
	return missing, !waits
}
