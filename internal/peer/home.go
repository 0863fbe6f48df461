package peer

import (
	"context"
	"encoding/binary"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// ReservePath is the HTTP path at which the home of an endpoint, the instance
	// that grants reservations for it, receives reservation requests.
	ReservePath = "/reserve"
	// reserveTimeout bounds a reservation request: peers respond within
	// milliseconds, and the caller's request waits for the response.
	reserveTimeout = 50 * time.Millisecond
	// reserveBackoff is how long no reservations are requested from a home that
	// did not respond.
	reserveBackoff = 300 * time.Millisecond
	// homesTTL is how long it is not checked whether the homes and the neighbors have changed.
	homesTTL = 200 * time.Millisecond
	// maxPeersFullWork is the number of peers up to which every message carries
	// the work at all endpoints.
	maxPeersFullWork = 8
)

// wireReservation requests a reservation at an endpoint from its home.
type wireReservation struct {
	// From is the address of the requesting instance.
	From     string `json:"f"`
	Endpoint string `json:"e"`
	Tokens   int    `json:"t"`
	// Limit is the longest acceptable wait at the endpoint, in microseconds.
	Limit int64 `json:"l"`
	// Start is set if the requesting instance takes the endpoint for cold, and Cold is how
	// long it is still cold by what that instance knows itself, in milliseconds.
	Start bool  `json:"s,omitempty"`
	Cold  int64 `json:"c,omitempty"`
}

// wireGrant is the response to a wireReservation.
type wireGrant struct {
	Granted bool `json:"g"`
	// Work is the work of all instances but the requesting one at the requested
	// endpoint and at all others of this home, packed.
	Work []byte `json:"w"`
	// Departures says that the requested endpoint leaves.
	Departures []placement.Departure `json:"l,omitempty"`
	// Cold is how long the endpoint is still cold, Start says that the request may be started
	// there, and Next after which time the next start is free if this one was refused. Times
	// are in milliseconds.
	Cold  int64 `json:"c,omitempty"`
	Start bool  `json:"s,omitempty"`
	Next  int64 `json:"n,omitempty"`
	// Evacuated says that the failure domain of the requested endpoint is emptied.
	Evacuated bool `json:"v,omitempty"`
}

// endpointHomes returns the home of each endpoint by ID: the live instance in its
// failure domain, or of all live ones if that has none, which rendezvous hashing
// selects, each for a share of the endpoints in proportion to its processor. Instances
// that differ on which peers are live may select different homes for a moment; each of
// these then counts only a part of the reservations. The caller holds the lock.
func (x *Exchange) endpointHomes(now time.Time) map[string]Member {
	if x.homes != nil && now.Sub(x.homesAt) < homesTTL {
		return x.homes
	}
	// The listing is read before the endpoints, so that a change in between shows the next time.
	basis := homesBasis{members: x.liveDigest(now), cores: x.coresChanges, listing: x.Balancer.Listing()}
	if x.homes != nil && basis == x.homesBasis {
		x.homesAt = now
		return x.homes
	}
	x.homesBasis = basis
	members := append(x.liveMembers(now), x.Self)
	hashes := memberHashes(members)
	endpoints := x.Balancer.Endpoints()
	x.homes, x.ids = make(map[string]Member, len(endpoints)), make(map[uint32]string, len(endpoints))
	x.homeIDs, x.homesAt = map[string][]string{}, now
	for _, e := range endpoints {
		m := selectHome(e, members, hashes)
		x.homes[e.ID] = m
		x.homeIDs[m.Address] = append(x.homeIDs[m.Address], e.ID)
		x.ids[hashID(e.ID)] = e.ID
	}
	return x.homes
}

// homesBasis identifies what the homes of endpoints follow from.
type homesBasis struct {
	members uint64 // digest of the live ones
	cores   int    // number of changes of what peers say of their processors
	listing int64  // of the endpoints
}

// memberHashes returns the hashes of the members' names.
func memberHashes(members []Member) []uint64 {
	hashes := make([]uint64, len(members))
	for i, m := range members {
		hashes[i] = xxhash.Sum64String(m.Name)
	}
	return hashes
}

// selectHome returns the home of an endpoint among members, whose names have the given
// hashes.
func selectHome(e placement.Endpoint, members []Member, hashes []uint64) Member {
	var best Member
	bestScore := math.Inf(-1)
	bestInDomain := false
	var pair [16]byte
	binary.BigEndian.PutUint64(pair[:8], xxhash.Sum64String(e.ID))
	for i, m := range members {
		inDomain := m.Domain == e.Domain
		if bestInDomain && !inDomain {
			continue
		}
		binary.BigEndian.PutUint64(pair[8:], hashes[i])
		score := weightedScore(xxhash.Sum64(pair[:]), m.Cores)
		if inDomain && !bestInDomain || score > bestScore || score == bestScore && m.Name > best.Name {
			best, bestScore, bestInDomain = m, score, inDomain
		}
	}
	return best
}

// weightedScore returns the score of a member in weighted rendezvous hashing: of the members with the
// highest scores, each occurs in proportion to its weight, and others keep theirs when one joins or
// leaves. Of equal weights, the higher hash has the higher score.
func weightedScore(hash uint64, weight float64) float64 {
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	// The upper 53 bits make a number between 0 and 1, exclusive.
	fraction := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(fraction)
}

// composeWork returns the packed work at endpoints for a message, and whether it is
// partial. In a large fleet most messages cover only the endpoints whose home is the
// receiver. The caller holds the lock.
func (x *Exchange) composeWork(to *peer, full bool, now time.Time) (packed []byte, partial bool) {
	if to == nil || full || len(x.peers) <= maxPeersFullWork {
		return pack(x.Balancer.LocalWork()), false
	}
	x.endpointHomes(now)
	return pack(x.Balancer.LocalWorkAt(x.homeIDs[to.Address])), true
}

// Partial implements fleet.Homes: most messages of the others leave out the work at endpoints of
// which this instance is not the home.
func (x *Exchange) Partial() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.sparse || len(x.peers) > maxPeersFullWork
}

// Reserve implements fleet.Homes.
func (x *Exchange) Reserve(ctx context.Context, r fleet.Reservation) fleet.ReservationResult {
	now := time.Now()
	x.mu.Lock()
	m, known := x.endpointHomes(now)[r.Endpoint]
	if !known {
		// The endpoint may have been added after the homes were computed.
		x.homesAt = time.Time{}
		m = x.endpointHomes(now)[r.Endpoint]
	}
	if m.Address == x.Self.Address {
		x.mu.Unlock()
		return x.reserveHere(r, now)
	}
	p := x.peers[m.Address]
	if p == nil || now.Before(p.reserveAfter) {
		x.mu.Unlock()
		return x.noAnswer(r, now)
	}
	x.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var grant wireGrant
	reservation := wireReservation{From: x.Self.Address, Endpoint: r.Endpoint, Tokens: r.Tokens, Limit: r.MaxWait.Microseconds(), Start: r.Start}
	if cold := x.Balancer.OwnCold(r.Endpoint, now); cold > 0 {
		reservation.Cold = milliseconds(cold)
	}
	if err := x.postSigned(ctx, m.Address, ReservePath, purposeReserve, reservation, &grant); err != nil {
		if context.Cause(ctx) == context.Canceled {
			// The caller canceled its request; this says nothing about the
			// home.
			return fleet.GrantNoAnswer
		}
		x.mu.Lock()
		p.reserveAfter = time.Now().Add(reserveBackoff)
		x.mu.Unlock()
		return x.noAnswer(r, time.Now())
	}
	x.Balancer.SetHomeWork(x.unpackWork(grant.Work, time.Now()), time.Now())
	x.Balancer.MergeDepartures(grant.Departures, time.Now())
	if grant.Cold > 0 {
		x.Balancer.LearnCold(r.Endpoint, time.Duration(grant.Cold)*time.Millisecond, time.Now())
	}
	if grant.Evacuated {
		x.Balancer.RecordEvacuated(r.Endpoint, time.Now())
	}
	switch {
	case grant.Granted && grant.Start:
		return fleet.GrantStart
	case grant.Granted && !r.Start && grant.Cold == 0:
		return fleet.GrantAccepted
	case grant.Granted || grant.Next > 0:
		// An instance of an earlier version grants without a start.
		x.delayStart(r.Endpoint, time.Duration(grant.Next)*time.Millisecond, time.Now())
		return fleet.GrantNoStart
	}
	return fleet.GrantRefused
}

// ServeReserve handles a reservation request from another instance.
func (x *Exchange) ServeReserve(w http.ResponseWriter, r *http.Request) {
	var reservation wireReservation
	signature, ok := x.readSigned(w, r, purposeReserve, &reservation)
	if !ok {
		return
	}
	now := time.Now()
	x.mu.Lock()
	home := x.endpointHomes(now)[reservation.Endpoint]
	ids := x.homeIDs[x.Self.Address]
	x.mu.Unlock()
	if home.Address != x.Self.Address {
		ids = append(slices.Clone(ids), reservation.Endpoint)
	}
	others := x.Balancer.WorkExcept(reservation.From, ids, now)
	grant := wireGrant{
		Work: pack(others), Departures: x.Balancer.DepartureOf(reservation.Endpoint, now), Evacuated: x.Balancer.IsEvacuated(reservation.Endpoint),
	}
	x.decide(&grant, reservation, now)
	x.writeSigned(w, signature, grant)
}
