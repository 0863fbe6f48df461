// Package quarantine keeps requests that crash endpoints away from the fleet. A
// request that was running on two endpoints when they broke off is refused from
// then on, at every instance.
package quarantine

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/audit"
)

const (
	// crashesToHold is how many endpoints must have crashed under a request.
	crashesToHold = 2
	// term is how long a crash is remembered and a request held.
	term = 10 * time.Minute
	// maxTimes bounds the crashes that are remembered of one endpoint.
	maxTimes = 64
	// maxCrashes bounds the fingerprints that are remembered.
	maxCrashes = 4096
)

// crash is one endpoint that broke off while it ran a request.
type crash struct {
	Print    string    `json:"p"`
	Endpoint string    `json:"e"`
	Request  string    `json:"r"`
	Started  time.Time `json:"s"`
	At       time.Time `json:"t"`
}

// episode is how long after a crash an endpoint may still be away. A request that
// was started in that time met a crashed endpoint and did not crash it.
const episode = 30 * time.Second

// List is the quarantine of one instance. Exported fields are set before the
// first call. It is safe for concurrent use.
type List struct {
	Trail *audit.Trail
	// OnCrash is called, with the list locked, with each endpoint that crashed,
	// as seen here or by a peer; nil is allowed.
	OnCrash func(endpoint string)

	mu      sync.Mutex
	crashes map[string]map[string]crash // by fingerprint and endpoint
	times   map[string][]time.Time      // crashes of each endpoint
	own     []crash
	sent    map[string]int // own crashes that a peer has been told
	told    map[string]int // own crashes in the message on its way
}

// New returns an empty quarantine.
func New(trail *audit.Trail) *List {
	return &List{Trail: trail, crashes: map[string]map[string]crash{}, times: map[string][]time.Time{}, sent: map[string]int{}, told: map[string]int{}}
}

// Held reports whether a fingerprint is quarantined.
func (l *List) Held(print string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count(print) >= crashesToHold
}

func (l *List) count(print string) int {
	n := 0
	for _, c := range l.crashes[print] {
		if time.Since(c.At) < term && !l.innocent(c) {
			n++
		}
	}
	return n
}

// innocent reports whether the endpoint had crashed before the request began.
func (l *List) innocent(c crash) bool {
	for _, at := range l.times[c.Endpoint] {
		if at.Before(c.Started) && c.Started.Sub(at) < episode {
			return true
		}
	}
	return false
}

// Crashed records that an endpoint broke off while it ran a request that was started
// there at a time.
func (l *List) Crashed(print, endpoint, request string, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := crash{Print: print, Endpoint: endpoint, Request: request, Started: started, At: time.Now()}
	if l.add(c) {
		l.own = append(l.own, c)
	}
}

func (l *List) add(c crash) bool {
	endpoints := l.crashes[c.Print]
	if endpoints == nil {
		l.tidy()
		endpoints = map[string]crash{}
		l.crashes[c.Print] = endpoints
	}
	if _, known := endpoints[c.Endpoint]; known {
		return false
	}
	endpoints[c.Endpoint] = c
	l.times[c.Endpoint] = append(l.times[c.Endpoint], c.At)
	if len(l.times[c.Endpoint]) > maxTimes {
		l.times[c.Endpoint] = l.times[c.Endpoint][1:]
	}
	if l.OnCrash != nil && !l.innocent(c) {
		l.OnCrash(c.Endpoint)
	}
	if l.count(c.Print) == crashesToHold {
		l.Trail.Add(audit.Entry{
			Type: audit.EventQuarantine, Subject: "request " + c.Request, Change: "quarantined",
			Cause: fmt.Sprintf("fingerprint %s was running on %d endpoints that broke off, last on %s", c.Print, crashesToHold, c.Endpoint),
		})
	}
	return true
}

// tidy drops expired crashes, and the oldest if there are still too many.
func (l *List) tidy() {
	if len(l.crashes) < maxCrashes {
		return
	}
	oldest, oldestAt := "", time.Now()
	for print, endpoints := range l.crashes {
		if l.count(print) == 0 {
			delete(l.crashes, print)
			continue
		}
		for _, c := range endpoints {
			if c.At.Before(oldestAt) {
				oldest, oldestAt = print, c.At
			}
		}
	}
	if len(l.crashes) >= maxCrashes {
		delete(l.crashes, oldest)
	}
}

// Compose returns the crashes seen here that a peer has not been told, or nil.
func (l *List) Compose(peer string) json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told[peer] = len(l.own)
	news := l.own[min(l.sent[peer], len(l.own)):]
	if len(news) == 0 {
		return nil
	}
	data, err := json.Marshal(news)
	if err != nil {
		return nil
	}
	return data
}

// Sent records whether the composed message reached the peer.
func (l *List) Sent(peer string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.sent[peer] = l.told[peer]
	}
}

// Restarted makes the next message to a peer complete.
func (l *List) Restarted(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sent, peer)
}

// Receive takes in a peer's crashes.
func (l *List) Receive(_ string, data json.RawMessage) error {
	var news []crash
	if err := json.Unmarshal(data, &news); err != nil {
		return fmt.Errorf("quarantine: unreadable crashes: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range news {
		l.add(c)
	}
	return nil
}
