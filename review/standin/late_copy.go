package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["late-copy"] = lateCopy }

const (
	// The times of the case, from the crash of the server on: it starts again under a new
	// ID, and its old entry is removed after three heartbeat intervals.
	newStartAfter = 200 * time.Millisecond
	lapseAfter    = 3 * heartbeatInterval
	bookingEnd    = 9 * time.Second
	// The clients send nothing for a moment, in which the server crashes and starts again.
	quietFrom = 3800 * time.Millisecond
	crash     = 4 * time.Second
	quietTo   = 4700 * time.Millisecond
	// bookingClients each send a request that may run once, and pause for bookingPause.
	bookingClients  = 4
	bookingPause    = 100 * time.Millisecond
	bookingPath     = "/unsafe/book"
	bookingDeadline = time.Second
	// copiesPerHundred is how many of its answers the server sends a second time at most.
	copiesPerHundred = 2
)

// lateCopy lets a server crash and start again at its address under a new ID. Until its old
// entry lapses, some requests are still addressed to the old ID, and the server rejects them.
// It sends a few of its answers a second time, late. No request may run more than once.
func lateCopy(s *scene) ([]string, error) {
	calls := s.servers[len(zones)] // the first server of portal, whose entry is written on
	calls.endServing()
	faulty := &copies{}
	if s.trouble {
		faulty.perHundred = copiesPerHundred
	}
	old := &rawServer{id: calls.id, record: s.record, copies: faulty}
	oldListener, err := net.Listen("tcp", calls.address)
	if err != nil {
		return nil, err
	}
	go old.accept(oldListener)
	if err := s.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(calm)
	var (
		mu      sync.Mutex
		results []result
		all     sync.WaitGroup
	)
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(d - time.Since(start)) }
	for range bookingClients {
		all.Go(func() {
			c := newClient(s.record)
			for time.Since(start) < bookingEnd {
				if d := time.Since(start); d > quietFrom && d < quietTo {
					time.Sleep(quietTo - d)
				}
				r := c.call(s.instances[0].front, "POST", bookingPath, "a booking", bookingDeadline)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(bookingPause)
			}
		})
	}
	at(crash)
	calls.silence()
	old.end(oldListener)
	at(crash + newStartAfter)
	l, err := net.Listen("tcp", calls.address)
	if err != nil {
		return nil, err
	}
	next := &rawServer{id: old.id + "-b", record: s.record, copies: faulty}
	go next.accept(l)
	entry := &server{id: next.id, service: calls.service, zone: calls.zone, address: calls.address, store: s.store, record: s.record, state: "ready", born: time.Now().UnixMilli()}
	entry.beat()
	s.record.note("server %s has started at the address of %s", next.id, old.id)
	for beat := newStartAfter + heartbeatInterval; beat < lapseAfter; beat += heartbeatInterval {
		at(crash + beat)
		entry.beat()
	}
	at(crash + lapseAfter)
	calls.lapse()
	entry.beat()
	all.Wait()
	s.record.note("the server gave %d answers and sent %d of them a second time", faulty.answers.Load(), faulty.copied.Load())
	var broken []string
	for _, r := range results {
		var ranBy []string
		for _, id := range append(s.serverIDs(), next.id) {
			if s.record.has("server %s runs %s", id, r.id) {
				ranBy = append(ranBy, id)
			}
		}
		if len(ranBy) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s on %s, which may run once, was run by %v: %v", r.id, r.path, ranBy, r))
		}
		if len(ranBy) > 0 && (r.status == 503 || r.status == 429) {
			s.record.note("also REFUSED: %s on %s was answered %d and was run by %v", r.id, r.path, r.status, ranBy)
		}
	}
	return broken, nil
}

func (s *scene) serverIDs() []string {
	var list []string
	for _, v := range s.servers {
		list = append(list, v.id)
	}
	return list
}
