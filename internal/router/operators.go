package router

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/publication"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/operator"
)

// publishTimeout bounds a publication, publishPollInterval is how often its progress
// is checked.
const (
	publishTimeout      = 20 * time.Second
	publishPollInterval = 20 * time.Millisecond
	// inForceTimeout is how long a publication waits for instances to report its
	// version. The reply lists the instances that have not reported it by then.
	inForceTimeout = 9 * time.Second
)

func (r *Router) operatorsMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, "live") })
	mux.HandleFunc("GET /ready", r.serveReady)
	mux.HandleFunc("GET /metrics", r.serveMetrics)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.status()) })
	mux.HandleFunc("GET /audit", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.trail.Entries()) })
	mux.HandleFunc("GET /explain/{id}", r.serveExplain)
	mux.HandleFunc("GET /configuration", r.serveConfiguration)
	mux.HandleFunc("POST /configuration", r.servePublish)
	return mux
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := r.unreadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, "ready")
}

// unreadyReason returns why the load balancer must not send requests to this instance,
// or "" if it may.
func (r *Router) unreadyReason() string {
	if r.isStopping() {
		return "stopping"
	}
	if _, version := r.follower.Config(); version == 0 {
		return "no configuration is in force yet"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.instancesListed {
		return "the instance list has not been read yet"
	}
	return ""
}

func (r *Router) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	r.updateGauges()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.metrics)
}

// status returns the state of the instance and what it knows about its peers.
func (r *Router) status() operator.Status {
	status := operator.Status{Name: r.Name, Domain: r.Domain, Incarnation: r.self.Incarnation, Stopping: r.isStopping()}
	var config arrangement.Config
	config, status.Version = r.follower.Config()
	status.Evacuated = config.Evacuated
	status.SentBytes, status.UptimeSeconds = r.bytesSent.Count(), time.Since(r.started).Seconds()
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		own := s.Status()
		status.Waiting, status.Running, status.HeldSlots, status.HomeEndpoints = own.Waiting, own.Running, own.HeldSlots, own.HomeOf
		status.UnsettledEndpoints = own.Recovering
		for _, m := range s.Table.Peers() {
			status.Members = append(status.Members, operator.Member{Name: m.Name, Domain: m.Domain, State: string(m.State), Leaving: m.Leaving})
		}
		for _, a := range s.Standings() {
			status.CustomerAccounts = append(status.CustomerAccounts, operator.Account{Service: a.Service, Customer: a.Customer, Lag: a.Lead, Waiting: a.Waiting, Running: a.Running})
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints.States(time.Now()) {
		switch {
		case e.Quiet && !e.Closed:
			e.ClosedReason = string(endpoint.ReasonQuiet)
		case !e.Closed:
			e.ClosedReason = r.reasonInForce(e.Name)
		}
		status.Endpoints = append(status.Endpoints, operator.Endpoint{
			Name: e.Name, Service: e.Service, Domain: e.Domain, Region: config.Region(e.Domain), Slots: e.Slots, Ready: e.Ready, Cold: e.Cold > 0,
			Evacuated: slices.Contains(config.Evacuated, e.Domain), ClosedReason: e.ClosedReason,
		})
	}
	for i := range status.Members {
		status.Members[i].Version = r.peerVersions[status.Members[i].Name]
	}
	if r.leadership.lease != nil {
		status.Leader = r.leadership.lease.Holder()
	}
	status.WaitsFor = r.leadership.waitingFor
	return status
}

// reasonInForce returns why no request may be granted a slot of an endpoint yet that the table has as
// open, or "".
func (r *Router) reasonInForce(name string) string {
	if reasons := r.inForce.Load(); reasons != nil {
		if reason, ok := (*reasons)[name]; ok {
			return reason
		}
	}
	return string(endpoint.ReasonNoReport)
}

func (r *Router) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	config, version := r.follower.Config()
	writeJSON(w, operator.Configuration{Version: version, Text: config})
}

// servePublish publishes a configuration and waits until it is in force at all expected
// instances or inForceTimeout has passed.
func (r *Router) servePublish(w http.ResponseWriter, req *http.Request) {
	var p publication.Proposal
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxMessageBytes)).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(req.Context(), publishTimeout)
	defer cancel()
	started := time.Now()
	version, err := r.follower.Publish(ctx, p)
	if err != nil {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(publishStatus(err))
		_ = json.NewEncoder(w).Encode(publishRefusal(err))
		return
	}
	writeJSON(w, operator.PublishResult{Version: version, Instances: r.awaitInForce(ctx, version, started)})
}

func publishStatus(err error) int {
	var invalid *publication.Invalid
	var conflict *publication.Conflict
	switch {
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity
	case errors.As(err, &conflict):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

func publishRefusal(err error) operator.Refusal {
	refused := operator.Refusal{Message: err.Error()}
	var faults arrangement.Faults
	if errors.As(err, &faults) {
		refused.Faults = faults
	}
	return refused
}

// awaitInForce waits until all expected instances have reported a version, for at most
// inForceTimeout, and returns how long each took.
func (r *Router) awaitInForce(ctx context.Context, version int64, started time.Time) []operator.InstanceResult {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	reports := []operator.InstanceResult{{Instance: r.Name, Millis: time.Since(started).Milliseconds(), InForce: true}}
	reported := map[string]bool{r.Name: true}
	for {
		missing := r.collectReports(version, started, reported, &reports)
		if len(missing) == 0 {
			return reports
		}
		select {
		case <-time.After(publishPollInterval):
		case <-ctx.Done():
			for _, name := range missing {
				reports = append(reports, operator.InstanceResult{Instance: name})
			}
			return reports
		}
	}
}

func (r *Router) collectReports(version int64, started time.Time, reported map[string]bool, reports *[]operator.InstanceResult) []string {
	var expected []member.Member
	r.dispatcher.With(func(s *scheduler.Scheduler) { expected = s.Table.Expected() })
	r.mu.Lock()
	defer r.mu.Unlock()
	var missing []string
	for _, m := range expected {
		if reported[m.Name] {
			continue
		}
		if r.peerVersions[m.Name] < version {
			missing = append(missing, m.Name)
			continue
		}
		reported[m.Name] = true
		*reports = append(*reports, operator.InstanceResult{Instance: m.Name, Millis: time.Since(started).Milliseconds(), InForce: true})
	}
	return missing
}

// serveExplain responds with the steps of a request that this instance and the instance
// in the request's ID have recorded, or, if there are none, with what the log contains.
func (r *Router) serveExplain(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	explanation := operator.Explanation{Request: id}
	for _, s := range r.allSteps(req.Context(), id) {
		explanation.Steps = append(explanation.Steps, operator.Step{At: s.At, Instance: s.Instance, Step: s.Step, Detail: s.Detail})
	}
	if len(explanation.Steps) == 0 {
		explanation.Note = r.claimNote(req.Context(), id)
	}
	writeJSON(w, explanation)
}

func (r *Router) serveSteps(w http.ResponseWriter, req *http.Request) {
	steps := r.trail.Steps(req.URL.Query().Get("id"))
	if steps == nil {
		steps = []audit.Step{}
	}
	writeJSON(w, steps)
}
