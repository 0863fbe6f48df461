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

// State says what became of a request that holds a claim.
type State string

// The states of a claimed request.
const (
	// StateRunning requests have not ended.
	StateRunning State = "running"
	// StateDone requests ran; the answer may be kept.
	StateDone State = "done"
	// StateUnknown requests may have run; nobody can tell.
	StateUnknown State = "unknown"
	// StateReleased requests never ran; their key is free again soon.
	StateReleased State = "released"
	// StateGone means that the process which held the claim is gone.
	StateGone State = "gone"
)

// Answer is what an endpoint answered, kept to be replayed.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// Whole is false when the body was too long to be kept.
	Whole bool `json:"whole"`
}

// Result is what the holder of a claim tells about its request.
type Result struct {
	State  State   `json:"state"`
	Answer *Answer `json:"answer,omitempty"`
}

const (
	// MaxKept bounds the bytes of an answer that is kept.
	MaxKept = 64 << 10
	// maxResults bounds the number of results that an instance keeps.
	maxResults = 4096
)

// Peers carries questions to other instances.
type Peers interface {
	// Owner returns the instance that owns a shard.
	Owner(shard int) string
	// Ask calls a peer. It returns an error if there is no answer.
	Ask(ctx context.Context, peer, path string, question, answer any) error
}

// Desk takes the claims of one instance. Exported fields are set before the first
// call. It is safe for concurrent use.
type Desk struct {
	Self        string
	Incarnation uint32
	Log         fleet.Log
	Peers       Peers
	Trail       *audit.Trail

	once    sync.Once
	shards  [Shards]*shard
	mu      sync.Mutex
	results map[string]*result
	order   []string
	serial  int
}

type result struct {
	claim Claim
	ended chan struct{}
	value Result
}

// Decision is the answer to Begin.
type Decision struct {
	// Ticket is set when the request may run.
	Ticket *Ticket
	// Result is what an earlier request with the same key came to.
	Result Result
	// Winner is the claim that holds the key.
	Winner Claim
	// Mismatch is set when the earlier request had another fingerprint.
	Mismatch bool
}

// Ticket is the permission to run a claimed request once.
type Ticket struct {
	desk  *Desk
	claim Claim
}

func (d *Desk) init() {
	d.once.Do(func() {
		for i := range d.shards {
			d.shards[i] = newShard(d.Log, i)
		}
		d.results = map[string]*result{}
	})
}

// Begin claims a key for a request. It returns ErrUnavailable if the claim could
// not be decided; the request must be refused then.
func (d *Desk) Begin(ctx context.Context, customer, key, print, request string) (Decision, error) {
	d.init()
	c := d.claim(customer, key, print, request)
	r := d.open(c)
	winner, err := d.decide(ctx, c)
	if err != nil {
		// The claim may be in the log. It never ran, so it is released
		// when somebody asks for it.
		d.end(r, Result{State: StateReleased})
		return Decision{}, err
	}
	if winner.ID == c.ID {
		return Decision{Ticket: &Ticket{desk: d, claim: c}, Winner: c}, nil
	}
	d.end(r, Result{State: StateReleased})
	if winner.Print != print {
		return Decision{Winner: winner, Mismatch: true}, nil
	}
	return Decision{Winner: winner, Result: d.ask(ctx, winner)}, nil
}

func (d *Desk) claim(customer, key, print, request string) Claim {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serial++
	return Claim{
		ID:       fmt.Sprintf("%s.%d.%d", d.Self, d.Incarnation, d.serial),
		Customer: customer, Key: key, Print: print, Request: request,
		Holder: d.Self, Incarnation: d.Incarnation,
	}
}

func (d *Desk) open(c Claim) *result {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &result{claim: c, ended: make(chan struct{}), value: Result{State: StateRunning}}
	d.results[c.ID] = r
	d.order = append(d.order, c.ID)
	if len(d.order) > maxResults {
		d.evict()
	}
	return r
}

// evict forgets the oldest result that has ended.
func (d *Desk) evict() {
	for i, id := range d.order {
		if d.results[id].value.State == StateRunning {
			continue
		}
		delete(d.results, id)
		d.order = append(d.order[:i:i], d.order[i+1:]...)
		return
	}
}

func (d *Desk) end(r *result, v Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.value.State != StateRunning {
		return
	}
	r.value = v
	close(r.ended)
}

// decide asks the owner of the shard for the winner and, if the owner cannot be
// reached, the log itself.
func (d *Desk) decide(ctx context.Context, c Claim) (Claim, error) {
	owner := d.Peers.Owner(c.Shard())
	if owner != d.Self && owner != "" {
		var v wireVerdict
		err := d.Peers.Ask(ctx, owner, PathDecide, c, &v)
		if err == nil && !v.Unavailable {
			return v.Winner, nil
		}
	}
	return d.shards[c.Shard()].decide(ctx, c)
}

// ask returns the result of the request that won a key, waiting while it runs.
func (d *Desk) ask(ctx context.Context, winner Claim) Result {
	if winner.Holder == d.Self {
		return d.Result(ctx, winner)
	}
	var r Result
	if err := d.Peers.Ask(ctx, winner.Holder, PathResult, winner, &r); err != nil {
		if ctx.Err() != nil {
			return Result{State: StateRunning}
		}
		return Result{State: StateGone}
	}
	return r
}

// Result returns what became of a claim that this instance holds. It waits until
// the request has ended or the context is done.
func (d *Desk) Result(ctx context.Context, c Claim) Result {
	d.init()
	d.mu.Lock()
	r := d.results[c.ID]
	d.mu.Unlock()
	if r == nil {
		return Result{State: StateGone}
	}
	select {
	case <-r.ended:
	case <-ctx.Done():
		return Result{State: StateRunning}
	}
	d.mu.Lock()
	value := r.value
	d.mu.Unlock()
	if value.State == StateReleased {
		d.release(c)
	}
	return value
}

// release frees the key of a claim whose request never ran.
func (d *Desk) release(c Claim) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
		defer cancel()
		if err := d.shards[c.Shard()].release(ctx, c); err != nil {
			return
		}
		d.Trail.Add(audit.Entry{Type: audit.EventClaim, Subject: c.Key, Change: "released", Cause: "request " + c.Request + " never ran"})
	}()
}

// Done records that the request ran and what was answered.
func (t *Ticket) Done(a *Answer) { t.finish(Result{State: StateDone, Answer: a}) }

// Unknown records that the request may have run.
func (t *Ticket) Unknown() { t.finish(Result{State: StateUnknown}) }

// Release records that the request never ran and frees its key.
func (t *Ticket) Release() {
	t.finish(Result{State: StateReleased})
	t.desk.release(t.claim)
}

func (t *Ticket) finish(v Result) {
	t.desk.mu.Lock()
	r := t.desk.results[t.claim.ID]
	t.desk.mu.Unlock()
	if r != nil {
		t.desk.end(r, v)
	}
}

// Appends returns how many records this instance added to the claims streams.
func (d *Desk) Appends() int {
	d.init()
	n := 0
	for _, s := range d.shards {
		s.mu.Lock()
		n += s.appends
		s.mu.Unlock()
	}
	return n
}

// resultTerm bounds how long a peer's question for a result waits.
const resultTerm = 20 * time.Second

// Find searches the claims in the log for a request.
func (d *Desk) Find(ctx context.Context, request string) (Claim, bool, error) {
	d.init()
	for _, s := range d.shards {
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
