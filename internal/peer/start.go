package peer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// knownSilence is how long an instance that is not heard counts as a part of the fleet.
const knownSilence = 20 * time.Second

// membersView is what an instance takes the members of the fleet for, itself included.
type membersView struct {
	members []Member
	hashes  []uint64 // of the members' names
	// nearMembers and nearHashes are those of this instance's failure domain: only they can be
	// homes of the endpoints there.
	nearMembers []Member
	nearHashes  []uint64
	// share is the part of the bound that a home may grant; zero while this instance may be on the smaller side
	// of a cut that began lately.
	share float64
}

// recordView records the current members for the decisions on starts. The caller holds the lock.
func (x *Exchange) recordView(now time.Time) {
	if !x.Balancer.HasStartups() {
		return
	}
	digest := x.liveDigest(now)
	share := x.shareOfStarts(x.countLive(now), now)
	digest ^= math.Float64bits(share)
	x.views.Set(digest, func() membersView {
		members := append(x.liveMembers(now), x.Self)
		v := membersView{members: members, hashes: memberHashes(members), share: share}
		for i, m := range members {
			if m.Domain == x.Self.Domain {
				v.nearMembers, v.nearHashes = append(v.nearMembers, m), append(v.nearHashes, v.hashes[i])
			}
		}
		return v
	}, now)
}

// shareOfStarts returns which part of the bound the homes may grant that this instance and the given number of
// live peers take for such. At first that is nothing unless these are at least half of the instances known lately, so that no
// more than warmup.MaxHomes parts of the fleet grant starts while they learn of a cut; later it is their share of the instances
// that there were. An instance that has heard others and hears none now grants nothing; one that never knew any does. The
// caller holds the lock.
func (x *Exchange) shareOfStarts(live int, now time.Time) float64 {
	x.heardPeers = x.heardPeers || live > 0
	if live == 0 && (x.heardPeers || len(x.peers) > 0) {
		return 0
	}
	silent := 0
	for _, p := range x.peers {
		if !x.live(p, now) && p.Name != "" && now.Sub(latest(p.lastReceived, p.knownSince)) < knownSilence {
			silent++
		}
	}
	share := x.members.Share(live+1, live+1+silent, now)
	if live+1 < silent {
		return 0
	}
	return share
}

// home returns the home of an endpoint by the view of an instance in the given failure domain.
func (v *membersView) home(e placement.Endpoint, domain string) Member {
	if e.Domain == domain {
		return selectHome(e, v.nearMembers, v.nearHashes)
	}
	return selectHome(e, v.members, v.hashes)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// homeShare returns which part of the bound this instance may grant as the home of an endpoint: the least by all
// its views of the last warmup.Window. If it was not the home by all of them, that is zero, and wait the time after which it
// may change.
func (x *Exchange) homeShare(endpoint string, now time.Time) (share float64, wait time.Duration) {
	e, known := x.Balancer.Endpoint(endpoint)
	x.mu.Lock()
	defer x.mu.Unlock()
	views, wait, whole := x.views.Recent(now)
	if !known || !whole {
		return 0, max(wait, reserveBackoff)
	}
	share = 1
	for _, v := range views {
		if v.share == 0 || v.home(e, x.Self.Domain).Address != x.Self.Address {
			return 0, reserveBackoff
		}
		share = min(share, v.share)
	}
	return share, 0
}

// decide decides, at the home of an endpoint, on a reservation there.
func (x *Exchange) decide(g *wireGrant, r wireReservation, now time.Time) {
	cold, limit := x.Balancer.LearnCold(r.Endpoint, time.Duration(r.Cold)*time.Millisecond, now)
	if cold > 0 {
		g.Cold = milliseconds(cold)
	}
	reservation := fleet.Reservation{Endpoint: r.Endpoint, Tokens: r.Tokens, MaxWait: time.Duration(r.Limit) * time.Microsecond, Start: r.Start}
	if cold == 0 && !r.Start {
		g.Granted = x.Balancer.Grant(r.From, reservation, now)
		return
	}
	var wait time.Duration
	if limit.Share, wait = x.homeShare(r.Endpoint, now); limit.Share == 0 {
		x.starts.Refuse()
		g.Next = milliseconds(wait)
		return
	}
	g.Granted = x.Balancer.GrantStart(r.From, reservation, now, func() bool {
		wait, g.Start = x.starts.Start(r.Endpoint, limit, now)
		if !g.Start {
			g.Next = milliseconds(wait)
		}
		return g.Start
	})
}

// milliseconds returns a time as a whole number of milliseconds, at least 1.
func milliseconds(d time.Duration) int64 {
	return max(int64((d+time.Millisecond-1)/time.Millisecond), 1)
}

// reserveHere decides on a reservation at an endpoint whose home is this instance. It does not limit
// the work that this instance sends there, only the starts.
func (x *Exchange) reserveHere(r fleet.Reservation, now time.Time) fleet.ReservationResult {
	cold, limit := x.Balancer.LearnCold(r.Endpoint, 0, now)
	if cold == 0 && !r.Start {
		return fleet.GrantAccepted
	}
	var wait time.Duration
	if limit.Share, wait = x.homeShare(r.Endpoint, now); limit.Share > 0 {
		var ok bool
		if wait, ok = x.starts.Start(r.Endpoint, limit, now); ok {
			return fleet.GrantStart
		}
	} else {
		x.starts.Refuse()
	}
	x.Balancer.DelayStart(r.Endpoint, wait, now)
	return fleet.GrantNoStart
}

// noAnswer returns the result of a reservation without an answer: a cold endpoint gets nothing.
func (x *Exchange) noAnswer(r fleet.Reservation, now time.Time) fleet.ReservationResult {
	if !r.Start {
		return fleet.GrantNoAnswer
	}
	x.Balancer.DelayStart(r.Endpoint, reserveBackoff, now)
	return fleet.GrantNoStart
}

// delayStart records that the home of an endpoint refused a start and when the next one is free. The
// instances request that at different times, so that the home gets few requests for each start.
func (x *Exchange) delayStart(endpoint string, next time.Duration, now time.Time) {
	limit := x.Balancer.StartLimit(endpoint)
	x.mu.Lock()
	peers := x.livePeers
	x.mu.Unlock()
	x.Balancer.DelayStart(endpoint, next+time.Duration(rand.Float64()*float64(limit.Spread(peers+1))), now)
}

// Starts returns how many starts at cold endpoints this instance granted and refused as their home.
func (x *Exchange) Starts() (granted, refused int64) { return x.starts.Counts() }
