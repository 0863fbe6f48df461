package endpoint

import (
	"fmt"
	"time"
)

// Reason is why an endpoint must not be sent a request. Reasons are shown to operators and
// sent to peers.
type Reason string

// The reasons, in the order in which they are checked.
const (
	ReasonUnlisted  Reason = "not in the instance list"
	ReasonLeaving   Reason = "leaving"
	ReasonEvacuated Reason = "evacuated"
	ReasonQuiet     Reason = "quiet"
	ReasonCold      Reason = "cold"
	ReasonEjected   Reason = "ejected"
	ReasonNoReport  Reason = "no load report yet"
	ReasonOldReport Reason = "load report too old"
	ReasonNotReady  Reason = "not ready"
	ReasonDraining  Reason = "drained for a change"
)

// Source is where the knowledge behind a reason comes from. A source earlier in this list
// is not overruled by a later one: an instance list or a home that says less than the
// endpoint itself said does not bring it back.
type Source string

// The sources, in the order of their precedence.
const (
	SourceOperator Source = "operator" // the configuration in force
	SourceAnswer   Source = "answer"   // the head of one of its answers to this instance
	SourceReport   Source = "report"   // its load report
	SourceList     Source = "record"   // its record in the instance list
	SourceHome     Source = "peer"     // the endpoint's home
	SourceSelf     Source = "self"     // what this instance concluded from calls to it
)

// Use is what a request to an endpoint is for.
type Use string

// The uses. A first attempt, a retry and a resumption are all for a caller.
const (
	UseCaller Use = "caller"
	UseOrder  Use = "order"
	UseProbe  Use = "probe"
)

// Verdict says whether a request may be sent to an endpoint now.
type Verdict struct {
	// Reason is empty if the request may be sent.
	Reason Reason
	Source Source
	// Age is the time since the source said so; zero if it is not known.
	Age time.Duration
}

// Allowed reports whether the request may be sent.
func (v Verdict) Allowed() bool { return v.Reason == "" }

// String implements fmt.Stringer.
func (v Verdict) String() string {
	if v.Allowed() {
		return "allowed"
	}
	return fmt.Sprintf("%s (%s, %s ago)", v.Reason, v.Source, v.Age.Round(time.Millisecond))
}

// Withheld is the error for a request that was not sent because of a verdict.
type Withheld struct {
	Endpoint string
	Verdict  Verdict
}

// Error implements error.
func (w *Withheld) Error() string {
	return fmt.Sprintf("endpoint: nothing is sent to %s: %s", w.Endpoint, w.Verdict)
}

// Target is an endpoint at the time at which a request was addressed to it.
type Target struct {
	Name    string
	Address string
	// incarnation distinguishes the endpoint from one that replaces it at the same
	// address.
	incarnation uint64
}

// Check is the only place that decides whether a request may be sent to an endpoint now.
// It returns where to send it.
func (t *Table) Check(name string, use Use, now time.Time) (Target, Verdict) {
	e := t.entries[name]
	if e == nil {
		return Target{Name: name}, Verdict{Reason: ReasonUnlisted, Source: SourceList}
	}
	return Target{Name: name, Address: e.instance.Address, incarnation: e.incarnation}, t.verdict(e, use, now)
}

func (t *Table) verdict(e *entry, use Use, now time.Time) Verdict {
	switch {
	case e.leaving:
		return Verdict{Reason: ReasonLeaving, Source: e.leavingSource, Age: now.Sub(e.leavingSince)}
	case use != UseProbe && t.evacuated(e):
		return Verdict{Reason: ReasonEvacuated, Source: SourceOperator}
	case now.Before(e.quietUntil):
		return Verdict{Reason: ReasonQuiet, Source: SourceAnswer, Age: now.Sub(e.quietSince)}
	case use != UseCaller:
		// An endpoint that is ejected or not ready is probed, and one that is drained
		// gets the order for which it is.
		return Verdict{}
	}
	return t.capability(e, now)
}

// capability returns why an endpoint that did not ask to be left alone cannot serve
// callers.
func (t *Table) capability(e *entry, now time.Time) Verdict {
	switch {
	case now.Before(e.closedUntil):
		return Verdict{Reason: ReasonEjected, Source: SourceSelf, Age: now.Sub(e.closedSince)}
	case e.homeState != nil:
		return Verdict{Reason: Reason(e.homeState.ClosedReason), Source: SourceHome, Age: now.Sub(e.homeStateAt)}
	case e.reportedAt.IsZero():
		return Verdict{Reason: ReasonNoReport, Source: SourceSelf, Age: now.Sub(e.listedAt)}
	case now.Sub(t.reportTime(e)) > maxReportAge:
		return Verdict{Reason: ReasonOldReport, Source: SourceReport, Age: now.Sub(e.reportedAt)}
	case !t.ready(e):
		return Verdict{Reason: ReasonNotReady, Source: SourceReport, Age: now.Sub(e.reportedAt)}
	case t.Draining != nil && t.Draining(e.instance.Name):
		return Verdict{Reason: ReasonDraining, Source: SourceSelf}
	}
	return Verdict{}
}

// reportTime returns the time from which the age of a load report counts: none is requested
// while the endpoint wants quiet.
func (t *Table) reportTime(e *entry) time.Time {
	if e.quietUntil.After(e.reportedAt) {
		return e.quietUntil
	}
	return e.reportedAt
}

// RecordAnswer records what an endpoint said about itself in an answer to a request that
// was addressed to target. It reports whether that changes where requests may be sent. An
// answer of an incarnation that was replaced meanwhile is ignored.
func (t *Table) RecordAnswer(target Target, a Answer, now time.Time) bool {
	e := t.entries[target.Name]
	if e == nil || e.incarnation != target.incarnation {
		return false
	}
	changed := a.Leaving && !e.leaving
	if a.Leaving {
		t.markLeaving(e, SourceAnswer, "its own answer", now)
	}
	if until := now.Add(a.Quiet); a.Quiet > 0 && until.After(e.quietUntil) {
		if !now.Before(e.quietUntil) {
			changed = true
			e.quietSince = now
			t.notify(Change{Name: e.instance.Name, To: string(ReasonQuiet), Cause: fmt.Sprintf("asked for %s without requests", a.Quiet), Source: SourceAnswer})
		}
		e.quietUntil = until
		if until.After(t.lastQuiet) {
			t.lastQuiet = until
		}
	}
	return changed
}

// QuietUntil returns when the first endpoint of a service in the given failure domains, nil for all,
// takes requests again, and true if all of those that could serve want quiet until then.
func (t *Table) QuietUntil(service string, domains map[string]bool, now time.Time) (time.Time, bool) {
	if !now.Before(t.lastQuiet) {
		return time.Time{}, false
	}
	var first time.Time
	for _, e := range t.entries {
		if e.instance.Service != service || !e.isIn(domains) || e.leaving || t.evacuated(e) {
			continue
		}
		if !now.Before(e.quietUntil) {
			if t.capability(e, now).Allowed() {
				return time.Time{}, false
			}
			continue
		}
		if first.IsZero() || e.quietUntil.Before(first) {
			first = e.quietUntil
		}
	}
	return first, !first.IsZero()
}

func (t *Table) evacuated(e *entry) bool {
	return t.Evacuated != nil && t.Evacuated(e.instance.Domain)
}

// isIn reports whether the endpoint is in one of the given failure domains, nil for all.
func (e *entry) isIn(domains map[string]bool) bool {
	return domains == nil || domains[e.instance.Domain]
}

// IsEvacuated reports whether all endpoints of a service that do not leave, of those in the given
// failure domains, nil for all, are in emptied ones, and whether there are any.
func (t *Table) IsEvacuated(service string, domains map[string]bool) bool {
	found := false
	for _, e := range t.entries {
		if e.instance.Service != service || !e.isIn(domains) || e.leaving {
			continue
		}
		if !t.evacuated(e) {
			return false
		}
		found = true
	}
	return found
}

// quietRecovery is the time after quiet in which an instance sends an endpoint more and
// more requests at a time again.
const quietRecovery = 2 * time.Second

// recoveryLimit returns how many requests of this instance the endpoint may run at a time
// soon after it asked for quiet, and zero for no limit.
func recoveryLimit(e *entry, slots int, now time.Time) int {
	elapsed := now.Sub(e.quietUntil)
	if e.quietUntil.IsZero() || elapsed >= quietRecovery {
		return 0
	}
	return max(1, int(float64(slots)*elapsed.Seconds()/quietRecovery.Seconds()))
}
