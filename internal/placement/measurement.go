package placement

import "time"

// Measurement is a time from which estimates are learned.
type Measurement string

// The measurements: MeasurementFirst is the time to the first event or the response,
// MeasurementInterval that between the events of a stream, MeasurementRun that of a whole request.
const (
	MeasurementFirst    Measurement = "first"
	MeasurementInterval Measurement = "interval"
	MeasurementRun      Measurement = "run"
)

// valid reports whether a measured time may be learned: estimates are positive because all that they
// are made of is. The caller holds the lock.
func (b *Balancer) valid(s *endpointState, m Measurement, d time.Duration) bool {
	if d >= 0 {
		return true
	}
	if b.OnInvalidTime != nil {
		b.OnInvalidTime(s.Service, m)
	}
	return false
}
