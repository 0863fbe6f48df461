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
	"github.com/greengagestep/greengagestep/internal/budget"
	"github.com/greengagestep/greengagestep/internal/gateway"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// plainDialect is the product's own names on the wire.
type plainDialect struct{}

func (plainDialect) Ask(h http.Header) fleet.Ask {
	wait, _ := strconv.Atoi(h.Get("Wait"))
	input, _ := strconv.Atoi(h.Get("Input"))
	a := fleet.Ask{ID: h.Get("Request-Id"), Key: h.Get("Key"), After: h.Get("After"), Wait: time.Duration(wait) * time.Millisecond, Input: input}
	for part := range strings.SplitSeq(h.Get("Parts"), ",") {
		if id, tokens, ok := strings.Cut(part, ":"); ok {
			n, _ := strconv.Atoi(tokens)
			a.Prompt = append(a.Prompt, fleet.Part{ID: xxhash.Sum64String(id), Tokens: n})
		}
	}
	return a
}

func (plainDialect) Direct(h http.Header, e fleet.Errand) {
	h.Del("Key")
	h.Set("Endpoint", e.Endpoint)
	h.Set("Customer", e.Customer)
	h.Set("Wait", strconv.FormatInt(e.Left.Milliseconds(), 10))
	if e.After != "" {
		h.Set("After", e.After)
	}
}

func (plainDialect) Reply(_ int, h http.Header) fleet.Reply {
	return fleet.Reply{ID: h.Get("Request-Id"), Sealed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != ""}
}

// server is a stand-in for an endpoint: a function that gets each request and the
// connection on which to answer.
type server func(r *http.Request, body string, w io.Writer) (keep bool)

func (s server) serve(l net.Listener) {
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
				if err != nil || !s(r, string(body), c) {
					return
				}
			}
		}()
	}
}

// stage is one gateway before some endpoints.
type stage struct {
	t   testing.TB
	net *standin.MemoryNetwork
	// listeners are those of endpoints, by ID.
	listeners map[string]net.Listener
	handler   *gateway.Handler
	board     *placement.Board
	client    *http.Client
}

func newStage(t testing.TB, text arrangement.Text) *stage {
	n := &standin.MemoryNetwork{}
	s := &stage{t: t, net: n, listeners: map[string]net.Listener{}, board: &placement.Board{Self: "a"}}
	s.handler = &gateway.Handler{
		Dialect: plainDialect{}, Board: s.board, Pool: &upstream.Pool{Dialect: plainDialect{}, Dial: n.Dial},
		Ledger: &admission.Ledger{}, Patience: &admission.Patience{}, Budget: &budget.Budget{Spare: 80}, Metrics: &gauge.Set{}, Logger: zap.NewNop(),
	}
	require.True(t, s.handler.Use(text, 1))
	front, err := n.Listen()
	require.NoError(t, err)
	srv := &http.Server{Handler: s.handler}
	go func() { _ = srv.Serve(front) }()
	s.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return n.Dial(ctx, "tcp", front.Addr().String())
		},
	}}
	t.Cleanup(func() {
		s.handler.Wait()
		s.client.CloseIdleConnections()
		s.handler.Pool.Close()
		_ = srv.Close()
		for _, l := range s.listeners {
			_ = l.Close()
		}
	})
	return s
}

// endpoint starts a stand-in and lists it.
func (s *stage) endpoint(id string, do server) {
	l, err := s.net.Listen()
	require.NoError(s.t, err)
	s.listeners[id] = l
	go do.serve(l)
	s.board.Put(placement.Endpoint{ID: id, Entry: fleet.Entry{Service: "portal", Address: l.Addr().String(), Domain: "a", Slots: 4}})
}

// answer writes a whole answer of an endpoint.
func answer(w io.Writer, r *http.Request, status int, body string) {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Request-Id"), len(body), body)
}
