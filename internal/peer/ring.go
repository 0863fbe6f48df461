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
	// neighborInterval is the interval of messages to neighbors from which this instance gets no records,
	// to which it sends none, and to which it has no news: three of them fit in silenceTimeout.
	neighborInterval = 500 * time.Millisecond
	// aliveTTL is how long it is not checked which peers have become silent.
	aliveTTL = 50 * time.Millisecond
	// silentIntervals is after how many such intervals without a message a peer that is
	// no neighbor counts as silent.
	silentIntervals = 2.5
	// maxBackgroundFills bounds the cache fills in a message to a peer that is no
	// neighbor.
	maxBackgroundFills = 32
	// sourceMargin is by how much the data of another neighbor must be more recent than
	// that of the current source of feeds for it to become the source: about the time between two messages of that.
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
	x.refreshAlive(now)
	x.alive.at = time.Time{} // the time after which a peer is silent depends on the neighbors
	var ring []*peer
	for _, p := range x.peers {
		if p.alive {
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
	x.refreshAlive(now)
	return x.alive.count
}

// aliveState is what was last found of which peers are live.
type aliveState struct {
	at     time.Time // when it was found; zero means that it has to be found anew
	count  int
	rank   int    // of this instance, see Rank
	digest uint64 // of the live peers, does not depend on their order
}

// refreshAlive finds out which peers are live, unless it did so less than aliveTTL ago and none was
// heard since that was not live. The caller holds the lock.
func (x *Exchange) refreshAlive(now time.Time) {
	if age := now.Sub(x.alive.at); !x.alive.at.IsZero() && age >= 0 && age < aliveTTL {
		return
	}
	x.alive = aliveState{at: now}
	own := hashID(x.Self.Name)
	for _, p := range x.peers {
		p.alive = x.live(p, now)
		if !p.alive {
			continue
		}
		x.alive.count++
		x.alive.digest ^= p.ownDigest
		if p.ringHash < own {
			x.alive.rank++
		}
	}
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

// interval returns the interval of messages to a live peer, except to neighbors in a large fleet. The caller
// holds the lock.
func (x *Exchange) interval(p *peer) time.Duration {
	if !x.sparse {
		return sendInterval + time.Duration(len(x.peers))*sendIntervalPerPeer
	}
	return time.Duration(x.livePeers) * backgroundInterval
}

// dueToNeighbor reports whether a message to a live neighbor in a large fleet is due. An instance asks the one from
// which it gets the records, and tells its news, at short intervals. To the others it sends if nothing else passes
// between them. The caller holds the lock.
func (x *Exchange) dueToNeighbor(p *peer, now time.Time) bool {
	sent, received := now.Sub(p.lastSent), now.Sub(p.lastReceived)
	interval := sendInterval + time.Duration(x.neighborCount)*sendIntervalPerPeer
	if sent < interval {
		return false
	}
	responds := x.Self.Address > p.Address
	switch {
	case !x.hasNews(p):
		p.newsSince = time.Time{}
	case p.newsSince.IsZero():
		p.newsSince = now
	}
	// Both may have the same news: one of them waits for the other's message.
	if !p.newsSince.IsZero() && (!responds || now.Sub(p.newsSince) >= interval) {
		return true
	}
	if p == x.source {
		return true
	}
	if responds {
		return received >= 2*neighborInterval && sent >= neighborInterval
	}
	return received >= neighborInterval && sent >= neighborInterval
}

// hasNews reports whether a peer lacks crashes or departures of endpoints. The caller holds the lock.
func (x *Exchange) hasNews(p *peer) bool {
	return p.departuresNext < x.Balancer.DepartureCount() || x.Crashes != nil && x.Crashes.Pending(p.Address)
}

// selectSource selects the neighbor from which this instance gets the records of the feeds in
// a large fleet: the one with the most recent data, so that records spread along a tree whose
// root is the instance that reads the platform. The caller holds the lock.
func (x *Exchange) selectSource(now time.Time) {
	x.refreshAlive(now)
	if x.source != nil && (!x.source.neighbor || !x.source.alive) {
		x.source = nil
	}
	for _, p := range x.peers {
		if !p.neighbor || !p.alive || p.dataAt.IsZero() {
			continue
		}
		if x.source == nil || x.isBetterSource(p, now) {
			x.source = p
		}
	}
}

// isBetterSource reports whether a neighbor has more recent data than the source. Messages come at different
// intervals, so that the ages in them are compared; while nobody has new data, the source remains. The
// caller holds the lock.
func (x *Exchange) isBetterSource(p *peer, now time.Time) bool {
	age := max(x.source.dataAge, now.Sub(x.source.dataAt)-2*sourceMargin)
	return p.dataAt.After(x.source.dataAt) && p.dataAge+sourceMargin < age
}

// Sparse reports whether this instance exchanges messages with some of the others only, so
// that it knows little of the requests that they send.
func (x *Exchange) Sparse() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sparse
}
