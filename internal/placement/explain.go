package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ExcludedElsewhere and ExcludedAvoided are why an endpoint that takes requests gets none of a
// certain one: it is in none of the request's regions, or failed or refused the request before.
const (
	ExcludedElsewhere = "elsewhere"
	ExcludedAvoided   = "avoided"
)

// Candidate is an endpoint of a service as an input of the choice for a request. Costs and times are
// in milliseconds.
type Candidate struct {
	Endpoint string `json:"endpoint"`
	Domain   string `json:"domain"`
	// Region is empty if the failure domain is in none.
	Region string `json:"region,omitempty"`
	// Excluded is why the endpoint cannot be chosen: an Unavailability, ExcludedElsewhere or
	// ExcludedAvoided. It is empty if it can be.
	Excluded string `json:"excluded,omitempty"`
	// Chance is the probability with which the endpoint is compared: 1 for the preferred
	// ones of the request and those that have cached its shared parts, less for each right after it
	// was cold.
	Chance float64 `json:"chance"`
	// Cold is set if the endpoint is cold or may be: its home has to grant a start.
	Cold     bool    `json:"cold"`
	Cost     float64 `json:"cost"`
	Expected float64 `json:"expected"`
	Wait     float64 `json:"wait"`
	// Missing is how many tokens of shared parts the endpoint has not cached.
	Missing int     `json:"missing"`
	Runs    float64 `json:"runs"`
	Slots   int     `json:"slots"`
	// Listed is the age of its newest record, Reported that of its last load report; negative
	// means that there is none.
	Listed   float64 `json:"listed"`
	Reported float64 `json:"reported"`
}

// Explain returns the candidates for a request, in the order of their costs, and after them those
// that cannot be chosen. Choose returns the first one that it compares and that can be chosen.
// Nothing changes by the call.
func (b *Balancer) Explain(r Request, now time.Time) []Candidate {
	instances := 1
	if b.Instances != nil {
		instances = b.Instances()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.services[r.Service]
	first, second := preferredEndpoints(list, r, now)
	probability := min(sampleProbability(len(list), instances), 1)
	candidates := make([]Candidate, 0, len(list))
	for _, s := range list {
		// The cost of failures is brought up to date when it is computed.
		fault := s.fault
		choice := b.estimate(s, r, now)
		c := Candidate{
			Endpoint: s.ID, Domain: s.Domain, Region: s.region, Excluded: s.excluded(r, now), Chance: probability, Cold: s.isCold(now),
			Cost: b.cost(s, choice, r, affinityFactor(s, first, second), now), Expected: ms(choice.Expected), Wait: ms(choice.Wait),
			Missing: choice.MissingTokens, Runs: choice.Runs, Slots: s.Slots, Listed: ageMS(s.Seen, now), Reported: ageMS(s.reportedAt, now),
		}
		s.fault = fault
		if s == first || s == second || s.cachesAllShared(r, now) {
			c.Chance = 1
		}
		c.Chance *= min(s.warmShare(now), 1)
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b Candidate) int {
		if (a.Excluded == "") != (b.Excluded == "") {
			return cmp.Compare(len(a.Excluded), len(b.Excluded))
		}
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return candidates
}

// Weigh returns the endpoint that Choose would return for a request if it compared all of them but those that it
// leaves out for most requests right after they were cold, or false if none can be chosen. Nothing changes by the call.
func (b *Balancer) Weigh(r Request, now time.Time) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.services[r.Service]
	first, second := preferredEndpoints(list, r, now)
	var best, near Choice
	found, nearFound := false, false
	least, nearLeast := math.Inf(1), math.Inf(1)
	consider := func(s *endpointState) {
		fault := s.fault
		c := b.estimate(s, r, now)
		cost := b.cost(s, c, r, affinityFactor(s, first, second), now)
		s.fault = fault
		if cost < least {
			best, least, found = c, cost, true
		}
		if c.Wait <= r.MaxWait && cost < nearLeast {
			near, nearLeast, nearFound = c, cost, true
		}
	}
	var justWarm []*endpointState
	for _, s := range list {
		switch {
		case s.excluded(r, now) != "":
		case s.warmShare(now) < 0.5:
			justWarm = append(justWarm, s)
		default:
			consider(s)
		}
	}
	if !found || r.MaxWait > 0 && best.Wait > r.MaxWait && !nearFound {
		for _, s := range justWarm {
			consider(s)
		}
	}
	if !found {
		return Choice{}, false
	}
	chosen := b.weigh(best, near, nearFound, r, now)
	chosen.Cold = chosen.state.isCold(now)
	return chosen, true
}

// excluded returns why the endpoint cannot be chosen for a request, as in Candidate.
func (s *endpointState) excluded(r Request, now time.Time) string {
	switch reason := s.unavailability(now); {
	case !s.usable(now), r.Warm && reason == UnavailableCold:
		return string(reason)
	case !s.inRegions(r.Regions):
		return ExcludedElsewhere
	case slices.Contains(r.Avoid, s.ID):
		return ExcludedAvoided
	}
	return ""
}

// ageMS returns the age of what happened at a time, negative if it never did.
func ageMS(at, now time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return ms(now.Sub(at))
}
