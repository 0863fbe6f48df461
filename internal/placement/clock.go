package placement

import "time"

// epoch is the origin of the times that are kept as numbers. It has a monotonic reading, so that
// their differences do not change when the time of day is set.
var epoch = time.Now()

// sinceEpoch returns a time as a number, in nanoseconds.
func sinceEpoch(t time.Time) int64 { return int64(t.Sub(epoch)) }

// fromEpoch returns the time that sinceEpoch made a number.
func fromEpoch(nanos int64) time.Time { return epoch.Add(time.Duration(nanos)) }
