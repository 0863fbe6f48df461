package demo

import (
	"bufio"
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
	meanTokens   = 60 // tokens of an answer, lognormal
	sigmaTokens  = 0.8
	mostTokens   = 600
	modelLoad    = 1.15 // offered over capacity
	plainRate    = 30   // plain calls a second
	floodFactor  = 4    // load of the flooding kind over the whole capacity
	meterSample  = 20 * time.Millisecond
	progressTerm = time.Second
	// answerTerm is how long callers wait after the last request was sent.
	answerTerm = 60 * time.Second
)

// load is the callers of a demo. They count what became of their requests.
type load struct {
	site     *Site
	o        Options
	balancer *balancer
	client   *http.Client

	mu      sync.Mutex
	meter   *gap.Meter
	counts  Report
	refused map[string]bool // plain keys that were refused
	keys    []string
	pending int
	before  map[string]float64 // service by kind before the flood
	after   map[string]float64 // service by kind during the flood
}

func newLoad(site *Site, o Options) *load {
	return &load{
		site: site, o: o, balancer: newBalancer(site), meter: gap.New(), refused: map[string]bool{},
		client: site.Client(),
	}
}

// request is one request that a caller is about to send.
type request struct {
	at       time.Duration
	customer int
	kind     string
	tokens   int // 0 for a plain call
	number   int
}

// requests draws all arrivals of the demo.
func (l *load) requests() []request {
	rng := rand.New(rand.NewPCG(l.o.Seed, 1))
	capacity := float64(engineCount*l.site.EngineSlots) * l.site.TokenRate
	var all []request
	draw := func(perSecond float64, from, to time.Duration, make func(at time.Duration) request) {
		for at := from.Seconds(); ; {
			at += rng.ExpFloat64() / perSecond
			if at >= to.Seconds() {
				return
			}
			all = append(all, make(time.Duration(at*float64(time.Second))))
		}
	}
	prompt := func(kind string) func(at time.Duration) request {
		return func(at time.Duration) request {
			k := kind
			if k == "" {
				k = kinds[rng.IntN(len(kinds))]
			}
			tokens := math.Exp(math.Log(meanTokens) - sigmaTokens*sigmaTokens/2 + sigmaTokens*rng.NormFloat64())
			return request{at: at, customer: pickCustomer(rng), kind: k, tokens: int(min(max(tokens, 1), mostTokens))}
		}
	}
	draw(modelLoad*capacity/meanTokens, 0, l.o.Length, prompt(""))
	draw(plainRate, 0, l.o.Length, func(at time.Duration) request {
		return request{at: at, customer: pickCustomer(rng), kind: kinds[rng.IntN(len(kinds))]}
	})
	if l.o.Flood != "" {
		draw(floodFactor*capacity/meanTokens, l.o.Length/4, 3*l.o.Length/4, prompt(l.o.Flood))
	}
	for i := range all {
		all[i].number = i
	}
	return all
}

// pickCustomer lets the large customers offer half of the load.
func pickCustomer(rng *rand.Rand) int {
	if rng.IntN(2) == 0 {
		return rng.IntN(largeCount)
	}
	return rng.IntN(customerCount)
}

// run sends all requests at their times and waits for the answers.
func (l *load) run(ctx context.Context, out io.Writer) {
	ctx, cancel := context.WithTimeout(ctx, l.o.Length+answerTerm)
	defer cancel()
	started := time.Now()
	stop := make(chan struct{})
	var watchers sync.WaitGroup
	watchers.Go(func() { l.watch(out, started, stop) })
	var callers sync.WaitGroup
	for _, r := range l.requests() {
		callers.Go(func() {
			time.Sleep(time.Until(started.Add(r.at)))
			l.send(ctx, r)
		})
	}
	callers.Wait()
	close(stop)
	watchers.Wait()
}

// watch measures the gap and the idle share and prints the progress.
func (l *load) watch(out io.Writer, started time.Time, stop <-chan struct{}) {
	tick := time.NewTicker(meterSample)
	defer tick.Stop()
	last, printed := started, started
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			l.sample(now.Sub(last), now.Sub(started))
			last = now
			if now.Sub(printed) >= progressTerm {
				printed = now
				l.progress(out, now.Sub(started))
			}
		}
	}
}

func (l *load) sample(dt, since time.Duration) {
	busy := 0
	for _, e := range l.site.Model {
		busy += e.Busy()
	}
	slots := engineCount * l.site.EngineSlots
	l.mu.Lock()
	defer l.mu.Unlock()
	if since <= l.o.Length {
		l.meter.Observe()
		l.meter.Idle(dt.Seconds(), max(0, slots-busy), slots)
	}
	if since >= l.o.Length/4 && l.before == nil {
		l.before = l.byKind()
	}
	if since >= l.o.Length*3/4 && l.after == nil {
		l.after = l.byKind()
	}
}

func (l *load) byKind() map[string]float64 {
	units := map[string]float64{}
	for _, k := range kinds {
		units[k] = l.meter.Kind(k)
	}
	return units
}

func (l *load) progress(out io.Writer, since time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	fmt.Fprintf(out, "%4.0f s: sent %d answered %d refused %d unknown %d waiting %d gap %.0f idle %.2f%%\n",
		since.Seconds(), c.Sent, c.Answered, c.Refused, c.Unknown, l.pending, l.meter.Gap(), 100*l.meter.IdleFraction())
}

func (l *load) count(f func(r *Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

func (l *load) send(ctx context.Context, r request) {
	l.count(func(c *Report) { c.Sent++ })
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

func (l *load) post(ctx context.Context, r request, path, key string, body []byte) (*http.Response, error) {
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
		// The transport must not repeat the call by itself: the demo counts.
		req.GetBody = nil
	}
	return l.client.Do(req)
}

// sendPlain makes a call that may not be repeated.
func (l *load) sendPlain(ctx context.Context, r request) {
	key := fmt.Sprintf("order-%d", r.number)
	l.mu.Lock()
	l.keys = append(l.keys, key)
	l.mu.Unlock()
	resp, err := l.post(ctx, r, "/portal/orders", key, []byte(key))
	if err != nil {
		l.count(func(c *Report) { c.Lost++ })
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		l.count(func(c *Report) { c.Cut++ })
		return
	}
	outcome := outcomeOf(resp)
	if outcome == fleet.OutcomeRefused {
		l.mu.Lock()
		l.refused[key] = true
		l.mu.Unlock()
	}
	right := strings.Contains(string(body), fmt.Sprintf(`"bytes":%d`, len(key)))
	l.settle(outcome, right)
}

func outcomeOf(resp *http.Response) fleet.Outcome {
	if v := resp.Trailer.Get("Outcome"); v != "" {
		return fleet.Outcome(v)
	}
	return fleet.Outcome(resp.Header.Get("Outcome"))
}

// settle counts an answer. Right tells whether an answer that ran is the one to
// the caller's own request.
func (l *load) settle(outcome fleet.Outcome, right bool) {
	l.count(func(c *Report) {
		switch {
		case outcome == fleet.OutcomeRefused:
			c.Refused++
		case outcome == fleet.OutcomeUnknown:
			c.Unknown++
		case outcome == fleet.OutcomeRan && right:
			c.Answered++
		default:
			c.Lost++
		}
	})
}

// sendPrompt asks a model and reads the stream.
func (l *load) sendPrompt(ctx context.Context, r request) {
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
	leave := func() {
		l.mu.Lock()
		l.meter.Leave(name)
		l.mu.Unlock()
	}
	defer once.Do(leave)
	resp, err := l.post(ctx, r, "/model/generate", "", body)
	if err != nil {
		l.count(func(c *Report) { c.Lost++ })
		return
	}
	defer resp.Body.Close()
	words, err := l.readStream(resp.Body, func() {
		once.Do(leave)
		l.mu.Lock()
		l.meter.Serve(name, r.kind, 1)
		l.mu.Unlock()
	})
	if err != nil {
		l.count(func(c *Report) { c.Cut++ })
		return
	}
	l.settle(outcomeOf(resp), rightWords(prompt, r.tokens, words))
}

func (l *load) readStream(body io.Reader, each func()) ([]string, error) {
	var words []string
	lines := bufio.NewScanner(body)
	named := false
	for lines.Scan() {
		line := lines.Text()
		if line == "" {
			named = false
		}
		named = named || strings.HasPrefix(line, "event:")
		if word, ok := strings.CutPrefix(line, "data: "); ok && !named {
			words = append(words, word)
			each()
		}
	}
	return words, lines.Err()
}

func rightWords(prompt string, tokens int, words []string) bool {
	if len(words) != tokens {
		return false
	}
	for i, word := range words {
		if word != standin.Word(prompt, i+1) {
			return false
		}
	}
	return true
}
