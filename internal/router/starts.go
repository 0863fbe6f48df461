package router

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/warmup"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

const (
	pathStart = "/peer/start"
	// startOver and startSlack bound the starts of a cold endpoint in any second, as in warmup.Limit:
	// one home grants about the rate of the configuration, two homes during a change of members
	// up to twice as much.
	startOver  = 2
	startSlack = 1
	// knownSilence is how long an instance that is not heard counts as a part of the fleet.
	knownSilence = 20 * time.Second
	// pacedInterval is how often a home grants slots of cold endpoints.
	pacedInterval = 10 * time.Millisecond
)

// starts grants the starts of the cold endpoints that this instance is the home of.
type starts struct {
	home warmup.Home
	// views says for each endpoint whether this instance was its home lately; Router.mu guards it.
	views map[string]*warmup.Views[bool]
	paced atomic.Bool // whether pace is scheduled
}

type wireStart struct {
	Endpoint string `json:"endpoint"`
}

type wireStarted struct {
	Granted bool `json:"granted"`
}

// startLimit returns the limit of the starts at a cold endpoint of a service.
func (p *policy) startLimit(service string) warmup.Limit {
	if config := p.config.Load(); config != nil {
		if s, ok := config.Service(service); ok {
			return warmup.Limit{Rate: s.StartupRate, Over: startOver, Slack: startSlack}
		}
	}
	return warmup.Limit{}
}

// hasStartups reports whether the configuration limits the starts of any service.
func (p *policy) hasStartups() bool {
	config := p.config.Load()
	return config != nil && slices.ContainsFunc(config.Services, func(s arrangement.Service) bool { return s.StartupRate > 0 })
}

// startupTime returns how long an endpoint of a service is cold, zero if that makes no difference.
func (p *policy) startupTime(service string) time.Duration {
	if config := p.config.Load(); config != nil {
		if s, ok := config.Service(service); ok && s.StartupRate > 0 {
			return s.StartupTime()
		}
	}
	return 0
}

// startInterval returns the time between two slots that a home grants of an endpoint, zero if it is warm.
func (p *policy) startInterval(s endpoint.State) time.Duration {
	if s.Cold <= 0 {
		return 0
	}
	return warmup.Window / time.Duration(max(p.startLimit(s.Service).Starts(), 1))
}

// start implements caller.Handler's Start: it asks the home of a cold endpoint for a start.
func (r *Router) start(ctx context.Context, name string) (time.Time, error) {
	now := time.Now()
	r.mu.Lock()
	isCold := r.endpoints.Cold(name, now) > 0
	r.mu.Unlock()
	if !isCold {
		return time.Time{}, nil
	}
	home := ""
	r.dispatcher.With(func(s *scheduler.Scheduler) { home = s.Home(name) })
	var reply wireStarted
	if home == r.Name {
		reply.Granted = r.grantStart(name, now)
	} else if err := r.askPeer(ctx, http.MethodPost, home, pathStart, wireStart{name}, &reply, warmup.GrantLifetime); err != nil {
		metrics.GetOrRegisterCounter("starts.unheard", r.metrics).Inc(1)
	}
	expires := now.Add(warmup.GrantLifetime)
	if reply.Granted && time.Now().Before(expires) {
		return expires, nil
	}
	if reply.Granted {
		metrics.GetOrRegisterCounter("starts.expired", r.metrics).Inc(1)
	}
	// The scheduler may not know yet that the endpoint is cold.
	r.updateEndpoints(time.Now())
	return time.Time{}, &endpoint.Withheld{Endpoint: name, Verdict: endpoint.Verdict{Reason: endpoint.ReasonCold, Source: endpoint.SourceHome}}
}

func (r *Router) serveStart(w http.ResponseWriter, req *http.Request) {
	var s wireStart
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxMessageBytes)).Decode(&s); err != nil {
		r.rejectMessage(w, req, err)
		return
	}
	writeJSON(w, wireStarted{r.grantStart(s.Endpoint, time.Now())})
}

// grantStart decides, at the home of an endpoint, whether a request may be started there. An instance
// that has not been the home by all its views of the last warmup.Window grants nothing.
func (r *Router) grantStart(name string, now time.Time) bool {
	r.mu.Lock()
	in, _ := r.endpoints.Instance(name)
	isHome := false
	if v := r.starts.views[name]; v != nil {
		recent, _, whole := v.Recent(now)
		isHome = whole
		for _, wasHome := range recent {
			isHome = isHome && wasHome
		}
	}
	r.mu.Unlock()
	if !isHome {
		r.starts.home.Refuse()
		return false
	}
	_, granted := r.starts.home.Start(name, r.policy.startLimit(in.Service), now)
	return granted
}

// recordViews records which endpoints this instance is the home of.
func (r *Router) recordViews(now time.Time) {
	if !r.policy.hasStartups() {
		return
	}
	homes := map[string]bool{}
	r.mu.Lock()
	for _, s := range r.endpoints.States(now) {
		if r.policy.startupTime(s.Service) > 0 {
			homes[s.Name] = false
		}
	}
	r.mu.Unlock()
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		mayGrant := hearsHalf(s.Table, now)
		for name := range homes {
			homes[name] = mayGrant && s.Home(name) == r.Name
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	views := map[string]*warmup.Views[bool]{}
	for name, isHome := range homes {
		views[name] = r.starts.views[name]
		if views[name] == nil {
			views[name] = &warmup.Views[bool]{}
		}
		digest := uint64(0)
		if isHome {
			digest = 1
		}
		views[name].Set(digest, func() bool { return isHome }, now)
	}
	r.starts.views = views
}

// hearsHalf reports whether this instance hears at least half of the instances known lately, so that no
// more than warmup.MaxHomes parts of the fleet grant starts. An instance that hears none of those that
// it knows does not.
func hearsHalf(t *member.Table, now time.Time) bool {
	peers, live := t.Peers(), len(t.Live())
	silent := 0
	for _, m := range peers {
		if m.State != member.StateLive && now.Sub(m.LastHeartbeat) < knownSilence {
			silent++
		}
	}
	return live >= silent && (live > 1 || len(peers) == 0)
}

// schedulePace grants slots of the cold endpoints that this instance is the home of until all are warm.
func (r *Router) schedulePace(states []endpoint.State) {
	isCold := map[string]bool{}
	for _, s := range states {
		if s.Cold > 0 {
			isCold[s.Name] = true
		}
	}
	if len(isCold) == 0 {
		return
	}
	for _, name := range r.homedNames() {
		if isCold[name] && r.starts.paced.CompareAndSwap(false, true) {
			time.AfterFunc(pacedInterval, r.pace)
			return
		}
	}
}

func (r *Router) pace() {
	r.starts.paced.Store(false)
	now := time.Now()
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.Grant(now) })
	r.mu.Lock()
	states := r.endpoints.States(now)
	r.mu.Unlock()
	select {
	case <-r.killSignal():
	case <-r.ended:
	default:
		r.schedulePace(states)
	}
}
