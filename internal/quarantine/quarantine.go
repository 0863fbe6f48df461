// Package quarantine stops requests that crash endpoints from reaching further
// endpoints. A request that was running on two endpoints when they crashed is rejected
// from then on, at every instance.
package quarantine

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/audit"
)

const (
	// crashesToQuarantine is how many endpoints must have crashed while they ran a
	// request before it is quarantined.
	crashesToQuarantine = 2
	// crashRetention is how long a crash is remembered, and so how long a request
	// stays quarantined.
	crashRetention = 10 * time.Minute
	// maxCrashTimes bounds the crash times that are kept for one endpoint.
	maxCrashTimes = 64
	// maxFingerprints bounds the request fingerprints that are kept.
	maxFingerprints = 4096
)

// crash reports that an endpoint crashed while it ran a request.
type crash struct {
	Fingerprint string    `json:"p"`
	Endpoint    string    `json:"e"`
	Request     string    `json:"r"`
	Started     time.Time `json:"s"`
	At          time.Time `json:"t"`
}

// recoveryWindow is how long an endpoint may still be down after a crash. A request
// that was started within that time reached an endpoint that had already crashed and
// did not cause the crash.
const recoveryWindow = 30 * time.Second

// List is the quarantine of one instance. Exported fields are set before the
// first call. It is safe for concurrent use.
type List struct {
	Trail *audit.Trail
	// OnCrash is called for each endpoint that crashed, whether this instance or
	// a peer detected it. It is called with the list locked; nil is allowed.
	OnCrash func(endpoint string)

	mu         sync.Mutex
	crashes    map[string]map[string]crash // by fingerprint and endpoint
	crashTimes map[string][]time.Time      // by endpoint
	ownCrashes []crash                     // detected by this instance, in order
	delivered  map[string]int              // by peer: number of own crashes that it has received
	inFlight   map[string]int              // by peer: delivered, once the message being sent arrives
}

// New returns an empty quarantine.
func New(trail *audit.Trail) *List {
	return &List{Trail: trail, crashes: map[string]map[string]crash{}, crashTimes: map[string][]time.Time{}, delivered: map[string]int{}, inFlight: map[string]int{}}
}

// Contains reports whether requests with a fingerprint are quarantined.
func (l *List) Contains(fingerprint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.countCrashedEndpoints(fingerprint) >= crashesToQuarantine
}

func (l *List) countCrashedEndpoints(fingerprint string) int {
	n := 0
	for _, c := range l.crashes[fingerprint] {
		if time.Since(c.At) < crashRetention && !l.startedAfterCrash(c) {
			n++
		}
	}
	return n
}

// startedAfterCrash reports whether the endpoint had crashed before the request was
// started there, so that the request is not the cause.
func (l *List) startedAfterCrash(c crash) bool {
	for _, at := range l.crashTimes[c.Endpoint] {
		if at.Before(c.Started) && c.Started.Sub(at) < recoveryWindow {
			return true
		}
	}
	return false
}

// Crashed records that an endpoint crashed while it ran a request. started is the time
// at which the request was started there.
func (l *List) Crashed(fingerprint, endpoint, request string, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := crash{Fingerprint: fingerprint, Endpoint: endpoint, Request: request, Started: started, At: time.Now()}
	if l.add(c) {
		l.ownCrashes = append(l.ownCrashes, c)
	}
}

func (l *List) add(c crash) bool {
	endpoints := l.crashes[c.Fingerprint]
	if endpoints == nil {
		l.evict()
		endpoints = map[string]crash{}
		l.crashes[c.Fingerprint] = endpoints
	}
	if _, known := endpoints[c.Endpoint]; known {
		return false
	}
	endpoints[c.Endpoint] = c
	l.crashTimes[c.Endpoint] = append(l.crashTimes[c.Endpoint], c.At)
	if len(l.crashTimes[c.Endpoint]) > maxCrashTimes {
		l.crashTimes[c.Endpoint] = l.crashTimes[c.Endpoint][1:]
	}
	if l.OnCrash != nil && !l.startedAfterCrash(c) {
		l.OnCrash(c.Endpoint)
	}
	if l.countCrashedEndpoints(c.Fingerprint) == crashesToQuarantine {
		l.Trail.Add(audit.Entry{
			Type: audit.EventQuarantine, Subject: "request " + c.Request, Change: "quarantined",
			Cause: fmt.Sprintf("fingerprint %s was running on %d endpoints that broke off, last on %s", c.Fingerprint, crashesToQuarantine, c.Endpoint),
		})
	}
	return true
}

// evict makes room for a new fingerprint. It removes fingerprints without a crash that
// counts, and the one with the oldest crash if there are still too many.
func (l *List) evict() {
	if len(l.crashes) < maxFingerprints {
		return
	}
	oldest, oldestAt := "", time.Now()
	for fingerprint, endpoints := range l.crashes {
		if l.countCrashedEndpoints(fingerprint) == 0 {
			delete(l.crashes, fingerprint)
			continue
		}
		for _, c := range endpoints {
			if c.At.Before(oldestAt) {
				oldest, oldestAt = fingerprint, c.At
			}
		}
	}
	if len(l.crashes) >= maxFingerprints {
		delete(l.crashes, oldest)
	}
}

// Compose returns the encoded crashes that this instance detected and the peer has not
// received, or nil if there are none.
func (l *List) Compose(peer string) json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[peer] = len(l.ownCrashes)
	unsent := l.ownCrashes[min(l.delivered[peer], len(l.ownCrashes)):]
	if len(unsent) == 0 {
		return nil
	}
	data, err := json.Marshal(unsent)
	if err != nil {
		return nil
	}
	return data
}

// Sent records whether the last composed message reached the peer.
func (l *List) Sent(peer string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok {
		l.delivered[peer] = l.inFlight[peer]
	}
}

// Restarted records that a peer has restarted and lost its state: the next message to
// it carries all crashes that this instance detected.
func (l *List) Restarted(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.delivered, peer)
}

// Receive adds the crashes that a peer detected. It returns an error if they cannot be
// decoded.
func (l *List) Receive(_ string, data json.RawMessage) error {
	var received []crash
	if err := json.Unmarshal(data, &received); err != nil {
		return fmt.Errorf("quarantine: unreadable crashes: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range received {
		l.add(c)
	}
	return nil
}
