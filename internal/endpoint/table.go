// Package endpoint tracks the state of endpoints, decides which of them may get
// requests, and sends requests to them.
package endpoint

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// ejectionThreshold is how many consecutive calls must fail before an
	// endpoint is ejected.
	ejectionThreshold = 3
	// baseEjectionTime is how long the first ejection lasts. Each consecutive
	// one lasts longer by the same time, up to maxEjectionTime.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = time.Minute
	// crashCloseTime is how long an endpoint gets no requests after a crash.
	crashCloseTime = 3 * time.Second
	// maxEjectedFraction is the fraction of a service's endpoints that may be
	// ejected at a time, so that a fault common to all of them cannot leave the
	// service without endpoints.
	maxEjectedFraction = 0.5
	// slowStartDuration is how long it takes until a new endpoint is given all
	// of its slots, and slowStartMinFraction is the fraction that it starts with.
	slowStartDuration    = 10 * time.Second
	slowStartMinFraction = 0.25
	// maxReportAge is how long a load report stays valid.
	maxReportAge = 10 * time.Second
	// silenceLimit is how long an endpoint that accepts connections may send nothing
	// before that counts as a failure.
	silenceLimit = 3 * time.Second
	// dropMemory is how long what an endpoint said is remembered once it is no longer
	// listed: lists that are out of date may drop it and list it again.
	dropMemory = 10 * time.Minute
)

// State is the current state of one endpoint in the table.
type State struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// Closed endpoints get no new requests. ClosedReason is empty for others.
	Closed       bool   `json:"closed"`
	ClosedReason string `json:"why,omitempty"`
	// Quiet is set while the endpoint wants no requests from this instance. It is
	// neither closed nor failed, and other instances may use it.
	Quiet bool `json:"quiet,omitempty"`
	// Limit is how many requests of this instance may run there at a time; zero means
	// as many as it has slots.
	Limit int `json:"limit,omitempty"`
	// Incarnation is that of the instance list, zero if it states none.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Cold is how long the endpoint is cold or may be: requests need a start there. Zero
	// means that it is warm.
	Cold time.Duration `json:"cold,omitempty"`
	// Ready is set if the endpoint has loaded what its service needs.
	Ready   bool   `json:"ready"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// Load is the load report of an endpoint.
type Load struct {
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Leaving bool   `json:"leaving"`
	Ready   bool   `json:"ready"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   int64  `json:"fence,omitempty"`
	// ColdMillis is how long the endpoint is still cold after its start, in milliseconds. It is
	// nil if the endpoint does not say, 0 if it is warm.
	ColdMillis *int64 `json:"cold,omitempty"`
}

// Change is a state transition of an endpoint, for the audit trail.
type Change struct {
	Name  string
	To    string
	Cause string
	// Source is set if others or the endpoint itself said so.
	Source Source
}

// Table holds the endpoints as one instance sees them. It is not safe for
// concurrent use. Exported fields are set before the first call.
type Table struct {
	// DefaultSlots returns the number of slots of an endpoint that has not
	// reported its own; nil means 1.
	DefaultSlots func(service string) int
	// HasRequiredModel reports whether an endpoint has loaded what its service
	// needs; nil means that all have.
	HasRequiredModel func(service string, l Load) bool
	// Draining reports whether an endpoint must get no new requests because it
	// is about to load another model; nil means never.
	Draining func(name string) bool
	// Evacuated reports whether operators have emptied a failure domain; nil means never.
	Evacuated func(domain string) bool
	// StartupTime returns how long an endpoint of a service is cold after its start; zero or nil
	// means never.
	StartupTime func(service string) time.Duration
	// OnChange is called for every transition; nil is allowed.
	OnChange func(Change)

	entries map[string]*entry
	// incarnations counts the entries that were created.
	incarnations uint64
	// dropped holds endpoints that had asked to be left alone when they were dropped from
	// the instance list, by name.
	dropped map[string]*entry
	// lastQuiet is the latest end of all quiet that was ever asked for.
	lastQuiet time.Time
}

// entry is all that is known of one incarnation of an endpoint. Table.Check merges it.
type entry struct {
	instance fleet.Instance
	// incarnation is unique in the table. What was said of an earlier one does not
	// count for this one.
	incarnation uint64
	listedAt    time.Time
	// leaving is set by the first source that says so and stays set for the
	// incarnation, whatever other sources say. It overrules everything below.
	leaving       bool
	leavingSource Source
	leavingSince  time.Time
	// quietUntil is the latest end of the quiet for which the endpoint asked this
	// instance; quietSince is when it began. They overrule everything below.
	quietSince time.Time
	quietUntil time.Time
	// closedUntil is the end of an ejection by this instance. It overrules what the
	// home says.
	closedSince time.Time
	closedUntil time.Time
	// homeState is the state that the endpoint's home, the instance that grants
	// its slots, has sent. It is nil if there is none or if this instance is the
	// home. It overrules the load report.
	homeState   *State
	homeStateAt time.Time
	slowStartAt time.Time
	load        Load
	reportedAt  time.Time
	failures    int
	ejections   int // consecutive ejections
	probing     bool
	droppedAt   time.Time // when the instance list no longer had it
	silentSince time.Time // zero unless the last request for a load report timed out
	warmth      warmth
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]*entry{}, dropped: map[string]*entry{}} }

// SetInstances updates the table from the instance list. Endpoints that are no
// longer listed are removed. A new address or a higher incarnation is another endpoint,
// of which nothing is known yet; a record of a lower incarnation is out of date.
func (t *Table) SetInstances(list []fleet.Instance, now time.Time) {
	listed := map[string]bool{}
	for _, in := range list {
		if in.Role != fleet.RoleEndpoint {
			continue
		}
		listed[in.Name] = true
		e := t.entries[in.Name]
		known := fleet.Instance{}
		if e != nil {
			known = e.instance
		}
		if in.Incarnation != 0 && in.Incarnation < known.Incarnation {
			continue
		}
		replaced := known.Incarnation != 0 && in.Incarnation > known.Incarnation
		if e == nil || known.Address != in.Address || replaced {
			t.add(in, now)
			continue
		}
		in.Incarnation = max(in.Incarnation, known.Incarnation)
		e.instance = in
		if in.Leaving {
			t.markLeaving(e, SourceList, "instance list", now)
		}
	}
	for name, e := range t.entries {
		if !listed[name] {
			delete(t.entries, name)
			t.rememberDropped(e, now)
			t.notify(Change{Name: name, To: "dropped", Cause: "not in the instance list"})
		}
	}
	maps.DeleteFunc(t.dropped, func(_ string, e *entry) bool { return now.Sub(e.droppedAt) > dropMemory })
}

// rememberDropped keeps what an endpoint said. Without an incarnation, one that is listed again
// counts as another.
func (t *Table) rememberDropped(e *entry, now time.Time) {
	if e.instance.Incarnation != 0 && (e.leaving || now.Before(e.quietUntil)) {
		e.droppedAt = now
		t.dropped[e.instance.Name] = e
	}
}

func (t *Table) add(in fleet.Instance, now time.Time) {
	t.incarnations++
	e := &entry{instance: in, incarnation: t.incarnations, listedAt: now, slowStartAt: now}
	t.entries[in.Name] = e
	t.notify(Change{Name: in.Name, To: "listed", Cause: "instance list"})
	if d := t.dropped[in.Name]; d != nil && d.instance.Address == in.Address && d.instance.Incarnation == in.Incarnation {
		e.leaving, e.leavingSource, e.leavingSince = d.leaving, d.leavingSource, d.leavingSince
		e.quietSince, e.quietUntil = d.quietSince, d.quietUntil
	}
	delete(t.dropped, in.Name)
	if in.Leaving {
		t.markLeaving(e, SourceList, "instance list", now)
	}
	t.markCold(e, "instance list", SourceList, now)
	if in.Incarnation != 0 {
		// What its home says of this incarnation is about this start.
		e.warmth.doubtUntil = now
	}
}

func (t *Table) markLeaving(e *entry, from Source, cause string, now time.Time) {
	if e.leaving {
		return
	}
	e.leaving, e.leavingSource, e.leavingSince = true, from, now
	t.notify(Change{Name: e.instance.Name, To: string(ReasonLeaving), Cause: cause, Source: from})
}

func (t *Table) notify(c Change) {
	if t.OnChange != nil {
		t.OnChange(c)
	}
}

// RecordLoad stores an endpoint's load report.
func (t *Table) RecordLoad(name string, l Load, now time.Time) {
	e := t.entries[name]
	if e == nil {
		return
	}
	if l.Ready && !e.load.Ready {
		e.slowStartAt = now
	}
	switch {
	case l.ColdMillis != nil:
		t.setCold(e, time.Duration(*l.ColdMillis)*time.Millisecond, "its load report", SourceReport, now)
	case !e.silentSince.IsZero():
		t.markCold(e, "sent nothing for a while", SourceReport, now)
	}
	e.load = l
	e.reportedAt = now
	if !e.silentSince.IsZero() {
		e.silentSince = time.Time{}
		t.notify(Change{Name: name, To: "heard", Cause: "load report", Source: SourceReport})
	}
	if l.Leaving {
		t.markLeaving(e, SourceReport, "its own load report", now)
	}
}

// RecordSilence records that an endpoint did not answer a request for a load report in
// time. It returns false while that is no failure: an endpoint that pauses for a moment
// goes on with what it was sent.
func (t *Table) RecordSilence(name string, since, now time.Time) bool {
	e := t.entries[name]
	if e == nil {
		return false
	}
	if e.silentSince.IsZero() {
		e.silentSince = since
		t.notify(Change{Name: name, To: "silent", Cause: "no load report in time", Source: SourceReport})
	}
	if now.Sub(e.silentSince) < silenceLimit {
		return false
	}
	e.failures = max(e.failures, ejectionThreshold-1)
	t.RecordResult(name, false, now)
	return true
}

// RecordResult records whether a call reached the endpoint and got a response. It
// ejects the endpoint after several consecutive failures.
func (t *Table) RecordResult(name string, ok bool, now time.Time) {
	e := t.entries[name]
	if e == nil {
		return
	}
	if ok {
		if e.ejections > 0 && e.probing {
			t.notify(Change{Name: name, To: "restored", Cause: "probe answered"})
			e.slowStartAt = now
		}
		e.failures, e.ejections, e.probing = 0, 0, false
		return
	}
	e.failures++
	t.markCold(e, "a call failed", SourceSelf, now)
	if e.probing || e.failures >= ejectionThreshold {
		t.eject(e, now)
	}
}

// ClearEjections ends the ejections of a failure domain's endpoints after a
// partition: calls to them failed because the domain was not reachable.
func (t *Table) ClearEjections(domain string) {
	for _, e := range t.entries {
		if e.instance.Domain == domain {
			e.failures, e.ejections, e.probing, e.closedUntil = 0, 0, false, time.Time{}
		}
	}
}

// MarkCrashed closes an endpoint that broke connections and does not respond, for
// as long as a restart may take. From then on its load reports decide.
func (t *Table) MarkCrashed(name string, now time.Time) {
	e := t.entries[name]
	if e == nil || now.Before(e.closedUntil) {
		return
	}
	e.closedSince, e.closedUntil = now, now.Add(crashCloseTime)
	t.markCold(e, "crashed", SourceSelf, e.closedUntil)
	t.notify(Change{Name: name, To: "crashed", Cause: "broke off requests and did not answer"})
}

func (t *Table) eject(e *entry, now time.Time) {
	if now.Before(e.closedUntil) {
		return
	}
	all, closed := 0, 0
	for _, other := range t.entries {
		if other.instance.Service != e.instance.Service {
			continue
		}
		all++
		if other != e && now.Before(other.closedUntil) {
			closed++
		}
	}
	if float64(closed+1) > maxEjectedFraction*float64(all) {
		return
	}
	e.ejections++
	e.probing = true
	e.closedSince, e.closedUntil = now, now.Add(min(time.Duration(e.ejections)*baseEjectionTime, maxEjectionTime))
	t.notify(Change{Name: e.instance.Name, To: "ejected", Cause: fmt.Sprintf("%d calls in a row failed", e.failures)})
}

// SetHomeState stores the state of an endpoint that its home sent. That the endpoint leaves
// stays known when another instance becomes the home, if both mean the same incarnation.
func (t *Table) SetHomeState(s State, now time.Time) {
	e := t.entries[s.Name]
	if e == nil || s.Incarnation < e.instance.Incarnation {
		return
	}
	e.homeState, e.homeStateAt = &s, now
	if s.Cold > 0 || !now.Before(e.warmth.doubtUntil) {
		t.setCold(e, s.Cold, "its home", SourceHome, now)
	}
	if Reason(s.ClosedReason) == ReasonLeaving && s.Incarnation != 0 && s.Incarnation == e.instance.Incarnation {
		t.markLeaving(e, SourceHome, "its home", now)
	}
}

// ClearHomeState removes the state that a home sent before a time at which this instance was the
// home. One that came later is that of the next home.
func (t *Table) ClearHomeState(name string, before time.Time) {
	if e := t.entries[name]; e != nil && e.homeStateAt.Before(before) {
		e.homeState = nil
	}
}

// Instance returns the instance list's entry of an endpoint.
func (t *Table) Instance(name string) (fleet.Instance, bool) {
	e := t.entries[name]
	if e == nil {
		return fleet.Instance{}, false
	}
	return e.instance, true
}

// Load returns the last load report of an endpoint, or the zero Load if there is
// none.
func (t *Table) Load(name string) Load {
	if e := t.entries[name]; e != nil {
		return e.load
	}
	return Load{}
}

// States returns the current states of all endpoints, ordered by name.
func (t *Table) States(now time.Time) []State {
	states := make([]State, 0, len(t.entries))
	for _, e := range t.entries {
		states = append(states, t.state(e, now))
	}
	slices.SortFunc(states, func(a, b State) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return states
}

func (t *Table) state(e *entry, now time.Time) State {
	s := State{
		Name: e.instance.Name, Service: e.instance.Service, Domain: e.instance.Domain, Address: e.instance.Address,
		Model: e.load.Model, Version: e.load.Version, Incarnation: e.instance.Incarnation,
		Slots: t.slots(e, now), Ready: t.ready(e),
	}
	if e.homeState != nil && !e.leaving && !now.Before(e.closedUntil) {
		s.Slots, s.Ready = e.homeState.Slots, e.homeState.Ready
	}
	v := t.verdict(e, UseCaller, now)
	if v.Reason == ReasonQuiet {
		s.Quiet = true
		v = t.capability(e, now)
	}
	s.Closed, s.ClosedReason = !v.Allowed(), string(v.Reason)
	s.Limit = recoveryLimit(e, s.Slots, now)
	s.Cold = t.cold(e, now)
	return s
}

func (t *Table) ready(e *entry) bool {
	if !e.load.Ready {
		return false
	}
	return t.HasRequiredModel == nil || t.HasRequiredModel(e.instance.Service, e.load)
}

// slots returns how many requests the endpoint may run now: one while it is
// probed, and an increasing fraction of its slots during the slow start.
func (t *Table) slots(e *entry, now time.Time) int {
	all := e.load.Slots
	if all == 0 && t.DefaultSlots != nil {
		all = t.DefaultSlots(e.instance.Service)
	}
	all = max(all, 1)
	if e.probing {
		return 1
	}
	age := now.Sub(e.slowStartAt)
	if age >= slowStartDuration || e.ejections == 0 && t.allInSlowStart(e) {
		return all
	}
	fraction := slowStartMinFraction + (1-slowStartMinFraction)*age.Seconds()/slowStartDuration.Seconds()
	return max(1, int(fraction*float64(all)))
}

// allInSlowStart reports whether no endpoint of the service began its slow start
// more than slowStartDuration before this one, as after a start of the whole site.
// Limiting the endpoints would only waste slots then.
func (t *Table) allInSlowStart(e *entry) bool {
	for _, other := range t.entries {
		if other.instance.Service == e.instance.Service && other.slowStartAt.Before(e.slowStartAt.Add(-slowStartDuration)) {
			return false
		}
	}
	return true
}
