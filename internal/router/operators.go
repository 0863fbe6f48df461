package router

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/publication"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/operator"
)

// publishTimeout bounds a publication, publishPoll is how often its progress is
// looked at.
const (
	publishTimeout = 20 * time.Second
	publishPoll    = 20 * time.Millisecond
	// inForceTimeout is how long a publication waits for instances to report
	// it; what has not reported by then is said.
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
	if why := r.unready(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, "ready")
}

// unready says why the balancer must not send requests here, or returns "".
func (r *Router) unready() string {
	if r.isStopping() {
		return "stopping"
	}
	if _, version := r.follower.Text(); version == 0 {
		return "no configuration is in force yet"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listed {
		return "the instance list has not been read yet"
	}
	return ""
}

func (r *Router) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	r.gauges()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.metrics)
}

// status collects what the instance knows about itself and its peers.
func (r *Router) status() operator.Status {
	st := operator.Status{Name: r.Name, Domain: r.Domain, Incarnation: r.self.Incarnation, Stopping: r.isStopping()}
	_, st.Version = r.follower.Text()
	st.SentBytes, st.UptimeSeconds = r.bytesSent.Count(), time.Since(r.started).Seconds()
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		own := s.Status()
		st.Waiting, st.Running, st.HeldSlots, st.HomeEndpoints = own.Waiting, own.Running, own.Held, own.Homed
		st.UnsettledEndpoints = own.Unsettled
		for _, m := range s.Table.Peers() {
			st.Members = append(st.Members, operator.Member{Name: m.Name, Domain: m.Domain, State: string(m.State), Leaving: m.Leaving})
		}
		for _, a := range s.Accounts() {
			st.CustomerAccounts = append(st.CustomerAccounts, operator.Account{Service: a.Service, Customer: a.Customer, Lag: a.Lag, Waiting: a.Waiting, Running: a.Running})
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints.States(time.Now()) {
		st.Endpoints = append(st.Endpoints, operator.Endpoint{
			Name: e.Name, Service: e.Service, Domain: e.Domain, Slots: e.Slots, Ready: e.Ready, ClosedReason: e.Why,
		})
	}
	for i := range st.Members {
		st.Members[i].Version = r.versions[st.Members[i].Name]
	}
	if r.leaders.lease != nil {
		st.Leader = r.leaders.lease.Holder()
	}
	st.WaitsFor = r.leaders.waits
	return st
}

func (r *Router) serveConfiguration(w http.ResponseWriter, _ *http.Request) {
	text, version := r.follower.Text()
	writeJSON(w, operator.Configuration{Version: version, Text: text})
}

// servePublish publishes a text and waits until it is in force at every live
// instance or inForceTimeout has passed.
func (r *Router) servePublish(w http.ResponseWriter, req *http.Request) {
	var p publication.Proposal
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxMessage)).Decode(&p); err != nil {
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
		_ = json.NewEncoder(w).Encode(refusal(err))
		return
	}
	writeJSON(w, operator.PublishResult{Version: version, Instances: r.inForce(ctx, version, started)})
}

func publishStatus(err error) int {
	var invalid *publication.Invalid
	var race *publication.Race
	switch {
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity
	case errors.As(err, &race):
		return http.StatusConflict
	}
	return http.StatusServiceUnavailable
}

func refusal(err error) operator.Refusal {
	answer := operator.Refusal{Message: err.Error()}
	var faults arrangement.Faults
	if errors.As(err, &faults) {
		answer.Faults = faults
	}
	return answer
}

// inForce waits until the live instances report a version and tells how long each
// took.
func (r *Router) inForce(ctx context.Context, version int64, started time.Time) []operator.InstanceResult {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	reports := []operator.InstanceResult{{Instance: r.Name, Millis: time.Since(started).Milliseconds(), InForce: true}}
	reported := map[string]bool{r.Name: true}
	for {
		missing := r.reportsOf(version, started, reported, &reports)
		if len(missing) == 0 {
			return reports
		}
		select {
		case <-time.After(publishPoll):
		case <-ctx.Done():
			for _, name := range missing {
				reports = append(reports, operator.InstanceResult{Instance: name})
			}
			return reports
		}
	}
}

func (r *Router) reportsOf(version int64, started time.Time, reported map[string]bool, reports *[]operator.InstanceResult) []string {
	var live []member.Member
	r.dispatcher.With(func(s *scheduler.Scheduler) { live = s.Table.Expected() })
	r.mu.Lock()
	defer r.mu.Unlock()
	var missing []string
	for _, m := range live {
		if reported[m.Name] {
			continue
		}
		if r.versions[m.Name] < version {
			missing = append(missing, m.Name)
			continue
		}
		reported[m.Name] = true
		*reports = append(*reports, operator.InstanceResult{Instance: m.Name, Millis: time.Since(started).Milliseconds(), InForce: true})
	}
	return missing
}

// serveExplain tells the way of a request: what this instance knows, what the
// instance in its ID knows, and what the log knows if that one is gone.
func (r *Router) serveExplain(w http.ResponseWriter, req *http.Request) {
	id := req.PathValue("id")
	answer := operator.Explanation{Request: id}
	for _, s := range r.allSteps(req.Context(), id) {
		answer.Steps = append(answer.Steps, operator.Step{At: s.At, Instance: s.Instance, Step: s.Step, Detail: s.Detail})
	}
	if len(answer.Steps) == 0 {
		answer.Note = r.claimNote(req.Context(), id)
	}
	writeJSON(w, answer)
}

func (r *Router) serveSteps(w http.ResponseWriter, req *http.Request) {
	steps := r.trail.Steps(req.URL.Query().Get("id"))
	if steps == nil {
		steps = []audit.Step{}
	}
	writeJSON(w, steps)
}
