// Package router implements one entry instance of the fleet: it connects the
// components and runs them under a supervisor.
package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/budget"
	"github.com/greengagestep/greengagestep/internal/caller"
	"github.com/greengagestep/greengagestep/internal/claim"
	"github.com/greengagestep/greengagestep/internal/dispatch"
	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/publication"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/service"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Router is one entry instance. Exported fields are set before Run.
type Router struct {
	Name   string
	Domain string
	// Callers, Peers and Operators are the listeners; Run closes them.
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
	// Advertise is the address at which other instances reach Peers; empty means
	// the address of the listener.
	Advertise string
	Log       fleet.Log
	List      fleet.InstanceList
	// Secret authenticates peers and operators.
	Secret string
	// Drain bounds the duration of a planned stop; zero means ten minutes.
	Drain time.Duration
	// Retention is how long the log service keeps records; zero means a day.
	Retention time.Duration
	// Memory bounds the memory of queued requests, in bytes; zero means 64 MiB.
	Memory int64
	// Dial connects to peers and endpoints; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Logger writes the log as JSON lines; nil means no log.
	Logger *zap.Logger

	self        member.Member
	metrics     metrics.Registry
	trail       *audit.Trail
	dispatcher  *dispatch.Dispatcher
	follower    *publication.Follower
	claims      *claim.Registry
	quarantine  *quarantine.List
	caller      *caller.Handler
	proxyClient *endpoint.Client
	peerClient  *http.Client
	// endpointClient requests load reports from endpoints and sends orders to
	// them. Requests of callers are sent by proxyClient.
	endpointClient *http.Client
	policy         policy

	// updateMu is held while the endpoints' states are passed on, so that an earlier state
	// does not replace a later one.
	updateMu sync.Mutex
	// inForce is why each endpoint is closed, by name, in the states that were passed on last; empty for
	// those that are open.
	inForce      atomic.Pointer[map[string]string]
	mu           sync.Mutex
	endpoints    *endpoint.Table
	peerVersions map[string]int64 // configuration version of each peer
	leadership   leadership
	places       places
	starts       starts
	readiness    atomic.Pointer[readiness]

	parts           []messagePart
	senders         *suture.Supervisor
	callerServer    *http.Server
	stopping        chan struct{}
	ended           chan struct{} // closed at the end of Run
	stopOnce        sync.Once
	killed          chan struct{}
	killInit        sync.Once
	killOnce        sync.Once
	instancesListed bool
	lastConfigPoll  time.Time
	started         time.Time
	bytesSent       metrics.Counter
}

const (
	defaultDrain     = 10 * time.Minute
	defaultRetention = 24 * time.Hour
	defaultMemory    = 64 << 20
	// retryBudgetSlack is how many retries all instances together may make in
	// addition to a tenth of the requests.
	retryBudgetSlack = 80
	// maxHeaderBytes bounds the headers of a caller's request.
	maxHeaderBytes = 64 << 10
	// headerTimeout bounds how long a caller may take to send the headers.
	headerTimeout = 10 * time.Second
)

func (r *Router) setDefaults() error {
	if r.Name == "" || r.Domain == "" || r.Secret == "" {
		return fmt.Errorf("router: name, domain and secret must be set")
	}
	if r.Callers == nil || r.Peers == nil || r.Operators == nil {
		return fmt.Errorf("router: listeners for callers, peers and operators must be set")
	}
	if r.Log == nil || r.List == nil {
		return fmt.Errorf("router: log service and instance list must be set")
	}
	if r.Drain == 0 {
		r.Drain = defaultDrain
	}
	if r.Retention == 0 {
		r.Retention = defaultRetention
	}
	if r.Memory == 0 {
		r.Memory = defaultMemory
	}
	if r.Logger == nil {
		r.Logger = zap.NewNop()
	}
	if r.Advertise == "" {
		r.Advertise = r.Peers.Addr().String()
	}
	return nil
}

// buildComponents creates the components and connects them.
func (r *Router) buildComponents() {
	r.self = member.Member{Name: r.Name, Domain: r.Domain, Address: r.Advertise, Incarnation: rand.Uint32() | 1}
	r.metrics = metrics.NewRegistry()
	r.bytesSent = metrics.GetOrRegisterCounter("peers.bytes", r.metrics)
	r.trail = &audit.Trail{Instance: r.Name, Logger: r.Logger}
	r.started = time.Now()
	r.stopping = make(chan struct{})
	r.ended = make(chan struct{})
	r.peerVersions = map[string]int64{}
	r.peerClient = newCountingClient(r.Dial, r.bytesSent)
	r.endpointClient = newCountingClient(r.Dial, metrics.GetOrRegisterCounter("endpoints.bytes", r.metrics))
	r.proxyClient = endpoint.NewClient(r.Dial)
	r.proxyClient.Permit = r.permit
	r.quarantine = quarantine.New(r.trail)
	r.quarantine.OnCrash = r.closeCrashedEndpoint
	r.follower = &publication.Follower{Log: r.Log, Trail: r.trail, OnAccept: r.applyConfiguration}
	r.endpoints = r.newEndpointTable()
	r.buildScheduler()
	r.claims = &claim.Registry{Self: r.Name, Incarnation: r.self.Incarnation, Log: r.Log, Peers: claimPeers{r}, Trail: r.trail}
	r.caller = &caller.Handler{
		Instance: r.Name, Dispatcher: r.dispatcher, EndpointClient: r.proxyClient,
		Target: r.target, Start: r.start, RecordAnswer: r.recordAnswer, QuietUntil: r.quietUntil, RefusalReason: r.refusalReason,
		RecordResult: r.recordResult, Crashed: r.isCrashed, Claims: r.claims, Trail: r.trail,
		Ready: r.serviceReady, Quarantine: r.quarantine, Budget: &budget.Budget{Slack: retryBudgetSlack}, Metrics: r.metrics,
	}
	r.parts = []messagePart{configPart{r, &deliveryTracker{}}, endpointsPart{r, &deliveryTracker{}}, &quarantinePart{list: r.quarantine, delivered: map[string]func(){}}, drainPart{r}}
}

func (r *Router) buildScheduler() {
	s := scheduler.New(r.self, time.Now())
	r.policy.apply(s, r.Memory)
	s.Table.OnChange = r.recordMemberChange
	s.OnLeasesExpired = func(name string) {
		r.trail.Add(audit.Entry{Type: audit.EventLease, Subject: "slots of " + name, Change: "freed", Cause: "no message within the lease"})
	}
	r.dispatcher = dispatch.New(s, r.startSender)
}

func (r *Router) recordMemberChange(c member.Change) {
	cause := "heard"
	switch {
	case c.Restarted:
		cause = "restarted: new incarnation"
		r.quarantine.Restarted(c.Member.Name)
	case c.To == member.StateGone:
		cause = "silent for 2 s"
	case c.From == member.StateGone:
		cause = "heard again"
		go r.clearEjections(c.Member.Domain)
	}
	r.trail.Add(audit.Entry{Type: audit.EventMember, Subject: c.Member.Name, Change: string(c.To), Cause: cause})
}

// clearEjections ends the ejections of a failure domain's endpoints after a partition.
// It runs in a goroutine of its own, because the caller of recordMemberChange holds the
// scheduler's lock.
func (r *Router) clearEjections(domain string) {
	r.mu.Lock()
	r.endpoints.ClearEjections(domain)
	r.mu.Unlock()
	r.updateEndpoints(time.Now())
}

// Run serves until the context is done, then stops gracefully. It returns an
// error if the router cannot start, its supervisor ends or the stop takes longer than
// Drain.
func (r *Router) Run(ctx context.Context) error {
	if err := r.setDefaults(); err != nil {
		return err
	}
	logEvent := func(e suture.Event) { r.Logger.Warn("supervisor", zap.String("event", e.String())) }
	tree := suture.New("router", suture.Spec{EventHook: logEvent})
	r.senders = suture.New("senders", suture.Spec{EventHook: logEvent})
	r.buildComponents()
	defer close(r.ended)
	tree.Add(r.senders)
	r.addServices(tree)
	r.trail.Add(audit.Entry{Type: audit.EventStart, Subject: r.Name, Change: "started", Cause: fmt.Sprintf("incarnation %d", r.self.Incarnation)})
	treeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := tree.ServeBackground(treeCtx)
	var err error
	select {
	case <-ctx.Done():
		err = r.drain()
	case <-r.killSignal():
	case err := <-done:
		return fmt.Errorf("router: supervisor ended: %w", err)
	}
	cancel()
	<-done
	r.proxyClient.Close()
	r.peerClient.CloseIdleConnections()
	r.endpointClient.CloseIdleConnections()
	return err
}

// Kill ends Run at once and drops all queued and running requests, as a crash would.
// It is for tests and may be called before and while Run runs.
func (r *Router) Kill() {
	killed := r.killSignal()
	r.killOnce.Do(func() { close(killed) })
}

func (r *Router) killSignal() chan struct{} {
	r.killInit.Do(func() { r.killed = make(chan struct{}) })
	return r.killed
}

func (r *Router) addServices(tree *suture.Supervisor) {
	operators := r.server(r.Operators, r.authenticated(r.operatorsMux()))
	peers := r.server(r.Peers, r.authenticated(r.peersMux()))
	callers := r.server(r.Callers, r.caller)
	r.callerServer = callers.HTTP
	tree.Add(operators)
	tree.Add(peers)
	tree.Add(callers)
	for _, l := range []*service.Loop{
		{Name: "tick", Interval: scheduler.TickInterval, Run: r.tick},
		{Name: "list", Interval: listInterval, Run: r.pollInstanceList},
		{Name: "load", Interval: loadInterval, Run: r.pollLoads},
		{Name: "configuration", Interval: readerPollInterval, Run: r.pollConfiguration},
		{Name: "keeper", Interval: snapshotInterval, Run: r.appendSnapshot},
		{Name: "audit", Interval: auditAppendInterval, Run: r.appendAudit},
		{Name: "leader", Interval: leadInterval, Run: r.lead},
	} {
		tree.Add(l)
	}
}

func (r *Router) server(l net.Listener, h http.Handler) *service.Server {
	return &service.Server{Listener: l, HTTP: &http.Server{
		Handler: h, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ErrorLog: zap.NewStdLog(r.Logger),
	}}
}

func (r *Router) tick(context.Context) {
	now := time.Now()
	r.updateEndpoints(now)
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.Tick(now) })
	r.recordViews(now)
}
