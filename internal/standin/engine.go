package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is a model engine with continuous batching: it admits requests as they
// arrive, runs Slots of them at a time, and each stream slows down as the batch
// fills. It is safe for concurrent use.
type Engine struct {
	Name string
	// Slots is the batch size; zero means 16.
	Slots int
	// Rate is the tokens a second of a stream that runs alone.
	Rate float64
	// Slowdown is the part of the rate that a stream loses in a full batch.
	Slowdown float64
	// Lag is how old the load report is.
	Lag time.Duration
	// Fencing refuses orders with an old fencing number.
	Fencing bool
	// Weights is asked before a model is loaded; nil means loading is free.
	Weights *Weights
	// LoadTime is how long it takes to load a model.
	LoadTime time.Duration

	mu       sync.Mutex
	slots    chan struct{}
	running  int
	waiting  int
	reported Load
	reportAt time.Time
	faults   EngineFaults
	model    string
	version  string
	role     string
	fence    int64
	orders   []Order
	stale    int
	leaving  bool
	prefixes map[string]time.Time
	starts   int
	tokens   int64
	crashes  int
	runs     map[string]int
	backAt   time.Time // end of the last crash
}

// crashTime is how long an engine that crashed is away.
const crashTime = 2 * time.Second

var errCrashed = errors.New("standin: the engine crashed")

// EngineFaults are the failures that an engine can be told to show.
type EngineFaults struct {
	// Down drops all connections.
	Down bool `json:"down"`
	// Break drops this many streams halfway.
	Break int `json:"break"`
	// Poison crashes the engine on a prompt that contains it.
	Poison string `json:"poison"`
}

// Prompt is the body of a request to an engine.
type Prompt struct {
	Prompt string `json:"prompt"`
	// Tokens is how many tokens the answer has.
	Tokens int `json:"tokens"`
}

// Order tells an engine what to load.
type Order struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role,omitempty"`
	// Fence is the fencing number of the leader that gives the order.
	Fence int64  `json:"fence"`
	From  string `json:"from"`
}

// prefixLength is how much of a prompt counts for the prefix cache, in bytes;
// prefixCapacity is how many prefixes the cache holds.
const (
	prefixLength   = 64
	prefixCapacity = 64
)

// Set switches the faults.
func (e *Engine) Set(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Leave makes the engine report that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.reportAt = time.Time{}
}

// Counts returns what the engine did: requests started, tokens streamed and
// crashes on a poisoned prompt.
func (e *Engine) Counts() (starts int, tokens int64, crashes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts, e.tokens, e.crashes
}

// Runs returns how often a request with an idempotency key was started.
func (e *Engine) Runs(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[key]
}

// Orders returns the orders that were carried out, and how many with an old
// fencing number were refused.
func (e *Engine) Orders() ([]Order, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...), e.stale
}

// Reset makes the engine forget its model, as a replaced instance would.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model, e.version, e.fence = "", "", 0
	e.reportAt = time.Time{}
}

// ServeHTTP serves prompts on every path but /load, /order and /faults.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := e.faults.Down || time.Now().Before(e.backAt)
	e.mu.Unlock()
	switch {
	case r.URL.Path == "/faults":
		var f EngineFaults
		if readJSON(w, r, &f) {
			e.Set(f)
		}
	case down:
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/load":
		writeJSON(w, e.load())
	case r.URL.Path == "/order":
		e.serveOrder(w, r)
	default:
		e.servePrompt(w, r)
	}
}

func (e *Engine) load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportAt) >= e.Lag {
		e.reportAt = time.Now()
		e.reported = Load{
			Slots: e.batch(), Running: e.running + e.waiting, Leaving: e.leaving,
			Ready: e.model != "", Model: e.model, Version: e.version, Role: e.role, Fence: e.fence,
		}
	}
	return e.reported
}

func (e *Engine) batch() int {
	if e.Slots == 0 {
		return 16
	}
	return e.Slots
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	if e.Fencing && o.Fence < e.fence {
		e.stale++
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	e.fence = max(e.fence, o.Fence)
	same := e.model == o.Model && e.version == o.Version && e.role == o.Role
	e.mu.Unlock()
	if !same && e.Weights != nil && !e.Weights.Take() {
		http.Error(w, "weight store at its limit", http.StatusTooManyRequests)
		return
	}
	time.Sleep(e.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model, e.version, e.role = o.Model, o.Version, o.Role
	e.orders = append(e.orders, o)
	e.reportAt = time.Time{}
	writeJSON(w, o)
}

// admit waits for a slot of the batch, first come first served.
func (e *Engine) admit(ctx context.Context) error {
	e.mu.Lock()
	if e.slots == nil {
		e.slots = make(chan struct{}, e.batch())
	}
	e.waiting++
	e.mu.Unlock()
	var err error
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		err = ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if err == nil {
		e.running++
	}
	return err
}

func (e *Engine) leaveBatch() {
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *Engine) servePrompt(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 8<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var p Prompt
	if err := json.Unmarshal(body, &p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.admit(r.Context()); err != nil {
		return
	}
	defer e.leaveBatch()
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	breakAt := e.begin(r, p, from)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= p.Tokens; i++ {
		if i == breakAt {
			panic(http.ErrAbortHandler)
		}
		err := e.pause(r.Context())
		if errors.Is(err, errCrashed) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, Word(p.Prompt, i))
		w.(http.Flusher).Flush()
	}
	fmt.Fprint(w, "event: end\ndata: end\n\n")
}

// Word returns the i-th token of the answer to a prompt. It is the same at every
// engine, so that resumed streams can be checked.
func Word(prompt string, i int) string {
	sum := uint32(2166136261)
	for _, b := range []byte(prompt) {
		sum = (sum ^ uint32(b)) * 16777619
	}
	return fmt.Sprintf("w%x", (sum+uint32(i)*2654435761)%0xfff)
}

// begin counts a start and returns the token at which the stream breaks, or -1.
func (e *Engine) begin(r *http.Request, p Prompt, from int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		if e.runs == nil {
			e.runs = map[string]int{}
		}
		e.runs[key]++
	}
	e.remember(p.Prompt)
	if e.faults.Poison != "" && strings.Contains(p.Prompt, e.faults.Poison) {
		e.crashes++
		e.backAt = time.Now().Add(crashTime)
		return from + 1
	}
	if e.faults.Break > 0 {
		e.faults.Break--
		return from + max(1, (p.Tokens-from)/2)
	}
	return -1
}

func (e *Engine) remember(prompt string) {
	if e.prefixes == nil {
		e.prefixes = map[string]time.Time{}
	}
	prefix := prompt[:min(len(prompt), prefixLength)]
	e.prefixes[prefix] = time.Now()
	if len(e.prefixes) <= prefixCapacity {
		return
	}
	oldest := prefix
	for other, at := range e.prefixes {
		if at.Before(e.prefixes[oldest]) {
			oldest = other
		}
	}
	delete(e.prefixes, oldest)
}

// pause waits for the next token. The time grows with the batch.
func (e *Engine) pause(ctx context.Context) error {
	e.mu.Lock()
	if time.Now().Before(e.backAt) {
		e.mu.Unlock()
		return errCrashed
	}
	e.tokens++
	fill := float64(e.running) / float64(e.batch())
	per := time.Duration(0)
	if e.Rate > 0 {
		per = time.Duration(float64(time.Second) / (e.Rate * (1 - e.Slowdown*fill)))
	}
	e.mu.Unlock()
	if per == 0 {
		return ctx.Err()
	}
	t := time.NewTimer(per)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.Join(ctx.Err())
	}
}

// Busy returns how many requests run in the batch.
func (e *Engine) Busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
