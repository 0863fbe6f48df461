// Package placement chooses the endpoint that runs a request. It estimates the time to
// the first event from the work already queued at an endpoint, the parts of the prompt
// that the endpoint has cached, its speed and its failures.
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

// Endpoint is one endpoint as its own directory record describes it.
type Endpoint struct {
	ID string
	fleet.EndpointInfo
	// Seen is when the record was read.
	Seen time.Time
}

// Balancer holds the view that one instance has of all endpoints and chooses among
// them. The zero value is ready to use. It is safe for concurrent use.
type Balancer struct {
	// LocalDomain is the failure domain of this instance.
	LocalDomain string
	// Regions holds the region of each failure domain; a domain that is missing is in none.
	Regions map[string]string
	// Instances returns how many instances send to the endpoints; nil means
	// that only this one does.
	Instances func() int
	// Lag returns by how much this process is behind at the moment, the time for which what has
	// arrived waits to be read; nil means that it never is. It must not call the balancer.
	Lag func() time.Duration
	// OnChange is called, with the balancer locked, when the condition of an
	// endpoint changes; nil is allowed.
	OnChange func(c Change)
	// OnInvalidTime is called, with the balancer locked, when a measured time is negative.
	// Nothing is learned from it. nil is allowed.
	OnInvalidTime func(service string, m Measurement)
	// HeartbeatInterval is how often endpoints write their records: an endpoint that may have
	// become cold counts as cold for so much longer than its start takes.
	HeartbeatInterval time.Duration

	mu            sync.Mutex
	services      map[string][]*endpointState
	byID          map[string]*endpointState
	former        formerEndpoints
	evacuated     map[string]bool      // failure domains that operators have emptied
	evacuationEnd map[string]time.Time // of others, by what homes of endpoints there have said
	lastSends     map[string]time.Time // when this instance last sent a request, by failure domain of the endpoint
	departures    departureLog
	instances     int                // that send to the endpoints, as of the last choice
	startups      map[string]Startup // of the services with a start-up rate, by name
	latencyModels map[string]*latencyModel
	fills         []CacheFill // the newest fills by requests of this instance, oldest first
	fillCount     int64       // number of all fills by requests of this instance
	// listing counts the changes of the list of endpoints and of their failure domains.
	listing atomic.Int64
	// reported holds the endpoints at which the work of each other instance is set, by its address, granted
	// those with pending grants.
	reported map[string]map[*endpointState]struct{}
	granted  map[*endpointState]struct{}
}

// Listing returns a number that changes when an endpoint is added or removed, or its failure domain
// changes.
func (b *Balancer) Listing() int64 { return b.listing.Load() }

// CacheFill records that an endpoint processes shared parts of a prompt that it had not
// cached, so that it has them cached from then on.
type CacheFill struct {
	Endpoint string `json:"e"`
	// PrefixHashes identifies the parts, each together with all parts before it.
	PrefixHashes []uint64 `json:"c"`
	// born is the start of the endpoint that has cached the parts.
	born int64
}

// maxFills bounds the cache fills that are kept for sending to other instances.
const maxFills = 1024

// CacheFillsSince returns the cache fills caused by this instance, without the
// first after ones, and the number of all so far. Fills that are no longer kept, and those at
// endpoints that have gone or restarted since, are left out; the list is nil if there is nothing new.
func (b *Balancer) CacheFillsSince(after int64) ([]CacheFill, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(int(b.fillCount-after), len(b.fills))
	if n <= 0 {
		return nil, b.fillCount
	}
	var fills []CacheFill
	for _, fill := range b.fills[len(b.fills)-n:] {
		if s := b.byID[fill.Endpoint]; s != nil && s.Born == fill.born {
			fills = append(fills, fill)
		}
	}
	return fills, b.fillCount
}

// MergeCacheFills adds cache fills caused by requests of another instance. Fills of
// unknown endpoints are ignored.
func (b *Balancer) MergeCacheFills(fills []CacheFill, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, fill := range fills {
		if s := b.byID[fill.Endpoint]; s != nil {
			s.cache.markUsed(fill.PrefixHashes, now)
		}
	}
}

// recordCacheFill keeps a fill for sending to other instances.
func (b *Balancer) recordCacheFill(fill CacheFill) {
	if len(b.fills) == maxFills {
		b.fills = slices.Delete(b.fills, 0, maxFills/4)
	}
	b.fills = append(b.fills, fill)
	b.fillCount++
}

// Change is a new condition of an endpoint.
type Change struct {
	Endpoint string
	Service  string
	Address  string
	To       Condition
	// Reason is why the endpoint takes no new requests; empty if it takes them.
	Reason Unavailability
	// Cause names the source of what was learned, Age is how old it was; zero means new or not
	// known.
	Cause string
	Age   time.Duration
	// For is how long the endpoint wants no requests; zero means not limited.
	For time.Duration
}

// Condition is the availability of an endpoint for new requests.
type Condition string

// The conditions of endpoints. ConditionListed means that the endpoint was added,
// ConditionRestarted that it came back under its ID after a restart or with another
// address or service, ConditionLeaving that it gets no new requests, ConditionQuiet that it gets
// none for a while, ConditionGone that it was removed, ConditionCold that it gets requests at a
// limited rate only, ConditionDown that no connection to it can be made, and ConditionUp that it is
// reachable again or no longer cold.
const (
	ConditionListed    Condition = "listed"
	ConditionRestarted Condition = "reborn"
	ConditionLeaving   Condition = "leaving"
	ConditionQuiet     Condition = "quiet"
	ConditionGone      Condition = "gone"
	ConditionCold      Condition = "cold"
	ConditionDown      Condition = "down"
	ConditionUp        Condition = "up"
)

// endpointState is what this instance knows of one endpoint.
type endpointState struct {
	Endpoint
	availability
	quietReported bool // OnChange was told that it is quiet, and not yet that this ended
	startup       Startup
	coldReported  bool      // OnChange was told that it is cold, and not yet that this ended
	coldReportEnd time.Time // until when it was cold by what was last reported
	startAfter    time.Time // earliest time of the next request for a start
	region        string    // of its failure domain; empty means that it is in none
	hash          uint64
	model         *latencyModel         // of its service
	local         Work                  // of requests sent by this instance
	remote        map[string]remoteWork // of requests sent by other instances, by their address
	remoteSum     workSum               // of all in remote
	bodyBytes     int64                 // of large bodies sent by this instance
	// grants lists the slots that this instance, as the home of the endpoint,
	// granted to others.
	grants []pendingGrant
	// homeWork is what the endpoint's home instance last reported of all
	// requests but those sent by this instance.
	homeWork remoteWork
	// reportedRuns is the endpoint's own count of requests in its last report,
	// less those that this instance had sent.
	reportedRuns    float64
	reportedAt      time.Time
	cache           *promptCache
	fault           fault
	lastReceived    atomic.Int64 // when the endpoint last sent data, see sinceEpoch
	silent          atomic.Bool  // down because of a silence; data from the endpoint ends it
	streams         int          // in progress, sent by this instance
	silentFrom      time.Time    // beginning of the last silence that ended during a stream
	silentTo        time.Time    // end of that silence
	eventIntervalMS float64      // milliseconds between events, zero if not known
	slowdownAt      time.Time    // when slowdown was last updated
	slowdown        float64      // ratio of the time taken to the time expected, smoothed
	hostSlowdown    float64      // how many times longer than usual work takes on its machine, as last reported; zero means never reported
	hostSlowdownAt  time.Time    // when hostSlowdown was reported
}

// Work is the load that requests put on an endpoint.
type Work struct {
	// Runs counts requests that were sent and have not ended.
	Runs int `json:"r"`
	// Tokens counts the prompt tokens still to be processed, for requests
	// without a first event.
	Tokens int `json:"t,omitempty"`
}

// notifyChange calls OnChange with a change of an endpoint.
func (b *Balancer) notifyChange(s *endpointState, c Change) {
	if b.OnChange != nil {
		c.Endpoint, c.Service, c.Address = s.ID, s.Service, s.Address
		b.OnChange(c)
	}
}

// Put adds an endpoint or updates its record. A record with another service, address or
// start time replaces the endpoint: all that was learned of it is dropped.
func (b *Balancer) Put(e Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID == nil {
		b.byID, b.services = map[string]*endpointState{}, map[string][]*endpointState{}
	}
	s := b.byID[e.ID]
	if s != nil && (s.Service != e.Service || s.Address != e.Address || s.Born != e.Born) {
		b.remove(s, ConditionRestarted, "its record has another start time, service or address")
		s = nil
	}
	isNew := s == nil
	if isNew || s.Domain != e.Domain {
		b.listing.Add(1)
	}
	if isNew {
		s = &endpointState{Endpoint: e, startup: b.startups[e.Service], availability: b.former.recall(e.incarnation(), time.Now()), hash: xxhash.Sum64String(e.ID), model: b.latencyModel(e.Service), remote: map[string]remoteWork{}, cache: newPromptCache(), slowdown: 1}
		b.byID[e.ID] = s
		b.services[e.Service] = append(b.services[e.Service], s)
		b.notifyChange(s, Change{To: ConditionListed, Cause: "its directory record"})
		if reason := s.unavailability(time.Now()); reason.Leaving() {
			b.notifyChange(s, Change{To: ConditionLeaving, Reason: reason, Cause: "its answer before the record lapsed"})
		}
	}
	if e.Leaving && !s.leavingByRecord {
		c := Change{To: ConditionLeaving, Reason: UnavailableLeavingByRecord, Cause: "its directory record"}
		if !e.Seen.IsZero() {
			c.Age = time.Since(e.Seen)
		}
		b.notifyChange(s, c)
	}
	s.Endpoint, s.leavingByRecord, s.region = e, e.Leaving, b.Regions[e.Domain]
	b.recordWarmth(s, e, isNew)
	b.setEvacuated(s, b.evacuated[e.Domain], time.Now())
}

// Remove removes an endpoint. An unknown ID is ignored.
func (b *Balancer) Remove(id, cause string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.byID[id]; s != nil {
		b.remove(s, ConditionGone, cause)
	}
}

func (b *Balancer) remove(s *endpointState, to Condition, cause string) {
	b.former.remember(s.incarnation(), s.outlasting(), time.Now())
	s.removed = true
	b.listing.Add(1)
	delete(b.byID, s.ID)
	b.services[s.Service] = slices.DeleteFunc(b.services[s.Service], func(o *endpointState) bool { return o == s })
	b.notifyChange(s, Change{To: to, Reason: UnavailableRemoved, Cause: cause})
}

// Endpoints returns the records of all endpoints, in no order.
func (b *Balancer) Endpoints() []Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Endpoint, 0, len(b.byID))
	for s := range maps.Values(b.byID) {
		list = append(list, s.Endpoint)
	}
	return list
}

// RecordLoad records the load that an endpoint reported in the headers of a response.
// Responses without a report are ignored, and those of another incarnation than the listed one.
func (b *Balancer) RecordLoad(e Endpoint, r fleet.ResponseAttrs, now time.Time) {
	if !r.HasLoad {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.listed(e)
	if s == nil {
		return
	}
	if r.Slots > 0 {
		s.Slots = r.Slots
	}
	s.reportedRuns = max(0, float64(r.Running+r.Waiting-s.local.Runs))
	s.reportedAt = now
	if r.HostSlowdown > 0 {
		s.hostSlowdown, s.hostSlowdownAt = min(max(r.HostSlowdown, minSlowdown), maxSlowdown), now
	}
}

// reportDecayTime is the time over which an endpoint's report of the requests of other
// instances decays linearly to zero: about as long as those requests run.
const reportDecayTime = 3 * time.Second

// LocalWork returns the work of requests sent by this instance, by endpoint ID.
// Endpoints without any are left out.
func (b *Balancer) LocalWork() map[string]Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := map[string]Work{}
	for id, s := range b.byID {
		if s.local.Runs > 0 {
			list[id] = s.local
		}
	}
	return list
}

// LocalWorkAt returns the work of requests sent by this instance at the endpoints with these IDs,
// also where there is none. Unknown IDs are left out.
func (b *Balancer) LocalWorkAt(ids []string) map[string]Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[string]Work, len(ids))
	for _, id := range ids {
		if s := b.byID[id]; s != nil {
			list[id] = s.local
		}
	}
	return list
}

// SetInstanceWork sets the work of requests sent by another instance, by endpoint ID.
// Endpoints that are missing from an incomplete list keep what was set before; missing
// from a complete one, they have none.
func (b *Balancer) SetInstanceWork(instance string, list map[string]Work, complete bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if complete {
		for s := range b.granted {
			b.dropGrants(s, instance, now)
		}
		for s := range b.reported[instance] {
			if _, listed := list[s.ID]; !listed || s.removed {
				b.setRemote(s, instance, Work{}, now)
			}
		}
	}
	for id, w := range list {
		if s := b.byID[id]; s != nil {
			b.dropGrants(s, instance, now)
			b.setRemote(s, instance, w, now)
		}
	}
}

// setRemote sets the work of requests sent by another instance. The caller holds the lock.
func (b *Balancer) setRemote(s *endpointState, instance string, w Work, now time.Time) {
	old, known := s.remote[instance]
	if known {
		s.remoteSum.add(old, -1)
	}
	if w.Runs <= 0 && w.Tokens <= 0 {
		if known {
			delete(s.remote, instance)
			delete(b.reported[instance], s)
		}
		return
	}
	s.remote[instance] = remoteWork{w, now}
	s.remoteSum.add(s.remote[instance], 1)
	if known {
		return
	}
	if b.reported == nil {
		b.reported = map[string]map[*endpointState]struct{}{}
	}
	if b.reported[instance] == nil {
		b.reported[instance] = map[*endpointState]struct{}{}
	}
	b.reported[instance][s] = struct{}{}
}

// ForgetInstance drops the work of another instance.
func (b *Balancer) ForgetInstance(instance string, now time.Time) {
	b.SetInstanceWork(instance, nil, true, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reported, instance)
}

// Counts counts the endpoints of a service. Each of those listed counts at most once as
// Leaving, Evacuated, Quiet, Down, Cold or Stalled, in this order.
type Counts struct {
	Listed, Leaving, Evacuated, Quiet, Down, Cold, Stalled int
	// Runs counts requests of all instances, Slots how many the endpoints run
	// at a time.
	Runs, Slots float64
}

// Services returns the counts of each service, by its name.
func (b *Balancer) Services(now time.Time) map[string]Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]Counts{}
	for service, list := range b.services {
		var c Counts
		for _, s := range list {
			c.Listed++
			runs, _ := b.totalWork(s, now)
			c.Runs += runs
			c.Slots += float64(s.Slots)
			switch {
			case s.unavailability(now).Leaving():
				c.Leaving++
			case s.evacuated:
				c.Evacuated++
			case s.unavailability(now) == UnavailableQuiet:
				c.Quiet++
			case s.down:
				c.Down++
			case s.isCold(now):
				c.Cold++
			case s.stalled(now):
				c.Stalled++
			}
		}
		counts[service] = c
	}
	return counts
}
