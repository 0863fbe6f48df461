package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Request describes a request as far as the choice of an endpoint depends on it.
type Request struct {
	Service string
	// Shared lists the parts of the prompt that other requests may have in
	// common with this one, in order.
	Shared []fleet.PromptPart
	// AffinityKey is the same for requests that should run at the same
	// endpoints because they share a prompt; zero means that there is none.
	AffinityKey uint64
	// Tokens is the length of the whole prompt. One that is shorter than its shared parts
	// counts as long as these.
	Tokens int
	// Events is the expected number of events in the response; zero means not
	// known.
	Events float64
	// Stream is set if the response is a stream of events, so that the time to
	// its first event counts rather than the time to the whole response.
	Stream bool
	// TargetLatency is the longest time to the first event or the response that
	// counts as on time; zero means that none is set.
	TargetLatency time.Duration
	// BodyBytes is the length of the body: large ones are spread.
	BodyBytes int64
	// MaxWait is the longest wait before its own work begins for which the request
	// is admitted; zero means that there is no limit.
	MaxWait time.Duration
	// Shortage is the probability that time of an endpoint which becomes free is taken at once by a
	// request that is refused otherwise.
	Shortage float64
	// Avoid lists the IDs of endpoints that failed the request or refused it.
	Avoid []string
	// Warm is set if cold endpoints are not to be chosen.
	Warm bool
	// Regions lists the regions whose endpoints may get the request; nil means all, a list
	// that is empty but not nil none.
	Regions []string
}

// Choice is an endpoint chosen for a request.
type Choice struct {
	Endpoint Endpoint
	// Expected is the estimated time to the first event or the response.
	Expected time.Duration
	// Wait is the part of Expected before the request's own work begins.
	Wait time.Duration
	// LeastWait is the shortest wait at the endpoints that were compared.
	LeastWait time.Duration
	// Weighing is how the cached tokens were weighed against the wait.
	Weighing Weighing
	// Pressure is the probability that the time of an endpoint of the service is needed
	// by others.
	Pressure float64
	// MissingTokens is how many tokens of shared parts the endpoint has not
	// cached and has to process.
	MissingTokens int
	// Runs is the estimated number of requests at the endpoint, without this
	// one.
	Runs float64
	// LoadAge is the time since the endpoint last reported its load; zero if
	// it never did.
	LoadAge time.Duration
	// HostSlowdown is how many times longer than usual work takes on the
	// endpoint's machine, as last reported.
	HostSlowdown float64
	// Listed is how many endpoints the service has, Usable how many of them
	// could be chosen.
	Listed, Usable int

	// Tokens is how many prompt tokens the endpoint has to process,
	// MissingTokens included.
	Tokens int
	// Cold is set if the endpoint is cold: the request needs a start that the home of the
	// endpoint grants.
	Cold bool
	// StartUntil is the end of the time in which a start that was granted may be used; zero
	// means that there is none.
	StartUntil time.Time

	state *endpointState
}

const (
	// cacheMissWeight is the weight of the time for processing shared parts that
	// the endpoint has not cached, relative to waiting time: this work, which
	// another endpoint may have done already, delays all requests at the endpoint.
	cacheMissWeight = 7.0
	// lateWeight is the additional weight of the expected time beyond the
	// fraction lateFraction of the target latency.
	lateWeight   = 4.0
	lateFraction = 0.6
	// streamTimeWeight is the weight of the time that a stream takes after its
	// first event.
	streamTimeWeight = 0.05
	// crossDomainCost is what an endpoint in another failure domain costs: the
	// round trip and the bytes between domains.
	crossDomainCost = 6 * time.Millisecond
	// firstPreferredFactor and secondPreferredFactor are the fractions of the missing
	// tokens that count at the two preferred endpoints of an affinity key, so
	// that instances which do not know yet where its parts are cached choose alike.
	firstPreferredFactor  = 0.75
	secondPreferredFactor = 0.85
)

func affinityFactor(s, first, second *endpointState) float64 {
	switch s {
	case first:
		return firstPreferredFactor
	case second:
		return secondPreferredFactor
	}
	return 1
}

// Choose returns the endpoint with the least cost for a request, or false if none is
// usable. It compares the preferred endpoints of the request, those that have cached all
// its shared parts, and a random sample of the others. If the wait is too long there, it returns
// the one with the least cost among those where it is not, provided that this is worth the prompt
// tokens that are read again.
func (b *Balancer) Choose(r Request, now time.Time) (Choice, bool) {
	instances := 1
	if b.Instances != nil {
		// Called before locking: it may take a lock whose holder calls the
		// balancer.
		instances = b.Instances()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = instances
	list := b.services[r.Service]
	first, second := preferredEndpoints(list, r, now)
	m := b.latencyModel(r.Service)
	best, found := Choice{}, false
	near, nearFound := Choice{}, false // of those with an admitted wait
	least, nearLeast := math.Inf(1), math.Inf(1)
	leastWait := time.Duration(math.MaxInt64)
	usable := 0
	probability := sampleProbability(len(list), instances)
	offset := 0
	if len(list) > 0 {
		// The first one is always compared, and must not be the same for all.
		offset = rand.IntN(len(list))
	}
	var justWarm []*endpointState // left out because they were cold until lately
	for i := range list {
		s := list[(i+offset)%len(list)]
		if !s.usable(now) || !s.inRegions(r.Regions) || slices.Contains(r.Avoid, s.ID) || r.Warm && s.isCold(now) {
			continue
		}
		usable++
		if share := s.warmShare(now); share < 1 && rand.Float64() >= share {
			justWarm = append(justWarm, s)
			continue
		}
		sampled := !found || rand.Float64() <= probability
		if !sampled && s != first && s != second && !s.cachesAllShared(r, now) {
			continue
		}
		c := b.estimate(s, r, now)
		if sampled {
			m.utilization.add(c.Wait, now)
		}
		leastWait = min(leastWait, c.Wait)
		cost := b.cost(s, c, r, affinityFactor(s, first, second), now)
		if cost < least {
			best, least, found = c, cost, true
		}
		if r.MaxWait > 0 && c.Wait <= r.MaxWait && cost < nearLeast {
			near, nearLeast, nearFound = c, cost, true
		}
	}
	if len(justWarm) > 0 && (!found || r.MaxWait > 0 && best.Wait > r.MaxWait && !nearFound) {
		s := justWarm[rand.IntN(len(justWarm))]
		c := b.estimate(s, r, now)
		leastWait = min(leastWait, c.Wait)
		if !found {
			best, found = c, true
		} else if c.Wait <= r.MaxWait {
			best = c
		}
	}
	best = b.weigh(best, near, nearFound, r, now)
	best.Listed, best.Usable = len(list), usable
	if found {
		best.Cold = best.state.isCold(now)
		best.LeastWait = leastWait
	}
	if found && !best.state.reportedAt.IsZero() {
		best.LoadAge = now.Sub(best.state.reportedAt)
		best.HostSlowdown = best.state.currentHostSlowdown(now)
	}
	return best, found
}

// preferredEndpoints returns the two preferred endpoints of a request's affinity key, by
// rendezvous hashing, so that all instances choose alike without communicating. Both are
// nil without an affinity key.
func preferredEndpoints(list []*endpointState, r Request, now time.Time) (first, second *endpointState) {
	if r.AffinityKey == 0 {
		return nil, nil
	}
	var top, next uint64
	for _, s := range list {
		if !s.usable(now) || !s.inRegions(r.Regions) {
			continue
		}
		switch h := mix(s.hash ^ r.AffinityKey); {
		case first == nil || h > top:
			second, next = first, top
			first, top = s, h
		case second == nil || h > next:
			second, next = s, h
		}
	}
	return first, second
}

// sampleProbability returns the probability with which Choose considers an endpoint that
// is not a preferred one of the request and has not cached its shared parts. Instances
// learn with a delay what others send: if all of them considered all endpoints, they would
// all choose the same one at the same time.
func sampleProbability(endpoints, instances int) float64 {
	if endpoints == 0 {
		return 1
	}
	samples := max(float64(endpoints)*sampleFactor/float64(max(instances, 1)), minSamples)
	return samples / float64(endpoints)
}

const (
	// sampleFactor is the number of samples that all instances together take,
	// as a multiple of the number of endpoints.
	sampleFactor = 4
	// minSamples is the least number of endpoints to consider: two random ones
	// are enough to keep the queues of the endpoints about equally long.
	minSamples = 3
)

// cachesAllShared reports whether an endpoint has cached all shared parts of a request.
func (s *endpointState) cachesAllShared(r Request, now time.Time) bool {
	return len(r.Shared) > 0 && s.cache.cachedTokens(r.Shared, now) == tokenCount(r.Shared)
}

func (b *Balancer) estimate(s *endpointState, r Request, now time.Time) Choice {
	runs, tokens := b.totalWork(s, now)
	slowdown := s.currentSlowdown(now)
	shared := tokenCount(r.Shared)
	cached := s.cache.cachedTokens(r.Shared, now)
	c := Choice{Endpoint: s.Endpoint, state: s, Runs: runs, MissingTokens: shared - cached, Tokens: max(r.Tokens, shared) - cached}
	own := s.model.baseMS + float64(c.Tokens)/s.model.tokensPerMS
	c.Wait = s.wait(runs, tokens, slowdown, now)
	c.Expected = c.Wait + time.Duration(own*slowdown*float64(time.Millisecond))
	return c
}

// wait returns how long a new request would wait at an endpoint with this work and this
// slowdown before its own work begins there.
func (s *endpointState) wait(runs, tokens, slowdown float64, now time.Time) time.Duration {
	m := s.model
	wait := tokens / m.tokensPerMS
	if tokens > 0 || runs >= float64(s.Slots)/2 {
		// At an endpoint without queued work, the delays seen at other endpoints
		// do not count.
		wait += max(m.currentBias(now), 0)
	}
	if over := runs + 1 - float64(max(s.Slots, 1)); over > 0 {
		wait += over * m.requestMS / float64(max(s.Slots, 1))
	}
	return time.Duration(wait * slowdown * float64(time.Millisecond))
}

func tokenCount(parts []fleet.PromptPart) int {
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
	}
	return tokens
}

// cost returns the cost of a choice, in milliseconds. The missing tokens are multiplied by
// factor.
func (b *Balancer) cost(s *endpointState, c Choice, r Request, factor float64, now time.Time) float64 {
	m := s.model
	cost := ms(c.Expected)
	cost += cacheMissWeight * factor * float64(c.MissingTokens) / m.tokensPerMS
	if s.Domain != b.LocalDomain {
		cost += ms(crossDomainCost)
	}
	if late := lateFraction * ms(r.TargetLatency); r.TargetLatency > 0 && ms(c.Expected) > late {
		cost += lateWeight * (ms(c.Expected) - late)
	}
	// Of endpoints that are otherwise equal, the one with fewer requests responds
	// sooner.
	loadCost := loadCostMS
	if c.MissingTokens > 0 {
		// Later requests with the same parts will go to the endpoint that
		// processes them first.
		loadCost = firstUseLoadCostMS
	}
	cost += c.Runs / float64(max(s.Slots, 1)) * loadCost
	if s.eventIntervalMS > 0 {
		cost += streamTimeWeight * r.Events * s.eventIntervalMS
	}
	if s.stalled(now) {
		cost += stallCostMS
	}
	return cost + s.bodyCost(r) + s.fault.cost(now)
}

// loadCostMS is what an endpoint with all slots taken costs more than an empty one, in
// milliseconds: each step of its engine takes longer for all requests.
// firstUseLoadCostMS takes its place if the endpoint has not cached all shared parts of the
// request.
const (
	loadCostMS         = 40.0
	firstUseLoadCostMS = 160.0
)

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
