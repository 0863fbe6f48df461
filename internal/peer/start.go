package peer

import (
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
	// mayGrant is set unless this instance may be on the smaller side of a cut.
	mayGrant bool
}

// recordView records the current members for the decisions on starts. The caller holds the lock.
func (x *Exchange) recordView(now time.Time) {
	if !x.Balancer.HasStartups() {
		return
	}
	digest := x.liveDigest(now)
	mayGrant := x.hearsHalf(x.countLive(now), now)
	if !mayGrant {
		digest = ^digest
	}
	x.views.Set(digest, func() membersView {
		members := append(x.liveMembers(now), x.Self)
		v := membersView{members: members, hashes: memberHashes(members), mayGrant: mayGrant}
		for i, m := range members {
			if m.Domain == x.Self.Domain {
				v.nearMembers, v.nearHashes = append(v.nearMembers, m), append(v.nearHashes, v.hashes[i])
			}
		}
		return v
	}, now)
}

// hearsHalf reports whether this instance and the given number of live peers are at least half of the
// instances known lately, so that no more than warmup.MaxHomes parts of the fleet grant starts. An
// instance that has heard others and hears none now does not; one that never knew any does. The caller
// holds the lock.
func (x *Exchange) hearsHalf(live int, now time.Time) bool {
	x.heardPeers = x.heardPeers || live > 0
	if live == 0 {
		return !x.heardPeers && len(x.peers) == 0
	}
	silent := 0
	for _, p := range x.peers {
		if !x.live(p, now) && p.Name != "" && now.Sub(latest(p.lastReceived, p.knownSince)) < knownSilence {
			silent++
		}
	}
	return live+1 >= silent
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

// isHome reports whether this instance was the home of an endpoint by all its views of the last
// warmup.Window. If not, it returns after which time that may change.
func (x *Exchange) isHome(endpoint string, now time.Time) (wait time.Duration, ok bool) {
	e, known := x.Balancer.Endpoint(endpoint)
	x.mu.Lock()
	defer x.mu.Unlock()
	views, wait, whole := x.views.Recent(now)
	if !known || !whole {
		return max(wait, reserveBackoff), false
	}
	for _, v := range views {
		if !v.mayGrant || v.home(e, x.Self.Domain).Address != x.Self.Address {
			return reserveBackoff, false
		}
	}
	return 0, true
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
	wait, isHome := x.isHome(r.Endpoint, now)
	if !isHome {
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
	wait, ok := x.isHome(r.Endpoint, now)
	if ok {
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
