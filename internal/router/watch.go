package router

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/caller"
	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/internal/publication"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

const (
	listInterval = time.Second
	loadInterval = time.Second
	loadTimeout  = time.Second
	// readerPollInterval is how often the readers of a failure domain read the
	// log, nonReaderPollInterval how often all other instances do.
	readerPollInterval    = 500 * time.Millisecond
	nonReaderPollInterval = 5 * time.Second
	// readersPerDomain is how many instances of a failure domain are readers. The
	// others receive new versions from them.
	readersPerDomain    = 2
	snapshotInterval    = 10 * time.Second
	auditAppendInterval = time.Second
	platformTimeout     = 3 * time.Second
	// snapshotAgeDivisor sets the age at which the newest snapshot is replaced by
	// a new one: the log's retention divided by this number.
	snapshotAgeDivisor = 4
	// auditStream is the log stream that holds the audit trail.
	auditStream = "audit"
)

func (r *Router) newEndpointTable() *endpoint.Table {
	t := endpoint.NewTable()
	t.DefaultSlots = func(service string) int {
		if config := r.policy.config.Load(); config != nil {
			if s, ok := config.Service(service); ok {
				return s.Slots
			}
		}
		return 1
	}
	t.HasRequiredModel = r.hasRequiredModel
	t.StartupTime = r.policy.startupTime
	t.Evacuated = func(domain string) bool {
		config := r.policy.config.Load()
		return config != nil && slices.Contains(config.Evacuated, domain)
	}
	t.Draining = func(name string) bool { return r.isDraining(name, time.Now()) }
	t.OnChange = func(c endpoint.Change) {
		r.trail.Add(audit.Entry{Type: audit.EventEndpoint, Subject: c.Name, Change: c.To, Cause: c.Cause})
		if c.Source != "" {
			metrics.GetOrRegisterCounter("endpoints."+c.To+"."+string(c.Source), r.metrics).Inc(1)
		}
		if in, ok := t.Instance(c.Name); ok && c.To == string(endpoint.ReasonLeaving) {
			r.proxyClient.Retire(in.Address)
		}
	}
	return t
}

// applyConfiguration puts a configuration into force at this instance.
func (r *Router) applyConfiguration(config arrangement.Config, o publication.Origin) {
	r.policy.set(config)
	r.caller.SetConfiguration(config)
	r.applyEvacuations(config.Evacuated, o)
	go r.updateEndpoints(time.Now())
}

// pollInstanceList reads the instance list. If the platform cannot be reached, the
// last list stays in use.
func (r *Router) pollInstanceList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := r.List.Instances(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	r.endpoints.SetInstances(list, now)
	r.instancesListed = true
	addresses := map[string]bool{}
	for _, s := range r.endpoints.States(now) {
		addresses[s.Address] = true
	}
	r.mu.Unlock()
	r.proxyClient.Retain(addresses)
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.Table.Seed(list) })
	r.updateEndpoints(now)
}

// updateEndpoints passes the current states of the endpoints to the scheduler and
// recomputes the readiness of services.
func (r *Router) updateEndpoints(now time.Time) {
	r.updateMu.Lock()
	defer r.updateMu.Unlock()
	homed := r.homedNames()
	r.mu.Lock()
	for _, name := range homed {
		// An endpoint taken over from another failure domain may be
		// unreachable from this instance, so the state that its home sent
		// before must not be used.
		if in, _ := r.endpoints.Instance(name); in.Domain != r.Domain {
			r.endpoints.ClearHomeState(name, now)
		}
	}
	states := r.endpoints.States(now)
	r.mu.Unlock()
	endpoints := make([]scheduler.Endpoint, 0, len(states))
	reasons := make(map[string]string, len(states))
	for _, s := range states {
		reasons[s.Name] = s.ClosedReason
		endpoints = append(endpoints, scheduler.Endpoint{
			Name: s.Name, Service: s.Service, Domain: s.Domain, Slots: s.Slots, Closed: s.Closed, Quiet: s.Quiet, Limit: s.Limit,
			StartInterval: r.policy.startInterval(s),
		})
	}
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.SetEndpoints(endpoints, now) })
	r.updateReadiness(states)
	r.refuseWaiting()
	r.schedulePace(states)
	r.inForce.Store(&reasons)
}

// target implements caller.Handler's Target.
func (r *Router) target(name string) (endpoint.Target, endpoint.Verdict) {
	target, verdict := r.check(name, endpoint.UseCaller)
	if !verdict.Allowed() {
		// The scheduler must not grant the same slot again.
		r.updateEndpoints(time.Now())
	}
	return target, verdict
}

// permit implements endpoint.Client's Permit.
func (r *Router) permit(name string) error {
	if _, verdict := r.target(name); !verdict.Allowed() {
		return &endpoint.Withheld{Endpoint: name, Verdict: verdict}
	}
	return nil
}

// check asks the table whether a request may be sent to an endpoint now, and counts those
// that may not.
func (r *Router) check(name string, use endpoint.Use) (endpoint.Target, endpoint.Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target, verdict := r.endpoints.Check(name, use, time.Now())
	if !verdict.Allowed() {
		reason := strings.ReplaceAll(string(verdict.Reason), " ", "-")
		metrics.GetOrRegisterCounter("endpoints.withheld."+reason+"."+string(verdict.Source), r.metrics).Inc(1)
	} else if in, ok := r.endpoints.Instance(name); ok && use != endpoint.UseProbe {
		r.places.recordSend(in.Domain, time.Now())
	}
	return target, verdict
}

// recordAnswer records what an endpoint said about itself. Once it returns, no further
// request is sent there against that.
func (r *Router) recordAnswer(target endpoint.Target, a endpoint.Answer) {
	now := time.Now()
	r.mu.Lock()
	changed := r.endpoints.RecordAnswer(target, a, now)
	r.mu.Unlock()
	if changed {
		r.updateEndpoints(now)
	}
}

func (r *Router) quietUntil(service, customer string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints.QuietUntil(service, r.policy.domainsOf(customer), time.Now())
}

// pollLoads requests load reports from the endpoints that this instance is the home
// of.
func (r *Router) pollLoads(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range r.homedStates() {
		wg.Go(func() { r.pollLoad(ctx, s.Name) })
	}
	wg.Wait()
	r.updateEndpoints(time.Now())
}

func (r *Router) pollLoad(ctx context.Context, name string) {
	started := time.Now()
	load, err := r.fetchLoad(ctx, name)
	var withheld *endpoint.Withheld
	if errors.As(err, &withheld) {
		return
	}
	if err == nil {
		r.dispatcher.With(func(s *scheduler.Scheduler) { s.Observe(name, load.Running) })
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	in, _ := r.endpoints.Instance(name)
	if isTimeout(err) && in.Domain == r.Domain && !r.endpoints.RecordSilence(name, started, now) {
		return
	}
	// The state that an earlier home sent is used until this instance's first
	// request for a load report has ended. Another instance may be the home by then.
	r.endpoints.ClearHomeState(name, started)
	switch {
	case err == nil:
		r.endpoints.RecordResult(name, true, now)
		r.endpoints.RecordLoad(name, load, now)
	case !isTimeout(err) && in.Domain == r.Domain:
		// An endpoint of another failure domain may be unreachable only from this
		// instance. An ejection would last longer than the partition.
		r.endpoints.RecordResult(name, false, now)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()
}

func (r *Router) fetchLoad(ctx context.Context, name string) (endpoint.Load, error) {
	var load endpoint.Load
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	resp, err := r.callEndpoint(ctx, endpoint.UseProbe, name, http.MethodGet, "/load", nil)
	if err != nil {
		return load, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxMessageBytes)).Decode(&load)
	return load, err
}

// callEndpoint sends a request of this instance's own to an endpoint. It returns an
// *endpoint.Withheld if the endpoint must not be sent one, or asks for that. The caller
// must close the body of the response.
func (r *Router) callEndpoint(ctx context.Context, use endpoint.Use, name, method, path string, body []byte) (*http.Response, error) {
	target, verdict := r.check(name, use)
	if !verdict.Allowed() {
		return nil, &endpoint.Withheld{Endpoint: name, Verdict: verdict}
	}
	if use != endpoint.UseProbe {
		if _, err := r.start(ctx, name); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set(caller.HeaderRequestID, r.Name+"."+string(use))
	resp, err := r.endpointClient.Do(req)
	if err != nil {
		return nil, err
	}
	answer := endpoint.ReadAnswer(resp, time.Now())
	r.recordAnswer(target, answer)
	if answer.Quiet > 0 {
		_ = resp.Body.Close()
		return nil, &endpoint.Withheld{Endpoint: name, Verdict: endpoint.Verdict{Reason: endpoint.ReasonQuiet, Source: endpoint.SourceAnswer}}
	}
	return resp, nil
}

// isCrashed reports whether an endpoint that broke a connection no longer returns a
// load report. A broken connection alone is no crash, and neither is one that pauses.
func (r *Router) isCrashed(ctx context.Context, name string) bool {
	_, err := r.fetchLoad(ctx, name)
	var withheld *endpoint.Withheld
	return err != nil && !errors.As(err, &withheld) && !isTimeout(err) && ctx.Err() == nil
}

// closeCrashedEndpoint closes an endpoint at this instance, whichever instance detected
// the crash. It updates the scheduler in another goroutine, because the caller holds a
// lock.
func (r *Router) closeCrashedEndpoint(name string) {
	go func() {
		now := time.Now()
		r.mu.Lock()
		r.endpoints.MarkCrashed(name, now)
		r.mu.Unlock()
		r.updateEndpoints(now)
		r.dispatcher.With(func(s *scheduler.Scheduler) { s.WakeAll() })
	}()
}

func (r *Router) recordResult(name string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints.RecordResult(name, ok, time.Now())
}

// pollConfiguration reads the configuration from the log. Readers do so at every call,
// other instances only every nonReaderPollInterval.
func (r *Router) pollConfiguration(ctx context.Context) {
	if !r.isReader() && time.Since(r.lastConfigPoll) < nonReaderPollInterval {
		return
	}
	r.lastConfigPoll = time.Now()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	_ = r.follower.Poll(ctx)
}

// isReader reports whether this instance is one of the log readers of its failure
// domain.
func (r *Router) isReader() bool {
	reader := false
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		reader = s.Table.Rank("reader", r.Domain) < readersPerDomain
	})
	return reader
}

func (r *Router) appendSnapshot(ctx context.Context) {
	isOwner := false
	r.dispatcher.With(func(s *scheduler.Scheduler) { isOwner = s.Table.Owner("keeper", "") == r.Name })
	if !isOwner {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	_ = r.follower.AppendSnapshotIfOlder(ctx, r.Retention/snapshotAgeDivisor)
}

// appendAudit appends the pending audit entries to the log.
func (r *Router) appendAudit(ctx context.Context) {
	data, n := r.trail.EncodeUnsent()
	if n == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if _, err := r.Log.Append(ctx, auditStream, data); err == nil {
		r.trail.MarkSent(n)
	}
}
