package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Request is what placement knows about a request.
type Request struct {
	Service string
	// Shared lists the parts of the prompt that others may use, in order.
	Shared []fleet.Part
	// Subject is what the request is about; zero means nothing that lasts.
	Subject uint64
	// Tokens is the length of the whole prompt.
	Tokens int
	// Events is about how many events the answer will have; zero means not
	// known.
	Events float64
	// Stream is set when the first event counts.
	Stream bool
	// Aim is the time to the first event or the answer that is on time; zero
	// means none is set.
	Aim time.Duration
	// Avoid lists endpoints that failed the request or refused it.
	Avoid []string
}

// Choice is an endpoint for a request.
type Choice struct {
	Endpoint Endpoint
	// Expected is the estimated time to the first event or the answer.
	Expected time.Duration
	// Wait is the part of Expected before the request's own work begins.
	Wait time.Duration
	// Missing is how many tokens of shared parts the endpoint has to read.
	Missing int
	// Runs is how many requests are believed to be there already.
	Runs float64
	// Age is how long ago the endpoint last told its load.
	Age time.Duration
	// Listed is how many endpoints the service has, Usable how many of them
	// could be chosen.
	Listed, Usable int

	// Tokens is how many tokens the endpoint has to read, those of the shared
	// parts that it lacks included.
	Tokens int

	state *state
}

const (
	// readAgain weighs the time for reading a shared part that another
	// endpoint keeps against waiting: it takes from everybody's time there.
	readAgain = 7.0
	// lateWeight weighs expected time beyond lateFrom of the aim.
	lateWeight = 4.0
	lateFrom   = 0.6
	// paceWeight weighs the time that a stream takes after its first event.
	paceWeight = 0.05
	// awayCost is what another failure domain costs: the way there and back
	// and the bytes between domains.
	awayCost = 6 * time.Millisecond
	// firstHome and secondHome are the parts of the missing tokens that count
	// at the homes of a subject, so that instances which do not know yet
	// where it is kept choose alike.
	firstHome  = 0.75
	secondHome = 0.85
)

func homeWeight(s, first, second *state) float64 {
	switch s {
	case first:
		return firstHome
	case second:
		return secondHome
	}
	return 1
}

// Choose returns the best endpoint for a request, or false if there is none.
func (b *Board) Choose(r Request, now time.Time) (Choice, bool) {
	instances := 1
	if b.Instances != nil {
		// Before the lock: it may lock what calls the board.
		instances = b.Instances()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.services[r.Service]
	first, second := homes(list, r)
	best, found := Choice{}, false
	least := math.Inf(1)
	usable := 0
	part := sample(len(list), instances)
	for _, s := range list {
		if !s.usable() || slices.Contains(r.Avoid, s.ID) {
			continue
		}
		usable++
		if found && s != first && s != second && !s.holds(r, now) && rand.Float64() > part {
			continue
		}
		c := b.estimate(s, r, now)
		if cost := b.cost(s, c, r, homeWeight(s, first, second), now); cost < least {
			best, least, found = c, cost, true
		}
	}
	best.Listed, best.Usable = len(list), usable
	if found && !best.state.heard.IsZero() {
		best.Age = now.Sub(best.state.heard)
	}
	return best, found
}

// homes returns the two endpoints where a subject belongs, by rendezvous hashing,
// so that all instances choose alike without a word.
func homes(list []*state, r Request) (first, second *state) {
	if r.Subject == 0 {
		return nil, nil
	}
	var top, next uint64
	for _, s := range list {
		if !s.usable() {
			continue
		}
		switch h := mix(s.hash ^ r.Subject); {
		case first == nil || h > top:
			second, next = first, top
			first, top = s, h
		case second == nil || h > next:
			second, next = s, h
		}
	}
	return first, second
}

// sample returns the part of endpoints without the request's subject that are
// looked at. Instances know late what others send: if all looked at all endpoints,
// they would send to the same one at a time.
func sample(endpoints, instances int) float64 {
	if endpoints == 0 {
		return 1
	}
	looks := max(float64(endpoints)*samplePart/float64(max(instances, 1)), minSample)
	return looks / float64(endpoints)
}

const (
	// samplePart is by how much the looks of all instances together exceed
	// the endpoints.
	samplePart = 4
	// minSample is the least number of endpoints to look at: two random ones
	// keep queues even.
	minSample = 3
)

// holds reports whether an endpoint keeps all shared parts of a request.
func (s *state) holds(r Request, now time.Time) bool {
	return len(r.Shared) > 0 && s.kept.kept(r.Shared, now) == length(r.Shared)
}

func (b *Board) estimate(s *state, r Request, now time.Time) Choice {
	runs, _ := b.total(s, now)
	shared := length(r.Shared)
	kept := s.kept.kept(r.Shared, now)
	c := Choice{Endpoint: s.Endpoint, state: s, Runs: runs, Missing: shared - kept, Tokens: r.Tokens - kept}
	v := b.speed(s.Service)
	own := v.base + float64(c.Tokens)/v.rate
	c.Wait = b.wait(s, now)
	c.Expected = c.Wait + time.Duration(own*s.slowness(now)*float64(time.Millisecond))
	return c
}

// wait returns how long a new request would wait at an endpoint before its own work
// begins there.
func (b *Board) wait(s *state, now time.Time) time.Duration {
	runs, tokens := b.total(s, now)
	v := b.speed(s.Service)
	wait := tokens / v.rate
	if tokens > 0 || runs >= float64(s.Slots)/2 {
		// Where nothing lies ahead, what came late elsewhere does not count.
		wait += max(v.late(now), 0)
	}
	if over := runs + 1 - float64(max(s.Slots, 1)); over > 0 {
		wait += over * v.hold / float64(max(s.Slots, 1))
	}
	return time.Duration(wait * s.slowness(now) * float64(time.Millisecond))
}

func length(parts []fleet.Part) int {
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
	}
	return tokens
}

// cost weighs a choice, in milliseconds.
func (b *Board) cost(s *state, c Choice, r Request, home float64, now time.Time) float64 {
	v := b.speed(s.Service)
	cost := ms(c.Expected)
	cost += readAgain * home * float64(c.Missing) / v.rate
	if s.Domain != b.Self {
		cost += ms(awayCost)
	}
	if late := lateFrom * ms(r.Aim); r.Aim > 0 && ms(c.Expected) > late {
		cost += lateWeight * (ms(c.Expected) - late)
	}
	// Between endpoints alike the one with fewer requests answers sooner.
	spread := spreadCost
	if c.Missing > 0 {
		// The subject will come back to where it is read first.
		spread = settleCost
	}
	cost += c.Runs / float64(max(s.Slots, 1)) * spread
	if s.pace > 0 {
		cost += paceWeight * r.Events * s.pace
	}
	if s.quiet(now) {
		cost += quietCost
	}
	return cost + s.fault.cost(now)
}

// spreadCost is what a full endpoint costs beside an empty one, in milliseconds:
// each step of its engine takes longer for all.
const (
	spreadCost = 40.0
	settleCost = 160.0
)

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
