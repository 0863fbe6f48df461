package warmup

import "time"

// partMemory is how long an instance remembers how many instances there were, and at most twice that: not
// for good, since a fleet may become smaller.
const partMemory = 30 * time.Minute

// Members remembers the largest number of instances that were heard at once. In a fleet that is cut into
// separate parts for up to partMemory, each part may grant the share that its instances are of all: the
// shares of all parts are 1 at most together. The zero value is ready to use. It is not safe for concurrent
// use.
type Members struct {
	most, mostBefore int // of this span of partMemory and of the one before
	since            time.Time
}

// Share returns which share of the bound the instances that are heard may use, with known ones in all; both numbers
// include the instance itself. It records them.
func (m *Members) Share(heard, known int, now time.Time) float64 {
	if elapsed := now.Sub(m.since); elapsed >= partMemory {
		m.mostBefore = m.most
		if elapsed >= 2*partMemory {
			m.mostBefore = 0
		}
		m.most, m.since = 0, now
	}
	m.most = max(m.most, heard)
	return float64(heard) / float64(max(m.most, m.mostBefore, known))
}
