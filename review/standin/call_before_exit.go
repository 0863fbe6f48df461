package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["call-before-exit"] = callBeforeExit }

const (
	// graceS is the bound of the settings. stopGap is the time between two stops in turn.
	graceS  = 8 * time.Second
	stopGap = time.Second
	// Each instance that stops relays longStreams of longPath (9 s) meanwhile.
	longStreams = 4
	longPath    = "/stream/90"
	// The calls are sent from callsAfter to callsEnd after the stop. One server of theirs sends
	// nothing for silence meanwhile. Their deadline and the limit of their route are callLimit.
	callsAfter = 6420 * time.Millisecond
	callsEnd   = 6480 * time.Millisecond
	silence    = 1500 * time.Millisecond
	callLimit  = 3 * time.Second
	callCount  = 12
)

// callBeforeExit stops two of the three instances of a zone in turn. Fewer than half of the
// zone's instances are then in rotation, so that the platform uses all of them, also those
// that stop. Calls that are sent there must be refused or answered.
func callBeforeExit(s *scene) ([]string, error) {
	setTimeout("r-unsafe", callLimit)
	if err := s.publish(2); err != nil {
		return nil, err
	}
	for _, i := range s.instances {
		i.zone = zones[0]
	}
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(calm)
	first, target, stays := s.instances[0], s.instances[1], s.instances[2]
	silent := s.servers[len(zones)] // the server of portal in the zone
	var (
		mu      sync.Mutex
		results []result
		all     sync.WaitGroup
	)
	for _, i := range []*instance{first, target} {
		for range longStreams {
			all.Go(func() { newClient(s.record).call(i.front, "POST", longPath, "question", largeDeadline) })
		}
	}
	time.Sleep(stopGap / 2)
	if s.trouble {
		first.signal(syscall.SIGTERM)
	}
	time.Sleep(stopGap)
	stopped := time.Now()
	if s.trouble {
		target.signal(syscall.SIGTERM)
	}
	at := func(d time.Duration) { time.Sleep(d - time.Since(stopped)) }
	at(callsAfter - stopGap)
	if s.trouble && (first.isReady() || target.isReady() || !stays.isReady()) {
		return nil, fmt.Errorf("not one of three instances is in rotation")
	}
	at(callsAfter)
	silent.fallSilent(silence)
	for n := range callCount {
		at(callsAfter + time.Duration(n)*(callsEnd-callsAfter)/callCount)
		all.Go(func() {
			r := newClient(s.record).call(target.front, "POST", "/unsafe/confirm", "an order", callLimit)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
	}
	all.Wait()
	var broken []string
	for _, r := range results {
		ranBy := slices.IndexFunc(s.servers, func(v *server) bool { return s.record.has("server %s runs %s", v.id, r.id) })
		inTime := r.ended.Sub(r.sent) < callLimit && r.ended.Sub(stopped) < graceS+time.Second
		if ranBy >= 0 && !r.whole() && (r.status == 0 || r.err != nil) && inTime {
			broken = append(broken, fmt.Sprintf("LOST: %s was sent %v after SIGTERM, was passed on to %s, and the connection ended without an answer %v later: %v",
				r.id, r.sent.Sub(stopped).Round(time.Millisecond), s.servers[ranBy].id, r.ended.Sub(r.sent).Round(time.Millisecond), r))
		}
	}
	return broken, nil
}
