package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// engine is a server that some requests crash when it begins to answer them: those with the part deadly in
// their prompts and those whose path begins with deadlyPath. It is back after downTime under its ID, with its
// counts anew; with a downTime of zero it is gone for good. It answers with a stream, or with one body if plain
// is set.
type engine struct {
	bed         *bed
	ID, Address string
	Zone        string
	deadly      string
	deadlyPath  string
	plain       bool
	events      int           // of each stream
	firstTime   time.Duration // from a request to the first event
	Service     string
	downTime    time.Duration
	onArrival   func(id string, deadly bool)
	onBegin     func(id string)
	onCrash     func(engine string)
	mu          sync.Mutex
	sequence    int
	born        int64
	listener    net.Listener
	conns       map[net.Conn]struct{}
	running     int
	generation  int
}

// Sequence counts the records since the start.
func (e *engine) Sequence() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return e.sequence
}

// Born is when the engine started.
func (e *engine) Born() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.born
}

// start listens; the first start chooses the address.
func (e *engine) start() error {
	address := e.Address
	if address == "" {
		port, err := freePort()
		if err != nil {
			return err
		}
		address = fmt.Sprintf("127.0.0.1:%d", port)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Address, e.listener, e.conns = address, l, map[net.Conn]struct{}{}
	e.born, e.sequence, e.running = time.Now().UnixMilli(), 0, 0
	e.generation++
	srv := &http.Server{Handler: e, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		switch s {
		case http.StateNew:
			e.conns[c] = struct{}{}
		case http.StateClosed, http.StateHijacked:
			delete(e.conns, c)
		default:
		}
	}}
	go func() { _ = srv.Serve(l) }()
	return nil
}

// crash closes everything at once, as the end of a process does, and starts again later.
func (e *engine) crash(generation int) {
	e.mu.Lock()
	if generation != e.generation || e.listener == nil {
		e.mu.Unlock()
		return
	}
	_ = e.listener.Close()
	e.listener = nil
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	e.mu.Unlock()
	e.onCrash(e.ID)
	if e.downTime == 0 {
		return
	}
	time.AfterFunc(e.downTime, func() {
		if err := e.start(); err != nil {
			e.bed.fail(fmt.Errorf("engine %s cannot start again: %w", e.ID, err))
			return
		}
		e.beat()
	})
}

func (e *engine) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listener != nil
}

// beat writes the engine's record.
func (e *engine) beat() {
	text, err := e.bed.fill(e.template(), e)
	if err == nil {
		_, err = e.bed.store.put(e.bed.names.ServersTopic, e.ID, text)
	}
	if err != nil {
		e.bed.log("record of %s: %v", e.ID, err)
	}
}

// template names the data file of the record.
func (e *engine) template() string {
	if e.plain {
		return "server.tmpl"
	}
	return "engine.tmpl"
}

// State is that of the record.
func (e *engine) State() string { return "ready" }

// beats writes the record every 1.2 s while the engine is up.
func (e *engine) beats(ctx context.Context) {
	for ctx.Err() == nil {
		if e.isUp() {
			e.beat()
		}
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

const eventInterval = 15 * time.Millisecond

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := e.bed.names
	id := r.Header.Get(n.RequestHeader)
	e.mu.Lock()
	generation := e.generation
	e.running++
	running := e.running
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set(n.RequestHeader, id)
	if expected := r.Header.Get(n.ExpectHeader); expected != "" && expected != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadly := e.deadlyPath != "" && strings.HasPrefix(r.URL.Path, e.deadlyPath)
	parts := strings.Split(r.Header.Get(n.PrefixHeader), ",")
	for _, part := range parts[:max(len(parts)-1, 0)] {
		name, _, _ := strings.Cut(part, ":")
		deadly = deadly || name == e.deadly
	}
	e.onArrival(id, deadly)
	select {
	case <-time.After(cmp.Or(e.firstTime, 40*time.Millisecond)):
	case <-r.Context().Done():
		return
	}
	if deadly {
		e.crash(generation)
		return
	}
	e.onBegin(id)
	w.Header().Set(n.LoadHeader, fmt.Sprintf("%d,0,32", running))
	w.Header().Set(n.SealHeader, "seal."+e.ID)
	if e.plain {
		_, _ = io.WriteString(w, strings.Repeat("x", 800))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= e.events; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, strings.Repeat("y", 60)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}
