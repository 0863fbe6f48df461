package watch

import "time"

// responded records that the platform responded to a read of this instance. If the reads before
// it failed, the pause since the last known response was an outage of the platform, unless it was
// too short for records to expire. A pause without a failed read shows nothing: another instance
// that read the feed for this one may have been lost. The lock is held.
func (f *Follower[T]) responded(at time.Time) {
	if f.ExpiryTime == 0 {
		return
	}
	if f.responsiveUntil.IsZero() {
		f.responsiveSince = at
	}
	if f.outageBefore(at) && !f.failedReadAt.Before(f.responsiveUntil) {
		f.platformRecovered(at, false)
	}
	f.extendResponsive(at)
}

// outageBefore reports whether records may have expired between the last known response of the
// platform and a later time. The lock is held.
func (f *Follower[T]) outageBefore(at time.Time) bool {
	return !f.responsiveUntil.IsZero() && at.Sub(f.responsiveUntil) >= f.ExpiryTime
}

func (f *Follower[T]) extendResponsive(until time.Time) {
	if until.After(f.responsiveUntil) {
		f.responsiveUntil = until
	}
}

// platformRecovered records that an outage of the platform ended. The lock is held.
func (f *Follower[T]) platformRecovered(at time.Time, relayed bool) {
	f.recovered = true
	f.setResponsiveSince(at, relayed)
}

// setResponsiveSince records since when the platform has responded. The lock is held.
func (f *Follower[T]) setResponsiveSince(since time.Time, relayed bool) {
	f.responsiveSince = since
	if f.recovered && f.OnRecovery != nil {
		f.OnRecovery(since, relayed)
	}
}

// transitTolerance is by how much the times at which instances saw the same response may
// differ: messages say how long ago it was, without their own time in transit.
const transitTolerance = 50 * time.Millisecond

// heard processes what another instance says of the times at which the platform responded, up
// to a given time. What was silent for this instance alone was no outage of the platform. The
// lock is held.
func (f *Follower[T]) heard(p Position, until, now time.Time) {
	if f.ExpiryTime == 0 || p.ResponsiveAge == 0 {
		return
	}
	since := now.Add(-time.Duration(p.ResponsiveAge) * time.Millisecond)
	if f.responsiveUntil.IsZero() {
		f.responsiveSince = since
	}
	// Each read counts only once, as in confirm.
	if seqs := f.reads[p.ReaderID]; p.ReadSeq > seqs.heard {
		seqs.heard = p.ReadSeq
		f.setReads(p.ReaderID, seqs)
		if f.outageBefore(since.Add(transitTolerance)) {
			f.platformRecovered(since, true)
		}
		f.extendResponsive(until)
	}
	overlaps := f.responsiveSince.Sub(until) < f.ExpiryTime
	if overlaps && since.Before(f.responsiveSince.Add(-transitTolerance)) {
		f.setResponsiveSince(since, true)
	}
}
