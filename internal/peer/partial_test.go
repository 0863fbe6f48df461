package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Load: the instances of a fleet of medium size all see the same endpoint idle at the same moment,
// since most messages leave out the work there. Each must know that it sees only a part.
func TestMediumFleetSeesAPart(t *testing.T) {
	for n, partial := range map[int]bool{4: false, 9: false, 10: true, 30: true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetInMemory(t, n)
			time.Sleep(4 * time.Second)
			require.Equal(t, partial, f.members[0].Partial(), "%d instances", n)
			for _, stop := range f.stops {
				stop()
			}
			time.Sleep(time.Second)
		})
	}
}
