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

// Engine simulates a model inference engine with continuous batching: it admits
// requests as they arrive, runs up to Slots of them concurrently, and decodes each
// stream more slowly as the batch fills. Exported fields are set before first use;
// the methods are safe for concurrent use.
type Engine struct {
	Name string
	// Slots is the maximum batch size in requests; zero means 16.
	Slots int
	// Rate is the decoding rate of a stream that runs alone, in tokens per second;
	// zero means that tokens are sent without delay.
	Rate float64
	// Slowdown is the fraction of Rate that each stream loses when the batch is full.
	Slowdown float64
	// ReportAge is the maximum age of the load report; zero means it is always current.
	ReportAge time.Duration
	// Fencing makes the engine refuse orders with an outdated fencing number.
	Fencing bool
	// Weights limits the rate at which models are loaded; nil means no limit.
	Weights *WeightStore
	// LoadTime is the time that it takes to load a model.
	LoadTime time.Duration
	// Signals is what the engine tells its callers about itself.
	Signals

	mu          sync.Mutex
	slots       chan struct{}
	running     int
	waiting     int
	report      LoadReport
	reportAt    time.Time
	faults      EngineFaults
	model       string
	version     string
	role        string
	maxFence    int64
	orders      []Order
	staleOrders int
	leaving     bool
	prefixes    map[string]time.Time
	starts      int
	tokens      int64
	crashes     int
	runs        map[string]int
	restartedAt time.Time // end of the downtime after the last crash
}

// crashDuration is how long an engine is down after a crash.
const crashDuration = 2 * time.Second

var errCrashed = errors.New("standin: the engine crashed")

// EngineFaults selects the faults that an engine simulates. The zero value selects
// none.
type EngineFaults struct {
	// Down drops every request without a response.
	Down bool `json:"down"`
	// Break is the number of streams whose connection is dropped halfway.
	Break int `json:"break"`
	// Spoil is the number of streams that are spoiled halfway and then go on as if they had
	// not been.
	Spoil int `json:"spoil"`
	// SpoilKind is the way in which they are; empty means that all kinds take turns.
	SpoilKind SpoilKind `json:"spoilKind"`
	// Comment makes streams begin with a comment, as a sign of life.
	Comment bool `json:"comment"`
	// FailResumed is the number of prompts with a Last-Event-ID that are answered with
	// status 500.
	FailResumed int `json:"failResumed"`
	// EmptyResumed is the number of those that are answered with status 200 and nothing else.
	EmptyResumed int `json:"emptyResumed"`
	// Poison is a text that crashes the engine if a prompt contains it; an empty
	// text matches no prompt.
	Poison string `json:"poison"`
	// Unframed makes streams end with their connections, with neither a length nor
	// chunks. Those that Break or Poison ends are cut within an event or before the first.
	Unframed bool `json:"unframed"`
}

// Prompt is the JSON body of a generation request.
type Prompt struct {
	Prompt string `json:"prompt"`
	// Tokens is the number of tokens in the answer.
	Tokens int `json:"tokens"`
}

// Order instructs an engine to load a model version in a role.
type Order struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role,omitempty"`
	// Fence is the fencing number of the leader that sends the order.
	Fence int64  `json:"fence"`
	From  string `json:"from"`
}

// prefixBytes is the length of the prompt prefix that the prefix cache uses as its key;
// prefixCapacity is the maximum number of prefixes in the cache.
const (
	prefixBytes    = 64
	prefixCapacity = 64
)

// Set replaces the simulated faults.
func (e *Engine) Set(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetLeaving makes the engine report that it is leaving the fleet.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.reportAt = time.Time{}
}

// Counts returns the number of requests started, tokens streamed and crashes caused
// by a prompt that contained EngineFaults.Poison.
func (e *Engine) Counts() (starts int, tokens int64, crashes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts, e.tokens, e.crashes
}

// Runs returns how many times a request with the idempotency key was started.
func (e *Engine) Runs(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[key]
}

// Orders returns the orders that were executed, and how many were refused because
// of an outdated fencing number.
func (e *Engine) Orders() ([]Order, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...), e.staleOrders
}

// Reset unloads the model and clears the fencing number, as if the instance had been
// replaced.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model, e.version, e.maxFence = "", "", 0
	e.reportAt = time.Time{}
}

// ServeHTTP serves generation requests on every path except /load, /order, /faults and
// /signals.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := e.faults.Down || time.Now().Before(e.restartedAt)
	e.mu.Unlock()
	switch {
	case r.URL.Path == "/faults":
		var f EngineFaults
		if readJSON(w, r, &f) {
			e.Set(f)
		}
	case down:
		panic(http.ErrAbortHandler)
	default:
		e.serve(w, r, e.serveSpeaking)
	}
}

func (e *Engine) serveSpeaking(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/load":
		writeJSON(w, e.load())
	case "/order":
		e.serveOrder(w, r)
	default:
		e.servePrompt(w, r)
	}
}

func (e *Engine) load() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportAt) >= e.ReportAge {
		e.reportAt = time.Now()
		e.report = LoadReport{
			Cold:  e.cold(),
			Slots: e.batchSize(), Running: e.running + e.waiting, Leaving: e.leaving,
			Ready: e.model != "", Model: e.model, Version: e.version, Role: e.role, Fence: e.maxFence,
		}
	}
	return e.report
}

func (e *Engine) batchSize() int {
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
	if e.Fencing && o.Fence < e.maxFence {
		e.staleOrders++
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	e.maxFence = max(e.maxFence, o.Fence)
	same := e.model == o.Model && e.version == o.Version && e.role == o.Role
	e.mu.Unlock()
	if !same && e.Weights != nil && !e.Weights.Allow() {
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

// admit waits for a free slot in the batch in arrival order. It returns the error of
// ctx if that ends first.
func (e *Engine) admit(ctx context.Context) error {
	e.mu.Lock()
	if e.slots == nil {
		e.slots = make(chan struct{}, e.batchSize())
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

func (e *Engine) release() {
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
	defer e.release()
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if from > 0 && e.take(&e.faults.FailResumed) {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if from > 0 && e.take(&e.faults.EmptyResumed) {
		return
	}
	breakAt, spoilAt, spoiled := e.startRequest(r, p, from)
	spoiled.SetType(w.Header())
	e.mu.Lock()
	unframed, comment := e.faults.Unframed, e.faults.Comment
	e.mu.Unlock()
	if unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if comment {
		fmt.Fprint(w, ": alive\n\n")
	}
	fmt.Fprint(w, spoiled.Preface())
	for i := from + 1; i <= p.Tokens; i++ {
		if i == breakAt && unframed {
			if i > from+1 {
				fmt.Fprintf(w, "id: %d\nda", i)
			}
			return
		}
		if i == breakAt {
			panic(http.ErrAbortHandler)
		}
		err := e.waitForToken(r.Context())
		if errors.Is(err, errCrashed) {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			return
		}
		if i == spoilAt {
			fmt.Fprint(w, spoiled.Event(i, AnswerToken(p.Prompt, i)))
			continue
		}
		fmt.Fprint(w, answerEvent(i, AnswerToken(p.Prompt, i)))
		_ = http.NewResponseController(w).Flush()
	}
	fmt.Fprint(w, answerEnd+"\n\n")
}

// AnswerToken returns the i-th token, counted from 1, of the answer to a prompt. Every
// engine returns the same token, so that resumed streams can be verified.
func AnswerToken(prompt string, i int) string {
	sum := uint32(2166136261)
	for _, b := range []byte(prompt) {
		sum = (sum ^ uint32(b)) * 16777619
	}
	return fmt.Sprintf("w%x", (sum+uint32(i)*2654435761)%0xfff)
}

// take reports whether a fault that is to occur a number of times occurs now.
func (e *Engine) take(count *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *count == 0 {
		return false
	}
	*count--
	return true
}

// startRequest records the start of a request and returns the number of the token before
// which the connection is dropped, and of the one at which the stream is spoiled and how, -1 for
// none. from is the last token that the client has already received.
func (e *Engine) startRequest(r *http.Request, p Prompt, from int) (breakAt, spoilAt int, spoiled SpoilKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		if e.runs == nil {
			e.runs = map[string]int{}
		}
		e.runs[key]++
	}
	e.cachePrefix(p.Prompt)
	if e.faults.Poison != "" && strings.Contains(p.Prompt, e.faults.Poison) {
		e.crashes++
		e.restartedAt = time.Now().Add(crashDuration)
		return from + 1, -1, ""
	}
	halfway := from + max(1, (p.Tokens-from)/2)
	if e.faults.Break > 0 {
		e.faults.Break--
		return halfway, -1, ""
	}
	if e.faults.Spoil > 0 {
		e.faults.Spoil--
		if e.faults.SpoilKind != "" {
			return -1, halfway, e.faults.SpoilKind
		}
		return -1, halfway, spoilKinds[e.faults.Spoil%len(spoilKinds)]
	}
	return -1, -1, ""
}

func (e *Engine) cachePrefix(prompt string) {
	if e.prefixes == nil {
		e.prefixes = map[string]time.Time{}
	}
	prefix := prompt[:min(len(prompt), prefixBytes)]
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

// waitForToken waits for the time that the next token takes, which grows with the batch.
// It returns errCrashed while the engine is down after a crash.
func (e *Engine) waitForToken(ctx context.Context) error {
	e.mu.Lock()
	if time.Now().Before(e.restartedAt) {
		e.mu.Unlock()
		return errCrashed
	}
	e.tokens++
	load := float64(e.running) / float64(e.batchSize())
	interval := time.Duration(0)
	if e.Rate > 0 {
		interval = time.Duration(float64(time.Second) / (e.Rate * (1 - e.Slowdown*load)))
	}
	e.mu.Unlock()
	if interval == 0 {
		return errors.Join(ctx.Err(), e.AwaitSpeech(ctx))
	}
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-t.C:
		return e.AwaitSpeech(ctx)
	case <-ctx.Done():
		return errors.Join(ctx.Err())
	}
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
