package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
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

// deadlyRequest is a request that crashes the engines that run it.
type deadlyRequest struct {
	attempts []string    // IDs, in order
	crashes  []time.Time // of engines that it reached
}

// manyRun is what the stand-ins saw.
type manyRun struct {
	mu      sync.Mutex
	crashes int
	engines int
	sentAt  map[string]time.Time
	arrived map[string]string // engines that deadly attempts reached, by ID
	begun   map[string]bool
	whole   map[string]bool
	deadly  []deadlyRequest
	owner   map[string]int // indexes of deadly requests, by the ID of an attempt
}

// playMany has clients send many different requests, one after the other, each of which crashes its engine and comes
// again, beside sound ones. An engine that has crashed does not return; another one takes its place 3 s later.
func playMany(b *bed, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	count := manyDeadly
	if n, err := strconv.Atoi(os.Getenv("REQUESTS")); err == nil {
		count = n
	}
	r := &manyRun{
		sentAt: map[string]time.Time{}, arrived: map[string]string{}, begun: map[string]bool{}, whole: map[string]bool{},
		deadly: make([]deadlyRequest, count), owner: map[string]int{},
	}
	for n := range manyEngines {
		if err := r.addEngine(ctx, b, []string{"tartu", "viljandi", "polva"}[n%3], trouble); err != nil {
			return false, err
		}
	}
	text, err := b.fill("engines.tmpl", nil)
	if err != nil {
		return false, err
	}
	if _, err := b.store.put(b.names.OperatorTopic, b.names.ConfigKey, text); err != nil {
		return false, err
	}
	if err := b.addFronts("tartu", "tartu", "viljandi", "polva"); err != nil {
		return false, err
	}
	if err := b.startFronts(); err != nil {
		return false, err
	}
	time.Sleep(stableTime + time.Second)
	var wait sync.WaitGroup
	end := time.Now().Add(time.Duration(count)*manyPause + manyTail)
	wait.Go(func() {
		tick := time.NewTicker(time.Second / manySoundS)
		defer tick.Stop()
		for n := 0; time.Now().Before(end); n++ {
			<-tick.C
			wait.Go(func() {
				r.send(b, b.fronts[n%len(b.fronts)], "/chat/7", fmt.Sprintf("00c0ffee:119,%08x:79,%08x:430", 0x10000+n%40, 0x5000000+n), -1)
			})
		}
	})
	for k := range r.deadly {
		wait.Go(func() { r.repeat(b, k, end) })
		time.Sleep(manyPause)
	}
	wait.Wait()
	return r.judge(b), nil
}

// addEngine starts an engine under a new ID and at a new address.
func (r *manyRun) addEngine(ctx context.Context, b *bed, zone string, trouble bool) error {
	r.mu.Lock()
	r.engines++
	e := &engine{bed: b, ID: fmt.Sprintf("i-e%d", r.engines), Zone: zone, events: manyEvents}
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
			if d := &r.deadly[r.owner[id]]; at == name {
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
		r.send(b, b.fronts[(k+attempt)%len(b.fronts)], fmt.Sprintf("%s-%d", deadlyPath, k+1), fmt.Sprintf("00c0ffee:119,%08x:79,%08x:430", 0x20000+k, 0x9000000+k), k)
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
		r.deadly[k].attempts = append(r.deadly[k].attempts, id)
	}
	r.mu.Unlock()
	status, events, err := b.chat(f, path, id, prefix, soundTokens)
	r.mu.Lock()
	r.whole[id] = err == nil && status == http.StatusOK && events == manyEvents
	server := r.arrived[id]
	r.mu.Unlock()
	if k >= 0 || status != http.StatusOK || err != nil {
		b.log("request %s, %s, to %s: reached %q, status %d, %d events, error %v", id, path, f.Name, server, status, events, err)
	}
}

// judge counts what the rule counts. No process was disturbed, so that all are in touch.
func (r *manyRun) judge(b *bed) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken, worst := 0, 0
	for k, d := range r.deadly {
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
	b.log("%d crashes; %d of %d requests that crash engines broke the rule, the worst with %d repeats; of %d sound requests %d began and got no whole answer",
		r.crashes, broken, len(r.deadly), worst, sound, cut)
	return broken > 0
}
