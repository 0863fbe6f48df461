// Package demo runs router instances, a simulated platform, simulated endpoints and
// callers in one process, by default over loopback, and counts the outcome of every
// request at the callers and at the endpoints.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/logclient"
	"github.com/greengagestep/greengagestep/internal/router"
	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/pkg/fleet"
	"github.com/greengagestep/greengagestep/pkg/operator"
)

// Secret is the shared secret of the instances and operators of a demo.
const Secret = "demonstration-secret"

// Site is a router fleet with a simulated platform and endpoints. The exported fields
// down to Network are set before Start, which sets the others.
type Site struct {
	// InstanceCount and DomainCount are the numbers of router instances and of failure
	// domains.
	InstanceCount int
	DomainCount   int
	// EngineCount and PlainCount are the numbers of model engines and plain services.
	EngineCount int
	PlainCount  int
	// EngineSlots and PlainSlots are the slots of each engine and plain service; zero
	// means 4.
	EngineSlots int
	PlainSlots  int
	// TokenRate is the rate of a stream in tokens per second; zero means 200.
	TokenRate float64
	// CallTime is the duration of a call to a plain service; zero means 20 ms.
	CallTime time.Duration
	// Retention is how long the log keeps records; zero means without limit.
	Retention time.Duration
	// DrainTimeout bounds a graceful stop; zero means a minute.
	DrainTimeout time.Duration
	// Network carries all connections; nil means TCP over loopback.
	Network Network

	Log           *standin.Log
	List          *standin.InstanceList
	Weights       *standin.WeightStore
	ModelEngines  []*standin.Engine
	PlainServices []*standin.PlainService
	Nodes         []*Node

	mu              sync.Mutex
	servers         []*http.Server
	listed          []fleet.Instance
	partitioned     map[string]bool    // failure domains that are disconnected
	blocked         map[[2]string]bool // directions that are blocked, from a domain to a domain
	domainByAddress map[string]string  // failure domain of each address
	logURL          string
	listURL         string
	client          *http.Client
}

// Node is one router instance of a site. Its methods are not safe for concurrent use
// with Start, Stop, Restart and Kill.
type Node struct {
	Name   string
	Domain string
	// CallerAddress, PeerAddress and OperatorAddress are its listen addresses for
	// callers, peers and operators while it runs.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string

	site    *Site
	cancel  context.CancelFunc
	runErr  chan error
	router  *router.Router
	freezer *freezer
	running bool
}

const (
	defaultSlots     = 4
	defaultTokenRate = 200 // tokens per second
	defaultCallTime  = 20 * time.Millisecond
	defaultDrain     = time.Minute
	readyTimeout     = 20 * time.Second
)

var errPartitioned = errors.New("demo: the failure domain is partitioned from the network")

// Start starts the simulated platform, the endpoints and the instances.
func (s *Site) Start() error {
	s.setDefaults()
	logAddress, err := s.serve(s.Log)
	if err != nil {
		return err
	}
	listAddress, err := s.serve(s.List)
	if err != nil {
		return err
	}
	s.logURL, s.listURL = "http://"+logAddress, "http://"+listAddress
	if err := s.startEndpoints(); err != nil {
		return err
	}
	for i := range s.InstanceCount {
		n := &Node{Name: fmt.Sprintf("e%d", i), Domain: fmt.Sprintf("d%d", i%s.DomainCount), site: s}
		s.Nodes = append(s.Nodes, n)
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) setDefaults() {
	s.Log = &standin.Log{Retention: s.Retention}
	s.List = &standin.InstanceList{}
	s.Weights = &standin.WeightStore{Limit: 50, Burst: 50}
	s.partitioned = map[string]bool{}
	s.blocked = map[[2]string]bool{}
	s.domainByAddress = map[string]string{}
	if s.Network == nil {
		s.Network = &standin.LoopbackNetwork{}
	}
	s.client = &http.Client{Transport: &http.Transport{DialContext: s.Network.Dial, MaxIdleConnsPerHost: 256}}
	if s.EngineSlots == 0 {
		s.EngineSlots = defaultSlots
	}
	if s.PlainSlots == 0 {
		s.PlainSlots = defaultSlots
	}
	if s.TokenRate == 0 {
		s.TokenRate = defaultTokenRate
	}
	if s.CallTime == 0 {
		s.CallTime = defaultCallTime
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = defaultDrain
	}
}

func (s *Site) startEndpoints() error {
	for i := range s.EngineCount {
		e := &standin.Engine{Name: fmt.Sprintf("m%d", i), Slots: s.EngineSlots, Rate: s.TokenRate, Fencing: true, Weights: s.Weights}
		s.ModelEngines = append(s.ModelEngines, e)
		if err := s.startEndpoint(e.Name, "model", i, e); err != nil {
			return err
		}
	}
	for i := range s.PlainCount {
		p := &standin.PlainService{Name: fmt.Sprintf("p%d", i), Slots: s.PlainSlots, Latency: s.CallTime}
		s.PlainServices = append(s.PlainServices, p)
		if err := s.startEndpoint(p.Name, "portal", i, p); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) startEndpoint(name, service string, i int, h http.Handler) error {
	address, err := s.serve(h)
	if err != nil {
		return err
	}
	domain := fmt.Sprintf("d%d", i%s.DomainCount)
	s.domainByAddress[address] = domain
	s.updateList(fleet.Instance{Name: name, Role: fleet.RoleEndpoint, Domain: domain, Address: address, Service: service, Incarnation: 1})
	return nil
}

// ReplaceEndpoint lists a new incarnation of an endpoint at the same address.
func (s *Site) ReplaceEndpoint(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.listed {
		if s.listed[i].Name == name {
			s.listed[i].Incarnation++
		}
	}
	s.List.Set(s.listed)
}

// Address returns the address of an endpoint, or an empty string if it is unknown.
func (s *Site) Address(endpoint string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.listed {
		if in.Name == endpoint {
			return in.Address
		}
	}
	return ""
}

// Domain returns the failure domain of an endpoint, or an empty string if it is unknown.
func (s *Site) Domain(endpoint string) string {
	address := s.Address(endpoint)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.domainByAddress[address]
}

// updateList adds an entry to the instance list or replaces the entry of the same name.
func (s *Site) updateList(in fleet.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.listed {
		if s.listed[i].Name == in.Name {
			s.listed[i] = in
			s.List.Set(s.listed)
			return
		}
	}
	s.listed = append(s.listed, in)
	s.List.Set(s.listed)
}

func (s *Site) serve(h http.Handler) (string, error) {
	l, err := s.Network.Listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ErrorLog: zap.NewStdLog(zap.NewNop())}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// SetPartitioned disconnects a failure domain from the others and from the platform,
// or reconnects it.
func (s *Site) SetPartitioned(domain string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[domain] = partitioned
}

// SetBlocked blocks traffic in one direction, from one failure domain to another, or
// unblocks it.
func (s *Site) SetBlocked(from, to string, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked[[2]string{from, to}] = blocked
}

// Client returns the HTTP client of callers and operators, which partitions do not
// affect.
func (s *Site) Client() *http.Client { return s.client }

// reachable reports whether an instance in a failure domain can connect to an address.
func (s *Site) reachable(from, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.domainByAddress[address]
	if from == to {
		return true
	}
	return !s.partitioned[from] && !s.partitioned[to] && !s.blocked[[2]string{from, to}]
}

// Start starts the instance with empty state and returns without waiting until it is
// ready.
func (n *Node) Start() error {
	s := n.site
	if n.freezer != nil {
		// Connections of the former process end, also if it was frozen when it was down.
		n.freezer.set(false)
	}
	n.freezer = newFreezer()
	client := &http.Client{Transport: &http.Transport{DialContext: n.dial, DisableKeepAlives: true}}
	r := &router.Router{
		Name: n.Name, Domain: n.Domain, Secret: Secret, Drain: s.DrainTimeout,
		Log: &logclient.Log{URL: s.logURL, Client: client}, List: &logclient.List{URL: s.listURL, Client: client},
		Retention: s.Retention, Dial: n.dial,
	}
	for _, target := range []*net.Listener{&r.Callers, &r.Peers, &r.Operators} {
		l, err := s.Network.Listen()
		if err != nil {
			return err
		}
		*target = freezableListener{l, n.freezer}
	}
	n.CallerAddress, n.PeerAddress, n.OperatorAddress = r.Callers.Addr().String(), r.Peers.Addr().String(), r.Operators.Addr().String()
	s.mu.Lock()
	s.domainByAddress[n.PeerAddress] = n.Domain
	s.mu.Unlock()
	s.updateList(fleet.Instance{Name: n.Name, Role: fleet.RoleEntry, Domain: n.Domain, Address: n.PeerAddress})
	ctx, cancel := context.WithCancel(context.Background())
	n.router, n.cancel, n.runErr, n.running = r, cancel, make(chan error, 1), true
	go func() { n.runErr <- r.Run(ctx) }()
	return nil
}

// dial connects to an address. It fails with errPartitioned if a partition separates
// the instance from it.
func (n *Node) dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.freezer.wait()
	if !n.site.reachable(n.Domain, address) {
		return nil, errPartitioned
	}
	conn, err := n.site.Network.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	partitioned := func() bool { return !n.site.reachable(n.Domain, address) }
	return &freezableConn{Conn: conn, freezer: n.freezer, partitioned: partitioned}, nil
}

// Freeze blocks everything that the instance sends and receives, as if the process
// were paused, or unblocks it.
func (n *Node) Freeze(frozen bool) { n.freezer.set(frozen) }

// Kill ends the instance at once and drops its waiting and running requests, as a crash
// would. It does nothing if the instance does not run.
func (n *Node) Kill() {
	if !n.running {
		return
	}
	n.running = false
	n.router.Kill()
	n.freezer.set(false)
	<-n.runErr
}

// Stop stops the instance gracefully and waits for it. It does nothing if the instance
// does not run.
func (n *Node) Stop() error {
	if !n.running {
		return nil
	}
	n.running = false
	n.cancel()
	return <-n.runErr
}

// Restart stops the instance gracefully and starts it with empty state.
func (n *Node) Restart() error {
	if err := n.Stop(); err != nil {
		return err
	}
	return n.Start()
}

// OperatorClient returns a client of the operator API of the instance.
func (n *Node) OperatorClient() *operator.Client {
	return &operator.Client{Address: n.OperatorAddress, Secret: Secret, HTTP: n.site.client}
}

// Running reports whether the instance was started and neither stopped nor killed.
func (n *Node) Running() bool { return n.running }

// Version returns the configuration version in force at the instance, or 0 if it does
// not answer.
func (n *Node) Version(ctx context.Context) int64 {
	st, err := n.OperatorClient().Status(ctx)
	if err != nil {
		return 0
	}
	return st.Version
}

// Ready reports whether the balancer may send requests to the instance.
func (n *Node) Ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.OperatorAddress+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := n.site.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Publish publishes a configuration text through the first instance and then calls
// WaitReady. baseVersion is the version that the text was edited from, 0 for the first
// one.
func (s *Site) Publish(ctx context.Context, text string, baseVersion int64) (operator.PublishResult, error) {
	p, err := s.Nodes[0].OperatorClient().Publish(ctx, operator.Proposal{Actor: "demo", BaseVersion: baseVersion, Text: text})
	if err != nil {
		return p, err
	}
	return p, s.WaitReady(ctx)
}

// WaitReady waits until every running instance is ready and reports every endpoint as
// open. It fails after readyTimeout.
func (s *Site) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range s.Nodes {
		for !n.readyWithEndpoints(ctx, len(s.ModelEngines)+len(s.PlainServices)) {
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
				return fmt.Errorf("demo: instance %s is not ready after %s", n.Name, readyTimeout)
			}
		}
	}
	return nil
}

func (n *Node) readyWithEndpoints(ctx context.Context, endpoints int) bool {
	if !n.running {
		return true
	}
	if !n.Ready(ctx) {
		return false
	}
	st, err := n.OperatorClient().Status(ctx)
	if err != nil {
		return false
	}
	open := 0
	for _, e := range st.Endpoints {
		if e.ClosedReason == "" {
			open++
		}
	}
	return open == endpoints
}

// Close stops all instances gracefully, then the simulated platform and endpoints. It
// returns the errors of the instances that did not stop.
func (s *Site) Close() error {
	var errs []error
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, n := range s.Nodes {
		wg.Go(func() {
			if err := n.Stop(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		})
	}
	wg.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.client.CloseIdleConnections()
	s.Network.Close()
	return errors.Join(errs...)
}
