package router

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/endpoint"
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
	t.Draining = func(name string) bool { return r.isDraining(name, time.Now()) }
	t.OnChange = func(c endpoint.Change) {
		r.trail.Add(audit.Entry{Type: audit.EventEndpoint, Subject: c.Name, Change: c.To, Cause: c.Cause})
	}
	return t
}

// applyConfiguration puts a configuration into force at this instance.
func (r *Router) applyConfiguration(config arrangement.Config, _ int64) {
	r.policy.config.Store(&config)
	r.caller.SetConfiguration(config)
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
	r.mu.Unlock()
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.Table.Seed(list) })
	r.updateEndpoints(now)
}

// updateEndpoints passes the current states of the endpoints to the scheduler and
// recomputes the readiness of services.
func (r *Router) updateEndpoints(now time.Time) {
	homed := r.homedNames()
	r.mu.Lock()
	for _, name := range homed {
		// An endpoint taken over from another failure domain may be
		// unreachable from this instance, so the state that its home sent
		// before must not be used.
		if in, _ := r.endpoints.Instance(name); in.Domain != r.Domain {
			r.endpoints.ClearHomeState(name)
		}
	}
	states := r.endpoints.States(now)
	r.mu.Unlock()
	endpoints := make([]scheduler.Endpoint, 0, len(states))
	for _, s := range states {
		endpoints = append(endpoints, scheduler.Endpoint{Name: s.Name, Service: s.Service, Domain: s.Domain, Slots: s.Slots, Closed: s.Closed})
	}
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.SetEndpoints(endpoints, now) })
	r.updateReadiness(states)
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
	load, err := r.fetchLoad(ctx, name)
	if err == nil {
		r.dispatcher.With(func(s *scheduler.Scheduler) { s.Observe(name, load.Running) })
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The state that an earlier home sent is used until this instance's first
	// request for a load report has ended.
	r.endpoints.ClearHomeState(name)
	if err != nil {
		// An endpoint of another failure domain may be unreachable only from this
		// instance. An ejection would last longer than the partition.
		if in, _ := r.endpoints.Instance(name); in.Domain == r.Domain {
			r.endpoints.RecordResult(name, false, time.Now())
		}
		return
	}
	r.endpoints.RecordResult(name, true, time.Now())
	r.endpoints.RecordLoad(name, load, time.Now())
}

func (r *Router) fetchLoad(ctx context.Context, name string) (endpoint.Load, error) {
	var load endpoint.Load
	address, ok := r.address(name)
	if !ok {
		return load, errNotListed
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return load, err
	}
	resp, err := r.endpointClient.Do(req)
	if err != nil {
		return load, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxMessageBytes)).Decode(&load)
	return load, err
}

func (r *Router) address(name string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in, ok := r.endpoints.Instance(name)
	return in.Address, ok
}

// isCrashed reports whether an endpoint that broke a connection no longer returns a
// load report. A broken connection alone is no crash.
func (r *Router) isCrashed(ctx context.Context, name string) bool {
	_, err := r.fetchLoad(ctx, name)
	return err != nil && ctx.Err() == nil
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
