package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// PlainService simulates an ordinary HTTP service, as opposed to a model engine. It
// counts executions by idempotency key, so that tests detect duplicate executions.
// Exported fields are set before first use; the methods are safe for concurrent use.
type PlainService struct {
	Name string
	// Slots is the concurrency limit in the load report; it is not enforced. Zero
	// means 8.
	Slots int
	// Latency is the duration of a call.
	Latency time.Duration
	// Signals is what the service tells its callers about itself.
	Signals

	mu      sync.Mutex
	faults  PlainFaults
	runs    map[string]int
	total   int
	running int
	leaving bool
}

// PlainFaults selects the faults that a plain service simulates. The zero value
// selects none.
type PlainFaults struct {
	// Lose is the number of calls that are executed but whose connection is dropped
	// before the response.
	Lose int `json:"lose"`
	// Cut is the number of calls that are executed but whose connection is dropped within
	// the response.
	Cut int `json:"cut"`
	// Untyped makes responses name no Content-Type.
	Untyped bool `json:"untyped"`
	// Garbage makes every executed call return bytes that are not valid HTTP.
	Garbage bool `json:"garbage"`
	// Down drops connections before a call is executed.
	Down bool `json:"down"`
	// Poison drops the connection of every executed call whose body equals it, as a
	// crash of the service would; an empty text matches no call.
	Poison string `json:"poison"`
}

// Set replaces the simulated faults.
func (p *PlainService) Set(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetLeaving makes the service report that it is leaving the fleet.
func (p *PlainService) SetLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// Runs returns the number of executions with an idempotency key.
func (p *PlainService) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

// Total returns the number of executions with and without a key.
func (p *PlainService) Total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Each calls f for every idempotency key with its number of executions. f must not
// call methods of p, whose lock is held.
func (p *PlainService) Each(f func(key string, runs int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, runs := range p.runs {
		f(key, runs)
	}
}

// ServeHTTP executes a call on every path except /load, /faults and /signals.
func (p *PlainService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		var f PlainFaults
		if readJSON(w, r, &f) {
			p.Set(f)
		}
		return
	}
	p.serve(w, r, p.serveSpeaking)
}

func (p *PlainService) serveSpeaking(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		p.serveLoad(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.execute(w, r, string(body))
}

func (p *PlainService) serveLoad(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		panic(http.ErrAbortHandler)
	}
	slots := p.Slots
	if slots == 0 {
		slots = 8
	}
	writeJSON(w, LoadReport{Slots: slots, Running: p.running, Leaving: p.leaving, Ready: true, Cold: p.cold()})
}

func (p *PlainService) execute(w http.ResponseWriter, r *http.Request, body string) {
	p.mu.Lock()
	faults := p.faults
	if faults.Down {
		p.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	key := r.Header.Get("Idempotency-Key")
	if p.runs == nil {
		p.runs = map[string]int{}
	}
	if key != "" {
		p.runs[key]++
	}
	p.total++
	p.running++
	run := p.total
	if faults.Lose > 0 {
		p.faults.Lose--
	}
	if faults.Cut > 0 {
		p.faults.Cut--
	}
	p.mu.Unlock()
	time.Sleep(p.Latency)
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
	if faults.Garbage {
		writeGarbage(w)
		return
	}
	if faults.Lose > 0 || (faults.Poison != "" && faults.Poison == body) {
		panic(http.ErrAbortHandler)
	}
	if p.AwaitSpeech(r.Context()) != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if faults.Untyped {
		w.Header()["Content-Type"] = nil // else net/http guesses one
	}
	if faults.Cut > 0 {
		fmt.Fprintf(w, `{"endpoint":%q,`, p.Name)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(w, `{"endpoint":%q,"method":%q,"path":%q,"run":%d,"bytes":%d}`+"\n", p.Name, r.Method, r.URL.Path, run, len(body))
}

func writeGarbage(w http.ResponseWriter) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buf.WriteString("\x00\x01 this is not HTTP\r\n\r\n")
	_ = buf.Flush()
	_ = conn.Close()
}

// LoadReport is the JSON response of an endpoint to GET /load.
type LoadReport struct {
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
	Ready   bool `json:"ready"`
	// Model, Version and Role describe what a model engine has loaded; they are
	// empty for a plain service.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the highest fencing number of an accepted order.
	Fence int64 `json:"fence,omitempty"`
	// Cold is how long the endpoint is still cold, in milliseconds.
	Cold *int64 `json:"cold,omitempty"`
}
