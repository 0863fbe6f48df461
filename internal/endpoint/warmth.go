package endpoint

import "time"

// warmth is what is known of how long an endpoint is cold after its start. It counts only while
// Table.StartupTime is not zero.
type warmth struct {
	// coldUntil is the end by a source that knows it, toldAt when that one said so.
	coldUntil, toldAt time.Time
	// startedAt is when the endpoint may have started unseen; zero if a source has said since how
	// long it is cold.
	startedAt time.Time
	// doubtUntil is the time until which the home may not know yet why the endpoint may have started,
	// so that it does not count if it says that the endpoint is warm.
	doubtUntil time.Time
	isReported bool // whether Table.OnChange was told that the endpoint is cold
}

// homeDelay is how long a home may take to notice, by its requests for load reports, what another
// instance has noticed.
const homeDelay = 3 * time.Second

// markCold records that an endpoint may have started at a time or shortly before.
func (t *Table) markCold(e *entry, cause string, from Source, now time.Time) {
	e.warmth.startedAt, e.warmth.doubtUntil = now, now.Add(homeDelay)
	t.reportCold(e, cause, from, now)
}

// setCold records how long an endpoint is still cold by a source that knows.
func (t *Table) setCold(e *entry, d time.Duration, cause string, from Source, now time.Time) {
	e.warmth.startedAt, e.warmth.coldUntil, e.warmth.toldAt = time.Time{}, now.Add(d), now
	t.reportCold(e, cause, from, now)
}

// reportCold tells OnChange once that an endpoint is cold.
func (t *Table) reportCold(e *entry, cause string, from Source, now time.Time) {
	if d := t.cold(e, now); d > 0 && !e.warmth.isReported {
		e.warmth.isReported = true
		t.notify(Change{Name: e.instance.Name, To: string(ReasonCold), Cause: cause + ", for " + d.Round(time.Millisecond).String(), Source: from})
	}
}

// cold returns how long an endpoint is cold or may be, at most its startup time, and zero if it is warm.
func (t *Table) cold(e *entry, now time.Time) time.Duration {
	if t.StartupTime == nil {
		return 0
	}
	startup := t.StartupTime(e.instance.Service)
	d := max(min(e.warmth.coldUntil.Sub(now), e.warmth.toldAt.Add(startup).Sub(now)), 0)
	if !e.warmth.startedAt.IsZero() {
		d = max(d, min(e.warmth.startedAt.Add(startup).Sub(now), startup))
	}
	if d == 0 && e.warmth.isReported {
		e.warmth.isReported = false
		t.notify(Change{Name: e.instance.Name, To: "warm", Cause: "its startup time has passed, or it has said so"})
	}
	return d
}

// Cold returns how long an endpoint is cold or may be, zero if it is warm or unknown.
func (t *Table) Cold(name string, now time.Time) time.Duration {
	if e := t.entries[name]; e != nil {
		return t.cold(e, now)
	}
	return 0
}

// MarkDomainCold records that the endpoints of a failure domain may have started meanwhile, because
// it was emptied.
func (t *Table) MarkDomainCold(domain string, now time.Time) {
	for _, e := range t.entries {
		if e.instance.Domain == domain {
			t.markCold(e, "its failure domain was emptied", SourceOperator, now)
		}
	}
}
