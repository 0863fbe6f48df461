package placement

import (
	"math"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Run is a request at an endpoint. RecordFirst and End are called from one goroutine.
type Run struct {
	balancer    *Balancer
	state       *endpointState
	tokens      int
	bodyBytes   int64 // of a large body
	sentAt      time.Time
	startUntil  time.Time // end of the time in which the request may be sent to a cold endpoint
	tokensAhead float64   // prompt tokens of earlier requests still to be processed at sentAt
	unary       bool      // the response is not a stream of events
	started     bool      // the first event or the response has arrived, or the request has ended
	streaming   bool      // the first event of a stream has arrived, and the request has not ended
	ended       bool
	expectedMS  float64 // milliseconds to the first event or the response, without the endpoint's slowdown
	// hostSlowdown is that of the endpoint's machine when the request was sent.
	hostSlowdown float64
	lagging      bool // the process was behind when the request was sent
}

// Begin records that a request is sent to the endpoint of a choice. If the endpoint has become
// unavailable since it was chosen, Begin returns no run but the reason, and the request must not
// be sent there.
func (b *Balancer) Begin(c Choice, r Request, now time.Time) (*Run, Unavailability) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := c.state
	if reason := s.unavailability(now); reason != "" && (reason != UnavailableCold || !now.Before(c.StartUntil)) {
		return nil, reason
	}
	if s.coldReported && !s.isCold(now) {
		s.coldReported = false
		b.notifyChange(s, Change{To: ConditionUp, Cause: "first request after it was cold"})
	}
	if s.quietReported {
		s.quietReported = false
		b.notifyChange(s, Change{To: ConditionUp, Cause: "first request after it was quiet"})
	}
	_, ahead := b.totalWork(s, now)
	run := &Run{
		balancer: b, state: s, startUntil: c.StartUntil, tokens: c.Tokens, bodyBytes: r.largeBody(), sentAt: now, tokensAhead: ahead, unary: !r.Stream,
		expectedMS: ms(c.Expected) / s.currentSlowdown(now), hostSlowdown: s.currentHostSlowdown(now), lagging: b.lagging(),
	}
	if s.local.Runs == 0 {
		s.lastReceived.Store(sinceEpoch(now))
	}
	s.local.Runs++
	s.local.Tokens += c.Tokens
	s.bodyBytes += run.bodyBytes
	if len(r.Shared) > 0 {
		ids := prefixHashes(r.Shared)
		if s.cache.cachedTokens(r.Shared, now) < tokenCount(r.Shared) {
			b.recordCacheFill(CacheFill{Endpoint: s.ID, PrefixHashes: ids, born: s.Born})
		}
		s.cache.markUsed(ids, now)
	}
	return run, ""
}

// Unavailability returns why no new request may be sent to the endpoint of the run now. It is
// safe for concurrent use.
func (r *Run) Unavailability(now time.Time) Unavailability {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	return r.balancer.current(r.state).unavailability(now)
}

// Permit returns why the request of the run may not be sent to the endpoint now, over a connection
// that is ready. A connection shows that the endpoint is not down, but not that it is warm. It is safe
// for concurrent use.
func (r *Run) Permit(now time.Time) Unavailability {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	s := r.balancer.current(r.state)
	switch reason := s.unavailability(now); reason {
	case "", UnavailableReturning:
		return ""
	case UnavailableCold, UnavailableDown, UnavailableSilent:
		if !s.startup.Limit.Limited() && reason != UnavailableCold || now.Before(r.startUntil) {
			return ""
		}
		return UnavailableCold
	default:
		return reason
	}
}

// MayProbe reports whether a connection to the endpoint of the run may be tried now without a
// request. It is safe for concurrent use.
func (r *Run) MayProbe(now time.Time) bool {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	return r.balancer.current(r.state).mayProbe(now)
}

// RecordHead records what the endpoint says of itself in the head of any answer on the connection
// of the run. It has to be called as soon as the head has arrived. It is safe for concurrent use.
func (r *Run) RecordHead(a fleet.ResponseAttrs, now time.Time) {
	if !a.Leaving && a.QuietFor <= 0 && a.Cold <= 0 {
		return
	}
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	if a.Leaving {
		r.balancer.recordLeaving(r.state, now)
	}
	if a.QuietFor > 0 {
		r.balancer.recordQuiet(r.state, now.Add(a.QuietFor), now)
	}
	if a.Cold > 0 {
		r.balancer.recordColdAnswer(r.state, a.Cold, now)
	}
}

// RecordData records that the endpoint has sent data. It is safe for concurrent use.
func (r *Run) RecordData(now time.Time) {
	last, silent := r.state.recordData(now)
	if !silent {
		return
	}
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	r.balancer.endSilence(r.state, last, now)
}

// RecordFirst records the first event of a stream, or the response of a service that does
// not stream. Further calls do nothing.
func (r *Run) RecordFirst(now time.Time) {
	if r.started {
		return
	}
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	if last, silent := r.state.recordData(now); silent {
		r.balancer.endSilence(r.state, last, now)
	}
	r.started = true
	r.state.local.Tokens -= r.tokens
	if !r.unary {
		r.streaming = true
		r.state.streams++
	}
	took := now.Sub(r.sentAt) - r.state.silentBetween(r.sentAt, now)
	if !r.balancer.valid(r.state, MeasurementFirst, took) {
		return
	}
	if r.lagging || r.balancer.lagging() {
		// The time was spent in this process, not at the endpoint.
		return
	}
	// What the machine does at the moment is not learned as a property of the endpoint or
	// of the service, nor is a silence.
	tookMS := ms(took) / ((r.hostSlowdown + r.state.currentHostSlowdown(now)) / 2)
	r.state.model.observeFirst(r, tookMS, now)
	slowdown := r.state.learnedSlowdown(now)
	r.state.slowdown = slowdown + slowdownGain*(min(max(tookMS/max(r.expectedMS, 1), minSlowdown), maxSlowdown)-slowdown)
	r.state.slowdownAt = now
}

// maxLearnedLag is the lag of this process up to which the times of responses say something of the
// endpoints: it is short beside the waits that admission tells apart.
const maxLearnedLag = 20 * time.Millisecond

// lagging reports whether this process is too far behind to measure times of endpoints.
func (b *Balancer) lagging() bool { return b.Lag != nil && b.Lag() > maxLearnedLag }

// RecordStream records the number of events in a stream after the first one, which came at
// from, and when they ended. Streams of fewer than minStreamEvents events are ignored.
func (r *Run) RecordStream(events int, from, to time.Time) {
	if events < minStreamEvents {
		return
	}
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	took := to.Sub(from) - r.state.silentBetween(from, to)
	if !r.balancer.valid(r.state, MeasurementInterval, took) {
		return
	}
	interval := ms(took) / float64(events)
	m := r.state.model
	m.eventIntervalMS += eventIntervalGain * (interval - m.eventIntervalMS)
	if r.state.eventIntervalMS == 0 {
		r.state.eventIntervalMS = m.eventIntervalMS
	}
	r.state.eventIntervalMS += eventIntervalGain * (interval - r.state.eventIntervalMS)
}

const (
	// minStreamEvents is the least number of events from which the interval
	// between events can be learned.
	minStreamEvents = 8
	// eventIntervalGain smooths the event interval of an endpoint over some ten
	// streams.
	eventIntervalGain = 0.1
)

// End records that the request has ended at the endpoint. Further calls do nothing.
func (r *Run) End(result Result, now time.Time) {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.state.local.Runs--
	r.state.bodyBytes -= r.bodyBytes
	if !r.started {
		r.started = true
		r.state.local.Tokens -= r.tokens
	}
	if r.streaming {
		r.streaming = false
		r.state.streams--
	}
	took := now.Sub(r.sentAt) - r.state.silentBetween(r.sentAt, now)
	if result == ResultAnswered && r.balancer.valid(r.state, MeasurementRun, took) {
		r.state.model.observeDuration(ms(took))
	}
	if result == ResultSilent && r.state.lastReceived.Load() > sinceEpoch(r.sentAt) {
		// It sends on its other connections, but accepts no new ones.
		result = ResultUnreachable
	}
	r.balancer.recordResult(r.state, result, now)
}

// sampleGain counts a sample and returns its weight: as in a mean while there are few, and least from then on.
func sampleGain(samples *int, least float64) float64 {
	*samples++
	return max(1/float64(*samples+priorSamples), least)
}

// priorSamples is how many samples the values assumed before the first count for.
const priorSamples = 10

const (
	// slowdownGain smooths an endpoint's slowdown over some twenty requests;
	// minSlowdown and maxSlowdown bound it.
	slowdownGain = 0.05
	minSlowdown  = 0.6
	maxSlowdown  = 8
)

// latencyModel holds the times that the endpoints of a service need, learned from their
// responses.
type latencyModel struct {
	baseMS          float64 // milliseconds to the first event at an endpoint without queued work
	tokensPerMS     float64 // prompt tokens processed per millisecond
	requestMS       float64 // milliseconds that a request takes in all
	eventIntervalMS float64 // milliseconds between two events of a stream
	biasMS          float64 // milliseconds by which first events come later than expected
	utilization     utilization
	// biasAt is when biasMS was last updated: it decays, since nothing new is
	// learned while all requests are refused.
	biasAt time.Time

	baseSamples, rateSamples, requestSamples int
}

const (
	// The values assumed before the first responses are those of an engine of
	// medium speed and a service that does not stream.
	initialBaseMS      = 40
	initialTokensPerMS = 90
	initialRequestMS   = 500
	// modelGain smooths the model over some fifty requests once there were as many.
	modelGain = 0.02
	// biasGain smooths the bias over some thirty requests; maxBiasMS bounds what
	// one request contributes, in milliseconds.
	biasGain  = 0.03
	maxBiasMS = 300
	// biasDecayTime and slowdownDecayTime are how long it takes the bias and an
	// endpoint's slowdown to decay to a third (1/e) when nothing is learned.
	biasDecayTime     = 2 * time.Second
	slowdownDecayTime = 5 * time.Second
	// minTokensForRate is the work, in tokens, above which the processing rate is
	// learned, maxTokensForBase that below which the base time is learned.
	minTokensForRate = 4000
	maxTokensForBase = 1500
	minTokensPerMS   = 5
	maxTokensPerMS   = 2000
)

func (b *Balancer) latencyModel(service string) *latencyModel {
	if b.latencyModels == nil {
		b.latencyModels = map[string]*latencyModel{}
	}
	m := b.latencyModels[service]
	if m == nil {
		m = &latencyModel{baseMS: initialBaseMS, tokensPerMS: initialTokensPerMS, requestMS: initialRequestMS}
		b.latencyModels[service] = m
	}
	return m
}

// observeFirst learns from the time to the first event of a run.
func (m *latencyModel) observeFirst(r *Run, tookMS float64, now time.Time) {
	m.biasMS = m.currentBias(now) + biasGain*(min(max(tookMS-r.expectedMS, -maxBiasMS), maxBiasMS)-m.currentBias(now))
	m.biasAt = now
	work := r.tokensAhead + float64(r.tokens)
	switch {
	case r.unary || work < maxTokensForBase:
		m.baseMS += sampleGain(&m.baseSamples, modelGain) * (min(tookMS, 4*m.baseMS) - m.baseMS)
	case work > minTokensForRate && tookMS > m.baseMS:
		rate := min(max(work/(tookMS-m.baseMS), minTokensPerMS), maxTokensPerMS)
		m.tokensPerMS += sampleGain(&m.rateSamples, modelGain) * (min(rate, 2*m.tokensPerMS) - m.tokensPerMS)
	}
}

// currentBias returns by how many milliseconds first events come later than expected,
// decayed since it was last updated.
func (m *latencyModel) currentBias(now time.Time) float64 {
	if m.biasAt.IsZero() {
		return 0
	}
	return m.biasMS * math.Exp(-now.Sub(m.biasAt).Seconds()/biasDecayTime.Seconds())
}

// hostSlowdownDecayTime is how long it takes a reported slowdown of an endpoint's machine to
// decay to a third (1/e): the machine is shared, and its load changes many times a second.
const hostSlowdownDecayTime = 500 * time.Millisecond

// currentSlowdown returns how many times longer than others an endpoint takes now: what its
// answers showed over some seconds, multiplied by what its machine last reported.
func (s *endpointState) currentSlowdown(now time.Time) float64 {
	return s.learnedSlowdown(now) * s.currentHostSlowdown(now)
}

// currentHostSlowdown returns how many times longer than usual work takes on the endpoint's
// machine. It decays to 1 after the last report.
func (s *endpointState) currentHostSlowdown(now time.Time) float64 {
	if s.hostSlowdown == 0 || s.hostSlowdown == 1 {
		return 1
	}
	return 1 + (s.hostSlowdown-1)*math.Exp(-now.Sub(s.hostSlowdownAt).Seconds()/hostSlowdownDecayTime.Seconds())
}

// learnedSlowdown returns how many times longer than others an endpoint takes, beside what its
// machine reports. It decays to 1 while nothing is learned.
func (s *endpointState) learnedSlowdown(now time.Time) float64 {
	if s.slowdown == 1 || s.slowdownAt.IsZero() {
		return s.slowdown
	}
	return 1 + (s.slowdown-1)*math.Exp(-now.Sub(s.slowdownAt).Seconds()/slowdownDecayTime.Seconds())
}

func (m *latencyModel) observeDuration(tookMS float64) {
	m.requestMS += sampleGain(&m.requestSamples, modelGain) * (tookMS - m.requestMS)
}
