package placement

import (
	"math"
	"time"
)

// heard is work that another instance told of.
type heard struct {
	Work
	at time.Time
}

// load sums work that was heard of at different times.
type load struct {
	runs, tokens float64
	// runsAt is the sum of the times at which runs were heard of, in seconds, for
	// their mean age.
	runsAt float64
}

// epoch keeps sums of times small.
var epoch = time.Unix(1_700_000_000, 0)

// add adds work a number of times.
func (l *load) add(h heard, times float64) {
	at := h.at.Sub(epoch).Seconds()
	runs := times * float64(h.Runs)
	l.runs += runs
	l.runsAt += runs * at
	l.tokens += times * float64(h.Tokens)
}

// others sums what was told by all other instances but one, and what was promised to
// them.
func (s *state) others(but string, now time.Time) load {
	sum := s.sum
	if h, ok := s.far[but]; ok {
		sum.add(h, -1)
	}
	for _, p := range s.promised {
		if p.to != but && now.Sub(p.at) <= promiseTerm {
			sum.add(heard{Work{Runs: 1, Tokens: p.tokens}, p.at}, 1)
		}
	}
	return sum
}

// passed returns the requests that are left of those told some time ago: meanwhile some
// have ended. Tokens count as told: taking off what was read since lets too many in.
func (b *Board) passed(s *state, l load, now time.Time) float64 {
	if l.runs <= 0 {
		return 0
	}
	age := max(now.Sub(epoch).Seconds()-l.runsAt/l.runs, 0)
	return l.runs * math.Exp(-age*1000/b.speed(s.Service).hold)
}

// total returns the requests and the unread tokens at an endpoint from everywhere.
func (b *Board) total(s *state, now time.Time) (runs, tokens float64) {
	if now.Sub(s.told.at) < toldTerm {
		var word load
		word.add(s.told, 1)
		return float64(s.own.Runs) + b.passed(s, word, now), float64(s.own.Tokens) + word.tokens
	}
	others := s.others("", now)
	runs = b.passed(s, others, now)
	if age := now.Sub(s.heard); age < reportTerm {
		runs = max(runs, s.reported*(1-age.Seconds()/reportTerm.Seconds()))
	}
	return float64(s.own.Runs) + runs, float64(s.own.Tokens) + others.tokens
}
