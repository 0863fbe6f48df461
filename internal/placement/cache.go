package placement

import (
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// keepTerm is how long a part is believed to be kept by an endpoint after
	// its last use: engines keep far more than what is used in this time.
	keepTerm = 60 * time.Second
	// maxParts bounds the parts that are remembered of one endpoint.
	maxParts = 4096
)

// cache is what an endpoint is believed to keep of prompts.
type cache struct {
	// used is when a part, with all parts before it, was last used, in Unix
	// nanoseconds: without pointers the collector passes the map over.
	used map[uint64]int64
}

func newCache() *cache { return &cache{used: map[uint64]int64{}} }

// chain identifies a part together with all parts before it.
func chain(before uint64, p fleet.Part) uint64 {
	return mix(before*31 + p.ID)
}

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// kept returns how many tokens at the beginning of a prompt are kept.
func (c *cache) kept(parts []fleet.Part, now time.Time) int {
	tokens, id := 0, uint64(0)
	for _, p := range parts {
		id = chain(id, p)
		at, ok := c.used[id]
		if !ok || now.UnixNano()-at > int64(keepTerm) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// mark records that an endpoint uses parts.
func (c *cache) mark(chain []uint64, now time.Time) {
	if len(c.used) > maxParts {
		c.tidy(now)
	}
	for _, id := range chain {
		c.used[id] = now.UnixNano()
	}
}

// chained identifies the parts of a prompt.
func chained(parts []fleet.Part) []uint64 {
	ids := make([]uint64, len(parts))
	id := uint64(0)
	for i, p := range parts {
		id = chain(id, p)
		ids[i] = id
	}
	return ids
}

// tidy forgets the parts that are too old, or half of all if none is.
func (c *cache) tidy(now time.Time) {
	for id, at := range c.used {
		if now.UnixNano()-at > int64(keepTerm) {
			delete(c.used, id)
		}
	}
	for id := range c.used {
		if len(c.used) <= maxParts/2 {
			return
		}
		delete(c.used, id)
	}
}
