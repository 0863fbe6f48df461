package placement

import (
	"math"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// pendingGrant is a slot at an endpoint that was granted to another instance, which has
// not yet reported the request that uses it.
type pendingGrant struct {
	to     string
	tokens int
	at     time.Time
}

const (
	// grantLatency covers the time that a grant is under way: what an instance
	// reports later than this after the grant includes the granted request.
	grantLatency = 30 * time.Millisecond
	// grantLifetime is the longest time that a pending grant counts.
	grantLifetime = time.Second
	// homeWorkLifetime is how long the home's report on the requests of other
	// instances takes precedence over their own reports: about two of their
	// messages.
	homeWorkLifetime = 250 * time.Millisecond
)

// Grant decides whether another instance may send a request to an endpoint: the request
// must not have to wait for longer than its limit. It is called at the home instance of the
// endpoint, the one that grants its slots. A granted slot counts as taken at once, so that
// instances which ask at the same time do not get the same one.
func (b *Balancer) Grant(to string, r fleet.Reservation, now time.Time) bool {
	return b.GrantStart(to, r, now, func() bool { return true })
}

// GrantStart is like Grant for an endpoint that may be cold: start is called, with the balancer
// locked, if nothing else speaks against the request, and has the last word.
func (b *Balancer) GrantStart(to string, r fleet.Reservation, now time.Time, start func() bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byID[r.Endpoint]
	if s == nil || !s.usableByOthers(now) && !(r.Start && s.mayHaveReturned(now)) {
		return false
	}
	runs, tokens := b.totalWork(s, now)
	if s.wait(runs, tokens, s.currentSlowdown(now), now) > r.MaxWait || !start() {
		return false
	}
	b.dropGrants(s, "", now)
	s.grants = append(s.grants, pendingGrant{to, max(r.Tokens, 0), now})
	if b.granted == nil {
		b.granted = map[*endpointState]struct{}{}
	}
	b.granted[s] = struct{}{}
	return true
}

// dropGrants drops the pending grants at an endpoint to an instance that has reported its requests
// since, and those to any instance that are older than grantLifetime. An empty name drops
// only the latter. The caller holds the lock.
func (b *Balancer) dropGrants(s *endpointState, reporter string, now time.Time) {
	if len(s.grants) == 0 {
		return
	}
	s.grants = slices.DeleteFunc(s.grants, func(p pendingGrant) bool {
		age := now.Sub(p.at)
		return age > grantLifetime || p.to == reporter && age > grantLatency
	})
	if len(s.grants) == 0 {
		delete(b.granted, s)
	}
}

// WorkExcept returns the work of all instances but one at the endpoints with these IDs.
// Unknown IDs are left out.
func (b *Balancer) WorkExcept(instance string, ids []string, now time.Time) map[string]Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[string]Work, len(ids))
	for _, id := range ids {
		s := b.byID[id]
		if s == nil {
			continue
		}
		others := s.othersWork(instance, now)
		list[id] = Work{Runs: s.local.Runs + int(math.Round(s.remainingRuns(others, now))), Tokens: s.local.Tokens + int(remainingTokens(others, now))}
	}
	return list
}

// SetHomeWork sets, by endpoint ID, what the home instance of endpoints reports of the
// requests of other instances there. Unknown IDs are ignored.
func (b *Balancer) SetHomeWork(list map[string]Work, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, w := range list {
		if s := b.byID[id]; s != nil {
			s.homeWork = remoteWork{w, now}
		}
	}
}
