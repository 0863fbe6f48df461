// Package demo runs router instances, stand-ins for the platform and the endpoints,
// and callers in one process over loopback, and counts what became of every request
// at the callers and at the endpoints.
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

	"github.com/greengagestep/greengagestep/internal/logbook"
	"github.com/greengagestep/greengagestep/internal/router"
	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/pkg/fleet"
	"github.com/greengagestep/greengagestep/pkg/operator"
)

// Secret authenticates the instances of a demo to each other.
const Secret = "demonstration-secret"

// Site is a fleet with everything around it. Exported fields are set before Start.
type Site struct {
	// Instances and Domains size the fleet.
	Instances int
	Domains   int
	// Engines and Plains are the numbers of endpoints.
	Engines int
	Plains  int
	// EngineSlots and PlainSlots are the slots of each; zero means 4.
	EngineSlots int
	PlainSlots  int
	// TokenRate is the tokens a second of a stream; zero means 200.
	TokenRate float64
	// CallTime is how long a plain call takes; zero means 20 ms.
	CallTime time.Duration
	// Retention is how long the log keeps records; zero means for ever.
	Retention time.Duration
	// Drain bounds planned stops; zero means a minute.
	Drain time.Duration
	// Network carries all connections; nil means loopback.
	Network Network

	Log     *standin.Log
	List    *standin.List
	Weights *standin.Weights
	Model   []*standin.Engine
	Plain   []*standin.Plain
	Nodes   []*Node

	mu      sync.Mutex
	servers []*http.Server
	entries []fleet.Instance
	cut     map[string]bool    // failure domains that are cut off
	blocked map[[2]string]bool // one-way cuts from a domain to a domain
	homes   map[string]string  // failure domain of each address
	logURL  string
	listURL string
	client  *http.Client
}

// Node is one router instance of a site.
type Node struct {
	Name   string
	Domain string
	// Callers, Peers and Operators are its addresses while it runs.
	Callers   string
	Peers     string
	Operators string

	site    *Site
	cancel  context.CancelFunc
	ended   chan error
	router  *router.Router
	gate    *gate
	running bool
}

const (
	defaultSlots     = 4
	defaultTokenRate = 200 // tokens a second
	defaultCallTime  = 20 * time.Millisecond
	defaultDrain     = time.Minute
	settleTimeout    = 20 * time.Second
)

var errCut = errors.New("demo: the failure domain is cut off")

// Start runs the platform, the endpoints and the instances.
func (s *Site) Start() error {
	s.fill()
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
	for i := range s.Instances {
		n := &Node{Name: fmt.Sprintf("e%d", i), Domain: fmt.Sprintf("d%d", i%s.Domains), site: s}
		s.Nodes = append(s.Nodes, n)
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) fill() {
	s.Log = &standin.Log{Retention: s.Retention}
	s.List = &standin.List{}
	s.Weights = &standin.Weights{Limit: 50, Burst: 50}
	s.cut = map[string]bool{}
	s.blocked = map[[2]string]bool{}
	s.homes = map[string]string{}
	if s.Network == nil {
		s.Network = &standin.Loopback{}
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
	if s.Drain == 0 {
		s.Drain = defaultDrain
	}
}

func (s *Site) startEndpoints() error {
	for i := range s.Engines {
		e := &standin.Engine{Name: fmt.Sprintf("m%d", i), Slots: s.EngineSlots, Rate: s.TokenRate, Fencing: true, Weights: s.Weights}
		s.Model = append(s.Model, e)
		if err := s.endpoint(e.Name, "model", i, e); err != nil {
			return err
		}
	}
	for i := range s.Plains {
		p := &standin.Plain{Name: fmt.Sprintf("p%d", i), Slots: s.PlainSlots, Latency: s.CallTime}
		s.Plain = append(s.Plain, p)
		if err := s.endpoint(p.Name, "portal", i, p); err != nil {
			return err
		}
	}
	return nil
}

func (s *Site) endpoint(name, service string, i int, h http.Handler) error {
	address, err := s.serve(h)
	if err != nil {
		return err
	}
	domain := fmt.Sprintf("d%d", i%s.Domains)
	s.homes[address] = domain
	s.publishList(fleet.Instance{Name: name, Role: fleet.RoleEndpoint, Domain: domain, Address: address, Service: service})
	return nil
}

// Address returns the address of an endpoint, or an empty string.
func (s *Site) Address(endpoint string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, in := range s.entries {
		if in.Name == endpoint {
			return in.Address
		}
	}
	return ""
}

// publishList adds an entry to the instance list or replaces it.
func (s *Site) publishList(in fleet.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.entries {
		if s.entries[i].Name == in.Name {
			s.entries[i] = in
			s.List.Set(s.entries)
			return
		}
	}
	s.entries = append(s.entries, in)
	s.List.Set(s.entries)
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

// Cut cuts a failure domain off from the others and from the platform, or joins
// it again.
func (s *Site) Cut(domain string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[domain] = cut
}

// Block cuts only the way from one failure domain to another, or joins it again.
func (s *Site) Block(from, to string, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked[[2]string{from, to}] = blocked
}

// Client returns a client for callers and operators, whom cuts do not affect.
func (s *Site) Client() *http.Client { return s.client }

// reachable reports whether an instance in a domain reaches an address.
func (s *Site) reachable(from, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := s.homes[address]
	if from == to {
		return true
	}
	return !s.cut[from] && !s.cut[to] && !s.blocked[[2]string{from, to}]
}

// Start runs the instance with no memory. It takes part in the fleet once it is
// ready.
func (n *Node) Start() error {
	s := n.site
	n.gate = newGate()
	client := &http.Client{Transport: &http.Transport{DialContext: n.dial, DisableKeepAlives: true}}
	r := &router.Router{
		Name: n.Name, Domain: n.Domain, Secret: Secret, Drain: s.Drain,
		Log: &logbook.Log{URL: s.logURL, Client: client}, List: &logbook.List{URL: s.listURL, Client: client},
		Retention: s.Retention, Dial: n.dial,
	}
	for _, to := range []*net.Listener{&r.Callers, &r.Peers, &r.Operators} {
		l, err := s.Network.Listen()
		if err != nil {
			return err
		}
		*to = gatedListener{l, n.gate}
	}
	n.Callers, n.Peers, n.Operators = r.Callers.Addr().String(), r.Peers.Addr().String(), r.Operators.Addr().String()
	s.mu.Lock()
	s.homes[n.Peers] = n.Domain
	s.mu.Unlock()
	s.publishList(fleet.Instance{Name: n.Name, Role: fleet.RoleEntry, Domain: n.Domain, Address: n.Peers})
	ctx, cancel := context.WithCancel(context.Background())
	n.router, n.cancel, n.ended, n.running = r, cancel, make(chan error, 1), true
	go func() { n.ended <- r.Run(ctx) }()
	return nil
}

// dial connects to an address if no cut lies between.
func (n *Node) dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.gate.wait()
	if !n.site.reachable(n.Domain, address) {
		return nil, errCut
	}
	conn, err := n.site.Network.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	cut := func() bool { return !n.site.reachable(n.Domain, address) }
	return &gatedConn{Conn: conn, gate: n.gate, cut: cut}, nil
}

// Freeze holds back everything that the instance sends and receives, as a paused
// process would, or lets it go on.
func (n *Node) Freeze(frozen bool) { n.gate.set(frozen) }

// Kill ends the instance at once, with all that waits and runs there.
func (n *Node) Kill() {
	if !n.running {
		return
	}
	n.running = false
	n.router.Kill()
	n.gate.set(false)
	<-n.ended
}

// Stop stops the instance gracefully and waits for it.
func (n *Node) Stop() error {
	if !n.running {
		return nil
	}
	n.running = false
	n.cancel()
	return <-n.ended
}

// Restart stops the instance gracefully and starts it with no memory.
func (n *Node) Restart() error {
	if err := n.Stop(); err != nil {
		return err
	}
	return n.Start()
}

// Operator returns a client of the instance's operators' address.
func (n *Node) Operator() *operator.Client {
	return &operator.Client{Address: n.Operators, Secret: Secret, HTTP: n.site.client}
}

// Running reports whether the instance was started and neither stopped nor killed.
func (n *Node) Running() bool { return n.running }

// Version returns the configuration version in force at the instance, 0 if it does
// not answer.
func (n *Node) Version(ctx context.Context) int64 {
	st, err := n.Operator().Status(ctx)
	if err != nil {
		return 0
	}
	return st.Version
}

// Ready reports whether the balancer may send requests to the instance.
func (n *Node) Ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Operators+"/ready", nil)
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

// Publish publishes a text through the first instance and waits until every
// instance is ready and every endpoint is open.
func (s *Site) Publish(ctx context.Context, text string, edits int64) (operator.PublishResult, error) {
	p, err := s.Nodes[0].Operator().Publish(ctx, operator.Proposal{Actor: "demo", BaseVersion: edits, Text: text})
	if err != nil {
		return p, err
	}
	return p, s.Settle(ctx)
}

// Settle waits until every instance is ready and sees every endpoint open.
func (s *Site) Settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for _, n := range s.Nodes {
		for !n.settled(ctx, len(s.Model)+len(s.Plain)) {
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
				return fmt.Errorf("demo: instance %s is not ready after %s", n.Name, settleTimeout)
			}
		}
	}
	return nil
}

func (n *Node) settled(ctx context.Context, endpoints int) bool {
	if !n.running {
		return true
	}
	if !n.Ready(ctx) {
		return false
	}
	st, err := n.Operator().Status(ctx)
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

// Close stops all instances and servers.
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
