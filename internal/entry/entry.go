// Package entry is one entry instance on a platform that keeps the operators' and
// the endpoints' records: it wires the gateway to what it follows, says when it is
// ready, and stops without cutting anything off.
package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/budget"
	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/gateway"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/service"
	"github.com/greengagestep/greengagestep/internal/strain"
	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Instance is one entry instance. Exported fields are set before Run.
type Instance struct {
	Name   string
	Domain string
	// Callers and Ready are the listeners for callers and for the balancer's
	// question whether this instance is ready; Run closes them.
	Callers net.Listener
	Ready   net.Listener
	// Peers is the listener for other instances, Seeds are addresses at which
	// some of them may be found.
	Peers net.Listener
	// Metrics is the listener for scrapers; nil means none.
	Metrics net.Listener
	Seeds   []string
	Dialect fleet.Dialect
	// Operators and Endpoints are the feeds of their records.
	Operators fleet.Feed[watch.VersionedConfiguration]
	Endpoints fleet.Feed[fleet.Entry]
	// Secret is where the key is kept by which instances know each other.
	Secret fleet.Cell
	// Directory is where instances find each other.
	Directory fleet.Directory
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// RetryRatio and RetrySpare bound the retries for a service in any
	// RetryWindow: a part of its requests here, and a number for all instances
	// together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MaxMemoryBytes is how much memory the process may use, in bytes; zero means no
	// bound.
	MaxMemoryBytes int64
	// MaxFiles is how many files the process may open; zero means no bound.
	MaxFiles int
	// Settings delivers settings that have changed; nil means none.
	Settings <-chan Settings
	// Dial connects to endpoints; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Log takes JSON lines; nil means none.
	Log *event.Writer

	logger    *zap.Logger
	operators *watch.Follower[watch.VersionedConfiguration]
	endpoints *watch.Follower[fleet.Entry]
	board     *placement.Board
	pool      *upstream.Pool
	roster    *watch.EndpointTracker
	handler   *gateway.Handler
	strain    *strain.Meter
	idlers    *idlers
	ledger    *admission.Ledger
	peers     *peer.Exchange
	leaving   chan struct{}
	grace     atomic.Int64 // nanoseconds
}

const (
	// maxHeaderBytes bounds the headers of a caller's request.
	maxHeaderBytes = 16 << 10
	// headerTimeout bounds how long a caller may take to send the headers.
	headerTimeout = 5 * time.Second
	// callerPart is the part of the open files that callers' connections may
	// take; the rest is for endpoints.
	callerPart = 0.6
	// callerMemory is the part of the memory that callers' connections may
	// take, at connectionBytes each: two buffers, a stack and what the library
	// notes.
	callerMemory    = 0.2
	connectionBytes = 24 << 10
	// entriesAge and operatorsAge are how old what is known of endpoints and
	// of the configuration may become before the platform is asked: a leaving
	// endpoint and a new version must be known well within two seconds.
	entriesAge   = 500 * time.Millisecond
	operatorsAge = 100 * time.Millisecond
	// An instance that others read for steps in when what is known is older
	// by spareAge, and by rankAge for each one that does so before it, up to
	// maxRank of them. What was read takes up to spareAge to go round.
	spareAge = 300 * time.Millisecond
	rankAge  = 300 * time.Millisecond
	maxRank  = 3
	// feedTimeout bounds a read of records beyond the time that it waits.
	feedTimeout = 600 * time.Millisecond
	// operatorsWait is how long a read waits for a new configuration. A
	// connection that has gone silent is found out after it.
	operatorsWait = 500 * time.Millisecond
	// editionsKept is how many configurations are kept for other instances: each
	// may take some hundred kB.
	editionsKept = 8
	// probeInterval is the pause between two looks for endpoints that are
	// tried again.
	probeInterval = 100 * time.Millisecond
	// sweepInterval is the pause between two looks for old connections.
	sweepInterval = 500 * time.Millisecond
	// farewell is how long new requests are served after the signal to stop:
	// the balancer sends new connections until it has asked twice. Idle
	// connections are closed then, so that their callers go elsewhere.
	farewell = 2800 * time.Millisecond
	// callTime is what a call without a stream needs at the most of the grace.
	callTime = 1500 * time.Millisecond
	// lastMoment is kept of the grace for the end of the process.
	lastMoment = 300 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
	// memoryPart is the part of the memory that the heap may grow to before
	// the collector works harder.
	memoryPart = 0.6
)

func (i *Instance) wire() {
	if i.Log == nil {
		i.Log = event.New(io.Discard)
	}
	i.logger = i.Log.Logger().With(zap.String("instance", i.Name))
	if i.MaxMemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(i.MaxMemoryBytes)))
	}
	i.leaving = make(chan struct{})
	i.grace.Store(int64(i.Grace))
	i.board = &placement.Board{Self: i.Domain, OnChange: i.endpointChanged}
	i.pool = &upstream.Pool{Dialect: i.Dialect, Dial: i.Dial}
	i.roster = &watch.EndpointTracker{Board: i.board, OnInvalid: func(key string, fault error) {
		i.logger.Warn(event.Odd, zap.String("key", key), zap.Error(fault))
	}}
	i.idlers = &idlers{Most: i.maxCallers(), Limit: func() time.Duration { return i.handler.Idle() }}
	i.strain = &strain.Meter{OnChange: i.strained}
	i.ledger = &admission.Ledger{}
	crashes := quarantine.New(&audit.Trail{Instance: i.Name, Logger: i.logger})
	i.handler = &gateway.Handler{
		Dialect: i.Dialect, Board: i.board, Strain: i.strain, Ledger: i.ledger, Patience: &admission.Patience{},
		Pool: i.pool, Quarantine: crashes, Metrics: &gauge.Set{Gauges: i.gauges}, Logger: i.logger,
		Budget: &budget.Budget{
			Part: i.RetryRatio, Spare: i.RetrySlack, Window: i.RetryWindow,
			Instances: func() int { return 1 + i.peers.Peers(time.Now()) },
		},
	}
	i.operators = &watch.Follower[watch.VersionedConfiguration]{
		Name: "operators", Feed: i.Operators, Wait: operatorsWait, MaxRecent: editionsKept, Timeout: feedTimeout, MaxAge: i.limit(operatorsAge, operatorsWait),
		OnBatch: i.editions, OnUnreachable: i.lost("operators"), OnReachable: i.regained("operators"),
	}
	i.endpoints = &watch.Follower[fleet.Entry]{
		Name: "endpoints", Feed: i.Endpoints, Timeout: feedTimeout, MaxAge: i.limit(entriesAge, 0),
		OnBatch: i.roster.Apply, OnUnreachable: i.lost("endpoints"), OnReachable: i.regained("endpoints"), OnRecovery: i.roster.SetRecovered,
	}
	now := time.Now()
	i.peers = &peer.Exchange{
		Self:  peer.Member{Name: i.Name, Domain: i.Domain, Address: i.Peers.Addr().String(), Start: now.UnixNano()},
		Board: i.board, Ledger: i.ledger, Logger: i.logger,
		Crashes: crashes,
		Key:     &peer.Key{Cell: i.Secret, Logger: i.logger},
		Feeds:   map[string]watch.Relay{"operators": i.operators, "endpoints": i.endpoints},
	}
	i.handler.Homes = i.peers
	i.board.Instances = func() int { return 1 + i.peers.Peers(time.Now()) }
	for _, seed := range i.Seeds {
		i.peers.Meet(peer.Member{Address: seed}, now)
	}
}

// maxCallers returns how many connections callers may open; zero means any number.
func (i *Instance) maxCallers() int {
	most := int(callerPart * float64(i.MaxFiles))
	byMemory := int(callerMemory * float64(i.MaxMemoryBytes) / connectionBytes)
	if most == 0 || byMemory > 0 && byMemory < most {
		return byMemory
	}
	return most
}

func (i *Instance) endpointChanged(c placement.Change) {
	i.logger.Info(event.Endpoint, zap.String("endpoint", c.Endpoint), zap.String("service", c.Service),
		zap.String("address", c.Address), zap.String("to", string(c.To)), zap.String("cause", c.Cause))
	if c.To == placement.ConditionGone || c.To == placement.ConditionReborn {
		i.pool.Forget(c.Address)
	}
}

// Run serves until the context is done, then stops within Grace. It returns an
// error if the instance cannot serve.
func (i *Instance) Run(ctx context.Context) error {
	i.wire()
	if i.Settings != nil {
		go i.follow(ctx)
	}
	tree := suture.New("entry", suture.Spec{EventHook: func(e suture.Event) {
		i.logger.Warn("supervisor", zap.String("event", e.String()))
	}})
	callers := &http.Server{
		Handler: i.idlers.guard(i.handler), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ConnContext: i.idlers.remember, ConnState: i.idlers.track, ErrorLog: zap.NewStdLog(i.logger),
	}
	tree.Add(&service.Server{Listener: i.Callers, HTTP: callers})
	tree.Add(&service.Server{Listener: i.Ready, HTTP: &http.Server{Handler: http.HandlerFunc(i.serveReady), ReadHeaderTimeout: headerTimeout}})
	tree.Add(i.operators)
	tree.Add(i.endpoints)
	if i.Metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", i.handler.Metrics)
		tree.Add(&service.Server{Listener: i.Metrics, HTTP: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}})
	}
	tree.Add(i.Log)
	tree.Add(i.strain)
	tree.Add(i.peers.Key)
	tree.Add(i.peers)
	tree.Add(&peer.Finder{Directory: i.Directory, Exchange: i.peers, Logger: i.logger})
	tree.Add(&service.Server{Listener: i.Peers, HTTP: &http.Server{Handler: i.peersMux(), ReadHeaderTimeout: headerTimeout}})
	tree.Add(&service.Loop{Name: "sweep", Every: sweepInterval, Do: i.sweep})
	tree.Add(&service.Loop{Name: "probe", Every: probeInterval, Do: i.probe})
	treeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	done := tree.ServeBackground(treeCtx)
	i.logger.Info(event.Start, zap.String("callers", i.Callers.Addr().String()))
	select {
	case <-ctx.Done():
		i.stop(callers)
	case err := <-done:
		return fmt.Errorf("entry: supervisor ended: %w", err)
	}
	cancel()
	<-done
	i.pool.Close()
	i.logger.Info(event.Stopped, zap.Int64("active", i.handler.Active()))
	return nil
}

func (i *Instance) peersMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+peer.Path, i.peers)
	mux.HandleFunc("POST "+peer.ReservePath, i.peers.ServeReserve)
	mux.HandleFunc("GET "+peer.SnapshotPath, i.peers.ServeSnapshot)
	return mux
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !i.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (i *Instance) isReady() bool {
	select {
	case <-i.leaving:
		return false
	default:
	}
	return !i.strain.Heavy() && i.handler.Version() > 0 && i.roster.Synced()
}

func (i *Instance) strained(heavy bool, lag time.Duration) {
	name := event.Relieved
	if heavy {
		name = event.Overload
	}
	i.logger.Warn(name, zap.Duration("lag", lag), zap.Int64("active", i.handler.Active()))
}

func (i *Instance) sweep(context.Context) {
	now := time.Now()
	i.pool.Sweep(now)
	i.idlers.sweep(i.handler.Idle()+idleSlack, now)
	i.roster.RemoveExpired(now)
}

// probe tries endpoints without a connection beside the requests, which would wait
// for the attempt in vain.
func (i *Instance) probe(ctx context.Context) {
	for _, e := range i.board.Probes(time.Now()) {
		go func() {
			err := i.pool.Probe(ctx, e.Address)
			i.board.Probed(e.ID, err == nil, time.Now())
		}()
	}
}
