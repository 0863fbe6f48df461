package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
)

// Answers the load of large bodies that share a prompt: they went to the endpoint that has cached it,
// which crashes if what it holds exceeds its memory. Small ones stay together.
func TestLargeBodiesAreSpread(t *testing.T) {
	for _, bytes := range []int64{4 << 20, 4 << 10} {
		b := newBalancer(4)
		held := map[string]int{}
		var runs []*placement.Run
		now := start
		for range 8 {
			r := newRequest(7)
			r.BodyBytes = bytes
			c, run := send(t, b, r, now)
			held[c.Endpoint.ID]++
			runs = append(runs, run)
			now = now.Add(100 * time.Millisecond)
		}
		most := 0
		for _, n := range held {
			most = max(most, n)
		}
		if bytes < 1<<20 {
			require.Greater(t, most, 4, "%v", held)
			continue
		}
		require.LessOrEqual(t, most, 3, "%v", held)
		for _, run := range runs {
			run.End(placement.ResultAnswered, now)
		}
		c, _ := send(t, b, newRequest(7), now)
		require.Zero(t, c.MissingTokens, "nothing is held any more")
	}
}
