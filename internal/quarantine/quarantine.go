// Package quarantine finds out what the requests that crash endpoints have in common, and
// stops further requests of that kind at every instance.
//
// Each request has signatures: hashes of the parts of its prompt that others share, and of
// the request itself. When an endpoint crashes, all requests that it had are suspects. A set
// of signatures that the suspects of several crashes share, and with which no request has
// been answered since, is taken for the cause.
package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// crashRetention is how long a crash is remembered, and so how long requests stay
	// quarantined.
	crashRetention = 10 * time.Minute
	// maxAnswered bounds the signatures whose last answer is remembered.
	maxAnswered = 8192
)

// List is the quarantine of one instance. Exported fields are set before the first call. It
// is safe for concurrent use. It implements fleet.Quarantine.
type List struct {
	Trail *audit.Trail
	// OnCrash is called for each endpoint that crashed, whether this instance or a peer
	// detected it. It is called with the list locked; nil is allowed.
	OnCrash func(endpoint string)

	mu       sync.Mutex
	evidence evidence
	answered *simplelru.LRU[uint64, time.Time] // by signature: time of the last answer
	rules    []rule
	changed  bool      // the evidence has changed since the rules were derived
	reviewAt time.Time // when the first of the crashes behind the rules expires; zero without rules
	watchers map[*watcher]bool
	outbox   outbox
	updated  chan struct{} // receives a value, at least, after the rules or the crashes behind them have changed
}

// watcher is a request that waits for the response of an endpoint.
type watcher struct {
	signatures  []uint64
	quarantined func()
}

// New returns an empty quarantine.
func New(trail *audit.Trail) *List {
	answered, err := simplelru.NewLRU[uint64, time.Time](maxAnswered, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &List{Trail: trail, answered: answered, watchers: map[*watcher]bool{}, updated: make(chan struct{}, 1)}
}

// Contains implements fleet.Quarantine.
func (l *List) Contains(signatures []uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.review(time.Now())
	if len(l.rules) == 0 {
		return false
	}
	sorted := slices.Sorted(slices.Values(signatures))
	return slices.ContainsFunc(l.rules, func(r rule) bool { return r.matches(sorted) })
}

// Size returns how many rules are in force.
func (l *List) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.review(time.Now())
	return len(l.rules)
}

// Watch implements fleet.Quarantine.
func (l *List) Watch(signatures []uint64, quarantined func()) (stop func()) {
	w := &watcher{signatures: signatures, quarantined: quarantined}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchers[w] = true
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watchers, w)
	}
}

// Answered implements fleet.Quarantine.
func (l *List) Answered(signatures []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var cleared []uint64
	for _, s := range signatures {
		l.answered.Add(s, now)
		if l.evidence.answer(s, now) {
			cleared = append(cleared, s)
		}
	}
	if len(cleared) > 0 {
		l.outbox.add(report{answered: cleared, at: now, own: true})
		l.changed = true
	}
}

// Crashed implements fleet.Quarantine.
func (l *List) Crashed(s fleet.Suspect) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.addSuspect(s, sourceOwn, now)
	l.review(now)
}

// source is from where a suspect is known.
type source string

// The sources of suspects: a request that this instance sent, a report of a peer, the storage. The
// storage has the ages that crashes had when it was written, at most storeRefreshInterval and the time
// without any instance ago: they look later than they were.
const (
	sourceOwn     source = "own"
	sourcePeer    source = "peer"
	sourceStorage source = "storage"
)

// addSuspect adds a request that an endpoint had when it crashed.
func (l *List) addSuspect(s fleet.Suspect, from source, now time.Time) {
	a := l.evidence.add(s, from, l.lastAnswer, now)
	l.changed = l.changed || a.earlier
	if !a.added {
		return
	}
	if len(a.cleared) > 0 {
		// An instance that has seen no such answer, because it has just started, would
		// otherwise take them for the cause.
		l.outbox.add(report{answered: a.cleared, at: a.clearedAt, own: from == sourceOwn})
	}
	l.outbox.add(report{suspect: s, at: s.Broken, own: from == sourceOwn, restored: from == sourceStorage})
	if a.first && l.OnCrash != nil {
		l.OnCrash(s.Endpoint)
	}
	l.changed = true
}

// lastAnswer returns when a request with a signature was last answered, zero for never.
func (l *List) lastAnswer(signature uint64) time.Time {
	at, _ := l.answered.Peek(signature)
	return at
}

// review derives the rules from the crashes that are remembered if these have changed, and
// logs what changed.
func (l *List) review(now time.Time) {
	expired := !l.reviewAt.IsZero() && now.After(l.reviewAt)
	if !l.changed && !expired {
		return
	}
	l.changed = false
	l.evidence.expire(now)
	before := l.rules
	l.rules = l.evidence.explain()
	l.reviewAt = time.Time{}
	if len(before)+len(l.rules) > 0 {
		select {
		case l.updated <- struct{}{}:
		default:
		}
	}
	for _, r := range l.rules {
		if end := r.first.Add(crashRetention); l.reviewAt.IsZero() || end.Before(l.reviewAt) {
			l.reviewAt = end
		}
		if !slices.ContainsFunc(before, r.equal) {
			l.log(r, "quarantined", fmt.Sprintf("%d endpoints crashed with such requests and none was answered since, last %s", r.crashes, r.endpoint))
			l.notify(r)
		}
	}
	for _, r := range before {
		if !slices.ContainsFunc(l.rules, r.equal) {
			l.log(r, "released", l.evidence.releaseCause(r, now))
		}
	}
}

func (l *List) log(r rule, change, cause string) {
	names := make([]string, len(r.signatures))
	for i, s := range r.signatures {
		names[i] = strconv.FormatUint(s, 16)
	}
	l.Trail.Add(audit.Entry{
		Type: audit.EventQuarantine, Subject: "requests with " + strings.Join(names, "+"), Change: change,
		Cause: cause + ", request " + r.request,
	})
}

// notify tells the requests in progress that a new rule matches.
func (l *List) notify(r rule) {
	for w := range l.watchers {
		if r.matches(slices.Sorted(slices.Values(w.signatures))) {
			delete(l.watchers, w)
			w.quarantined()
		}
	}
}
