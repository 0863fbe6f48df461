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
	// readerInterval is how often the readers of a failure domain read the
	// log, idleInterval how often all others do.
	readerInterval = 500 * time.Millisecond
	idleInterval   = 5 * time.Second
	// readersPerDomain instances follow the log closely; the rest hear of new
	// versions from them.
	readersPerDomain = 2
	keepInterval     = 10 * time.Second
	shipInterval     = time.Second
	platformTimeout  = 3 * time.Second
	// keepPart is the part of the log's retention after which the keeper
	// appends a new snapshot.
	keepPart = 4
	// auditStream is the log stream that holds the audit trail.
	auditStream = "audit"
)

func (r *Router) newEndpoints() *endpoint.Table {
	t := endpoint.NewTable()
	t.Slots = func(service string) int {
		if text := r.policy.text.Load(); text != nil {
			if s, ok := text.Service(service); ok {
				return s.Slots
			}
		}
		return 1
	}
	t.Wants = r.wants
	t.Drained = func(name string) bool { return r.isDrained(name, time.Now()) }
	t.OnChange = func(c endpoint.Change) {
		r.trail.Add(audit.Entry{Type: audit.EventEndpoint, Subject: c.Name, Change: c.To, Cause: c.Cause})
	}
	return t
}

// use brings a configuration into force here.
func (r *Router) use(text arrangement.Config, _ int64) {
	r.policy.text.Store(&text)
	r.caller.Use(text)
	go r.refresh(time.Now())
}

// pollList reads the instance list. If the platform cannot be reached, what is
// known stands.
func (r *Router) pollList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := r.List.Instances(ctx)
	if err != nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	r.endpoints.Seed(list, now)
	r.listed = true
	r.mu.Unlock()
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.Table.Seed(list) })
	r.refresh(now)
}

// refresh gives the scheduler the endpoints as they are now.
func (r *Router) refresh(now time.Time) {
	mine := r.homedNames()
	r.mu.Lock()
	for _, name := range mine {
		// An endpoint taken over from another domain may be cut off from
		// here: what its home said before does not count.
		if in, _ := r.endpoints.Instance(name); in.Domain != r.Domain {
			r.endpoints.Unfollow(name)
		}
	}
	states := r.endpoints.States(now)
	r.mu.Unlock()
	eps := make([]scheduler.Endpoint, 0, len(states))
	for _, s := range states {
		eps = append(eps, scheduler.Endpoint{Name: s.Name, Service: s.Service, Domain: s.Domain, Slots: s.Slots, Closed: s.Closed})
	}
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.SetEndpoints(eps, now) })
	r.workOut(states)
}

// pollLoads asks the endpoints that this instance is home of for their load.
func (r *Router) pollLoads(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range r.homed() {
		wg.Go(func() { r.pollLoad(ctx, s.Name) })
	}
	wg.Wait()
	r.refresh(time.Now())
}

func (r *Router) pollLoad(ctx context.Context, name string) {
	load, err := r.load(ctx, name)
	if err == nil {
		r.dispatcher.With(func(s *scheduler.Scheduler) { s.Observe(name, load.Running) })
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// What an earlier home said stands until the first own load report.
	r.endpoints.Unfollow(name)
	if err != nil {
		// An endpoint of another domain may only be cut off from here. Ejecting
		// it would outlast the cut.
		if in, _ := r.endpoints.Instance(name); in.Domain == r.Domain {
			r.endpoints.Result(name, false, time.Now())
		}
		return
	}
	r.endpoints.Result(name, true, time.Now())
	r.endpoints.Report(name, load, time.Now())
}

func (r *Router) load(ctx context.Context, name string) (endpoint.Load, error) {
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxMessage)).Decode(&load)
	return load, err
}

func (r *Router) address(name string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	in, ok := r.endpoints.Instance(name)
	return in.Address, ok
}

// crashed asks an endpoint that broke off a request whether it still answers. A
// broken connection alone is no crash.
func (r *Router) crashed(ctx context.Context, name string) bool {
	_, err := r.load(ctx, name)
	return err != nil && ctx.Err() == nil
}

// endpointCrashed closes an endpoint here, whichever instance saw it crash. The
// scheduler learns of it in another goroutine, since the caller holds a lock.
func (r *Router) endpointCrashed(name string) {
	go func() {
		now := time.Now()
		r.mu.Lock()
		r.endpoints.Crash(name, now)
		r.mu.Unlock()
		r.refresh(now)
		r.dispatcher.With(func(s *scheduler.Scheduler) { s.WakeAll() })
	}()
}

func (r *Router) result(name string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints.Result(name, ok, time.Now())
}

// follow reads the configuration from the log. Readers do so at every call, the
// others only now and then.
func (r *Router) follow(ctx context.Context) {
	if !r.reads() && time.Since(r.followed) < idleInterval {
		return
	}
	r.followed = time.Now()
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	_ = r.follower.Poll(ctx)
}

// reads tells whether this instance is one of the log readers of its domain.
func (r *Router) reads() bool {
	reader := false
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		reader = s.Table.Rank("reader", r.Domain) < readersPerDomain
	})
	return reader
}

func (r *Router) keep(ctx context.Context) {
	keeper := false
	r.dispatcher.With(func(s *scheduler.Scheduler) { keeper = s.Table.Owner("keeper", "") == r.Name })
	if !keeper {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	_ = r.follower.Keep(ctx, r.Retention/keepPart)
}

// ship appends the audit entries to the log.
func (r *Router) ship(ctx context.Context) {
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
