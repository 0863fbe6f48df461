package placement

import (
	"math"
	"time"
)

// Run is a request at an endpoint. First and End are called from one goroutine.
type Run struct {
	board   *Board
	state   *state
	tokens  int
	sent    time.Time
	ahead   float64
	plain   bool
	started bool
	ended   bool
	expects float64 // milliseconds, without the endpoint's slowness
}

// Begin records that a request is sent.
func (b *Board) Begin(c Choice, r Request, now time.Time) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.state
	_, ahead := b.total(s, now)
	run := &Run{board: b, state: s, tokens: c.Tokens, sent: now, ahead: ahead, plain: !r.Stream, expects: ms(c.Expected) / s.slowness(now)}
	if s.own.Runs == 0 {
		s.spoke.Store(now.UnixNano())
	}
	s.own.Runs++
	s.own.Tokens += c.Tokens
	if len(r.Shared) > 0 {
		ids := chained(r.Shared)
		if s.kept.kept(r.Shared, now) < length(r.Shared) {
			b.read(Read{Endpoint: s.ID, Chain: ids})
		}
		s.kept.mark(ids, now)
	}
	return run
}

// Heard records that the endpoint has sent something.
func (r *Run) Heard(now time.Time) { r.state.spoke.Store(now.UnixNano()) }

// First records the first event of a stream, or the answer of a plain service.
func (r *Run) First(now time.Time) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	if r.started {
		return
	}
	r.Heard(now)
	r.started = true
	r.state.own.Tokens -= r.tokens
	took := ms(now.Sub(r.sent))
	r.board.speed(r.state.Service).first(r, took, now)
	slow := r.state.slowness(now)
	r.state.slow = slow + slowGain*(min(max(took/max(r.expects, 1), minSlow), maxSlow)-slow)
	r.state.slowed = now
}

// Paced records how long a stream of events took after the first one.
func (r *Run) Paced(events int, took time.Duration) {
	if events < minPaced {
		return
	}
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	pace := ms(took) / float64(events)
	v := r.board.speed(r.state.Service)
	v.pace += paceGain * (pace - v.pace)
	if r.state.pace == 0 {
		r.state.pace = v.pace
	}
	r.state.pace += paceGain * (pace - r.state.pace)
}

const (
	// minPaced is the least number of events that says something of the pace.
	minPaced = 8
	// paceGain smooths the pace of an endpoint over some ten streams.
	paceGain = 0.1
)

// End records that the request has ended at the endpoint.
func (r *Run) End(result Result, now time.Time) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.state.own.Runs--
	if !r.started {
		r.started = true
		r.state.own.Tokens -= r.tokens
	}
	if result == ResultAnswered {
		r.board.speed(r.state.Service).held(ms(now.Sub(r.sent)))
	}
	r.board.result(r.state, result, now)
}

const (
	// slowGain smooths an endpoint's slowness over some twenty requests;
	// minSlow and maxSlow bound it.
	slowGain = 0.05
	minSlow  = 0.6
	maxSlow  = 8
)

// speed is what the endpoints of a service need, learned from answers.
type speed struct {
	base float64 // milliseconds to the first event without work ahead
	rate float64 // tokens read a millisecond
	hold float64 // milliseconds that a request takes in all
	pace float64 // milliseconds between two events of a stream
	bias float64 // milliseconds by which first events come later than expected
	// biased is when bias was learned: it fades, since nothing new is learned
	// while everybody is refused.
	biased time.Time
}

const (
	// The speeds believed before the first answers are those of a middling
	// engine and a plain service.
	firstBase = 40
	firstRate = 90
	firstHold = 500
	// speedGain smooths speeds over some fifty requests.
	speedGain = 0.02
	// biasGain smooths the error over some thirty requests; maxBias bounds
	// what one request says of it, in milliseconds.
	biasGain = 0.03
	maxBias  = 300
	// biasTerm and slowTerm are how long it takes the error and an endpoint's
	// slowness to fade to a third when nothing is learned.
	biasTerm = 2 * time.Second
	slowTerm = 5 * time.Second
	// minWork is the least work that says something of the rate, in tokens,
	// idleWork the most that leaves the base in sight.
	minWork  = 4000
	idleWork = 1500
	minRate  = 5
	maxRate  = 2000
)

func (b *Board) speed(service string) *speed {
	if b.speeds == nil {
		b.speeds = map[string]*speed{}
	}
	v := b.speeds[service]
	if v == nil {
		v = &speed{base: firstBase, rate: firstRate, hold: firstHold}
		b.speeds[service] = v
	}
	return v
}

// first learns from the time to a first event.
func (v *speed) first(r *Run, took float64, now time.Time) {
	v.bias = v.late(now) + biasGain*(min(max(took-r.expects, -maxBias), maxBias)-v.late(now))
	v.biased = now
	work := r.ahead + float64(r.tokens)
	switch {
	case r.plain || work < idleWork:
		v.base += speedGain * (min(took, 4*v.base) - v.base)
	case work > minWork && took > v.base:
		rate := min(max(work/(took-v.base), minRate), maxRate)
		v.rate += speedGain * (min(rate, 2*v.rate) - v.rate)
	}
}

// late returns by how many milliseconds first events come later than expected.
func (v *speed) late(now time.Time) float64 {
	if v.biased.IsZero() {
		return 0
	}
	return v.bias * math.Exp(-now.Sub(v.biased).Seconds()/biasTerm.Seconds())
}

// slowness returns how many times longer than others an endpoint takes.
func (s *state) slowness(now time.Time) float64 {
	if s.slow == 1 || s.slowed.IsZero() {
		return s.slow
	}
	return 1 + (s.slow-1)*math.Exp(-now.Sub(s.slowed).Seconds()/slowTerm.Seconds())
}

func (v *speed) held(took float64) { v.hold += speedGain * (took - v.hold) }
