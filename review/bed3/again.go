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
	againTime      = 44 * time.Second
	againPause     = 4 * time.Second
	againSoundPerS = 40
	againEvents    = 40
	soundTokens    = 628
	deadlyTokens   = 6582
	deadlyPath     = "/chat/deadly"
	maxRetries     = 3
)

// playAgain has a client send a request that crashes its engine again and again, beside sound ones.
func playAgain(b *bed, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var crashes []time.Time
	sentAt, arrived, begun, whole := map[string]time.Time{}, map[string]string{}, map[string]bool{}, map[string]bool{}
	for n, zone := range []string{"tartu", "tartu", "viljandi", "viljandi", "polva", "polva"} {
		e := &engine{bed: b, ID: fmt.Sprintf("i-e%d", n+1), Zone: zone, deadlyPath: deadlyPath, events: againEvents, downTime: engineDown}
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
	send := func(f *front, path, prefix string, tokens int) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("%016x", b.nextID.Add(1))
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			status, events, err := b.chat(f, path, id, prefix, tokens)
			mu.Lock()
			whole[id] = err == nil && status == http.StatusOK && events == againEvents
			server := arrived[id]
			mu.Unlock()
			if path == deadlyPath || status != http.StatusOK || err != nil {
				b.log("request %s, %s, to %s: reached %q, status %d, %d events, error %v", id, path, f.Name, server, status, events, err)
			}
		}()
	}
	begin := time.Now()
	tick := time.NewTicker(time.Second / againSoundPerS)
	defer tick.Stop()
	next := begin
	for n := 0; time.Since(begin) < againTime; n++ {
		<-tick.C
		send(b.fronts[n%len(b.fronts)], "/chat/7", fmt.Sprintf("00c0ffee:119,%08x:79,%08x:430", 0x10000+n%40, 0x5000000+n), soundTokens)
		if trouble && !time.Now().Before(next) {
			next = next.Add(againPause)
			send(b.fronts[rand.IntN(len(b.fronts))], deadlyPath, "0d00d1e4:512,0d00d1e5:4870,0d00d1e6:1200", deadlyTokens)
		}
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, cut := 0, 0
	for id := range arrived {
		if len(crashes) >= 3 && sentAt[id].After(crashes[2].Add(stableTime)) {
			late++
		}
	}
	for id := range begun {
		if !whole[id] {
			cut++
		}
	}
	b.log("%d crashes; requests that reached an engine although they were sent later than %v after the third crash: %d (%d are allowed); sound requests that began and got no whole answer: %d",
		len(crashes), stableTime, late, maxRetries, cut)
	return late > maxRetries, nil
}
