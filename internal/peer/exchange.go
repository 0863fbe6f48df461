package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/watch"
)

const (
	// Path is where an instance takes messages.
	Path = "/exchange"
	// interval is the shortest pause between two messages to a peer: about
	// the time in which an endpoint's queue changes.
	interval = 100 * time.Millisecond
	// peerInterval is added for each peer, so that the messages of a fleet
	// grow less than with the square of its size.
	peerInterval = 4 * time.Millisecond
	// timeout bounds an exchange: peers answer within milliseconds.
	timeout = 500 * time.Millisecond
	// silent is how long a peer may be unheard until its work is forgotten.
	silent = 1500 * time.Millisecond
	// lostTerm is how long an unheard peer is still called.
	lostTerm = 20 * time.Second
	// retryInterval is the pause before a silent peer is called again.
	retryInterval = time.Second
	// rareMessages is how many messages go by between those that carry usage
	// and members.
	rareMessages = 4
	// maxConns bounds the idle connections to a peer: messages and questions
	// for places that are under way at once.
	maxConns = 8
	// maxMessage bounds a message, in bytes.
	maxMessage = 1 << 20
)

// Exchange talks to the other instances. Exported fields are set before Serve. It
// is safe for concurrent use.
type Exchange struct {
	Self   Member
	Board  *placement.Balancer
	Ledger *admission.Ledger
	// Feeds are the feeds that instances read for each other, by name.
	Feeds map[string]watch.Relay
	// Crashes tells and hears of requests that crash endpoints; nil means none.
	Crashes *quarantine.List
	// Key signs messages. Until it is known nobody is called or answered.
	Key    *Key
	Logger *zap.Logger

	mu       sync.Mutex
	peers    map[string]*peer
	client   *http.Client
	sequence int64
	homes    map[string]Member // of endpoints, by ID
	housed   time.Time         // when homes were found
	// strangers counts messages whose signature is not the fleet's.
	strangers atomic.Int64
}

// peer is what is known of one other instance.
type peer struct {
	Member
	heard    time.Time
	sequence int64
	called   time.Time
	busy     bool
	calls    int
	lost     bool
	known    time.Time // when somebody last named it
	told     int64     // reads that it has been told of
	places   map[string]int64
	deaf     time.Time // until when it is not asked for places
	cause    error     // why the last call failed
}

func (x *Exchange) init() {
	if x.peers == nil {
		x.peers = map[string]*peer{}
		x.client = &http.Client{Timeout: timeout, Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: timeout / 2, KeepAlive: time.Second}).DialContext,
			MaxIdleConnsPerHost: maxConns, IdleConnTimeout: lostTerm, DisableCompression: true,
		}}
	}
}

// Meet names an instance that may exist. A member without a name is called at its
// address until it says who it is.
func (x *Exchange) Meet(m Member, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.meet(m, now)
}

func (x *Exchange) meet(m Member, now time.Time) *peer {
	x.init()
	if m.Address == "" || m.Address == x.Self.Address {
		return nil
	}
	p := x.peers[m.Address]
	if p == nil {
		p = &peer{Member: m, known: now, places: map[string]int64{}}
		x.peers[m.Address] = p
	}
	if m.Name != "" && (p.Name == "" || m.Start > p.Start) {
		// What an earlier start at the address had told is over.
		p.Member, p.sequence, p.told = m, 0, 0
		clear(p.places)
		if x.Crashes != nil {
			x.Crashes.Restarted(p.Address)
		}
	}
	p.known = now
	return p
}

// Serve implements suture.Service.
func (x *Exchange) Serve(ctx context.Context) error {
	x.mu.Lock()
	x.init()
	x.mu.Unlock()
	t := time.NewTicker(interval / 2)
	defer t.Stop()
	rescue := time.NewTicker(rescueInterval)
	defer rescue.Stop()
	for {
		select {
		case <-t.C:
			x.tick(ctx, time.Now())
		case <-rescue.C:
			x.rescue(ctx, time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tick calls the peers that are due.
func (x *Exchange) tick(ctx context.Context, now time.Time) {
	if !x.Key.Known() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for address, p := range x.peers {
		unheard := now.Sub(p.heard)
		if unheard > silent && !p.lost {
			p.lost = true
			x.Board.ForgetInstance(p.Address, now)
			if !p.heard.IsZero() {
				x.Logger.Warn(event.Lost, zap.String("peer", p.Name), zap.String("address", p.Address), zap.Error(p.cause))
			}
		}
		if unheard > lostTerm && now.Sub(p.known) > lostTerm {
			delete(x.peers, address)
			continue
		}
		if x.due(p, now) {
			p.busy, p.called = true, now
			p.calls++
			go x.call(ctx, p, x.compose(p, p.calls%rareMessages == 1, now))
		}
	}
}

// due reports whether a peer is called now. One side of each pair calls, the other
// answers; both do when they do not hear each other.
func (x *Exchange) due(p *peer, now time.Time) bool {
	if p.busy {
		return false
	}
	pause := interval + time.Duration(len(x.peers))*peerInterval
	if now.Sub(p.heard) > silent {
		return now.Sub(p.called) >= retryInterval
	}
	if x.Self.Address > p.Address {
		return now.Sub(p.heard) >= 4*pause && now.Sub(p.called) >= pause
	}
	return now.Sub(p.called) >= pause
}

// compose builds a message. The lock is held.
func (x *Exchange) compose(to *peer, whole bool, now time.Time) wireMessage {
	x.sequence++
	m := wireMessage{From: x.Self, Sequence: x.sequence, Feeds: x.tell(to, now)}
	m.Work, m.Part = x.work(to, whole, now)
	if to != nil {
		m.Reads, to.told = x.Board.CacheFillsSince(to.told)
		if x.Crashes != nil {
			m.Crashes = x.Crashes.Compose(to.Address)
		}
	}
	if whole {
		m.Usage = x.Ledger.Own(now)
		for _, p := range x.peers {
			if p.Name != "" && now.Sub(p.heard) < silent {
				m.Members = append(m.Members, p.Member)
			}
		}
	}
	return m
}

func (x *Exchange) call(ctx context.Context, p *peer, m wireMessage) {
	var answer wireMessage
	err := x.ask(ctx, p.Address, Path, useAsk, m, &answer)
	x.mu.Lock()
	p.busy, p.cause = false, err
	x.mu.Unlock()
	if x.Crashes != nil {
		x.Crashes.Sent(p.Address, err == nil)
	}
	if err != nil {
		return
	}
	x.take(answer, time.Now())
}

// ServeHTTP takes a message and answers with the own one.
func (x *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m wireMessage
	signature, ok := x.open(w, r, useAsk, &m)
	if !ok {
		return
	}
	now := time.Now()
	x.take(m, now)
	x.mu.Lock()
	answer := x.compose(x.peers[m.From.Address], m.Usage != nil, now)
	x.mu.Unlock()
	sent := x.reply(w, signature, answer)
	if x.Crashes != nil {
		x.Crashes.Sent(m.From.Address, sent)
	}
}

// take takes in what a peer tells.
func (x *Exchange) take(m wireMessage, now time.Time) {
	x.mu.Lock()
	p := x.meet(m.From, now)
	if p == nil || m.From.Start < p.Start || m.From.Start == p.Start && m.Sequence <= p.sequence {
		x.mu.Unlock()
		return
	}
	if p.lost || p.heard.IsZero() {
		x.Logger.Info(event.Regained, zap.String("peer", m.From.Name), zap.String("address", m.From.Address))
	}
	p.sequence, p.heard, p.lost = m.Sequence, now, false
	for _, other := range m.Members {
		x.meet(other, now)
	}
	x.mu.Unlock()
	x.Board.SetInstanceWork(m.From.Address, x.named(m.Work), !m.Part, now)
	x.Board.MergeCacheFills(m.Reads, now)
	if m.Usage != nil {
		x.Ledger.Hear(m.From.Address, m.Usage, now)
	}
	x.hear(p, m.Feeds, now)
	if x.Crashes != nil && m.Crashes != nil {
		if err := x.Crashes.Receive(m.From.Name, m.Crashes); err != nil {
			x.Logger.Warn(event.Odd, zap.String("peer", m.From.Name), zap.Error(err))
		}
	}
}

// named returns packed work by the IDs of endpoints.
func (x *Exchange) named(data []byte) map[string]placement.Work {
	packed := unpack(data)
	work := make(map[string]placement.Work, len(packed))
	for _, id := range x.Board.IDs() {
		if w, ok := packed[short(id)]; ok {
			work[id] = w
		}
	}
	return work
}

// Rank returns how many instances that are heard come before this one in an order
// that all share. They read the platform for the others.
func (x *Exchange) Rank(now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	rank := 0
	own := short(x.Self.Name)
	for _, p := range x.peers {
		if now.Sub(p.heard) < silent && short(p.Name) < own {
			rank++
		}
	}
	return rank
}

// Peers returns how many other instances are heard.
func (x *Exchange) Peers(now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, p := range x.peers {
		if now.Sub(p.heard) < silent {
			n++
		}
	}
	return n
}
