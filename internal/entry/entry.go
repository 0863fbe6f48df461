// Package entry runs one entry instance: a router between callers and endpoints. The platform
// stores the records of operators and endpoints. The package connects the gateway to the feeds
// of these records, reports when the instance is ready, and stops it without aborting requests.
package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/backlog"
	"github.com/greengagestep/greengagestep/internal/budget"
	"github.com/greengagestep/greengagestep/internal/evacuation"
	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/gateway"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/link"
	"github.com/greengagestep/greengagestep/internal/outlet"
	"github.com/greengagestep/greengagestep/internal/overload"
	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/service"
	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Instance is one entry instance. Exported fields are set before Run.
type Instance struct {
	Name string
	// Domain is the failure domain of the instance.
	Domain string
	// Regions holds the region of each failure domain; a domain that is missing is in none.
	Regions map[string]string
	// Callers and Ready are the listeners for callers and for the load balancer's
	// readiness checks; Run closes them.
	Callers net.Listener
	Ready   net.Listener
	// Peers is the listener for other instances; Seeds are addresses at which some of
	// them may be found.
	Peers net.Listener
	// Metrics is the listener for metrics scrapers; nil means none.
	Metrics net.Listener
	Seeds   []string
	// HeaderCodec translates the platform's headers.
	HeaderCodec fleet.HeaderCodec
	// Operators and Endpoints are the feeds of the records of operators and endpoints.
	Operators fleet.Feed[watch.OperatorRecord]
	Endpoints fleet.Feed[fleet.EndpointInfo]
	// HeartbeatInterval is how often endpoints write their records, which expire after three
	// intervals without; zero means 1.2 s.
	HeartbeatInterval time.Duration
	// Secret stores the key with which instances authenticate each other's messages.
	Secret fleet.WriteOnceValue
	// Directory is where instances find each other's addresses.
	Directory fleet.KeyValueStore
	// Quarantine holds what requests that crash endpoints have in common, for instances
	// that restart; nil means that it is lost when all of them restart at once.
	Quarantine fleet.KeyValueStore
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the retries for a service in any RetryWindow:
	// RetryRatio as a fraction of this instance's requests, RetrySlack as an additional
	// number for all instances together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// StartupOver and StartupSlack bound the requests of all instances to a cold endpoint: in
	// any second the start-up rate of its service, times StartupOver, plus StartupSlack. A
	// StartupOver under 1 counts as 1; a StartupSlack of zero allows nothing beyond.
	StartupOver  float64
	StartupSlack float64
	// MaxMemoryBytes is how much memory the process may use; zero means no bound.
	MaxMemoryBytes int64
	// Cores is how much of a processor the process may use; zero means not known. Larger
	// instances do more of the work that instances do for each other.
	Cores float64
	// RetriesMove is set if the load balancer sends a caller that retries to another instance.
	RetriesMove bool
	// MaxFiles is how many files the process may open; zero means no bound.
	MaxFiles int
	// Lag returns the scheduling lag of the process, with which a signal to stop arrives; nil
	// means that it is measured.
	Lag func() time.Duration
	// Settings delivers changed settings, also during a stop; nil means that they never change.
	Settings <-chan Settings
	// Dial connects to endpoints; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Log takes JSON lines; nil means that nothing is logged.
	Log *event.Writer

	logger      *zap.Logger
	operators   *watch.Follower[watch.OperatorRecord]
	endpoints   *watch.Follower[fleet.EndpointInfo]
	balancer    *placement.Balancer
	pool        *upstream.Pool
	tracker     *watch.EndpointTracker
	evacuations *evacuation.Set
	quarantine  *quarantine.List
	finder      *peer.Finder
	// quarantineStore is nil if Quarantine is.
	quarantineStore *quarantine.Store
	handler         *gateway.Handler
	lagMeter        *overload.Meter
	capacity        overload.Capacity
	rotation        overload.Rotation
	// usageFailure guards the log line on a use of the processor that cannot be measured.
	usageFailure sync.Once
	relief       overload.Relief
	idleConns    *idleConns
	ledger       *admission.Ledger
	peers        *peer.Exchange
	links        *link.Handler
	stopping     chan struct{}
	// epoch is the newest one to which the platform is known to have been restored, zero for none.
	epoch atomic.Int64
	// restored receives a value when the platform was restored and what the fleet has stored
	// there may be gone.
	restored   chan struct{}
	graceNanos atomic.Int64
}

const (
	// maxHeaderBytes bounds the headers of a caller's request.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds how long a caller may take to send the headers.
	headerTimeout = 5 * time.Second
	// peerIdleTimeout is how long other instances may leave connections idle; they close
	// theirs earlier, so that no message is sent on a connection that is being closed.
	peerIdleTimeout = time.Minute
	// callerFileShare is the fraction of the open files that callers' connections may
	// take; the rest is for endpoints.
	callerFileShare = 0.6
	// callerMemoryShare is the fraction of the memory that callers' connections may
	// take, at connectionBytes each: two buffers, a stack and the records of the HTTP
	// library.
	callerMemoryShare = 0.2
	connectionBytes   = 24 << 10
	// processBytes is the memory that the process takes without callers, heldShare the fraction of
	// the rest that may be held for callers: bodies of requests and unread responses. Bodies may
	// take bodyShare of that.
	processBytes = 48 << 20
	heldShare    = 0.4
	bodyShare    = 0.85
	// endpointsMaxAge and operatorsMaxAge are how old the data about endpoints and the
	// configuration may become before the platform is read: a leaving endpoint and a
	// new version must be known well within two seconds.
	endpointsMaxAge = 500 * time.Millisecond
	operatorsMaxAge = 100 * time.Millisecond
	// An instance that relies on others to read the feed reads it itself when its data
	// is older by standbyAge, plus rankAge for each instance before it in the order in
	// which they take over, for at most maxRank of them. Records take up to standbyAge
	// to reach all instances.
	standbyAge = 300 * time.Millisecond
	// relayedStandbyAge takes the place of standbyAge in a large fleet, where records pass
	// several instances on their way.
	relayedStandbyAge = time.Second
	rankAge           = 300 * time.Millisecond
	maxRank           = 3
	// feedTimeout bounds a read of records beyond the time that it waits for them.
	feedTimeout = 600 * time.Millisecond
	// operatorsWait is how long a read waits for a new configuration. A connection on
	// which the platform no longer responds is detected after it.
	operatorsWait = 500 * time.Millisecond
	// configurationsKept is how many configurations are kept for other instances: each
	// may take some hundred kB.
	configurationsKept = 8
	// probeInterval is the interval between checks for endpoints that are down and due
	// for a connection attempt.
	probeInterval = 100 * time.Millisecond
	// expiryInterval is the interval between checks for endpoints whose records were not
	// written again: it adds to the time for which they get requests.
	expiryInterval = 100 * time.Millisecond
	// reliefInterval is the interval between two decisions on whether the instance takes new
	// callers and how many are moved.
	reliefInterval = 200 * time.Millisecond
	// sweepInterval is the interval between checks for expired connections.
	sweepInterval = 500 * time.Millisecond
	// drainDelay is how long all new requests are served after the signal to stop: the
	// load balancer sends new connections until two of its readiness checks have failed.
	// Idle connections are closed at its end, so that their callers connect to other instances.
	drainDelay = 2800 * time.Millisecond
	// callReserve is the part of Grace that a request without a streamed response needs
	// at most: requests that arrive with less time left are refused.
	callReserve = 1500 * time.Millisecond
	// exitReserve is the part of Grace that is kept for the end of the process.
	exitReserve      = 300 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
	// lagSettleTime is the time after a signal until the lag with which the process got it
	// has been measured.
	lagSettleTime = 40 * time.Millisecond
	// maxSignalLag bounds the time that a signal is taken to have waited: a longer lag comes
	// from a freeze, which may have ended before the signal was sent.
	maxSignalLag = 500 * time.Millisecond
	// heapShare is the fraction of the memory to which the heap may grow before the
	// garbage collector runs more often. It is more in small instances, where garbageShare of the
	// memory has to be left beside what the process takes and what may be held for callers: without
	// garbage to collect, the collector would run all the time.
	heapShare    = 0.6
	garbageShare = 0.15
	// heapGrowthPercent is by how much the heap may grow between two collections, in percent of
	// what is live, as long as it stays below heapShare: the live heap is some megabytes only,
	// so that collections would be frequent.
	heapGrowthPercent = 400
)

func (i *Instance) initialize() {
	if i.Log == nil {
		i.Log = event.New(io.Discard)
	}
	i.logger = i.Log.Logger().With(zap.String("instance", i.Name))
	if i.MaxMemoryBytes > 0 {
		debug.SetMemoryLimit(heapLimit(i.MaxMemoryBytes))
		debug.SetGCPercent(heapGrowthPercent)
	}
	i.stopping, i.restored = make(chan struct{}), make(chan struct{}, 1)
	i.graceNanos.Store(int64(i.Grace))
	i.balancer = &placement.Balancer{
		LocalDomain: i.Domain, Regions: i.Regions, HeartbeatInterval: i.heartbeatInterval(),
		OnChange: i.endpointChanged, OnInvalidTime: i.countInvalidTime,
	}
	i.pool = &upstream.Pool{HeaderCodec: i.HeaderCodec, Dial: i.Dial}
	i.tracker = &watch.EndpointTracker{
		Balancer: i.balancer, OnMissing: i.logMissing, OnIgnored: i.logIgnored, DisputeTime: 2 * i.heartbeatInterval(),
		OnInvalid: func(key string, fault error) {
			i.logger.Warn(event.InvalidData, zap.String("key", key), zap.Error(fault))
		},
	}
	i.idleConns = &idleConns{MoveCaller: i.relief.MoveCaller, MaxConns: i.maxCallerConns(), IdleTimeout: i.idleTimeout}
	i.lagMeter = &overload.Meter{OnChange: i.overloadChanged}
	i.capacity.Cores = i.Cores
	i.relief.RetriesMove = i.RetriesMove
	i.rotation.Spread, i.rotation.OnChange = rand.Float64(), i.rotationChanged
	if i.Lag == nil {
		i.Lag = i.lagMeter.Lag
	}
	i.balancer.Lag = i.Lag
	i.ledger = &admission.Ledger{}
	i.quarantine = quarantine.New(&audit.Trail{Instance: i.Name, Logger: i.logger})
	i.handler = &gateway.Handler{
		HeaderCodec: i.HeaderCodec, Balancer: i.balancer, Overload: i.lagMeter, Ledger: i.ledger, RetryDetector: &admission.RetryDetector{},
		Relief: &i.relief, Pool: i.pool, Quarantine: i.quarantine, Metrics: &gauge.Set{Gauges: i.gauges}, Logger: i.logger,
		Budget: &budget.Budget{
			Ratio: i.RetryRatio, Slack: i.RetrySlack, Window: i.RetryWindow,
			Instances: func() int { return 1 + i.peers.Peers(time.Now()) },
		},
	}
	i.handler.Backlog.MaxBytes, i.handler.Backlog.MaxBodyBytes = heldBytes(i.MaxMemoryBytes)
	i.quarantine.OnCrash = func(string) { i.handler.Metrics.Count("endpoint_crashes_total") }
	i.evacuations = &evacuation.Set{}
	i.operators = &watch.Follower[watch.OperatorRecord]{
		Name: "operators", Feed: i.Operators, Wait: operatorsWait, MaxRecent: configurationsKept, Timeout: feedTimeout, MaxAge: i.maxAge(operatorsMaxAge, operatorsWait),
		OnBatch: i.applyOperatorRecords, OnUnreachable: i.logUnreachable("operators"), OnReachable: i.logReachable("operators"),
		OnRestored: i.platformRestored("operators"), SnapshotDelay: i.snapshotDelay,
	}
	i.endpoints = &watch.Follower[fleet.EndpointInfo]{
		Name: "endpoints", Feed: i.Endpoints, Timeout: feedTimeout, MaxAge: i.maxAge(endpointsMaxAge, 0),
		OnBatch: i.applyEndpointRecords, OnUnreachable: i.logUnreachable("endpoints"), OnReachable: i.logReachable("endpoints"),
		OnRestored: i.platformRestored("endpoints"), SnapshotDelay: i.snapshotDelay,
		ExpiryTime: i.expiryTime(), OnRecovery: i.platformRecovered,
	}
	now := time.Now()
	i.peers = &peer.Exchange{
		Self:     peer.Member{Name: i.Name, Domain: i.Domain, Address: i.Peers.Addr().String(), Start: now.UnixNano(), Cores: i.Cores},
		Balancer: i.balancer, Ledger: i.ledger, Logger: i.logger,
		Crashes: i.quarantine, Overloaded: i.withdrawn,
		Key:   &peer.Key{Storage: i.Secret, Logger: i.logger},
		Feeds: map[string]watch.Relay{"operators": i.operators, "endpoints": i.endpoints},
	}
	i.handler.Homes = i.peers
	i.balancer.Instances = func() int { return 1 + i.peers.Peers(time.Now()) }
	for _, seed := range i.Seeds {
		i.peers.AddPeer(peer.Member{Address: seed}, now)
	}
}

// heapLimit returns up to which size of the heap the garbage collector runs rarely, in a process that may use maxMemory
// bytes.
func heapLimit(maxMemory int64) int64 {
	held, _ := heldBytes(maxMemory)
	return max(int64(heapShare*float64(maxMemory)), held+min(processBytes, maxMemory/2)+int64(garbageShare*float64(maxMemory)))
}

// heldBytes returns how many bytes may be held for callers in a process that may use maxMemory bytes, and
// how many of these by bodies; zero means that there is no bound.
func heldBytes(maxMemory int64) (total, bodies int64) {
	total = int64(heldShare * float64(max(maxMemory-processBytes, maxMemory/4)))
	return total, int64(bodyShare * float64(total))
}

// wrapCaller returns the connection of a caller that may read slowly.
func (i *Instance) wrapCaller(c net.Conn) *outlet.Conn {
	return outlet.New(c, &i.handler.Backlog, func(customer string, reason backlog.Reason) {
		i.handler.Metrics.Count(gauge.Name("callers_given_up_total", "reason", string(reason)))
		i.logger.Warn(event.CallerGivenUp, zap.String("customer", customer), zap.String("reason", string(reason)),
			zap.Stringer("caller", c.RemoteAddr()), zap.Int64("unread", i.handler.Backlog.Unread()), zap.Int64("bodies", i.handler.Backlog.Bodies()))
	})
}

// maxCallerConns returns how many connections callers may open; zero means any number.
func (i *Instance) maxCallerConns() int {
	byFiles := int(callerFileShare * float64(i.MaxFiles))
	byMemory := int(callerMemoryShare * float64(i.MaxMemoryBytes) / connectionBytes)
	if byFiles == 0 || byMemory > 0 && byMemory < byFiles {
		return byMemory
	}
	return byFiles
}

func (i *Instance) endpointChanged(c placement.Change) {
	i.logger.Info(event.Endpoint, zap.String("endpoint", c.Endpoint), zap.String("service", c.Service),
		zap.String("address", c.Address), zap.String("to", string(c.To)), zap.String("cause", c.Cause),
		zap.Duration("age", c.Age), zap.Duration("for", c.For))
	if c.Reason != "" {
		i.handler.Metrics.Count(gauge.Name("endpoint_unavailable_total", "reason", string(c.Reason)))
		if c.Age > 0 {
			i.handler.Metrics.Time(gauge.Name("endpoint_news_age_milliseconds", "reason", string(c.Reason)), c.Age)
		}
	}
	switch c.To {
	case placement.ConditionGone, placement.ConditionRestarted, placement.ConditionLeaving:
		i.pool.CloseIdle(c.Address)
	}
}

func (i *Instance) countInvalidTime(service string, m placement.Measurement) {
	i.handler.Metrics.Count(gauge.Name("invalid_times_total", "service", service, "time", string(m)))
}

// Run serves until the context is done, then stops within Grace. It returns an
// error if the instance cannot serve.
func (i *Instance) Run(ctx context.Context) error {
	i.initialize()
	tree := suture.New("entry", suture.Spec{EventHook: func(e suture.Event) {
		i.logger.Warn("supervisor", zap.String("event", e.String()))
	}})
	callers := &http.Server{
		Handler: i.idleConns.wrap(i.handler), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ConnContext: i.idleConns.register, ConnState: i.idleConns.track, ErrorLog: zap.NewStdLog(i.logger),
	}
	tree.Add(&service.Server{Listener: callerListener{i.Callers, i.idleConns, i.wrapCaller}, HTTP: callers})
	tree.Add(&service.Server{Listener: i.Ready, HTTP: &http.Server{Handler: http.HandlerFunc(i.serveReady), ReadTimeout: headerTimeout}})
	tree.Add(i.operators)
	tree.Add(i.endpoints)
	if i.Metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", i.handler.Metrics)
		mux.HandleFunc("GET /explain", i.serveExplain)
		tree.Add(&service.Server{Listener: i.Metrics, HTTP: &http.Server{Handler: mux, ReadTimeout: headerTimeout}})
	}
	tree.Add(i.Log)
	tree.Add(i.lagMeter)
	tree.Add(i.peers.Key)
	tree.Add(rewriter{i})
	tree.Add(i.peers)
	if i.Quarantine != nil {
		rank := func() int { return i.peers.Rank(time.Now()) }
		i.quarantineStore = &quarantine.Store{List: i.quarantine, Storage: i.Quarantine, Rank: rank, Logger: i.logger}
		tree.Add(i.quarantineStore)
	}
	i.finder = &peer.Finder{Directory: i.Directory, Exchange: i.peers, Logger: i.logger}
	tree.Add(i.finder)
	tree.Add(&service.Server{Listener: i.Peers, HTTP: &http.Server{Handler: i.peerMux(), ReadTimeout: headerTimeout, IdleTimeout: peerIdleTimeout}})
	tree.Add(&service.Loop{Name: "sweep", Interval: sweepInterval, Run: i.sweep})
	tree.Add(&service.Loop{Name: "expiry", Interval: expiryInterval, Run: i.removeExpired})
	tree.Add(&service.Loop{Name: "relief", Interval: reliefInterval, Run: i.updateRelief})
	tree.Add(&service.Loop{Name: "probe", Interval: probeInterval, Run: i.probe})
	treeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := tree.ServeBackground(treeCtx)
	if i.Settings != nil {
		service.Go(i.logger, "settings", func() { i.followSettings(treeCtx) })
	}
	i.logger.Info(event.Start, zap.String("callers", i.Callers.Addr().String()))
	select {
	case <-ctx.Done():
		i.stop(callers)
	case err := <-done:
		return fmt.Errorf("entry: supervisor ended: %w", err)
	}
	cancel()
	i.links.Close()
	<-done
	i.pool.Close()
	i.logger.Info(event.Stopped, zap.Int64("active", i.handler.Active()))
	return nil
}

func (i *Instance) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+peer.Path, i.peers)
	mux.HandleFunc("POST "+peer.ReservePath, i.peers.ServeReserve)
	mux.HandleFunc("GET "+peer.SnapshotPath, i.peers.ServeSnapshot)
	mux.HandleFunc("POST "+peer.LearnedPath, i.peers.ServeLearned)
	i.links = &link.Handler{Next: mux, SignatureHeader: peer.HeaderSignature, Logger: i.logger}
	mux.Handle("POST "+link.Path, i.links)
	return mux
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !i.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (i *Instance) isReady() bool {
	select {
	case <-i.stopping:
		return false
	default:
	}
	return !i.withdrawn() && i.handler.Version() > 0 && i.tracker.Synced()
}

func (i *Instance) sweep(context.Context) {
	now := time.Now()
	i.pool.Sweep(now)
	i.idleConns.sweep(now)
}

func (i *Instance) removeExpired(context.Context) {
	now := time.Now()
	if p := i.endpoints.Position(now); p.Known() {
		dataAt := now.Add(-time.Duration(p.Age) * time.Millisecond)
		i.tracker.RemoveExpired(now, dataAt)
		i.tracker.ResolveDisputes(dataAt)
	}
	i.expireEvacuations(now)
}

// probe tries to connect to endpoints that are down. It does so in the background, so that
// no request waits for an attempt that may fail.
func (i *Instance) probe(ctx context.Context) {
	for _, e := range i.balancer.Probes(time.Now()) {
		service.Go(i.logger, "probe", func() {
			err := i.pool.Probe(ctx, e.Address)
			i.balancer.RecordProbe(e, err == nil, time.Now())
		})
	}
}
