package placement

import "time"

// Learned is what an instance has learned of endpoints, for another one that has just started.
type Learned struct {
	// Services holds the times that the endpoints of a service need, by its name.
	Services map[string]LearnedTimes `json:"s,omitempty"`
	Caches   []LearnedCache          `json:"c,omitempty"`
}

// LearnedTimes are times that the endpoints of a service need.
type LearnedTimes struct {
	BaseMS          float64 `json:"b"`
	TokensPerMS     float64 `json:"t"`
	RequestMS       float64 `json:"r"`
	EventIntervalMS float64 `json:"e,omitempty"`
	// BaseSamples, RateSamples and RequestSamples count what was learned from.
	BaseSamples    int `json:"bn"`
	RateSamples    int `json:"tn"`
	RequestSamples int `json:"rn"`
}

// valid reports whether the times may be used: a peer may be of another version.
func (t LearnedTimes) valid() bool {
	return min(t.BaseMS, t.RequestMS) > 0 && t.EventIntervalMS >= 0 && max(t.BaseMS, t.RequestMS, t.EventIntervalMS) <= maxLearnedMS &&
		t.TokensPerMS >= minTokensPerMS && t.TokensPerMS <= maxTokensPerMS && min(t.BaseSamples, t.RateSamples, t.RequestSamples) >= 0
}

// LearnedCache lists parts of prompts that one start of an endpoint has cached.
type LearnedCache struct {
	Endpoint string `json:"e"`
	Born     int64  `json:"b"`
	// PrefixHashes identifies the parts, each together with all parts before it; Ages holds the
	// time since the last use of each, in milliseconds.
	PrefixHashes []uint64 `json:"c"`
	Ages         []int64  `json:"a"`
}

// maxLearnedParts bounds the parts in Learned.
const maxLearnedParts = 8192

// maxLearnedMS bounds times learned from a peer, in milliseconds: no request takes longer.
const maxLearnedMS = 600_000

// Learned returns what this instance has learned: of the parts that endpoints have cached those that were
// used last. Services without any response so far are left out.
func (b *Balancer) Learned(now time.Time) Learned {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := Learned{Services: map[string]LearnedTimes{}}
	for name, m := range b.latencyModels {
		if m.samples() > 0 {
			l.Services[name] = LearnedTimes{
				BaseMS: m.baseMS, TokensPerMS: m.tokensPerMS, RequestMS: m.requestMS, EventIntervalMS: m.eventIntervalMS,
				BaseSamples: m.baseSamples, RateSamples: m.rateSamples, RequestSamples: m.requestSamples,
			}
		}
	}
	maxAge, left := b.learnedAge(now), maxLearnedParts
	for _, s := range b.byID {
		c := LearnedCache{Endpoint: s.ID, Born: s.Born}
		for hash, at := range s.cache.lastUsed {
			if age := (sinceEpoch(now) - at) / int64(time.Millisecond); age < maxAge && left > 0 {
				left--
				c.PrefixHashes, c.Ages = append(c.PrefixHashes, hash), append(c.Ages, age)
			}
		}
		if len(c.Ages) > 0 {
			l.Caches = append(l.Caches, c)
		}
	}
	return l
}

// learnedAge returns the largest age, in milliseconds, below which there are no more than maxLearnedParts
// cached parts, by whole seconds and at least one. The caller holds the lock.
func (b *Balancer) learnedAge(now time.Time) int64 {
	var parts [cacheLifetime / time.Second]int
	for _, s := range b.byID {
		for _, at := range s.cache.lastUsed {
			if age := (sinceEpoch(now) - at) / int64(time.Second); age < int64(len(parts)) {
				parts[max(age, 0)]++
			}
		}
	}
	total := 0
	for age, n := range parts {
		if total += n; total > maxLearnedParts {
			return max(int64(age), 1) * 1000
		}
	}
	return cacheLifetime.Milliseconds()
}

// Learn adds what another instance had learned up to age ago, at most cacheLifetime, and returns how many cached parts were not
// known. Times of services of which this instance has learned itself, and caches of endpoints that are not
// listed or have restarted since, are ignored.
func (b *Balancer) Learn(l Learned, age time.Duration, now time.Time) (parts int) {
	from := sinceEpoch(now.Add(-min(max(age, 0), cacheLifetime)))
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, t := range l.Services {
		if m := b.latencyModel(name); t.valid() && m.samples() == 0 {
			m.baseMS, m.tokensPerMS, m.requestMS, m.eventIntervalMS = t.BaseMS, t.TokensPerMS, t.RequestMS, t.EventIntervalMS
			m.baseSamples, m.rateSamples, m.requestSamples = t.BaseSamples, t.RateSamples, t.RequestSamples
		}
	}
	for _, c := range l.Caches {
		s := b.byID[c.Endpoint]
		if s == nil || s.Born != c.Born {
			continue
		}
		for i, hash := range c.PrefixHashes[:min(len(c.PrefixHashes), len(c.Ages), maxCachedParts)] {
			at := from - min(max(c.Ages[i], 0), cacheLifetime.Milliseconds())*int64(time.Millisecond)
			known, ok := s.cache.lastUsed[hash]
			if !ok {
				parts++
			}
			if !ok || at > known {
				s.cache.lastUsed[hash] = at
			}
		}
	}
	return parts
}

// HasEndpoints reports whether any endpoint is listed.
func (b *Balancer) HasEndpoints() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.byID) > 0
}

func (m *latencyModel) samples() int { return m.baseSamples + m.rateSamples + m.requestSamples }
