package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times and numbers of playMany.
const (
	manyDeadly  = 40
	manyPause   = 1500 * time.Millisecond // between the first attempts of two deadly requests
	manySecond  = 700 * time.Millisecond  // from the first to the second attempt of one
	manyThird   = 2 * time.Second         // from the first to the third
	manyAgain   = 4 * time.Second         // between further ones
	manyTail    = 20 * time.Second
	manySoundS  = 40
	manyEvents  = 20
	manyEngines = 12
	entryExpiry = 3600 * time.Millisecond
)

// Times and numbers of playLong.
const (
	longDeadly  = 40
	longParts   = 60
	longSoundS  = 150
	longEvents  = 3
	longFirst   = 150 * time.Millisecond
	longTimeout = 2500 * time.Millisecond // of the route
	longGrace   = 500 * time.Millisecond  // after it
	longTokens  = 2368
	minHeld     = 8
)

// manyOptions are what playMany and playLong differ in.
type manyOptions struct {
	config    string // data file
	deadly    int    // number of deadly requests
	soundPerS int
	parts     int // of each prompt
	tokens    int
	events    int
	firstTime time.Duration
	deadline  time.Duration
	patience  time.Duration
}

// deadlyRequest is a request that crashes the engines that run it.
type deadlyRequest struct {
	attempts []string    // IDs, in order
	crashes  []time.Time // of engines that it reached
}

// manyRun is what the stand-ins saw.
type manyRun struct {
	manyOptions
	mu       sync.Mutex
	crashes  int
	engines  int
	sentAt   map[string]time.Time
	endedAt  map[string]time.Time
	arrived  map[string]string // engines that deadly attempts reached, by ID
	begun    map[string]bool
	whole    map[string]bool
	requests []deadlyRequest
	owner    map[string]int // indexes of deadly requests, by the ID of an attempt
}

// playMany has clients send many different requests, one after the other, each of which crashes its engine and comes
// again, beside sound ones. An engine that has crashed does not return; another one takes its place 3 s later.
func playMany(b *bed, trouble bool) (bool, error) {
	r := &manyRun{manyOptions: manyOptions{
		config: "engines.tmpl", deadly: manyDeadly, soundPerS: manySoundS, parts: 3, tokens: soundTokens, events: manyEvents,
		deadline: 12 * time.Second, patience: 12 * time.Second,
	}}
	if err := r.play(b, trouble); err != nil {
		return false, err
	}
	return r.judgeRepeats(b), nil
}

// playLong does so with more sound requests and with prompts of many parts, as long conversations have.
func playLong(b *bed, trouble bool) (bool, error) {
	r := &manyRun{manyOptions: manyOptions{
		config: "tags.tmpl", deadly: longDeadly, soundPerS: longSoundS, parts: longParts, tokens: longTokens, events: longEvents,
		firstTime: longFirst, deadline: longTimeout, patience: 2 * longTimeout,
	}}
	if n, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		r.parts = n
	}
	if err := r.play(b, trouble); err != nil {
		return false, err
	}
	r.judgeRepeats(b)
	return r.judgeHeld(b), nil
}

func (r *manyRun) play(b *bed, trouble bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if n, err := strconv.Atoi(os.Getenv("REQUESTS")); err == nil {
		r.deadly = n
	}
	r.sentAt, r.endedAt, r.arrived = map[string]time.Time{}, map[string]time.Time{}, map[string]string{}
	r.begun, r.whole, r.owner = map[string]bool{}, map[string]bool{}, map[string]int{}
	r.requests = make([]deadlyRequest, r.deadly)
	for n := range manyEngines {
		if err := r.addEngine(ctx, b, []string{"tartu", "viljandi", "polva"}[n%3], trouble); err != nil {
			return err
		}
	}
	text, err := b.fill(r.config, nil)
	if err != nil {
		return err
	}
	if _, err := b.store.put(b.names.OperatorTopic, b.names.ConfigKey, text); err != nil {
		return err
	}
	if err := b.addFronts("tartu", "tartu", "viljandi", "polva"); err != nil {
		return err
	}
	if err := b.startFronts(); err != nil {
		return err
	}
	time.Sleep(stableTime + time.Second)
	var wait sync.WaitGroup
	end := time.Now().Add(time.Duration(r.deadly)*manyPause + manyTail)
	wait.Go(func() {
		tick := time.NewTicker(time.Second / time.Duration(r.soundPerS))
		defer tick.Stop()
		for n := 0; time.Now().Before(end); n++ {
			<-tick.C
			wait.Go(func() { r.send(b, b.fronts[n%len(b.fronts)], "/chat/7", r.prompt(0x30000000, n), -1) })
		}
	})
	for k := range r.requests {
		wait.Go(func() { r.repeat(b, k, end) })
		time.Sleep(manyPause)
	}
	wait.Wait()
	return nil
}

// prompt returns the parts of the prompt of a session: the first is that of all, the others are its own.
func (r *manyRun) prompt(first, session int) string {
	var s strings.Builder
	s.WriteString("00c0ffee:119")
	each := (r.tokens - 119) / (r.parts - 1)
	for i := 1; i < r.parts; i++ {
		fmt.Fprintf(&s, ",%08x:%d", first+session*100+i, each)
	}
	return s.String()
}

// addEngine starts an engine under a new ID and at a new address.
func (r *manyRun) addEngine(ctx context.Context, b *bed, zone string, trouble bool) error {
	r.mu.Lock()
	r.engines++
	e := &engine{bed: b, ID: fmt.Sprintf("i-e%d", r.engines), Zone: zone, events: r.events, firstTime: r.firstTime}
	r.mu.Unlock()
	if trouble {
		e.deadlyPath = deadlyPath
	}
	e.onArrival = func(id string, deadly bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if deadly {
			r.arrived[id] = e.ID
		}
	}
	e.onBegin = func(id string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.begun[id] = true
	}
	e.onCrash = func(name string) {
		r.mu.Lock()
		r.crashes++
		crashes, now := r.crashes, time.Now()
		for id, at := range r.arrived {
			if d := &r.requests[r.owner[id]]; at == name {
				d.crashes = append(d.crashes, now)
				b.log("engine %s crashes (%d so far), it had request %d", name, crashes, r.owner[id]+1)
			}
		}
		r.mu.Unlock()
		// Its record expires, and another engine takes its place.
		time.AfterFunc(entryExpiry, func() { _, _ = b.store.put(b.names.ServersTopic, name, "") })
		time.AfterFunc(engineDown, func() {
			if err := r.addEngine(ctx, b, zone, trouble); err != nil {
				b.fail(fmt.Errorf("no engine in place of %s: %w", name, err))
			}
		})
	}
	if err := e.start(); err != nil {
		return err
	}
	go e.beats(ctx)
	return nil
}

// repeat sends the attempts of a deadly request, each at the next process.
func (r *manyRun) repeat(b *bed, k int, end time.Time) {
	begin := time.Now()
	at := begin
	for attempt := 0; at.Before(end); attempt++ {
		time.Sleep(time.Until(at))
		r.send(b, b.fronts[(k+attempt)%len(b.fronts)], fmt.Sprintf("%s-%d", deadlyPath, k+1), r.prompt(0x20000000, k), k)
		switch attempt {
		case 0:
			at = begin.Add(manySecond)
		case 1:
			at = begin.Add(manyThird)
		default:
			at = at.Add(manyAgain)
		}
	}
}

// send sends one attempt; k is the index of the deadly request, -1 for a sound one.
func (r *manyRun) send(b *bed, f *front, path, prefix string, k int) {
	id := fmt.Sprintf("%016x", b.nextID.Add(1))
	r.mu.Lock()
	r.sentAt[id] = time.Now()
	if k >= 0 {
		r.owner[id] = k
		r.requests[k].attempts = append(r.requests[k].attempts, id)
	}
	r.mu.Unlock()
	status, events, err := b.chatWithin(r.deadline, r.patience, f, path, id, prefix, r.tokens)
	r.mu.Lock()
	r.endedAt[id] = time.Now()
	r.whole[id] = err == nil && status == http.StatusOK && events == r.events
	server := r.arrived[id]
	r.mu.Unlock()
	if k >= 0 || status != http.StatusOK || err != nil {
		b.log("request %s, %s, to %s: reached %q, status %d, %d events, error %v", id, path, f.Name, server, status, events, err)
	}
}

// judgeRepeats counts the requests that reach engines although they have crashed three. No process was disturbed, so
// that all are in touch.
func (r *manyRun) judgeRepeats(b *bed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken, worst := 0, 0
	for k, d := range r.requests {
		late := 0
		slices.SortFunc(d.crashes, time.Time.Compare)
		for _, id := range d.attempts[min(1, len(d.attempts)):] {
			if r.arrived[id] != "" && len(d.crashes) >= 3 && r.sentAt[id].After(d.crashes[2].Add(stableTime)) {
				late++
			}
		}
		reached := 0
		for _, id := range d.attempts {
			if r.arrived[id] != "" {
				reached++
			}
		}
		b.log("request %d: %d attempts, %d reached an engine, %d crashes, %d repeats reached one that were sent later than %v after the third crash (%d are allowed)",
			k+1, len(d.attempts), reached, len(d.crashes), late, stableTime, maxRetries)
		worst = max(worst, late)
		if late > maxRetries {
			broken++
		}
	}
	cut, sound := 0, 0
	for id := range r.begun {
		if !r.whole[id] {
			cut++
		}
	}
	for id := range r.sentAt {
		if _, deadly := r.owner[id]; !deadly {
			sound++
		}
	}
	b.log("%d crashes; %d of %d requests that crash engines broke the rule on repeats, the worst with %d; of %d sound requests %d began and got no whole answer",
		r.crashes, broken, len(r.requests), worst, sound, cut)
	return broken > 0
}

// judgeHeld counts the sound requests that are unanswered at the timeout of their route and after longGrace more.
func (r *manyRun) judgeHeld(b *bed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	unanswered, held, never := 0, 0, 0
	for id, sent := range r.sentAt {
		if _, deadly := r.owner[id]; deadly {
			continue
		}
		took := r.endedAt[id].Sub(sent)
		if took > longTimeout {
			unanswered++
		}
		if took > longTimeout+longGrace {
			held++
		}
		if took >= r.patience {
			never++
		}
	}
	b.log("sound requests that were unanswered at the timeout of their route, %v: %d; %v later: %d; when their client left after %v: %d",
		longTimeout, unanswered, longGrace, held, r.patience, never)
	return held >= minHeld && 2*held > unanswered
}
