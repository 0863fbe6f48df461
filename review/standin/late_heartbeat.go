package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["late-heartbeat"] = lateHeartbeat }

const (
	// The times of the case, from the heartbeat that gets no answer on. The store does it
	// lateAfter later: 1 to 6 s are allowed.
	crashAfter = 200 * time.Millisecond
	backAfter  = 1200 * time.Millisecond
	leaveAfter = 2500 * time.Millisecond
	lateAfter  = 5 * time.Second
	// drainTimeout is the bound of the settings. The server exits lingerTime after that.
	drainTimeout = 2 * time.Second
	lingerTime   = 3 * time.Second
	lateClients  = 72
	oneEventPath = "/stream/1"
)

// lateHeartbeat lets a heartbeat of a server get no answer from the store, which does it
// seconds later. Meanwhile the server has crashed, started again under its ID, and said in its
// answers that it leaves: then it must get no new requests.
func lateHeartbeat(s *scene) ([]string, error) {
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(calm)
	v := s.servers[0]
	var (
		mu      sync.Mutex
		results []result
		all     sync.WaitGroup
	)
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(d - time.Since(start)) }
	for n := range lateClients {
		all.Go(func() {
			c := newClient(s.record)
			for time.Since(start) < lateAfter+2*time.Second {
				r := c.call(s.instances[n%len(s.instances)].front, "POST", oneEventPath, "question", streamDeadline)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	late := v.entry()
	if s.trouble {
		s.record.note("the store gives no answer to the heartbeat %s of %s", late, v.id)
	} else {
		s.store.put(names.ServerTopic, v.id, late)
	}
	at(crashAfter)
	v.end()
	at(backAfter)
	if err := v.start(); err != nil {
		return nil, err
	}
	s.record.note("server %s has started again", v.id)
	at(leaveAfter)
	v.leave() // its entry says so from the next heartbeat on
	at(lateAfter)
	if s.trouble {
		s.store.put(names.ServerTopic, v.id, late)
		s.record.note("the store does the heartbeat %s of %s", late, v.id)
	}
	all.Wait()
	at(leaveAfter + drainTimeout + lingerTime)
	v.end()
	// told is when each instance passed on the first answer that says that the server leaves:
	// only that one server leaves.
	told := map[string]time.Time{}
	slices.SortFunc(results, func(a, b result) int { return a.headAt.Compare(b.headAt) })
	for _, r := range results {
		if _, known := told[r.front]; r.leaving && !known {
			told[r.front] = r.headAt
			s.record.note("%s passed on the first answer of %s that says that it leaves at %.3f", r.front, v.id, r.headAt.Sub(s.record.start).Seconds())
		}
	}
	if len(told) == 0 {
		return nil, fmt.Errorf("no answer said that %s leaves", v.id)
	}
	var broken []string
	for _, r := range results {
		at, known := told[r.front]
		if known && r.sent.Sub(at) > drainTimeout && s.record.has("server %s runs %s", v.id, r.id) {
			broken = append(broken, fmt.Sprintf("DRAIN: %s was sent %v after %s had passed on an answer that says that %s leaves, and reached it from there: %v", r.id, r.sent.Sub(at).Round(time.Millisecond), r.front, v.id, r))
		}
	}
	return broken, nil
}
