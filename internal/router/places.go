package router

import (
	"fmt"
	"time"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/evacuation"
	"github.com/greengagestep/greengagestep/internal/publication"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// places holds which failure domains are emptied, and when requests were last sent to each domain.
// Router.mu guards it.
type places struct {
	evacuations evacuation.Set
	lastSends   map[string]time.Time
}

func (p *places) recordSend(domain string, now time.Time) {
	if p.lastSends == nil {
		p.lastSends = map[string]time.Time{}
	}
	p.lastSends[domain] = now
}

// applyEvacuations records the failure domains that a new configuration empties or takes back.
func (r *Router) applyEvacuations(domains []string, o publication.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := map[string]bool{}
	var changes []evacuation.Change
	for _, domain := range domains {
		kept[domain] = true
		changes = append(changes, r.places.evacuations.Put(domain, evacuation.Record{Domain: domain}, o.Since)...)
	}
	changes = append(changes, r.places.evacuations.Retain(kept)...)
	for _, c := range changes {
		change := "emptied"
		if !c.Emptied {
			change = "taken back"
			r.endpoints.MarkDomainCold(c.Domain, time.Now())
		}
		r.trail.Add(audit.Entry{
			Type: audit.EventEvacuation, Subject: "failure domain " + c.Domain, Change: change,
			Cause: fmt.Sprintf("configuration version %d, %s, at most %d ms ago", o.Version, o.Cause, time.Since(o.Since).Milliseconds()),
		})
	}
}

// lastSends returns, for each emptied failure domain, how long after its evacuation at most this
// instance last sent a request there that is no poll of load; 0 means before.
func (r *Router) lastSends() map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := map[string]time.Duration{}
	for _, e := range r.places.evacuations.List() {
		last[e.Domain] = max(0, r.places.lastSends[e.Domain].Sub(e.Since))
	}
	return last
}

// refusalReason implements caller.Handler's RefusalReason.
func (r *Router) refusalReason(service, customer string) fleet.Reason {
	config, domains := r.policy.config.Load(), r.policy.domainsOf(customer)
	if config == nil {
		return ""
	}
	if len(config.Evacuated) > 0 {
		r.mu.Lock()
		evacuated := r.endpoints.IsEvacuated(service, domains)
		r.mu.Unlock()
		if evacuated {
			return fleet.ReasonEvacuated
		}
	}
	if domains == nil || !r.servable(service) {
		return ""
	}
	for domain := range r.readiness.Load().domains[service] {
		if domains[domain] {
			return ""
		}
	}
	return fleet.ReasonRegion
}

// refuseWaiting refuses the requests that wait here and that no endpoint takes for a while.
func (r *Router) refuseWaiting() {
	var waiting []share.Key
	r.dispatcher.With(func(s *scheduler.Scheduler) { waiting = s.Queue.AllKeys() })
	for _, k := range waiting {
		reason := r.refusalReason(k.Service, k.Customer)
		if _, quiet := r.quietUntil(k.Service, k.Customer); quiet {
			reason = fleet.ReasonQuiet
		}
		if reason != "" {
			r.dispatcher.With(func(s *scheduler.Scheduler) { s.RefuseWaiting(k, reason) })
		}
	}
}
