package peer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// meshPeers is the number of live peers up to which an instance exchanges messages
	// with all of them at short intervals. In a larger fleet it does so with its
	// neighbors only, whose number grows with the logarithm of the fleet's size.
	meshPeers = 32
	// backgroundInterval is multiplied by the number of live peers: the interval of
	// messages to those that are no neighbors, so that their rate does not grow with
	// the fleet.
	backgroundInterval = 30 * time.Millisecond
	// silentIntervals is after how many such intervals without a message a peer that is
	// no neighbor counts as silent.
	silentIntervals = 2.5
	// maxBackgroundFills bounds the cache fills in a message to a peer that is no
	// neighbor.
	maxBackgroundFills = 32
	// sourceMargin is by how much the data of another neighbor must be more recent than
	// that of the current source of feeds for it to become the source.
	sourceMargin = 200 * time.Millisecond
)

// refreshNeighbors selects the neighbors among the live peers: those at distances of powers of
// two, in both directions, on a ring in the order of the hashes of their names. Two instances
// that know the same peers are neighbors of each other or neither is. The caller holds the
// lock.
func (x *Exchange) refreshNeighbors(now time.Time) {
	if !x.neighborsAt.IsZero() && now.Sub(x.neighborsAt) < homesTTL {
		return
	}
	x.neighborsAt = now
	var ring []*peer
	for _, p := range x.peers {
		if x.live(p, now) {
			ring = append(ring, p)
		}
	}
	x.livePeers = len(ring)
	x.sparse = len(ring) > meshPeers
	near := map[*peer]bool{}
	if x.sparse {
		slices.SortFunc(ring, func(a, b *peer) int {
			return cmp.Or(cmp.Compare(a.ringHash, b.ringHash), cmp.Compare(a.Address, b.Address))
		})
		// This instance has position 0: the peers follow in the order of the ring.
		own := hashID(x.Self.Name)
		first := slices.IndexFunc(ring, func(p *peer) bool { return p.ringHash > own || p.ringHash == own && p.Address > x.Self.Address })
		for _, offset := range neighborOffsets(len(ring) + 1) {
			near[ring[(max(first, 0)+offset-1)%len(ring)]] = true
		}
	}
	x.neighborCount = len(near)
	for _, p := range x.peers {
		isNear := near[p] || !x.sparse
		if isNear && !p.neighbor {
			p.neighborSince = now
		}
		p.neighbor = isNear
	}
}

// neighborOffsets returns the offsets from 1 to n-1 at which an instance has its neighbors on a
// ring of n instances.
func neighborOffsets(n int) []int {
	var offsets []int
	for d := 1; d < n; d *= 2 {
		offsets = append(offsets, d, n-d)
	}
	return offsets
}

// live reports whether a peer takes part in the fleet: a message from it was received lately.
// The caller holds the lock.
func (x *Exchange) live(p *peer, now time.Time) bool {
	return p.Name != "" && !p.lastReceived.IsZero() && now.Sub(p.lastReceived) < x.silenceLimit(p, now)
}

// Peers returns the number of live peers: other instances from which a message was
// received lately.
func (x *Exchange) Peers(now time.Time) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.countLive(now)
}

// countLive returns the number of live peers. The caller holds the lock.
func (x *Exchange) countLive(now time.Time) int {
	n := 0
	for _, p := range x.peers {
		if x.live(p, now) {
			n++
		}
	}
	return n
}

// silenceLimit returns the time without a message from a peer after which it is no longer
// live. The caller holds the lock.
func (x *Exchange) silenceLimit(p *peer, now time.Time) time.Duration {
	if !x.sparse {
		return silenceTimeout
	}
	background := max(silenceTimeout, time.Duration(silentIntervals*float64(x.livePeers)*float64(backgroundInterval)))
	if p.neighbor && now.Sub(p.neighborSince) > silenceTimeout {
		return silenceTimeout
	}
	return background
}

// interval returns the interval of messages to a live peer. The caller holds the lock.
func (x *Exchange) interval(p *peer) time.Duration {
	if !x.sparse {
		return sendInterval + time.Duration(len(x.peers))*sendIntervalPerPeer
	}
	if p.neighbor {
		return sendInterval + time.Duration(x.neighborCount)*sendIntervalPerPeer
	}
	return time.Duration(x.livePeers) * backgroundInterval
}

// selectSource selects the neighbor from which this instance gets the records of the feeds in
// a large fleet: the one with the most recent data, so that records spread along a tree whose
// root is the instance that reads the platform. The caller holds the lock.
func (x *Exchange) selectSource(now time.Time) {
	if x.source != nil && (!x.source.neighbor || !x.live(x.source, now)) {
		x.source = nil
	}
	for _, p := range x.peers {
		if !p.neighbor || !x.live(p, now) || p.dataAt.IsZero() {
			continue
		}
		if x.source == nil || p.dataAt.Sub(x.source.dataAt) > sourceMargin {
			x.source = p
		}
	}
}

// Sparse reports whether this instance exchanges messages with some of the others only, so
// that it knows little of the requests that they send.
func (x *Exchange) Sparse() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sparse
}
