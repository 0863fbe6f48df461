package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times and rates of playPart.
const (
	stableTime    = 3 * time.Second
	soundPerS     = 90
	deadlyPerS    = 3
	calmTime      = 8 * time.Second
	deadlyTime    = 40 * time.Second
	engineDown    = 3 * time.Second
	deadlyPart    = "0bad0bad"
	ordinaryPart  = "0c0ffee0"
	defaultParts  = 70
	minSounds     = 20
	partEvents    = 10
	maxLateDeadly = 3
)

// partRun is what the stand-ins saw.
type partRun struct {
	mu      sync.Mutex
	crashes []time.Time
	begun   map[string]bool
	sentAt  map[string]time.Time
	arrived map[string]bool // deadly requests that reached an engine
	sounds  []string
	whole   map[string]bool // sound requests whose answer was whole
}

// playPart sends requests whose prompts have many parts, of which the first crashes engines, beside sound
// ones with the same key and the same other parts.
func playPart(b *bed, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	run := &partRun{begun: map[string]bool{}, sentAt: map[string]time.Time{}, arrived: map[string]bool{}, whole: map[string]bool{}}
	for n, zone := range []string{"tartu", "tartu", "viljandi", "viljandi", "polva", "polva"} {
		e := &engine{bed: b, ID: fmt.Sprintf("i-e%d", n+1), Zone: zone, deadly: deadlyPart, events: partEvents, downTime: engineDown}
		e.onArrival = func(id string, deadly bool) {
			run.mu.Lock()
			defer run.mu.Unlock()
			if deadly {
				run.arrived[id] = true
			}
		}
		e.onBegin = func(id string) {
			run.mu.Lock()
			defer run.mu.Unlock()
			run.begun[id] = true
		}
		e.onCrash = func(name string) {
			run.mu.Lock()
			run.crashes = append(run.crashes, time.Now())
			count := len(run.crashes)
			run.mu.Unlock()
			b.log("engine %s crashes (%d so far)", name, count)
		}
		if err := e.start(); err != nil {
			return false, err
		}
		go e.beats(ctx)
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
	parts := defaultParts
	if p, err := strconv.Atoi(os.Getenv("PARTS")); err == nil {
		parts = p
	}
	var others strings.Builder
	for n := 2; n < parts; n++ {
		fmt.Fprintf(&others, "%08x:20,", 0x10000+n)
	}
	b.log("prompts of %d parts", parts)
	var wait sync.WaitGroup
	send := func(n int, deadly bool) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			first := ordinaryPart
			if deadly {
				first = deadlyPart
			}
			f := b.fronts[n%len(b.fronts)]
			id := fmt.Sprintf("%016x", b.nextID.Add(1))
			run.mu.Lock()
			run.sentAt[id] = time.Now()
			if !deadly {
				run.sounds = append(run.sounds, id)
			}
			run.mu.Unlock()
			status, events, err := b.chat(f, "/chat/7", id, first+":20,"+others.String()+fmt.Sprintf("%08x:20", 0x5000000+b.nextID.Add(1)), parts*20)
			if !deadly && err == nil && status == http.StatusOK && events == partEvents {
				run.mu.Lock()
				run.whole[id] = true
				run.mu.Unlock()
			}
			b.log("request %s, deadly %t, to %s: status %d, %d events, error %v", id, deadly, f.Name, status, events, err)
		}()
	}
	begin := time.Now()
	tick := time.NewTicker(time.Second / soundPerS)
	defer tick.Stop()
	for n := 0; time.Since(begin) < calmTime+deadlyTime; n++ {
		<-tick.C
		send(n, false)
		if trouble && time.Since(begin) > calmTime && n%(soundPerS/deadlyPerS) == 0 {
			send(n/(soundPerS/deadlyPerS), true)
		}
	}
	wait.Wait()
	return run.judge(b, begin), nil
}

// judge counts what the rules count. No process was disturbed, so that all are in touch.
func (r *partRun) judge(b *bed, begin time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	calm, calmBegun, late, lateBegun, lateDeadly := 0, 0, 0, 0, 0
	var from, lostFrom time.Time
	if len(r.crashes) > 0 {
		fifth := r.crashes[min(len(r.crashes), 5)-1]
		from, lostFrom = fifth.Add(stableTime), fifth.Add(2*stableTime)
	}
	for _, id := range r.sounds {
		switch at := r.sentAt[id]; {
		case at.Before(begin.Add(calmTime)):
			calm++
			if r.begun[id] {
				calmBegun++
			}
		case !lostFrom.IsZero() && at.After(lostFrom):
			late++
			if r.begun[id] {
				lateBegun++
			}
		}
	}
	for id := range r.arrived {
		if !from.IsZero() && r.sentAt[id].After(from) {
			lateDeadly++
		}
	}
	b.log("%d crashes; requests with the deadly part that were sent later than %v after the fifth crash and reached an engine: %d (%d are allowed)", len(r.crashes), stableTime, lateDeadly, maxLateDeadly)
	b.log("sound requests that began at the first attempt: %d of %d before the first crash, %d of %d from %v after the fifth crash", calmBegun, calm, lateBegun, late, 2*stableTime)
	cut := 0
	for id := range r.begun {
		if !r.whole[id] {
			cut++
		}
	}
	b.log("sound requests that began and got no whole answer: %d", cut)
	lost := calm >= minSounds && late >= minSounds && 2*lateBegun*calm < calmBegun*late
	b.log("BUDGET broken: %t, LOST broken: %t", lateDeadly > maxLateDeadly, lost)
	return lateDeadly > maxLateDeadly || lost
}

// chat sends a streaming request over a connection of its own and reads the answer. All bodies differ but those
// of requests that come again, which are the same for a path.
func (b *bed) chat(f *front, path, id, prefix string, tokens int) (status, events int, err error) {
	const deadline = 12 * time.Second
	return b.chatWithin(deadline, deadline, f, path, id, prefix, tokens)
}

// chatWithin does so with a deadline that it names, and reads the answer for patience.
func (b *bed) chatWithin(deadline, patience time.Duration, f *front, path, id, prefix string, tokens int) (status, events int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	body := "prompt"
	if !strings.HasPrefix(path, deadlyPath) {
		body += " " + id
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Front+path, strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	req.Host = "portal.example"
	req.Header.Set("Authorization", "Bearer key-one")
	req.Header.Set(b.names.RequestHeader, id)
	req.Header.Set(b.names.DeadlineHeader, strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set(b.names.ModelHeader, "m")
	req.Header.Set(b.names.UsageHeader, fmt.Sprintf("%d,80", tokens))
	req.Header.Set(b.names.PrefixHeader, prefix)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.Count(string(text), "\n\n"), err
}
