package router

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/scheduler"
)

// allSteps returns the steps of a request that this instance and the instance named in
// the request's ID have recorded.
func (r *Router) allSteps(ctx context.Context, id string) []audit.Step {
	steps := r.trail.Steps(id)
	owner, _, _ := strings.Cut(id, ".")
	if owner == r.Name {
		return steps
	}
	var remote []audit.Step
	path := pathSteps + "?id=" + url.QueryEscape(id)
	if err := r.askPeer(ctx, http.MethodGet, owner, path, nil, &remote, sendTimeout); err == nil {
		steps = append(steps, remote...)
	}
	slices.SortFunc(steps, func(a, b audit.Step) int { return a.At.Compare(b.At) })
	return steps
}

// claimNote describes what the claims in the log contain about a request whose
// instance has failed or restarted.
func (r *Router) claimNote(ctx context.Context, id string) string {
	c, found, err := r.claims.Find(ctx, id)
	switch {
	case err != nil:
		return "no instance knows the request, and the log service cannot be read"
	case !found:
		return "neither an instance nor the claims in the log know the request"
	}
	return fmt.Sprintf("customer %s claimed key %q; instance %s, incarnation %d, held the claim and no longer knows what became of it", c.Customer, c.Key, c.Holder, c.Incarnation)
}

// updateGauges sets the gauges to their current values.
func (r *Router) updateGauges() {
	set := func(name string, v int) { metrics.GetOrRegisterGauge(name, r.metrics).Update(int64(v)) }
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		status := s.Status()
		set("requests.waiting", status.Waiting)
		set("requests.running", status.Running)
		set("slots.held", status.HeldSlots)
		set("members.live", len(s.Table.Live()))
		for _, a := range s.Standings() {
			name := "shares." + a.Service + "." + a.Customer
			set(name+".lag", int(a.Lead))
			set(name+".waiting", a.Waiting)
		}
		for service, n := range s.IdleSlots() {
			set("slots."+service+".free", n)
		}
	})
	_, version := r.follower.Config()
	set("configuration.version", int(version))
	set("claims.appends", r.claims.Appends())
	granted, refused := r.starts.home.Counts()
	set("starts.granted", int(granted))
	set("starts.refused", int(refused))
	for domain, last := range r.lastSends() {
		set("evacuations."+domain+".last", int(last.Milliseconds()))
	}
}
