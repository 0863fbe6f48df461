package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Plain is a plain service. It counts its executions by idempotency key, so that
// a second run is seen. It is safe for concurrent use.
type Plain struct {
	Name string
	// Slots is what it reports; zero means 8.
	Slots int
	// Latency is how long a call takes.
	Latency time.Duration

	mu      sync.Mutex
	faults  PlainFaults
	runs    map[string]int
	total   int
	running int
	leaving bool
}

// PlainFaults are the failures that a plain service can be told to show.
type PlainFaults struct {
	// Lose drops the connection of this many calls after they took effect.
	Lose int `json:"lose"`
	// Garbage answers with bytes that are not HTTP.
	Garbage bool `json:"garbage"`
	// Down drops connections before anything is executed.
	Down bool `json:"down"`
	// Poison drops every call whose body equals it, as a crash would.
	Poison string `json:"poison"`
}

// Set switches the faults.
func (p *Plain) Set(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Leave makes the service report that it is leaving.
func (p *Plain) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// Runs returns the executions by idempotency key.
func (p *Plain) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[key]
}

// Total returns all executions.
func (p *Plain) Total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Each calls f for every key with its executions.
func (p *Plain) Each(f func(key string, runs int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, runs := range p.runs {
		f(key, runs)
	}
}

// ServeHTTP executes a call.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		p.serveLoad(w)
		return
	}
	if r.URL.Path == "/faults" {
		var f PlainFaults
		if readJSON(w, r, &f) {
			p.Set(f)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.execute(w, r, string(body))
}

func (p *Plain) serveLoad(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		panic(http.ErrAbortHandler)
	}
	slots := p.Slots
	if slots == 0 {
		slots = 8
	}
	writeJSON(w, Load{Slots: slots, Running: p.running, Leaving: p.leaving, Ready: true})
}

func (p *Plain) execute(w http.ResponseWriter, r *http.Request, body string) {
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
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"endpoint":%q,"method":%q,"path":%q,"run":%d,"bytes":%d}`+"\n", p.Name, r.Method, r.URL.Path, run, len(body))
}

func writeGarbage(w http.ResponseWriter) {
	conn, buf, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = buf.WriteString("\x00\x01 this is not HTTP\r\n\r\n")
	_ = buf.Flush()
	_ = conn.Close()
}

// Load is what endpoints report about themselves.
type Load struct {
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
	Ready   bool `json:"ready"`
	// Model and Version are what a model engine has loaded.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// Fence is the highest fencing number of an order that was accepted.
	Fence int64 `json:"fence,omitempty"`
}
