package placement

import (
	"math"
	"time"
)

// remoteWork is work that another instance reported, and the time of the report.
type remoteWork struct {
	Work
	at time.Time
}

// workSum sums work that was reported at different times.
type workSum struct {
	runs, tokens float64
	// runsTime is the sum, over all runs, of the times at which they were
	// reported, in seconds since epoch; it gives their mean age. tokensTime is the same
	// for tokens.
	runsTime, tokensTime float64
}

// add adds work multiplied by factor: 1 adds the work, -1 subtracts it again.
func (sum *workSum) add(w remoteWork, factor float64) {
	at := w.at.Sub(epoch).Seconds()
	runs := factor * float64(w.Runs)
	sum.runs += runs
	sum.runsTime += runs * at
	tokens := factor * float64(w.Tokens)
	sum.tokens += tokens
	sum.tokensTime += tokens * at
}

// othersWork sums what was reported by all other instances except one, and the pending
// grants to them. An empty name excepts none.
func (s *endpointState) othersWork(except string, now time.Time) workSum {
	sum := s.remoteSum
	if except != "" {
		if w, ok := s.remote[except]; ok {
			sum.add(w, -1)
		}
	}
	for _, p := range s.grants {
		if p.to != except && now.Sub(p.at) <= grantLifetime {
			sum.add(remoteWork{Work{Runs: 1, Tokens: p.tokens}, p.at}, 1)
		}
	}
	return sum
}

const (
	// freshTokensAge is the age up to which unprocessed tokens count as reported:
	// subtracting those processed since then admits too many requests.
	freshTokensAge = 300 * time.Millisecond
	// tokensDecayTime is how long it then takes them to decay to a third (1/e). Requests
	// wait for about that long at most.
	tokensDecayTime = 200 * time.Millisecond
)

// remainingTokens estimates how many of the unprocessed tokens reported some time ago still
// wait.
func remainingTokens(reported workSum, now time.Time) float64 {
	if reported.tokens <= 0 {
		return 0
	}
	age := now.Sub(epoch).Seconds() - reported.tokensTime/reported.tokens - freshTokensAge.Seconds()
	return reported.tokens * math.Exp(-max(age, 0)/tokensDecayTime.Seconds())
}

// remainingRuns estimates how many of the requests reported some time ago still run: they
// decay exponentially with the mean duration of a request.
func (s *endpointState) remainingRuns(reported workSum, now time.Time) float64 {
	if reported.runs <= 0 {
		return 0
	}
	age := max(now.Sub(epoch).Seconds()-reported.runsTime/reported.runs, 0)
	return reported.runs * math.Exp(-age*1000/s.model.requestMS)
}

// totalWork returns the requests and the unprocessed prompt tokens of all instances at an
// endpoint.
func (b *Balancer) totalWork(s *endpointState, now time.Time) (runs, tokens float64) {
	if now.Sub(s.homeWork.at) < homeWorkLifetime {
		var homeSum workSum
		homeSum.add(s.homeWork, 1)
		return float64(s.local.Runs) + s.remainingRuns(homeSum, now), float64(s.local.Tokens) + remainingTokens(homeSum, now)
	}
	others := s.othersWork("", now)
	runs = s.remainingRuns(others, now)
	if age := now.Sub(s.reportedAt); age < reportDecayTime {
		runs = max(runs, s.reportedRuns*(1-age.Seconds()/reportDecayTime.Seconds()))
	}
	return float64(s.local.Runs) + runs, float64(s.local.Tokens) + remainingTokens(others, now)
}
