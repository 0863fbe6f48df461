// Package placement decides which endpoint runs a request: it estimates the time to
// the first event from the work ahead, the parts of the prompt that an endpoint
// keeps, its speed and its faults.
package placement

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Endpoint is one endpoint as its own record describes it.
type Endpoint struct {
	ID string
	fleet.Entry
	// Seen is when the record was read.
	Seen time.Time
}

// Board holds what one instance believes of all endpoints. The zero value is
// ready to use. It is safe for concurrent use.
type Board struct {
	// Self is the failure domain of this instance.
	Self string
	// Instances returns how many instances send to the endpoints; nil means
	// that only this one does.
	Instances func() int
	// OnChange is called, with the board locked, when a belief about an
	// endpoint changes; nil is allowed.
	OnChange func(c Change)

	mu       sync.Mutex
	services map[string][]*state
	byID     map[string]*state
	speeds   map[string]*speed
	reads    []Read // the newest reads from here, oldest first
	readings int64  // number of all reads from here
}

// Read says that an endpoint reads shared parts that it did not keep.
type Read struct {
	Endpoint string `json:"e"`
	// Chain identifies the parts, each together with all before it.
	Chain []uint64 `json:"c"`
}

// maxReads bounds the reads that are remembered to be told to other instances.
const maxReads = 1024

// ReadsSince returns the reads from here after a number of them, and their number
// now.
func (b *Board) ReadsSince(after int64) ([]Read, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(int(b.readings-after), len(b.reads))
	if n <= 0 {
		return nil, b.readings
	}
	return slices.Clone(b.reads[len(b.reads)-n:]), b.readings
}

// HearReads takes in reads of requests sent by another instance.
func (b *Board) HearReads(list []Read, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range list {
		if s := b.byID[r.Endpoint]; s != nil {
			s.kept.mark(r.Chain, now)
		}
	}
}

// read remembers a read to be told.
func (b *Board) read(r Read) {
	if len(b.reads) == maxReads {
		b.reads = slices.Delete(b.reads, 0, maxReads/4)
	}
	b.reads = append(b.reads, r)
	b.readings++
}

// Change is a belief about an endpoint that changed.
type Change struct {
	Endpoint string
	Service  string
	Address  string
	To       Condition
	Cause    string
}

// Condition says whether an endpoint gets work.
type Condition string

// The conditions of endpoints.
const (
	ConditionListed  Condition = "listed"
	ConditionReborn  Condition = "reborn"
	ConditionLeaving Condition = "leaving"
	ConditionGone    Condition = "gone"
	ConditionDown    Condition = "down"
	ConditionUp      Condition = "up"
)

// state is what is known of one endpoint.
type state struct {
	Endpoint
	hash uint64
	gone bool
	own  Work             // of requests sent from here
	far  map[string]heard // of requests sent by other instances, by address
	sum  load             // of all in far
	// promised lists the places granted to others from here.
	promised []promise
	// told is what the endpoint's home said of all requests but those sent
	// from here.
	told heard
	// reported is the endpoint's own count of requests when it last spoke,
	// beyond those that this instance knew of.
	reported float64
	heard    time.Time
	kept     *cache
	fault    fault
	spoke    atomic.Int64 // Unix nanoseconds when it last sent something
	pace     float64      // milliseconds between events, zero if not known
	slowed   time.Time    // when slow was learned
	slow     float64      // time taken over time expected, smoothed
}

// Work is what lies at an endpoint.
type Work struct {
	// Runs counts requests that were sent and have not ended.
	Runs int `json:"r"`
	// Tokens are those to be read by requests without a first event.
	Tokens int `json:"t,omitempty"`
}

func (b *Board) changed(s *state, to Condition, cause string) {
	if b.OnChange != nil {
		b.OnChange(Change{Endpoint: s.ID, Service: s.Service, Address: s.Address, To: to, Cause: cause})
	}
}

// Put takes in an endpoint's record.
func (b *Board) Put(e Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID == nil {
		b.byID, b.services = map[string]*state{}, map[string][]*state{}
	}
	s := b.byID[e.ID]
	if s != nil && (s.Service != e.Service || s.Address != e.Address || s.Born != e.Born) {
		b.remove(s, ConditionReborn, "its record names another start or address")
		s = nil
	}
	if s == nil {
		s = &state{Endpoint: e, hash: xxhash.Sum64String(e.ID), far: map[string]heard{}, kept: newCache(), slow: 1}
		b.byID[e.ID] = s
		b.services[e.Service] = append(b.services[e.Service], s)
		b.changed(s, ConditionListed, "its own record")
	}
	if e.Leaving && !s.Leaving {
		b.changed(s, ConditionLeaving, "its own record")
	}
	s.Endpoint = e
}

// Remove forgets an endpoint.
func (b *Board) Remove(id, cause string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byID[id]; s != nil {
		b.remove(s, ConditionGone, cause)
	}
}

func (b *Board) remove(s *state, to Condition, cause string) {
	s.gone = true
	delete(b.byID, s.ID)
	b.services[s.Service] = slices.DeleteFunc(b.services[s.Service], func(o *state) bool { return o == s })
	b.changed(s, to, cause)
}

// Endpoints returns the records of all endpoints, in no order.
func (b *Board) Endpoints() []Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Endpoint, 0, len(b.byID))
	for s := range maps.Values(b.byID) {
		list = append(list, s.Endpoint)
	}
	return list
}

// IDs returns the IDs of all endpoints, in no order.
func (b *Board) IDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.byID))
}

// Report takes in the load that an endpoint told with an answer.
func (b *Board) Report(id string, r fleet.Reply, now time.Time) {
	if !r.Reports {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byID[id]
	if s == nil {
		return
	}
	if r.Slots > 0 {
		s.Slots = r.Slots
	}
	s.reported = max(0, float64(r.Running+r.Waiting-s.own.Runs))
	s.heard = now
}

// reportTerm is how long an endpoint's count of others' requests fades: about as
// long as those requests run.
const reportTerm = 3 * time.Second

// Own returns the work of requests sent from here, by endpoint.
func (b *Board) Own() map[string]Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := map[string]Work{}
	for id, s := range b.byID {
		if s.own.Runs > 0 {
			list[id] = s.own
		}
	}
	return list
}

// Hear takes in the work of requests sent by another instance. Unless the list is
// whole, endpoints that are not in it stay as they were.
func (b *Board) Hear(instance string, list map[string]Work, whole bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.byID {
		w, ok := list[id]
		if !ok && !whole {
			continue
		}
		s.settle(instance, now)
		if old, known := s.far[instance]; known {
			s.sum.add(old, -1)
			delete(s.far, instance)
		}
		if w.Runs > 0 || w.Tokens > 0 {
			s.far[instance] = heard{w, now}
			s.sum.add(s.far[instance], 1)
		}
	}
}

// Forget drops what another instance has told.
func (b *Board) Forget(instance string, now time.Time) { b.Hear(instance, nil, true, now) }

// Counts are the endpoints of a service by what they are good for.
type Counts struct {
	Listed, Leaving, Down, Quiet int
	// Runs counts requests from everywhere, Slots how many may run at a time.
	Runs, Slots float64
}

// Services returns the counts of each service.
func (b *Board) Services(now time.Time) map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]Counts{}
	for service, list := range b.services {
		var c Counts
		for _, s := range list {
			c.Listed++
			runs, _ := b.total(s, now)
			c.Runs += runs
			c.Slots += float64(s.Slots)
			switch {
			case s.Leaving:
				c.Leaving++
			case s.fault.down:
				c.Down++
			case s.quiet(now):
				c.Quiet++
			}
		}
		counts[service] = c
	}
	return counts
}
