package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/service"
)

const (
	// LearnedPath is the HTTP path at which an instance serves what it has learned of
	// endpoints.
	LearnedPath = "/learned"
	// maxLearnedRequests bounds the peers that one start of an instance asks.
	maxLearnedRequests = 3
	// learnedRequestTime is the time since the first message from a peer after which
	// what an instance has learned itself is worth more.
	learnedRequestTime = 10 * time.Second
	// learnedLifetime is how long an instance responds with the same data, which bounds
	// what it spends when many start at once.
	learnedLifetime = time.Second
)

// learnedState is the state of handing on what instances have learned.
type learnedState struct {
	requests learnedRequests

	mu   sync.Mutex // held while encoding, which takes milliseconds
	data learnedData
}

// learnedData is what this instance has learned, encoded for others at some time.
type learnedData struct {
	json json.RawMessage
	at   time.Time
}

// learnedReply is the response to a request for what an instance has learned.
type learnedReply struct {
	// Age is how old Learned is, in milliseconds.
	Age     int64           `json:"a"`
	Learned json.RawMessage `json:"l"`
}

// learnedRequests are the requests of this start for what others have learned. The lock of the exchange
// guards them.
type learnedRequests struct {
	since   time.Time // when the first live peer was known
	asked   []string  // addresses
	waiting bool
	done    bool
}

// requestLearned asks a live peer for what it has learned of endpoints, once after the start. If that peer
// does not respond or has learned nothing, others are asked.
func (x *Exchange) requestLearned(ctx context.Context, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	r := &x.learned.requests
	if r.done || r.waiting || !x.Key.Known() || !x.Balancer.HasEndpoints() {
		return
	}
	p := x.nextLearned(r.asked, now)
	if p != nil && r.since.IsZero() {
		r.since = now
	}
	if len(r.asked) >= maxLearnedRequests || !r.since.IsZero() && now.Sub(r.since) > learnedRequestTime {
		r.done = true
		return
	}
	if p == nil {
		return
	}
	r.asked, r.waiting = append(r.asked, p.Address), true
	name, address := p.Name, p.Address
	service.Go(x.Logger, "learned", func() { x.fetchLearned(ctx, name, address) })
}

// nextLearned returns the live peer to ask next, a different one for each instance, or nil if there is
// none. Peers that started long before come first, since many instances may have been killed at once. The
// caller holds the lock.
func (x *Exchange) nextLearned(asked []string, now time.Time) *peer {
	own, before := x.Self.digest(), x.Self.Start-int64(learnedRequestTime)
	var next *peer
	for _, p := range x.peers {
		if !x.live(p, now) || slices.Contains(asked, p.Address) {
			continue
		}
		switch {
		case next == nil, p.Start < before && next.Start >= before:
			next = p
		case p.Start >= before && next.Start < before:
		case p.ownDigest^own < next.ownDigest^own:
			next = p
		}
	}
	return next
}

func (x *Exchange) fetchLearned(ctx context.Context, name, address string) {
	done := false
	// Deferred, since a panic must not end the requests.
	defer func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.learned.requests.waiting = false
		x.learned.requests.done = x.learned.requests.done || done
	}()
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	sent := time.Now()
	var reply learnedReply
	if err := x.postSigned(ctx, address, LearnedPath, purposeLearned, x.Self, &reply); err != nil {
		x.Logger.Info(event.Learned, zap.String("peer", name), zap.Error(err))
		return
	}
	var learned placement.Learned
	if err := json.Unmarshal(reply.Learned, &learned); err != nil {
		x.Logger.Warn(event.InvalidData, zap.String("peer", name), zap.Error(err))
		return
	}
	now := time.Now()
	age := time.Duration(min(max(reply.Age, 0), learnedRequestTime.Milliseconds()))*time.Millisecond + now.Sub(sent)
	parts := x.Balancer.Learn(learned, age, now)
	x.Logger.Info(event.Learned, zap.String("peer", name), zap.Int("services", len(learned.Services)), zap.Int("parts", parts), zap.Duration("age", age))
	done = len(learned.Services) > 0
}

// ServeLearned responds with what this instance has learned of endpoints.
func (x *Exchange) ServeLearned(w http.ResponseWriter, r *http.Request) {
	var from Member
	signature, ok := x.readSigned(w, r, purposeLearned, &from)
	if !ok {
		return
	}
	now := time.Now()
	data, err := x.encodeLearned(now)
	if err != nil {
		x.Logger.Error(event.InvalidData, zap.Error(err))
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	x.writeSigned(w, signature, learnedReply{Age: now.Sub(data.at).Milliseconds(), Learned: data.json})
}

func (x *Exchange) encodeLearned(now time.Time) (learnedData, error) {
	l := &x.learned
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.data.json != nil && now.Sub(l.data.at) < learnedLifetime {
		return l.data, nil
	}
	data, err := json.Marshal(x.Balancer.Learned(now))
	if err != nil {
		return learnedData{}, err
	}
	l.data = learnedData{data, now}
	return l.data, nil
}
