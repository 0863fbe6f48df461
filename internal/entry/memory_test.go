package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Instances have 144 to 804 MB: what is held for callers must leave room for the process, for callers'
// connections and, at any size, for some bodies.
func TestHeldBytesLeaveRoomForProcess(t *testing.T) {
	for _, memory := range []int64{64 << 20, 144 << 20, 404 << 20, 544 << 20, 804 << 20} {
		total, bodies := heldBytes(memory)
		connections := int64(callerMemoryShare * float64(memory))
		require.Less(t, total+connections+min(processBytes, memory/2), memory)
		require.Less(t, bodies, total)
		room := heapLimit(memory) - total - min(processBytes, memory/2)
		require.Greater(t, room, memory/10, "of %d: the collector runs without pause when all that may be held is", memory)
		require.LessOrEqual(t, heapLimit(memory), memory*8/10)
		require.Greater(t, bodies, int64(4<<20))
	}
	total, bodies := heldBytes(0)
	require.Zero(t, total)
	require.Zero(t, bodies)
}
