package main

import (
	"context"
	"slices"
	"sync"
	"time"
)

// operator publishes configurations. What it wrote and the store lost it writes again.
type operator struct {
	bed  *bed
	last configuration
}

type configuration struct {
	Version   int
	Service   string
	TimeoutMs int
	Keys      []string
}

// write writes a configuration; while the store is away, it tries again.
func (o *operator) write(c configuration) error {
	text, err := o.bed.fill("config.tmpl", c)
	if err != nil {
		return err
	}
	for {
		offset, err := o.bed.store.put(o.bed.names.OperatorTopic, o.bed.names.ConfigKey, text)
		if err == nil {
			o.last = c
			o.bed.log("operator: version %d acknowledged at offset %d (service %s, keys %v)", c.Version, offset, c.Service, c.Keys)
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Times of the drill.
const (
	copyAge     = 3 * time.Second
	awayTime    = 600 * time.Millisecond
	configBound = 2 * time.Second
	outerBound  = 5 * time.Second
)

// playDrill has the operator publish three configurations a second apart. When the third one is due, the
// store is away; it comes back from a copy three seconds old, in which the first two are missing. The
// operator writes the newest one that it had written again, and then the third one.
func playDrill(b *bed, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, s := range [][3]string{{"i-a1", "portal-a", "tartu"}, {"i-a2", "portal-a", "polva"}, {"i-b1", "portal-b", "tartu"}, {"i-b2", "portal-b", "viljandi"}} {
		if err := b.addServer(s[0], s[1], s[2]); err != nil {
			return false, err
		}
	}
	for _, s := range b.servers {
		go s.beats(ctx)
	}
	o := &operator{bed: b}
	first := configuration{Version: 7, Service: "portal-a", TimeoutMs: 1000, Keys: []string{"key-one", "key-two"}}
	if err := o.write(first); err != nil {
		return false, err
	}
	if err := b.addFronts("tartu", "tartu", "viljandi", "polva"); err != nil {
		return false, err
	}
	if err := b.startFronts(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	second, third := first, first
	second.Version, second.TimeoutMs = 9, 1100
	third.Version, third.TimeoutMs = 12, 1200
	fourth := configuration{Version: 14, Service: "portal-b", TimeoutMs: 1200, Keys: []string{"key-one"}}
	for _, c := range []configuration{second, third} {
		if err := o.write(c); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	if trouble {
		left := time.Now()
		b.store.leave()
		b.log("store: away")
		time.Sleep(awayTime)
		lost := b.store.comeBack(left.Add(-copyAge))
		b.log("store: back from a copy %v old, %d records of the operator are gone", copyAge, lost)
		if err := o.write(o.last); err != nil {
			return false, err
		}
	}
	if err := o.write(fourth); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	time.Sleep(configBound + outerBound + time.Second)
	var mu sync.Mutex
	stale := map[string]int{}
	total := 0
	var wait sync.WaitGroup
	for _, f := range b.fronts {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for range 20 {
				for _, key := range []string{"key-one", "key-two"} {
					a := b.book(f, "/booking/7", key)
					old := slices.Contains(a.ranAt, "portal-a") || key == "key-two" && len(a.ranAt) > 0
					mu.Lock()
					total++
					if old {
						stale[f.Name]++
					}
					mu.Unlock()
					b.log("%.3f s after version %d: request %s to %s with %s: status %d, error %v, run by %v, stale %t",
						time.Since(acknowledged).Seconds(), fourth.Version, a.id, f.Name, key, a.status, a.err, a.ranAt, old)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	wait.Wait()
	b.log("of %d requests sent later than %v after the acknowledgement, handled as only an older version allows, by process: %v", total, configBound+outerBound, stale)
	return len(stale) > 0, nil
}
