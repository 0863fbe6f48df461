package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/backlog"
	"github.com/greengagestep/greengagestep/internal/budget"
	"github.com/greengagestep/greengagestep/internal/gateway"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/outlet"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// plainHeaderCodec is a fleet.HeaderCodec with short header names for tests.
type plainHeaderCodec struct{}

func (plainHeaderCodec) DecodeRequest(h http.Header) fleet.RequestAttrs {
	wait, _ := strconv.Atoi(h.Get("Wait"))
	input, _ := strconv.Atoi(h.Get("Input"))
	a := fleet.RequestAttrs{ID: h.Get("Request-Id"), Key: h.Get("Key"), LastEventID: h.Get("After"), Timeout: time.Duration(wait) * time.Millisecond, InputTokens: input}
	for part := range strings.SplitSeq(h.Get("Parts"), ",") {
		if id, tokens, ok := strings.Cut(part, ":"); ok {
			n, _ := strconv.Atoi(tokens)
			a.Prompt = append(a.Prompt, fleet.PromptPart{ID: xxhash.Sum64String(id), Tokens: n})
		}
	}
	return a
}

func (plainHeaderCodec) RewriteForEndpoint(h http.Header, e fleet.ForwardAttrs) {
	h.Del("Key")
	h.Set("Endpoint", e.Endpoint)
	h.Set("Customer", e.Customer)
	h.Set("Wait", strconv.FormatInt(e.Remaining.Milliseconds(), 10))
	if e.LastEventID != "" {
		h.Set("After", e.LastEventID)
	}
}

func (plainHeaderCodec) DecodeResponse(_ int, h http.Header) fleet.ResponseAttrs {
	quiet, _ := strconv.Atoi(h.Get("Quiet-Millis"))
	return fleet.ResponseAttrs{
		ID: h.Get("Request-Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "",
		Leaving: h.Get("Leaving") != "", QuietFor: time.Duration(quiet) * time.Millisecond,
	}
}

// endpointFunc simulates an endpoint: it gets each request, its body and the connection
// to write the response to. The connection is closed unless it returns true.
type endpointFunc func(r *http.Request, body string, w io.Writer) (keep bool)

func (f endpointFunc) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				body, err := io.ReadAll(r.Body)
				if err != nil || !f(r, string(body), c) {
					return
				}
			}
		}()
	}
}

// testGateway is a gateway with simulated endpoints on an in-memory network.
type testGateway struct {
	t       testing.TB
	network *standin.MemoryNetwork
	// listeners are the listeners of the endpoints, by endpoint ID.
	listeners map[string]net.Listener
	handler   *gateway.Handler
	balancer  *placement.Balancer
	client    *http.Client
	readDelay time.Duration // from when a connection of a caller is accepted until it is read
	givenUp   chan string   // customer of each caller that was given up, and why
}

func newTestGateway(t testing.TB, config arrangement.Config) *testGateway {
	n := &standin.MemoryNetwork{}
	g := &testGateway{t: t, givenUp: make(chan string, 100), network: n, listeners: map[string]net.Listener{}, balancer: &placement.Balancer{LocalDomain: "a"}}
	g.handler = &gateway.Handler{
		HeaderCodec: plainHeaderCodec{}, Balancer: g.balancer, Pool: &upstream.Pool{HeaderCodec: plainHeaderCodec{}, Dial: n.Dial},
		Ledger: &admission.Ledger{}, RetryDetector: &admission.RetryDetector{}, Budget: &budget.Budget{Slack: 80}, Metrics: &gauge.Set{}, Logger: zap.NewNop(),
	}
	require.True(t, g.handler.Use(config, 1))
	listener, err := n.Listen()
	require.NoError(t, err)
	g.serve(listener)
	g.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return n.Dial(ctx, "tcp", listener.Addr().String())
		},
	}}
	t.Cleanup(func() {
		g.handler.Wait()
		g.client.CloseIdleConnections()
		g.handler.Pool.Close()
		for _, l := range g.listeners {
			_ = l.Close()
		}
	})
	return g
}

// serve serves callers that connect to a listener until the end of the test.
func (g *testGateway) serve(l net.Listener) {
	srv := &http.Server{Handler: g.handler, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return outlet.NewContext(ctx, c.(*outlet.Conn))
	}}
	go func() { _ = srv.Serve(callerListener{l, g}) }()
	g.t.Cleanup(func() { _ = srv.Close() })
}

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	gateway *testGateway
}

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := outlet.New(c, &l.gateway.handler.Backlog, func(customer string, reason backlog.Reason) {
		l.gateway.givenUp <- fmt.Sprint(customer, " ", reason)
	})
	time.Sleep(l.gateway.readDelay)
	return conn, nil
}

// addEndpoint starts a simulated endpoint and adds it to the balancer.
func (g *testGateway) addEndpoint(id string, handle endpointFunc) {
	l, err := g.network.Listen()
	require.NoError(g.t, err)
	go handle.serve(l)
	g.put(id, l)
}

// put adds an endpoint that listens to the balancer.
func (g *testGateway) put(id string, l net.Listener) {
	g.listeners[id] = l
	g.balancer.Put(placement.Endpoint{ID: id, EndpointInfo: fleet.EndpointInfo{Service: "portal", Address: l.Addr().String(), Domain: "a", Slots: 4}})
}

// writeResponse writes a complete response of an endpoint.
func writeResponse(w io.Writer, r *http.Request, status int, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Request-Id"), len(body), body)
}
