package main

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Times and rates of playForeign.
const (
	foreignTime   = 20 * time.Second
	foreignAt     = 5 * time.Second
	callsPerS     = 120
	callTime      = 40 * time.Millisecond
	foreignServer = "i-b1"
	ghostPause    = 5 * time.Second
)

// playForeign has another writer write one entry under the ID of a server. It names its fields with capitals,
// so that it has none of the fields of an entry.
func playForeign(b *bed, trouble bool) (bool, error) {
	r, err := b.playEntries(trouble, func() error { return b.writeForeign("foreign.tmpl", foreignServer, "portal-a") })
	return r.wrong > 0, err
}

// playGhost has it write one entry under the ID of each server of a service. They name a service that no
// configuration knows.
func playGhost(b *bed, trouble bool) (bool, error) {
	r, err := b.playEntries(trouble, func() error {
		for _, s := range b.servers {
			if s.Service != "portal-b" {
				continue
			}
			if err := b.writeForeign("server.tmpl", s.ID, "ledger"); err != nil {
				return err
			}
		}
		return nil
	})
	served, all := r.late["/payment/7"], r.late["/booking/7"]
	all.total += served.total
	all.answered += served.answered
	b.log("served later than %v after the entries: %d of %d payments, %d of all %d requests", ghostPause, served.answered, served.total, all.answered, all.total)
	return 4*served.answered*all.total < all.answered*served.total, err
}

// count counts requests and answers with 200.
type count struct{ total, answered int }

// entriesRun is what was seen of the requests.
type entriesRun struct {
	wrong int // run by a service to which no configuration allows them to go
	// late counts those sent later than ghostPause after the entries were written, or would have been, by path.
	late map[string]count
}

// playEntries has another writer write entries while requests are sent on two routes.
func (b *bed) playEntries(trouble bool, write func() error) (r entriesRun, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.work = callTime
	for _, s := range [][3]string{{"i-a1", "portal-a", "tartu"}, {"i-a2", "portal-a", "polva"}, {foreignServer, "portal-b", "tartu"}, {"i-b2", "portal-b", "viljandi"}} {
		if err := b.addServer(s[0], s[1], s[2]); err != nil {
			return r, err
		}
	}
	for _, s := range b.servers {
		go s.beats(ctx)
	}
	text, err := b.fill("routes.tmpl", nil)
	if err != nil {
		return r, err
	}
	if _, err := b.store.put(b.names.OperatorTopic, b.names.ConfigKey, text); err != nil {
		return r, err
	}
	if err := b.addFronts("tartu", "tartu", "viljandi", "polva"); err != nil {
		return r, err
	}
	if err := b.startFronts(); err != nil {
		return r, err
	}
	time.Sleep(stableTime + time.Second)
	var mu sync.Mutex
	var wait sync.WaitGroup
	r.late = map[string]count{}
	total, answered := 0, 0
	services := map[string]string{"/booking/7": "portal-a", "/payment/7": "portal-b"}
	begin := time.Now()
	tick := time.NewTicker(time.Second / callsPerS)
	defer tick.Stop()
	var writtenAt time.Time
	for n := 0; time.Since(begin) < foreignTime; n++ {
		<-tick.C
		if writtenAt.IsZero() && time.Since(begin) >= foreignAt {
			writtenAt = time.Now()
			if trouble {
				if err := write(); err != nil {
					return r, err
				}
			}
		}
		path, f := "/booking/7", b.fronts[n/2%len(b.fronts)]
		if n%2 == 1 {
			path = "/payment/7"
		}
		isLate := !writtenAt.IsZero() && time.Since(writtenAt) > ghostPause
		wait.Add(1)
		go func() {
			defer wait.Done()
			a := b.book(f, path, "key-one")
			isWrong := slices.ContainsFunc(a.ranAt, func(service string) bool { return service != services[path] })
			mu.Lock()
			defer mu.Unlock()
			total++
			if isWrong {
				r.wrong++
			}
			late := r.late[path]
			if a.status == 200 {
				answered++
				late.answered++
			}
			late.total++
			if isLate {
				r.late[path] = late
			}
			b.log("request %s, %s, to %s: status %d, error %v, run by %v, wrong service %t", a.id, path, f.Name, a.status, a.err, a.ranAt, isWrong)
		}()
	}
	wait.Wait()
	b.log("%d requests, %d answered with 200, %d run by a service to which no configuration allows them to go", total, answered, r.wrong)
	return r, nil
}

// writeForeign writes an entry of the other writer's under the ID of a server.
func (b *bed) writeForeign(data, id, service string) error {
	i := slices.IndexFunc(b.servers, func(s *server) bool { return s.ID == id })
	text, err := b.fill(data, &server{Service: service, State: "ready", Address: b.servers[i].Address, Zone: b.servers[i].Zone, Born: time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	offset, err := b.store.put(b.names.ServersTopic, id, text)
	b.log("another writer: entry %s at offset %d: %s", id, offset, text)
	return err
}
