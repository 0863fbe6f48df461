package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/gap"
	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	meanTokens          = 60 // mean tokens of an answer, lognormal distribution
	sigmaTokens         = 0.8
	maxTokens           = 600
	modelLoadFactor     = 1.15 // offered load divided by the capacity of the engines
	plainCallsPerSecond = 30   // calls to the plain service
	floodFactor         = 4    // offered load of the flooding kind divided by the same capacity
	sampleInterval      = 20 * time.Millisecond
	progressInterval    = time.Second
	// answerTimeout is how long callers wait for answers after Options.Length.
	answerTimeout = 60 * time.Second
)

// loadGenerator simulates the callers of a demo and counts the outcomes of their
// requests.
type loadGenerator struct {
	site     *Site
	options  Options
	balancer *balancer
	client   *http.Client

	mu                sync.Mutex
	meter             *gap.Meter
	counts            Report
	refused           map[string]bool // idempotency keys of refused plain calls
	keys              []string
	pending           int
	servedBeforeFlood map[string]float64 // tokens served by kind until the flood begins
	servedByFloodEnd  map[string]float64 // tokens served by kind until the flood ends
}

func newLoadGenerator(site *Site, o Options) *loadGenerator {
	return &loadGenerator{
		site: site, options: o, balancer: newBalancer(site), meter: gap.New(), refused: map[string]bool{},
		client: site.Client(),
	}
}

// request is a request that a caller sends at a set time.
type request struct {
	at       time.Duration
	customer int
	kind     string
	tokens   int // tokens of the answer; 0 for a call to the plain service
	number   int
}

// arrivals generates all requests of the demo, as Poisson processes from the seed.
func (l *loadGenerator) arrivals() []request {
	rng := rand.New(rand.NewPCG(l.options.Seed, 1))
	capacity := float64(engineCount*l.site.EngineSlots) * l.site.TokenRate
	var all []request
	draw := func(perSecond float64, from, to time.Duration, newRequest func(at time.Duration) request) {
		for at := from.Seconds(); ; {
			at += rng.ExpFloat64() / perSecond
			if at >= to.Seconds() {
				return
			}
			all = append(all, newRequest(time.Duration(at*float64(time.Second))))
		}
	}
	prompt := func(kind string) func(at time.Duration) request {
		return func(at time.Duration) request {
			k := kind
			if k == "" {
				k = kinds[rng.IntN(len(kinds))]
			}
			tokens := math.Exp(math.Log(meanTokens) - sigmaTokens*sigmaTokens/2 + sigmaTokens*rng.NormFloat64())
			return request{at: at, customer: pickCustomer(rng), kind: k, tokens: int(min(max(tokens, 1), maxTokens))}
		}
	}
	draw(modelLoadFactor*capacity/meanTokens, 0, l.options.Length, prompt(""))
	draw(plainCallsPerSecond, 0, l.options.Length, func(at time.Duration) request {
		return request{at: at, customer: pickCustomer(rng), kind: kinds[rng.IntN(len(kinds))]}
	})
	if l.options.Flood != "" {
		draw(floodFactor*capacity/meanTokens, l.options.Length/4, 3*l.options.Length/4, prompt(l.options.Flood))
	}
	for i := range all {
		all[i].number = i
	}
	return all
}

// pickCustomer selects a customer at random. Half of the requests go to the large
// customers alone, the other half evenly to all.
func pickCustomer(rng *rand.Rand) int {
	if rng.IntN(2) == 0 {
		return rng.IntN(largeCustomerCount)
	}
	return rng.IntN(customerCount)
}

// run sends all requests at their arrival times and waits for the answers.
func (l *loadGenerator) run(ctx context.Context, out io.Writer) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Length+answerTimeout)
	defer cancel()
	started := time.Now()
	stop := make(chan struct{})
	var observer sync.WaitGroup
	observer.Go(func() { l.observe(out, started, stop) })
	var callers sync.WaitGroup
	for _, r := range l.arrivals() {
		callers.Go(func() {
			time.Sleep(time.Until(started.Add(r.at)))
			l.send(ctx, r)
		})
	}
	callers.Wait()
	close(stop)
	observer.Wait()
}

// observe samples the fairness gap and the idle share and prints the progress until stop
// is closed.
func (l *loadGenerator) observe(out io.Writer, started time.Time, stop <-chan struct{}) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	last, printed := started, started
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			l.sample(now.Sub(last), now.Sub(started))
			last = now
			if now.Sub(printed) >= progressInterval {
				printed = now
				l.progress(out, now.Sub(started))
			}
		}
	}
}

func (l *loadGenerator) sample(elapsed, sinceStart time.Duration) {
	busy := 0
	for _, e := range l.site.ModelEngines {
		busy += e.Running()
	}
	slots := engineCount * l.site.EngineSlots
	l.mu.Lock()
	defer l.mu.Unlock()
	if sinceStart <= l.options.Length {
		l.meter.Observe()
		l.meter.Idle(elapsed.Seconds(), max(0, slots-busy), slots)
	}
	if sinceStart >= l.options.Length/4 && l.servedBeforeFlood == nil {
		l.servedBeforeFlood = l.servedByKind()
	}
	if sinceStart >= l.options.Length*3/4 && l.servedByFloodEnd == nil {
		l.servedByFloodEnd = l.servedByKind()
	}
}

func (l *loadGenerator) servedByKind() map[string]float64 {
	units := map[string]float64{}
	for _, k := range kinds {
		units[k] = l.meter.Kind(k)
	}
	return units
}

func (l *loadGenerator) progress(out io.Writer, sinceStart time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	fmt.Fprintf(out, "%4.0f s: sent %d answered %d refused %d unknown %d waiting %d gap %.0f idle %.2f%%\n",
		sinceStart.Seconds(), c.Sent, c.Answered, c.Refused, c.Unknown, l.pending, l.meter.Gap(), 100*l.meter.IdleFraction())
}

func (l *loadGenerator) updateCounts(f func(r *Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

func (l *loadGenerator) send(ctx context.Context, r request) {
	l.updateCounts(func(c *Report) { c.Sent++ })
	l.mu.Lock()
	l.pending++
	l.mu.Unlock()
	if r.tokens == 0 {
		l.sendPlain(ctx, r)
	} else {
		l.sendPrompt(ctx, r)
	}
	l.mu.Lock()
	l.pending--
	l.mu.Unlock()
}

func (l *loadGenerator) post(ctx context.Context, r request, path, key string, body []byte) (*http.Response, error) {
	address, err := l.balancer.pick(ctx, r.number)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", fmt.Sprintf("Bearer key-%d", r.customer))
	req.Header.Set("Kind", r.kind)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
		// Prevents the transport from retrying the call on its own, which would
		// distort the counts.
		req.GetBody = nil
	}
	return l.client.Do(req)
}

// sendPlain sends a call to the plain service that must not be executed twice.
func (l *loadGenerator) sendPlain(ctx context.Context, r request) {
	key := fmt.Sprintf("order-%d", r.number)
	l.mu.Lock()
	l.keys = append(l.keys, key)
	l.mu.Unlock()
	resp, err := l.post(ctx, r, "/portal/orders", key, []byte(key))
	if err != nil {
		l.updateCounts(func(c *Report) { c.Lost++ })
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		l.updateCounts(func(c *Report) { c.Cut++ })
		return
	}
	outcome := outcomeOf(resp)
	if outcome == fleet.OutcomeRefused {
		l.mu.Lock()
		l.refused[key] = true
		l.mu.Unlock()
	}
	correct := strings.Contains(string(body), fmt.Sprintf(`"bytes":%d`, len(key)))
	l.countOutcome(outcome, correct)
}

func outcomeOf(resp *http.Response) fleet.Outcome {
	if v := resp.Trailer.Get("Outcome"); v != "" {
		return fleet.Outcome(v)
	}
	return fleet.Outcome(resp.Header.Get("Outcome"))
}

// countOutcome counts an answer. correct reports whether an answer with outcome "ran"
// belongs to the caller's own request.
func (l *loadGenerator) countOutcome(outcome fleet.Outcome, correct bool) {
	l.updateCounts(func(c *Report) {
		switch {
		case outcome == fleet.OutcomeRefused:
			c.Refused++
		case outcome == fleet.OutcomeUnknown:
			c.Unknown++
		case outcome == fleet.OutcomeRan && correct:
			c.Answered++
		default:
			c.Lost++
		}
	})
}

// sendPrompt sends a prompt to a model engine and reads the streamed answer.
func (l *loadGenerator) sendPrompt(ctx context.Context, r request) {
	name := fmt.Sprintf("c%d", r.customer)
	prompt := fmt.Sprintf("customer %d asks question %d", r.customer, r.number)
	body, err := json.Marshal(standin.Prompt{Prompt: prompt, Tokens: r.tokens})
	if err != nil {
		panic(err)
	}
	l.mu.Lock()
	l.meter.Arrive(name)
	l.mu.Unlock()
	var once sync.Once
	stopWaiting := func() {
		l.mu.Lock()
		l.meter.Leave(name)
		l.mu.Unlock()
	}
	defer once.Do(stopWaiting)
	resp, err := l.post(ctx, r, "/model/generate", "", body)
	if err != nil {
		l.updateCounts(func(c *Report) { c.Lost++ })
		return
	}
	defer resp.Body.Close()
	answer := &standin.AnswerReader{Prompt: standin.Prompt{Prompt: prompt, Tokens: r.tokens}}
	err = readStream(resp.Body, answer, func(tokens int) {
		once.Do(stopWaiting)
		l.mu.Lock()
		l.meter.Serve(name, r.kind, float64(tokens))
		l.mu.Unlock()
	})
	if err != nil {
		l.updateCounts(func(c *Report) { c.Cut++ })
		return
	}
	l.countOutcome(outcomeOf(resp), answer.Err() == nil)
}

// readStream reads an answer and calls onTokens with the number of tokens that have arrived since
// the last call.
func readStream(body io.Reader, answer *standin.AnswerReader, onTokens func(tokens int)) error {
	buf := make([]byte, 4<<10)
	for {
		before := answer.Tokens()
		n, err := body.Read(buf)
		_, _ = answer.Write(buf[:n])
		if tokens := answer.Tokens() - before; tokens > 0 {
			onTokens(tokens)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
