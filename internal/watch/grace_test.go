package watch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Two outages follow each other. An instance takes the second one for a longer one at first, and learns
// from another instance that it was too short for records to expire: the grace after the first outage
// holds. The time in which the platform could not be read was lost for it, and endpoints were removed
// that had not had two seconds to write their records again.
func TestGraceDoesNotLosePauseInReads(t *testing.T) {
	const millisecond = time.Millisecond
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for _, c := range []struct {
		name  string
		again []time.Duration // ends of outages that the instance learns, after the second one
	}{
		{"only the first outage is known", nil},
		{"the end of the first outage comes again", []time.Duration{10186 * millisecond}},
		{"the second outage is withdrawn", []time.Duration{13090 * millisecond, 10186 * millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &placement.Balancer{}
			tracker := &watch.EndpointTracker{Balancer: b}
			apply(tracker, at(0), true,
				fleet.KeyedRecord[fleet.EndpointInfo]{Key: "e1", Value: endpointInfo("e1:80")},
				fleet.KeyedRecord[fleet.EndpointInfo]{Key: "e2", Value: endpointInfo("e2:80")})
			tracker.RemoveExpired(at(4600*millisecond), at(4504*millisecond))
			tracker.SetRecovered(at(10186 * millisecond))
			apply(tracker, at(10186*millisecond), false, fleet.KeyedRecord[fleet.EndpointInfo]{Key: "e1"}, fleet.KeyedRecord[fleet.EndpointInfo]{Key: "e2"})
			tracker.RemoveExpired(at(10200*millisecond), at(10186*millisecond))
			for now := 10300 * millisecond; now <= 13000*millisecond; now += 100 * millisecond {
				tracker.RemoveExpired(at(now), at(min(now, 10684*millisecond)))
			}
			require.Equal(t, 2, endpointCount(b))
			for n, end := range c.again {
				tracker.SetRecovered(at(end))
				now := 13100*millisecond + time.Duration(n)*100*millisecond
				tracker.RemoveExpired(at(now), at(13091*millisecond))
			}
			tracker.RemoveExpired(at(13300*millisecond), at(13091*millisecond))
			// Reads paused for 2.4 s, so that the grace ends 2.4 s later than 12.186 s.
			for now := 13400 * millisecond; now <= 14500*millisecond; now += 100 * millisecond {
				tracker.RemoveExpired(at(now), at(now-10*millisecond))
				require.Equal(t, 2, endpointCount(b), now)
			}
			tracker.RemoveExpired(at(14700*millisecond), at(14690*millisecond))
			require.Zero(t, endpointCount(b))
		})
	}
}
