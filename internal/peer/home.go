package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// ReservePath is where the home of endpoints is asked for places.
	ReservePath = "/reserve"
	// reserveTimeout bounds the question: peers answer within milliseconds, and
	// the request waits for it.
	reserveTimeout = 50 * time.Millisecond
	// deafTerm is how long a home that did not answer is not asked again.
	deafTerm = 300 * time.Millisecond
	// housedTerm is how long the homes that were found hold.
	housedTerm = 200 * time.Millisecond
	// smallFleet is the number of peers up to which every message names the
	// work at all endpoints.
	smallFleet = 8
)

// wireReservation asks for a place.
type wireReservation struct {
	From     string `json:"f"`
	Endpoint string `json:"e"`
	Tokens   int    `json:"t"`
	// Limit is in microseconds.
	Limit int64 `json:"l"`
}

// wireGrant answers it.
type wireGrant struct {
	Given bool `json:"g"`
	// Work is that of all but the asker at the endpoints of this home, packed.
	Work []byte `json:"w"`
}

// house finds the home of each endpoint: of the instances that are heard in its
// failure domain, or of all if there is none, the one first by rendezvous hashing.
// Instances that do not hear the same others may differ for a moment; places are
// then counted in two halves. The lock is held.
func (x *Exchange) house(now time.Time) map[string]Member {
	if x.homes != nil && now.Sub(x.housed) < housedTerm {
		return x.homes
	}
	members := []Member{x.Self}
	for _, p := range x.peers {
		if p.Name != "" && now.Sub(p.heard) < silent {
			members = append(members, p.Member)
		}
	}
	x.homes, x.housed = map[string]Member{}, now
	for _, e := range x.Board.Endpoints() {
		x.homes[e.ID] = home(e, members)
	}
	return x.homes
}

func home(e placement.Endpoint, members []Member) Member {
	var best Member
	var top uint64
	near := false
	for _, m := range members {
		rank := xxhash.Sum64String(e.ID + m.Name)
		switch in := m.Domain == e.Domain; {
		case in && !near, in == near && (rank > top || rank == top && m.Name > best.Name):
			best, top, near = m, rank, in
		}
	}
	return best
}

// work returns what is told of the work at endpoints, and whether only of some. In a
// large fleet most messages name those alone that the receiver counts. The lock is
// held.
func (x *Exchange) work(to *peer, whole bool, now time.Time) (packed []byte, part bool) {
	own := x.Board.LocalWork()
	if to == nil || whole || len(x.peers) <= smallFleet {
		return pack(own), false
	}
	list := map[string]placement.Work{}
	for id, m := range x.house(now) {
		if m.Address == to.Address {
			list[id] = own[id]
		}
	}
	return pack(list), true
}

// Reserve implements fleet.Homes.
func (x *Exchange) Reserve(ctx context.Context, r fleet.Reservation) fleet.Grant {
	now := time.Now()
	x.mu.Lock()
	m := x.house(now)[r.Endpoint]
	if m.Address == x.Self.Address {
		x.mu.Unlock()
		return fleet.GrantGiven
	}
	p := x.peers[m.Address]
	if p == nil || now.Before(p.deaf) {
		x.mu.Unlock()
		return fleet.GrantUnheard
	}
	x.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var g wireGrant
	q := wireReservation{From: x.Self.Address, Endpoint: r.Endpoint, Tokens: r.Tokens, Limit: r.Limit.Microseconds()}
	if err := x.ask(ctx, m.Address, ReservePath, useReserve, q, &g); err != nil {
		if context.Cause(ctx) == context.Canceled {
			// The caller left; that says nothing of the home.
			return fleet.GrantUnheard
		}
		x.mu.Lock()
		p.deaf = time.Now().Add(deafTerm)
		x.mu.Unlock()
		return fleet.GrantUnheard
	}
	x.Board.SetHomeWork(x.named(g.Work), time.Now())
	if g.Given {
		return fleet.GrantGiven
	}
	return fleet.GrantRefused
}

// ServeReserve answers another instance that asks for a place.
func (x *Exchange) ServeReserve(w http.ResponseWriter, r *http.Request) {
	var q wireReservation
	signature, ok := x.open(w, r, useReserve, &q)
	if !ok {
		return
	}
	now := time.Now()
	var ids []string
	x.mu.Lock()
	for id, m := range x.house(now) {
		if m.Address == x.Self.Address || id == q.Endpoint {
			ids = append(ids, id)
		}
	}
	x.mu.Unlock()
	others := x.Board.WorkExcept(q.From, ids, now)
	given := x.Board.Grant(q.From, fleet.Reservation{
		Endpoint: q.Endpoint, Tokens: q.Tokens, Limit: time.Duration(q.Limit) * time.Microsecond,
	}, now)
	x.reply(w, signature, wireGrant{Given: given, Work: pack(others)})
}
