package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/connection"
	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/head"
	"github.com/greengagestep/greengagestep/internal/link"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/service"
	"github.com/greengagestep/greengagestep/internal/warmup"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// Path is the HTTP path at which an instance receives messages.
	Path = "/exchange"
	// sendInterval is the shortest pause between two messages to a peer: about
	// the time in which an endpoint's queue changes.
	sendInterval = 100 * time.Millisecond
	// sendIntervalPerPeer is added to sendInterval for each peer, so that the
	// message rate of a fleet grows more slowly than the square of its size.
	sendIntervalPerPeer = 4 * time.Millisecond
	// messageTimeout bounds one message and its response: peers respond within
	// milliseconds.
	messageTimeout = 500 * time.Millisecond
	// silenceTimeout is the time without a message from a peer after which its
	// reported work is discarded.
	silenceTimeout = 1500 * time.Millisecond
	// lostPeerTTL is how long messages are still sent to a silent peer.
	lostPeerTTL = 20 * time.Second
	// retryInterval is the pause between two messages to a silent peer.
	retryInterval = time.Second
	// fullMessagePeriod is the number of messages per full message, which
	// carries usage and members too.
	fullMessagePeriod = 4
	// maxIdleConnsPerPeer bounds the idle connections to a peer, which serve
	// concurrent messages and reservation requests.
	maxIdleConnsPerPeer = 8
	// maxMessageBytes bounds the size of a message.
	maxMessageBytes = 1 << 20
)

// Exchange exchanges state with the other instances. Exported fields are set before
// Serve. It is safe for concurrent use.
type Exchange struct {
	Self Member
	// Balancer holds the work at endpoints, Ledger the usage of customers.
	Balancer *placement.Balancer
	Ledger   *admission.Ledger
	// Feeds are the feeds that instances relay to each other, by name.
	Feeds map[string]watch.Relay
	// Crashes composes and receives reports of crashed endpoints and the requests that
	// they had; nil disables this.
	Crashes *quarantine.List
	// Overloaded reports whether this instance's processor is behind, which other instances
	// are told; nil means that it never is.
	Overloaded func() bool
	// Key signs messages. Until it is known, no messages are sent and requests
	// from peers are rejected.
	Key    *Key
	Logger *zap.Logger
	// Transport sends messages; nil means links, or HTTP where the receiver knows none.
	Transport http.RoundTripper

	mu    sync.Mutex
	peers map[string]*peer // by address
	// transport sends messages and reservations, client fetches snapshots; links is the
	// transport unless Transport is set.
	transport http.RoundTripper
	client    *http.Client
	links     *link.Transport
	sequence  int64
	homes     map[string]Member   // home of each endpoint, by endpoint ID
	homeIDs   map[string][]string // IDs of the endpoints with the same home, by its address
	ids       map[uint32]string   // endpoint IDs by their hash in messages
	homesAt   time.Time           // when homes, homeIDs and ids were last computed or found valid
	// homesBasis is what these follow from; coresChanges counts the changes of peers' Cores.
	homesBasis   homesBasis
	coresChanges int
	// sparse is set while there are more than meshPeers live peers; livePeers and
	// neighborCount count them and the neighbors among them, as of neighborsAt.
	sparse                   bool
	livePeers, neighborCount int
	neighborsAt              time.Time
	source                   *peer // neighbor that sends the records of feeds; nil if none does
	// alive is what was last found of which peers are live.
	alive aliveState
	// starts grants the starts at cold endpoints of which this instance was the home by all of
	// views. heardPeers is set once it has heard a peer.
	starts     warmup.Home
	views      warmup.Views[membersView]
	members    warmup.Members
	heardPeers bool
	learned    learnedState
	// fetching holds the feeds of which a snapshot is being fetched, by name.
	fetching sync.Map
	// unauthenticated counts requests whose signature was not made with the
	// fleet key.
	unauthenticated atomic.Int64
}

// peer is the state of one other instance.
type peer struct {
	Member
	lastReceived   time.Time
	knownSince     time.Time
	sequence       int64 // of the newest message received
	lastSent       time.Time
	sentMessages   []sentMessage // the newest ones, oldest first
	inFlight       bool          // a message to it awaits its response
	sent           int           // messages sent to it
	lost           bool
	lastAnnounced  time.Time               // when its address was last given to addPeer
	cacheFillsSent int64                   // number of the last cache fill reported to it
	departuresNext int                     // position after the departures that it has received
	hasDepartures  bool                    // it has received all departures once since its start
	cursors        map[string]fleet.Cursor // up to where it has read each feed, by name
	reserveAfter   time.Time               // earliest time of the next reservation request to it
	lastErr        error                   // of the last message sent to it
	membersDigest  uint64                  // of the live instances that it knows
	ringHash       uint32                  // position on the ring
	ownDigest      uint64                  // its Member.digest
	neighbor       bool                    // messages are exchanged with it at short intervals
	neighborSince  time.Time
	newsSince      time.Time     // since when it lacks crashes or departures; zero if it was not found to lack any
	dataAt         time.Time     // when its data of the endpoints' feed was current, by its last message
	dataAge        time.Duration // how old that data was then
	overloaded     bool          // its processor does not keep up, by its last message
	alive          bool          // it was live when that was last checked
	wantsRecords   bool          // it gets the records of feeds from this instance
}

func (x *Exchange) init() {
	if x.peers == nil {
		x.peers = map[string]*peer{}
		x.transport = x.Transport
		if x.transport == nil {
			dial := connection.ResetOnClose((&net.Dialer{Timeout: messageTimeout / 2, KeepAlive: time.Second}).DialContext)
			x.links = &link.Transport{Dial: dial, SignatureHeader: HeaderSignature, HTTP: head.NewTransport(&http.Transport{
				DialContext: dial, MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: lostPeerTTL, DisableCompression: true,
			})}
			x.transport = x.links
		}
		x.client = &http.Client{Timeout: messageTimeout, Transport: x.transport}
	}
}

// AddPeer adds an instance that may exist. Messages to a member without a name are
// sent to its address until it reports its name.
func (x *Exchange) AddPeer(m Member, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.addPeer(m, now)
}

func (x *Exchange) addPeer(m Member, now time.Time) *peer {
	x.init()
	if m.Address == "" || m.Address == x.Self.Address {
		return nil
	}
	p := x.peers[m.Address]
	if p == nil {
		p = &peer{Member: m, knownSince: now, lastAnnounced: now, cursors: map[string]fleet.Cursor{}, ringHash: hashID(m.Name), ownDigest: m.digest()}
		x.peers[m.Address] = p
	}
	// A live peer says itself when it has restarted: others may still know its earlier start.
	if m.Name != "" && (p.Name == "" || m.Start > p.Start && !x.live(p, now)) {
		x.setStart(p, m)
	}
	p.lastAnnounced = now
	return p
}

// setStart sets the start of a peer. State exchanged with another start at its address is
// obsolete.
func (x *Exchange) setStart(p *peer, m Member) {
	x.alive.at = time.Time{}
	p.Member, p.sequence, p.cacheFillsSent, p.ringHash, p.ownDigest = m, 0, 0, hashID(m.Name), m.digest()
	p.departuresNext, p.hasDepartures = 0, false
	clear(p.cursors)
	if x.Crashes != nil {
		x.Crashes.Restarted(p.Address)
	}
}

// hasRestarted reports whether a message comes from a later start of a peer than the known one. Its
// start is smaller if the clock was set back; then the known start has to be silent first. The
// caller holds the lock.
func (x *Exchange) hasRestarted(p *peer, m Member, now time.Time) bool {
	return m.Name != "" && (m.Start > p.Start || m.Start < p.Start && now.Sub(p.lastReceived) > x.silenceLimit(p, now))
}

// Serve implements suture.Service.
func (x *Exchange) Serve(ctx context.Context) error {
	x.mu.Lock()
	x.init()
	x.mu.Unlock()
	if x.links != nil {
		defer x.links.Close()
	}
	// One ticker serves both: in tests with fake time and the race detector, Go 1.26 crashes if two
	// tickers of one select are due at the same moment in several goroutines.
	ticker := time.NewTicker(sendInterval / 2)
	defer ticker.Stop()
	var lastRecovery time.Time
	for {
		select {
		case <-ticker.C:
			now := time.Now()
			x.sendDue(ctx, now)
			x.requestLearned(ctx, now)
			if now.Sub(lastRecovery) >= feedRecoveryInterval {
				lastRecovery = now
				x.recoverFeeds(ctx, now)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendDue sends messages to the peers that are due and removes peers that are gone.
func (x *Exchange) sendDue(ctx context.Context, now time.Time) {
	if !x.Key.Known() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refreshNeighbors(now)
	x.recordView(now)
	if x.sparse {
		x.selectSource(now)
	}
	for address, p := range x.peers {
		silence := now.Sub(p.lastReceived)
		if silence > x.silenceLimit(p, now) && !p.lost {
			p.lost = true
			x.Balancer.ForgetInstance(p.Address, now)
			x.Ledger.ForgetInstance(p.Address)
			if !p.lastReceived.IsZero() {
				x.Logger.Warn(event.DependencyLost, zap.String("peer", p.Name), zap.String("address", p.Address), zap.Error(p.lastErr))
			}
		}
		if silence > lostPeerTTL && now.Sub(p.lastAnnounced) > lostPeerTTL {
			delete(x.peers, address)
			x.alive.at = time.Time{}
			if x.links != nil {
				x.links.Forget(address)
			}
			continue
		}
		if x.due(p, now) {
			p.inFlight, p.lastSent = true, now
			p.sent++
			m := x.compose(p, p.sent%fullMessagePeriod == 1, now)
			service.Go(x.Logger, "message", func() { x.send(ctx, p, m) })
		}
	}
}

// due reports whether a message to a peer is due. One instance of each pair sends
// messages and the other responds; both send while they receive nothing from each
// other. The caller holds the lock.
func (x *Exchange) due(p *peer, now time.Time) bool {
	if p.inFlight {
		return false
	}
	if now.Sub(p.lastReceived) > x.silenceLimit(p, now) {
		return now.Sub(p.lastSent) >= retryInterval
	}
	if x.sparse && p.neighbor {
		return x.dueToNeighbor(p, now)
	}
	interval := x.interval(p)
	if x.Self.Address > p.Address {
		return now.Sub(p.lastReceived) >= 4*interval && now.Sub(p.lastSent) >= interval
	}
	return now.Sub(p.lastSent) >= interval
}

// compose builds a message to a peer; nil stands for a receiver that is not
// known. A full message carries usage and members too. The caller holds the lock.
func (x *Exchange) compose(to *peer, full bool, now time.Time) wireMessage {
	x.sequence++
	m := wireMessage{From: x.Self, Sequence: x.sequence, Feeds: x.composeFeeds(to, now)}
	m.WantRecords = to != nil && x.sparse && to == x.source
	m.Overloaded = x.Overloaded != nil && x.Overloaded()
	// Peers that are no neighbors get few messages, so each carries everything.
	full = full || x.sparse && (to == nil || !to.neighbor)
	m.Work, m.Partial = x.composeWork(to, full, now)
	if to != nil {
		m.receiverStart = to.Start
		if to.sequence > 0 {
			m.ReceivedSequence, m.ReceivedAge = to.sequence, now.Sub(to.lastReceived).Milliseconds()
		}
		to.recordSent(x.sequence, now)
		m.CacheFills, to.cacheFillsSent = x.Balancer.CacheFillsSince(to.cacheFillsSent)
		if excess := len(m.CacheFills) - maxBackgroundFills; x.sparse && !to.neighbor && excess > 0 {
			m.CacheFills = m.CacheFills[excess:]
		}
		if !x.sparse || to.neighbor {
			x.composeReports(to, &m, now)
		}
	}
	m.MembersDigest = x.liveDigest(now)
	m.Full = full
	if full {
		m.Usage = x.Ledger.LocalUsage(now)
		if to == nil || to.membersDigest != m.MembersDigest {
			m.Members = x.liveMembers(now)
		}
	}
	return m
}

// composeReports adds to a message what the receiver lacks of the crashes and the departures of
// endpoints. In a large fleet neighbors relay what they learn; else only an instance that has
// just started gets reports that this one learned from others. The caller holds the lock.
func (x *Exchange) composeReports(to *peer, m *wireMessage, now time.Time) {
	if x.Crashes != nil {
		m.Crashes, m.crashesDelivered = x.Crashes.Compose(to.Address, x.sparse)
	}
	m.Departures, m.departuresNext, m.moreDepartures = x.Balancer.DeparturesSince(to.departuresNext, x.sparse || !to.hasDepartures, now)
}

// recordDelivery records that a peer has received a message. One that has restarted meanwhile
// has not received its reports.
func (x *Exchange) recordDelivery(p *peer, m wireMessage) {
	if m.crashesDelivered != nil {
		m.crashesDelivered()
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if p.Start != m.receiverStart || m.departuresNext < p.departuresNext {
		return
	}
	p.departuresNext = m.departuresNext
	p.hasDepartures = p.hasDepartures || !m.moreDepartures
}

// liveMembers returns the live peers. The caller holds the lock.
func (x *Exchange) liveMembers(now time.Time) []Member {
	x.refreshAlive(now)
	members := make([]Member, 0, len(x.peers)+1)
	for _, p := range x.peers {
		if p.alive {
			members = append(members, p.Member)
		}
	}
	return members
}

// liveDigest returns a digest of the live peers and of this instance that does not depend on their
// order. The caller holds the lock.
func (x *Exchange) liveDigest(now time.Time) uint64 {
	x.refreshAlive(now)
	return x.alive.digest ^ x.Self.digest()
}

// errUnexpected is the error of a message that ended with a panic.
var errUnexpected = errors.New("peer: message ended unexpectedly")

func (x *Exchange) send(ctx context.Context, p *peer, m wireMessage) {
	var reply wireMessage
	err := errUnexpected
	// Deferred, since a panic must not end all messages to this peer.
	defer func() {
		x.mu.Lock()
		p.inFlight, p.lastErr = false, err
		x.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	err = x.postSigned(ctx, p.Address, Path, purposeMessage, m, &reply)
	if err != nil {
		return
	}
	x.recordDelivery(p, m)
	x.receive(reply, time.Now())
}

// ServeHTTP receives a message from a peer and responds with this instance's own
// message.
func (x *Exchange) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m wireMessage
	signature, ok := x.readSigned(w, r, purposeMessage, &m)
	if !ok {
		return
	}
	now := time.Now()
	x.receive(m, now)
	x.mu.Lock()
	p := x.peers[m.From.Address]
	reply := x.compose(p, m.Full || m.Usage != nil, now)
	x.mu.Unlock()
	if x.writeSigned(w, signature, reply) && p != nil {
		x.recordDelivery(p, reply)
	}
}

// receive applies a message from a peer. Messages that are out of order or from an
// earlier start of the peer are ignored.
func (x *Exchange) receive(m wireMessage, now time.Time) {
	x.mu.Lock()
	p := x.addPeer(m.From, now)
	if p != nil && x.hasRestarted(p, m.From, now) {
		x.setStart(p, m.From)
	}
	if p == nil || m.From.Start < p.Start || m.From.Start == p.Start && m.Sequence <= p.sequence {
		x.mu.Unlock()
		return
	}
	if p.lost || p.lastReceived.IsZero() {
		x.Logger.Info(event.DependencyRecovered, zap.String("peer", m.From.Name), zap.String("address", m.From.Address))
	}
	if !p.alive {
		x.alive.at = time.Time{}
	}
	transit := p.maxTransit(m, now)
	p.sequence, p.lastReceived, p.lost = m.Sequence, now, false
	if p.Cores != m.From.Cores {
		p.Cores = m.From.Cores
		x.coresChanges++
	}
	p.membersDigest, p.wantsRecords, p.overloaded = m.MembersDigest, m.WantRecords, m.Overloaded
	for _, other := range m.Members {
		x.addPeer(other, now)
	}
	x.mu.Unlock()
	x.Balancer.SetInstanceWork(m.From.Address, x.unpackWork(m.Work, now), !m.Partial, now)
	x.Balancer.MergeCacheFills(m.CacheFills, now)
	x.Balancer.MergeDepartures(m.Departures, now)
	if m.Full || m.Usage != nil {
		x.Ledger.SetRemoteUsage(m.From.Address, m.Usage, now)
	}
	x.receiveFeeds(p, m.Feeds, now, transit)
	if x.Crashes != nil && m.Crashes != nil {
		if err := x.Crashes.Receive(m.Crashes); err != nil {
			x.Logger.Warn(event.InvalidData, zap.String("peer", m.From.Name), zap.Error(err))
		}
	}
}

// unpackWork decodes packed work and returns it by endpoint ID. Work at endpoints
// that this instance does not know is left out.
func (x *Exchange) unpackWork(data []byte, now time.Time) map[string]placement.Work {
	work := make(map[string]placement.Work, len(data)/packedEntryBytes)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endpointHomes(now)
	for hash, w := range unpack(data) {
		if id, ok := x.ids[hash]; ok {
			work[id] = w
		}
	}
	return work
}

// Rank returns how many live peers precede this instance in the order of the hashes of
// instance names, which is the same on all instances. Those with the lowest ranks read
// the platform for the others.
func (x *Exchange) Rank(now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refreshAlive(now)
	return x.alive.rank
}

// OverloadedInDomain returns how many instances of this failure domain are live, this one
// included, and how many of the others last said that they are overloaded.
func (x *Exchange) OverloadedInDomain(now time.Time) (overloaded, live int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.refreshAlive(now)
	live = 1
	for _, p := range x.peers {
		if p.Domain != x.Self.Domain || !p.alive {
			continue
		}
		live++
		if p.overloaded {
			overloaded++
		}
	}
	return overloaded, live
}
