package placement

import (
	"math"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// promise is a place at an endpoint that was granted to another instance, which has
// not told yet that it uses it.
type promise struct {
	to     string
	tokens int
	at     time.Time
}

const (
	// promiseLag covers the way of a grant: what an instance tells later than
	// this after it includes the granted request.
	promiseLag = 30 * time.Millisecond
	// promiseTerm is how long a promise counts at the most.
	promiseTerm = time.Second
	// toldTerm is how long the home's word on the requests of others counts
	// more than what they tell themselves: about two of their messages.
	toldTerm = 250 * time.Millisecond
)

// Grant decides, at the home of an endpoint, whether another instance may send a
// request there. A granted place counts as taken at once, so that instances which ask
// at the same time do not get the same one.
func (b *Board) Grant(to string, r fleet.Reservation, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byID[r.Endpoint]
	if s == nil || !s.usable() || b.wait(s, now) > r.Limit {
		return false
	}
	s.settle("", now)
	s.promised = append(s.promised, promise{to, r.Tokens, now})
	return true
}

// settle forgets promises to an instance that has told of its requests since, and
// those that are too old.
func (s *state) settle(heard string, now time.Time) {
	s.promised = slices.DeleteFunc(s.promised, func(p promise) bool {
		age := now.Sub(p.at)
		return age > promiseTerm || p.to == heard && age > promiseLag
	})
}

// Others returns what lies at endpoints because of all instances but one.
func (b *Board) Others(but string, ids []string, now time.Time) map[string]Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[string]Work, len(ids))
	for _, id := range ids {
		s := b.byID[id]
		if s == nil {
			continue
		}
		others := s.others(but, now)
		list[id] = Work{Runs: s.own.Runs + int(math.Round(b.passed(s, others, now))), Tokens: s.own.Tokens + int(others.tokens)}
	}
	return list
}

// Learn takes in what the home of endpoints says of the requests of others there.
func (b *Board) Learn(list map[string]Work, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, w := range list {
		if s := b.byID[id]; s != nil {
			s.told = heard{w, now}
		}
	}
}
