// Package endpoint keeps what is known about endpoints, decides which of them get
// work and carries requests to them.
package endpoint

import (
	"fmt"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// failuresToEject is how many calls in a row must fail before an endpoint
	// is ejected.
	failuresToEject = 3
	// ejectTerm is how long the first ejection lasts; each further one in a
	// row lasts as much longer, up to maxEjectTerm.
	ejectTerm    = 5 * time.Second
	maxEjectTerm = time.Minute
	// crashTerm is how long an endpoint that crashed gets no work.
	crashTerm = 3 * time.Second
	// maxEjectedPart is the part of a service's endpoints that may be ejected
	// at a time, so that a fault that all share cannot empty the service.
	maxEjectedPart = 0.5
	// slowStart is how long a new endpoint takes to reach all of its slots,
	// and slowStartPart is the part of them that it begins with.
	slowStart     = 10 * time.Second
	slowStartPart = 0.25
	// reportTerm is how long a load report stays valid.
	reportTerm = 10 * time.Second
)

// State is what the table says about one endpoint now.
type State struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// Closed endpoints get no new work; Why says the reason.
	Closed bool   `json:"closed"`
	Why    string `json:"why,omitempty"`
	// Ready endpoints have what their service needs loaded.
	Ready   bool   `json:"ready"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// Load is what an endpoint reports about itself.
type Load struct {
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Leaving bool   `json:"leaving"`
	Ready   bool   `json:"ready"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   int64  `json:"fence,omitempty"`
}

// Change is a transition of an endpoint, for the audit trail.
type Change struct {
	Name  string
	To    string
	Cause string
}

// Table is the view of one instance. It is not safe for concurrent use. Exported
// fields are set before the first call.
type Table struct {
	// Slots returns the slots of an endpoint that has not reported yet; nil
	// means 1.
	Slots func(service string) int
	// Wants reports whether what an endpoint has loaded is what its service
	// needs; nil means always.
	Wants func(service string, l Load) bool
	// Drained reports whether an endpoint must get no new work because it is
	// about to load something else; nil means never.
	Drained func(name string) bool
	// OnChange is called for every transition; nil is allowed.
	OnChange func(Change)

	known map[string]*known
}

type known struct {
	instance fleet.Instance
	since    time.Time
	load     Load
	reported time.Time
	// remote is what the endpoint's home says, for endpoints homed elsewhere.
	remote   *State
	leaving  bool // sticky: an endpoint that left does not come back by itself
	failures int
	ejected  int // ejections in a row
	until    time.Time
	probing  bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{known: map[string]*known{}} }

// Seed takes in the instance list. Endpoints that vanished from it are dropped.
// It returns the endpoints that are gone.
func (t *Table) Seed(list []fleet.Instance, now time.Time) {
	listed := map[string]bool{}
	for _, in := range list {
		if in.Role != fleet.RoleEndpoint {
			continue
		}
		listed[in.Name] = true
		k := t.known[in.Name]
		if k == nil || k.instance.Address != in.Address {
			t.known[in.Name] = &known{instance: in, since: now, leaving: in.Leaving}
			t.changed(in.Name, "listed", "instance list")
			continue
		}
		if in.Leaving {
			t.leave(k, "instance list")
		}
		k.instance = in
	}
	for name := range t.known {
		if !listed[name] {
			delete(t.known, name)
			t.changed(name, "dropped", "not in the instance list")
		}
	}
}

func (t *Table) leave(k *known, cause string) {
	if k.leaving {
		return
	}
	k.leaving = true
	t.changed(k.instance.Name, "leaving", cause)
}

func (t *Table) changed(name, to, cause string) {
	if t.OnChange != nil {
		t.OnChange(Change{Name: name, To: to, Cause: cause})
	}
}

// Report takes in an endpoint's load report.
func (t *Table) Report(name string, l Load, now time.Time) {
	k := t.known[name]
	if k == nil {
		return
	}
	if l.Ready && !k.load.Ready {
		k.since = now
	}
	k.load = l
	k.reported = now
	if l.Leaving {
		t.leave(k, "its own load report")
	}
}

// Result takes in whether a call reached the endpoint and was answered, and
// ejects it after several failures in a row.
func (t *Table) Result(name string, ok bool, now time.Time) {
	k := t.known[name]
	if k == nil {
		return
	}
	if ok {
		if k.ejected > 0 && k.probing {
			t.changed(name, "restored", "probe answered")
			k.since = now
		}
		k.failures, k.ejected, k.probing = 0, 0, false
		return
	}
	k.failures++
	if k.probing || k.failures >= failuresToEject {
		t.eject(k, now)
	}
}

// Rejoined ends the ejections of a failure domain's endpoints: calls to them failed
// because the domain was cut off.
func (t *Table) Rejoined(domain string) {
	for _, k := range t.known {
		if k.instance.Domain == domain {
			k.failures, k.ejected, k.probing, k.until = 0, 0, false, time.Time{}
		}
	}
}

// Crash closes an endpoint that broke off requests and does not answer, until it
// has had time to come back. Its load reports decide from then on.
func (t *Table) Crash(name string, now time.Time) {
	k := t.known[name]
	if k == nil || now.Before(k.until) {
		return
	}
	k.until = now.Add(crashTerm)
	t.changed(name, "crashed", "broke off requests and did not answer")
}

func (t *Table) eject(k *known, now time.Time) {
	if now.Before(k.until) {
		return
	}
	all, out := 0, 0
	for _, other := range t.known {
		if other.instance.Service != k.instance.Service {
			continue
		}
		all++
		if other != k && now.Before(other.until) {
			out++
		}
	}
	if float64(out+1) > maxEjectedPart*float64(all) {
		return
	}
	k.ejected++
	k.probing = true
	k.until = now.Add(min(time.Duration(k.ejected)*ejectTerm, maxEjectTerm))
	t.changed(k.instance.Name, "ejected", fmt.Sprintf("%d calls in a row failed", k.failures))
}

// Follow takes in what an endpoint's home says about it.
func (t *Table) Follow(s State) {
	k := t.known[s.Name]
	if k == nil {
		return
	}
	k.remote = &s
}

// Unfollow forgets what a home said, because the duty moved here.
func (t *Table) Unfollow(name string) {
	if k := t.known[name]; k != nil {
		k.remote = nil
	}
}

// Instance returns the instance list's entry of an endpoint.
func (t *Table) Instance(name string) (fleet.Instance, bool) {
	k := t.known[name]
	if k == nil {
		return fleet.Instance{}, false
	}
	return k.instance, true
}

// Load returns the last load report of an endpoint.
func (t *Table) Load(name string) Load {
	if k := t.known[name]; k != nil {
		return k.load
	}
	return Load{}
}

// States returns all endpoints as they are now, ordered by name.
func (t *Table) States(now time.Time) []State {
	states := make([]State, 0, len(t.known))
	for _, k := range t.known {
		states = append(states, t.state(k, now))
	}
	slices.SortFunc(states, func(a, b State) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return states
}

func (t *Table) state(k *known, now time.Time) State {
	s := State{
		Name: k.instance.Name, Service: k.instance.Service, Domain: k.instance.Domain, Address: k.instance.Address,
		Model: k.load.Model, Version: k.load.Version,
	}
	if k.remote != nil && !k.leaving && !now.Before(k.until) {
		s.Slots, s.Closed, s.Why, s.Ready = k.remote.Slots, k.remote.Closed, k.remote.Why, k.remote.Ready
		return s
	}
	s.Slots = t.slots(k, now)
	s.Ready = t.ready(k)
	switch {
	case k.leaving:
		s.Closed, s.Why = true, "leaving"
	case now.Before(k.until):
		s.Closed, s.Why = true, "ejected"
	case k.reported.IsZero():
		s.Closed, s.Why = true, "no load report yet"
	case now.Sub(k.reported) > reportTerm:
		s.Closed, s.Why = true, "load report too old"
	case !s.Ready:
		s.Closed, s.Why = true, "not ready"
	case t.Drained != nil && t.Drained(s.Name):
		s.Closed, s.Why = true, "drained for a change"
	}
	return s
}

func (t *Table) ready(k *known) bool {
	if !k.load.Ready {
		return false
	}
	return t.Wants == nil || t.Wants(k.instance.Service, k.load)
}

// slots returns how many requests the endpoint may run now: one while it is
// probed, a growing part of all during the slow start.
func (t *Table) slots(k *known, now time.Time) int {
	all := k.load.Slots
	if all == 0 && t.Slots != nil {
		all = t.Slots(k.instance.Service)
	}
	all = max(all, 1)
	if k.probing {
		return 1
	}
	age := now.Sub(k.since)
	if age >= slowStart || k.ejected == 0 && t.alone(k) {
		return all
	}
	part := slowStartPart + (1-slowStartPart)*age.Seconds()/slowStart.Seconds()
	return max(1, int(part*float64(all)))
}

// alone reports whether all endpoints of the service are in their slow start, as
// after the start of the whole site: holding them back would only waste slots.
func (t *Table) alone(k *known) bool {
	for _, other := range t.known {
		if other.instance.Service == k.instance.Service && other.since.Before(k.since.Add(-slowStart)) {
			return false
		}
	}
	return true
}
