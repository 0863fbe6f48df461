package router

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/connection"
	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/internal/head"
	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/scheduler"
)

const (
	pathMessage  = "/m"
	pathSnapshot = "/peer/configuration"
	pathSteps    = "/peer/steps"
	// maxMessageBytes bounds a message between instances.
	maxMessageBytes = 4 << 20
	// sendTimeout bounds one exchange with a peer.
	sendTimeout = time.Second
	// sendRetryDelay is the delay after a failed exchange.
	sendRetryDelay = 250 * time.Millisecond
)

// messagePart is a component that sends its own state as part of the scheduler's
// messages.
type messagePart interface {
	// key returns the key of the part in the message.
	key() string
	// compose returns the state to send to a peer, or nil if there is nothing to
	// send.
	compose(peer string) json.RawMessage
	// sent records whether the composed message reached the peer.
	sent(peer string, ok bool)
	// receive applies the part of a peer's message. It returns an error if the
	// part cannot be decoded.
	receive(from member.Member, data json.RawMessage) error
}

// authenticated rejects requests that do not carry the secret, except those for
// /live and /ready.
func (r *Router) authenticated(next http.Handler) http.Handler {
	want := []byte("Bearer " + r.Secret)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		isPublic := req.URL.Path == "/live" || req.URL.Path == "/ready"
		got := []byte(req.Header.Get("Authorization"))
		if !isPublic && subtle.ConstantTimeCompare(got, want) != 1 {
			metrics.GetOrRegisterCounter("peers.unauthenticated", r.metrics).Inc(1)
			http.Error(w, "router: not authenticated", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, req)
	})
}

func (r *Router) peersMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathMessage, r.serveMessage)
	mux.HandleFunc("GET "+pathSnapshot, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.follower.Snapshot()) })
	mux.HandleFunc("GET "+pathSteps, r.serveSteps)
	mux.HandleFunc("POST "+pathStart, r.serveStart)
	r.claims.Register(mux)
	return mux
}

func (r *Router) serveMessage(w http.ResponseWriter, req *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxMessageBytes))
	if err != nil {
		r.rejectMessage(w, req, err)
		return
	}
	var from member.Member
	var extra map[string]json.RawMessage
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		from, extra, err = s.Receive(data, time.Now())
	})
	if err != nil {
		r.rejectMessage(w, req, err)
		return
	}
	if len(extra) > 0 {
		err = r.receiveParts(from, extra)
		r.dispatcher.With(func(s *scheduler.Scheduler) { s.UseGrants(from.Name, time.Now()) })
	}
	if err != nil {
		r.rejectMessage(w, req, err)
		return
	}
	w.Header()["Date"] = nil
	w.WriteHeader(http.StatusNoContent)
}

// receiveParts applies the parts of a message up to the first one that is not usable.
func (r *Router) receiveParts(from member.Member, extra map[string]json.RawMessage) error {
	for _, p := range r.parts {
		if extra[p.key()] == nil {
			continue
		}
		if err := p.receive(from, extra[p.key()]); err != nil {
			return err
		}
	}
	return nil
}

// rejectMessage responds to a message that cannot be decoded or processed.
func (r *Router) rejectMessage(w http.ResponseWriter, req *http.Request, err error) {
	metrics.GetOrRegisterCounter("peers.garbage", r.metrics).Inc(1)
	r.trail.Add(audit.Entry{Type: audit.EventMessage, Subject: "message from " + req.RemoteAddr, Change: "dropped", Cause: err.Error()})
	http.Error(w, err.Error(), http.StatusBadRequest)
}

// sender sends messages to one peer, one at a time.
type sender struct {
	r    *Router
	peer string
	wake <-chan struct{}
}

// startSender starts the sender for a peer. It does so in a goroutine of its own,
// because it is called with the dispatcher's lock held.
func (r *Router) startSender(peer string) {
	go func() { r.senders.Add(&sender{r: r, peer: peer, wake: r.dispatcher.Wakes(peer)}) }()
}

// String names the sender in the supervisor's events.
func (s *sender) String() string { return "sender to " + s.peer }

// Serve implements suture.Service.
func (s *sender) Serve(ctx context.Context) error {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.send(ctx) {
			continue
		}
		select {
		case <-time.After(sendRetryDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *sender) send(ctx context.Context) bool {
	r := s.r
	extra := map[string]json.RawMessage{}
	for _, p := range r.parts {
		if data := p.compose(s.peer); data != nil {
			extra[p.key()] = data
		}
	}
	var body []byte
	var to member.Member
	r.dispatcher.With(func(sch *scheduler.Scheduler) {
		to, _ = sch.Table.Get(s.peer)
		body = sch.Compose(s.peer, extra, time.Now())
	})
	err := r.postMessage(ctx, to.Address, body)
	for _, p := range r.parts {
		p.sent(s.peer, err == nil)
	}
	r.dispatcher.With(func(sch *scheduler.Scheduler) { sch.Sent(s.peer, err == nil) })
	return err == nil
}

// newCountingClient returns an HTTP client that counts the bytes that it writes. A nil
// dial means net.Dialer with a timeout of sendTimeout.
func newCountingClient(dial endpoint.Dial, bytesWritten metrics.Counter) *http.Client {
	if dial == nil {
		dial = endpoint.Dial(connection.ResetOnClose((&net.Dialer{Timeout: sendTimeout}).DialContext))
	}
	countingDial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, bytesWritten}, nil
	}
	return &http.Client{Transport: head.NewTransport(&http.Transport{
		DialContext: countingDial, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute,
	})}
}

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	bytesWritten metrics.Counter
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten.Inc(int64(n))
	return n, err
}

func (r *Router) postMessage(ctx context.Context, address string, body []byte) error {
	metrics.GetOrRegisterCounter("peers.messages", r.metrics).Inc(1)
	resp, err := r.peerCall(ctx, http.MethodPost, address, pathMessage, body, sendTimeout)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// peerCall calls a peer. The caller must close the body of the response.
func (r *Router) peerCall(ctx context.Context, method, address, path string, body []byte, timeout time.Duration) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, err
	}
	req.Header["User-Agent"] = nil
	req.Header.Set("Authorization", "Bearer "+r.Secret)
	resp, err := r.peerClient.Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		_ = resp.Body.Close()
		cancel()
		return nil, fmt.Errorf("router: peer at %s answered status %d to %s", address, resp.StatusCode, path)
	}
	resp.Body = cancelOnClose{resp.Body, cancel}
	return resp, nil
}

// cancelOnClose is a response body that cancels the context of its call when it is
// closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// askPeer calls a peer by name with a JSON request and a JSON response.
func (r *Router) askPeer(ctx context.Context, method, peer, path string, args, reply any, timeout time.Duration) error {
	var to member.Member
	known := false
	r.dispatcher.With(func(s *scheduler.Scheduler) { to, known = s.Table.Get(peer) })
	if !known {
		return fmt.Errorf("router: instance %q is not known", peer)
	}
	body, err := json.Marshal(args)
	if err != nil {
		return err
	}
	resp, err := r.peerCall(ctx, method, to.Address, path, body, timeout)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(io.LimitReader(resp.Body, maxMessageBytes)).Decode(reply)
}

// claimTimeout bounds a call about a claim. It is long because a peer may wait for the
// result of a request before it responds.
const claimTimeout = 25 * time.Second

// claimPeers gives the claim registry access to the other instances.
type claimPeers struct {
	r *Router
}

// Owner implements claim.Peers.
func (c claimPeers) Owner(shard int) string {
	owner := ""
	c.r.dispatcher.With(func(s *scheduler.Scheduler) { owner = s.Table.Owner(fmt.Sprintf("claims/%d", shard), "") })
	return owner
}

// Ask implements claim.Peers.
func (c claimPeers) Ask(ctx context.Context, peer, path string, args, reply any) error {
	return c.r.askPeer(ctx, http.MethodPost, peer, path, args, reply, claimTimeout)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
