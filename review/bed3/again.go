package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Times and rates of playAgain.
const (
	againTime      = 56 * time.Second
	againPause     = 4 * time.Second
	againSoundPerS = 40
	againEvents    = 40
	soundTokens    = 628
	deadlyTokens   = 6189
	commonPart     = "00c0ffee"
	deadlyPath     = "/chat/deadly"
	maxRetries     = 3
)

// playAgain has clients send requests, no two alike, with a part that crashes their engine, one every 4 s, beside
// sound ones with the same key and the same first part.
func playAgain(b *bed, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var crashes []time.Time
	sentAt, arrived, begun, whole := map[string]time.Time{}, map[string]string{}, map[string]bool{}, map[string]bool{}
	for n, zone := range []string{"tartu", "tartu", "viljandi", "viljandi", "polva", "polva"} {
		e := &engine{bed: b, ID: fmt.Sprintf("i-e%d", n+1), Zone: zone, deadly: deadlyPart, events: againEvents, downTime: engineDown}
		e.onArrival = func(id string, deadly bool) {
			mu.Lock()
			defer mu.Unlock()
			if deadly {
				arrived[id] = e.ID
			}
		}
		e.onBegin = func(id string) {
			mu.Lock()
			defer mu.Unlock()
			begun[id] = true
		}
		e.onCrash = func(name string) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			count := len(crashes)
			mu.Unlock()
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
	var wait sync.WaitGroup
	send := func(f *front, prefix string, tokens int, deadly bool) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("%016x", b.nextID.Add(1))
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			status, events, err := b.chat(f, "/chat/7", id, prefix, tokens)
			mu.Lock()
			whole[id] = err == nil && status == http.StatusOK && events == againEvents
			server := arrived[id]
			mu.Unlock()
			if deadly || status != http.StatusOK || err != nil {
				b.log("request %s, deadly %t, to %s: reached %q, status %d, %d events, error %v", id, deadly, f.Name, server, status, events, err)
			}
		}()
	}
	begin := time.Now()
	tick := time.NewTicker(time.Second / againSoundPerS)
	defer tick.Stop()
	next := begin
	for n := 0; time.Since(begin) < againTime; n++ {
		<-tick.C
		send(b.fronts[n%len(b.fronts)], fmt.Sprintf("%s:119,%08x:79,%08x:430", commonPart, 0x10000+n%40, 0x5000000+n), soundTokens, false)
		if trouble && !time.Now().Before(next) {
			next = next.Add(againPause)
			send(b.fronts[rand.IntN(len(b.fronts))], fmt.Sprintf("%s:119,%s:4870,%08x:1200", commonPart, deadlyPart, 0x6000000+n), deadlyTokens, true)
		}
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, cut := 0, 0
	for id := range arrived {
		if len(crashes) >= 5 && sentAt[id].After(crashes[4].Add(stableTime)) {
			late++
		}
	}
	for id := range begun {
		if !whole[id] {
			cut++
		}
	}
	b.log("%d crashes; requests with the deadly part that reached an engine although they were sent later than %v after the fifth crash: %d (%d are allowed); sound requests that began and got no whole answer: %d",
		len(crashes), stableTime, late, maxLateDeadly, cut)
	return late > maxLateDeadly, nil
}
