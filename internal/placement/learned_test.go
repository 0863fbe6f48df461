package placement

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Whatever a peer says that it has learned, estimates stay positive and no part is used in the future.
func FuzzLearn(f *testing.F) {
	for _, seed := range []string{
		`{"s":{"m":{"b":40,"t":90,"r":500,"bn":1}},"c":[{"e":"i","b":1,"c":[1,2],"a":[0,5]}]}`,
		`{"s":{"m":{"b":-1,"t":1e300,"r":0,"bn":-9}},"c":[{"e":"i","b":1,"c":[7,8],"a":[-9223372036854775808]}]}`,
		`{"c":[{"e":"i","b":1,"c":[3],"a":[9223372036854775807]},{"e":"gone","c":[1],"a":[1]}]}`,
		`{"s":{"m":{"b":1e300,"t":90,"r":1e300,"e":1e300}}}`,
		`{"s":{"":{}},"c":[{}]}`, `null`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var l Learned
		if json.Unmarshal(data, &l) != nil {
			return
		}
		b, now := &Balancer{}, time.Now()
		b.Put(Endpoint{ID: "i", EndpointInfo: fleet.EndpointInfo{Service: "m", Slots: 4, Born: 1}})
		b.Learn(l, time.Millisecond, now)
		for _, at := range b.byID["i"].cache.lastUsed {
			require.LessOrEqual(t, at, sinceEpoch(now))
		}
		c, ok := b.Choose(Request{Service: "m", Tokens: 100, Stream: true}, now)
		require.True(t, ok)
		require.Positive(t, c.Expected)
		b.Learned(now)
	})
}

// Of more parts than fit, those used last are handed on.
func TestLearnedPartsUsedLast(t *testing.T) {
	b, now := &Balancer{}, time.Now()
	b.Put(Endpoint{ID: "i", EndpointInfo: fleet.EndpointInfo{Service: "m", Slots: 4, Born: 1}})
	b.Put(Endpoint{ID: "j", EndpointInfo: fleet.EndpointInfo{Service: "m", Slots: 4, Born: 1}})
	for n := range 2 * maxLearnedParts {
		at := now.Add(-time.Duration(n) * 3 * time.Millisecond)
		b.byID[[]string{"i", "j"}[n%2]].cache.lastUsed[uint64(n)] = sinceEpoch(at)
	}
	handed := 0
	for _, c := range b.Learned(now).Caches {
		for i, hash := range c.PrefixHashes {
			require.Less(t, hash, uint64(maxLearnedParts))
			require.InDelta(t, float64(hash)*3, float64(c.Ages[i]), 2)
		}
		handed += len(c.Ages)
	}
	require.LessOrEqual(t, handed, maxLearnedParts)
	require.Greater(t, handed, maxLearnedParts-1000)
}
