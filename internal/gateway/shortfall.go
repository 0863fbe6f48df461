package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// maxShortfalls bounds the lines that are logged on refused customers at a time.
const maxShortfalls = 8

// shortfallLog logs which customers are refused for which reason, at most once in refusalInterval those that
// lack most. The zero value is ready to use.
type shortfallLog struct {
	mu      sync.Mutex
	refused map[shortfall]*refusedTokens // since from
	from    time.Time                    // first refusal that was not logged
}

// shortfall identifies what is logged on one line.
type shortfall struct {
	customer string
	reason   fleet.Reason
}

type refusedTokens struct {
	shortfall
	requests int
	tokens   float64
}

// record counts the refusal of a request and logs what was refused since the last time if that is old enough.
func (l *shortfallLog) record(c *call, reason fleet.Reason, now time.Time) {
	list, elapsed := l.add(shortfall{c.customer, reason}, c.tokenCost(), now)
	for _, r := range list {
		u, fairShare := c.h.Ledger.Standing(r.customer, now)
		c.h.Logger.Info(event.Shortfall, zap.String("customer", r.customer), zap.String("reason", string(r.reason)), zap.Duration("for", elapsed),
			zap.Int("count", r.requests), zap.Float64("tokens", r.tokens), zap.Float64("asked", u.Demand), zap.Float64("served", u.Served),
			zap.Float64("fair", fairShare), zap.Duration("lag", c.h.lag()))
	}
}

// add counts a refusal. If lines are due, it returns what they say, and the time since the first refusal that they
// cover.
func (l *shortfallLog) add(key shortfall, tokens float64, now time.Time) (list []*refusedTokens, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refused == nil {
		l.refused, l.from = map[shortfall]*refusedTokens{}, now
	}
	r := l.refused[key]
	if r == nil {
		r = &refusedTokens{shortfall: key}
		l.refused[key] = r
	}
	r.requests++
	r.tokens += tokens
	elapsed = now.Sub(l.from)
	if elapsed < refusalInterval {
		return nil, 0
	}
	for _, r := range l.refused {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *refusedTokens) int {
		return cmp.Or(cmp.Compare(b.tokens, a.tokens), cmp.Compare(a.customer, b.customer), cmp.Compare(a.reason, b.reason))
	})
	l.refused = nil
	return list[:min(len(list), maxShortfalls)], elapsed
}
