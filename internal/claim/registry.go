package claim

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// State is the state of a request that holds a claim.
type State string

// The states of a claimed request.
const (
	// StateRunning requests have not ended.
	StateRunning State = "running"
	// StateDone requests ran; the answer may have been kept.
	StateDone State = "done"
	// StateUnknown requests may or may not have run; it cannot be found out.
	StateUnknown State = "unknown"
	// StateReleased requests never ran; their key can be claimed again soon.
	StateReleased State = "released"
	// StateHolderGone means that the process which held the claim cannot be reached
	// or no longer knows of it.
	StateHolderGone State = "gone"
)

// Answer is the response of an endpoint, kept so that it can be replayed.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// After is the ID after which the request asked for the events of a stream; empty for all, and in
	// records of earlier versions.
	After string `json:"after,omitempty"`
	// Complete is false if the body was too long to be kept.
	Complete bool `json:"whole"`
}

// Result is what the holder of a claim reports about its request.
type Result struct {
	State  State   `json:"state"`
	Answer *Answer `json:"answer,omitempty"`
}

const (
	// MaxAnswerBytes bounds the body of an answer that is kept.
	MaxAnswerBytes = 64 << 10
	// maxResults bounds the number of results that an instance keeps.
	maxResults = 4096
)

// Peers calls the other instances.
type Peers interface {
	// Owner returns the instance that owns a shard.
	Owner(shard int) string
	// Ask calls a peer. It returns an error if there is no reply.
	Ask(ctx context.Context, peer, path string, args, reply any) error
}

// Registry makes the claims of one instance and keeps the results of their requests.
// Exported fields are set before the first call. It is safe for concurrent use.
type Registry struct {
	Self        string
	Incarnation uint32
	Log         fleet.Log
	Peers       Peers
	Trail       *audit.Trail

	once    sync.Once
	shards  [Shards]*shard
	mu      sync.Mutex
	results map[string]*resultEntry // by claim ID
	order   []string                // claim IDs of results, oldest first
	serial  int
}

type resultEntry struct {
	claim Claim
	ended chan struct{}
	value Result
}

// Decision is what Begin decided.
type Decision struct {
	// Ticket is set if the request may run.
	Ticket *Ticket
	// Result is the result of an earlier request with the same key.
	Result Result
	// Winner is the claim that holds the key.
	Winner Claim
	// Mismatch is set if the earlier request had another fingerprint.
	Mismatch bool
}

// Ticket is the permission to run a claimed request once.
type Ticket struct {
	registry *Registry
	claim    Claim
}

func (reg *Registry) init() {
	reg.once.Do(func() {
		for i := range reg.shards {
			reg.shards[i] = newShard(reg.Log, i)
		}
		reg.results = map[string]*resultEntry{}
	})
}

// Begin claims a key for a request. It returns ErrUnavailable if the claim could
// not be decided; the request must be rejected then.
func (reg *Registry) Begin(ctx context.Context, customer, key, fingerprint, request string) (Decision, error) {
	reg.init()
	c := reg.newClaim(customer, key, fingerprint, request)
	e := reg.track(c)
	winner, err := reg.decide(ctx, c)
	if err != nil {
		// The claim may be in the log. Its request never ran, so the key is
		// released when the result is next asked for.
		reg.complete(e, Result{State: StateReleased})
		return Decision{}, err
	}
	if winner.ID == c.ID {
		return Decision{Ticket: &Ticket{registry: reg, claim: c}, Winner: c}, nil
	}
	reg.complete(e, Result{State: StateReleased})
	if winner.Fingerprint != fingerprint {
		return Decision{Winner: winner, Mismatch: true}, nil
	}
	return Decision{Winner: winner, Result: reg.fetchResult(ctx, winner)}, nil
}

func (reg *Registry) newClaim(customer, key, fingerprint, request string) Claim {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.serial++
	return Claim{
		ID:       fmt.Sprintf("%s.%d.%d", reg.Self, reg.Incarnation, reg.serial),
		Customer: customer, Key: key, Fingerprint: fingerprint, Request: request,
		Holder: reg.Self, Incarnation: reg.Incarnation,
	}
}

func (reg *Registry) track(c Claim) *resultEntry {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	e := &resultEntry{claim: c, ended: make(chan struct{}), value: Result{State: StateRunning}}
	reg.results[c.ID] = e
	reg.order = append(reg.order, c.ID)
	if len(reg.order) > maxResults {
		reg.evict()
	}
	return e
}

// evict removes the oldest result whose request has ended.
func (reg *Registry) evict() {
	for i, id := range reg.order {
		if reg.results[id].value.State == StateRunning {
			continue
		}
		delete(reg.results, id)
		reg.order = append(reg.order[:i:i], reg.order[i+1:]...)
		return
	}
}

func (reg *Registry) complete(e *resultEntry, v Result) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if e.value.State != StateRunning {
		return
	}
	e.value = v
	close(e.ended)
}

// decide asks the owner of the shard for the winner. If the owner cannot be reached
// or cannot use the log, this instance decides with the log itself.
func (reg *Registry) decide(ctx context.Context, c Claim) (Claim, error) {
	owner := reg.Peers.Owner(c.Shard())
	if owner != reg.Self && owner != "" {
		var v wireDecision
		err := reg.Peers.Ask(ctx, owner, PathDecide, c, &v)
		if err == nil && !v.Unavailable {
			return v.Winner, nil
		}
	}
	return reg.shards[c.Shard()].decide(ctx, c)
}

// fetchResult returns the result of the request that won a key, waiting while it runs.
func (reg *Registry) fetchResult(ctx context.Context, winner Claim) Result {
	if winner.Holder == reg.Self {
		return reg.Result(ctx, winner)
	}
	var v Result
	if err := reg.Peers.Ask(ctx, winner.Holder, PathResult, winner, &v); err != nil {
		if ctx.Err() != nil {
			return Result{State: StateRunning}
		}
		return Result{State: StateHolderGone}
	}
	return v
}

// Result returns the result of a claim that this instance holds. It waits until the
// request has ended or the context is done. It frees the key if the request never ran.
func (reg *Registry) Result(ctx context.Context, c Claim) Result {
	reg.init()
	reg.mu.Lock()
	e := reg.results[c.ID]
	reg.mu.Unlock()
	if e == nil {
		return Result{State: StateHolderGone}
	}
	select {
	case <-e.ended:
	case <-ctx.Done():
		return Result{State: StateRunning}
	}
	reg.mu.Lock()
	value := e.value
	reg.mu.Unlock()
	if value.State == StateReleased {
		reg.release(c)
	}
	return value
}

// release frees the key of a claim whose request never ran. It does not wait for the
// log.
func (reg *Registry) release(c Claim) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
		defer cancel()
		if err := reg.shards[c.Shard()].release(ctx, c); err != nil {
			return
		}
		reg.Trail.Add(audit.Entry{Type: audit.EventClaim, Subject: c.Key, Change: "released", Cause: "request " + c.Request + " never ran"})
	}()
}

// Done records that the request ran and what was answered.
func (t *Ticket) Done(a *Answer) { t.complete(Result{State: StateDone, Answer: a}) }

// Unknown records that the request may have run.
func (t *Ticket) Unknown() { t.complete(Result{State: StateUnknown}) }

// Release records that the request never ran and frees its key.
func (t *Ticket) Release() {
	t.complete(Result{State: StateReleased})
	t.registry.release(t.claim)
}

func (t *Ticket) complete(v Result) {
	t.registry.mu.Lock()
	e := t.registry.results[t.claim.ID]
	t.registry.mu.Unlock()
	if e != nil {
		t.registry.complete(e, v)
	}
}

// Appends returns how many records this instance has appended to the claim streams.
func (reg *Registry) Appends() int {
	reg.init()
	n := 0
	for _, s := range reg.shards {
		s.mu.Lock()
		n += s.appends
		s.mu.Unlock()
	}
	return n
}

// resultTimeout bounds how long a peer's call for a result waits for the request to
// end.
const resultTimeout = 20 * time.Second

// Find searches the claims in the log for a request by its ID. It returns
// ErrUnavailable if the log cannot be read.
func (reg *Registry) Find(ctx context.Context, request string) (Claim, bool, error) {
	reg.init()
	for _, s := range reg.shards {
		if err := s.readAll(ctx); err != nil {
			return Claim{}, false, err
		}
		s.mu.Lock()
		c, found := s.index.find(request)
		s.mu.Unlock()
		if found {
			return c, true, nil
		}
	}
	return Claim{}, false, nil
}
