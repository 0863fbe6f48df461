package placement

import (
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// cacheLifetime is how long an endpoint is assumed to cache a part after its
	// last use: engines cache far more than what is used in this time.
	cacheLifetime = 60 * time.Second
	// maxCachedParts bounds the parts that are tracked for one endpoint.
	maxCachedParts = 4096
)

// promptCache tracks the parts of prompts that an endpoint is assumed to have cached.
type promptCache struct {
	// lastUsed is when a part, together with all parts before it, was last used,
	// by prefix hash, see sinceEpoch: the garbage collector does not scan a
	// map without pointers.
	lastUsed map[uint64]int64
}

func newPromptCache() *promptCache { return &promptCache{lastUsed: map[uint64]int64{}} }

// prefixHash identifies a part together with all parts before it, whose hash is before.
func prefixHash(before uint64, p fleet.PromptPart) uint64 {
	return mix(before*31 + p.ID)
}

// mix spreads the bits of a number; it is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// cachedTokens returns how many tokens at the beginning of a prompt are cached.
func (c *promptCache) cachedTokens(parts []fleet.PromptPart, now time.Time) int {
	tokens, id := 0, uint64(0)
	for _, p := range parts {
		id = prefixHash(id, p)
		at, ok := c.lastUsed[id]
		if !ok || sinceEpoch(now)-at > int64(cacheLifetime) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// markUsed records that an endpoint uses the parts with these prefix hashes.
func (c *promptCache) markUsed(hashes []uint64, now time.Time) {
	if len(c.lastUsed) > maxCachedParts {
		c.evict(now)
	}
	for _, id := range hashes {
		c.lastUsed[id] = sinceEpoch(now)
	}
}

// prefixHashes returns the prefix hash of each part of a prompt, in order.
func prefixHashes(parts []fleet.PromptPart) []uint64 {
	ids := make([]uint64, len(parts))
	id := uint64(0)
	for i, p := range parts {
		id = prefixHash(id, p)
		ids[i] = id
	}
	return ids
}

// evict drops the parts older than cacheLifetime, then any others until at most half of
// maxCachedParts are left.
func (c *promptCache) evict(now time.Time) {
	for id, at := range c.lastUsed {
		if sinceEpoch(now)-at > int64(cacheLifetime) {
			delete(c.lastUsed, id)
		}
	}
	for id := range c.lastUsed {
		if len(c.lastUsed) <= maxCachedParts/2 {
			return
		}
		delete(c.lastUsed, id)
	}
}
