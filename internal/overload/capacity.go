package overload

import (
	"math"
	"sync"
	"time"
)

const (
	// usageTime is the time constant with which the share of the processor and the rates of
	// requests are smoothed; work for a request goes on for about as long.
	usageTime = time.Second
	// learningTime is the time constant with which the cost of a request is learned.
	learningTime = 30 * time.Second
	// ceilingTime is the time constant with which a capacity below the stated one is forgotten.
	ceilingTime = time.Minute
	// saturatedTime is how long the processor must lag until the share in use counts as all that
	// there is: a process that was stopped lags for a moment, and has used little.
	saturatedTime = time.Second
	// minCeiling is the least capacity that is learned, as a fraction of the stated one.
	minCeiling = 0.2
	// passes is how many times a request waits for the processor on its way through the process,
	// which may take half of its target.
	passes = 5
	// minLimit and maxLimit bound the share of the processor that callers may use: peaks must not
	// exceed it, and a processor that is half idle serves them, however long one request takes.
	minLimit = 0.5
	maxLimit = 0.9
)

// Usage is what the process has done since its start.
type Usage struct {
	// Processor is the processor time that it has used.
	Processor time.Duration
	// Arrived counts the requests of callers, Refused those of them that were refused for the
	// processor.
	Arrived, Refused int64
	// Lagging is set while the processor lags so that requests are refused.
	Lagging bool
}

// Load is an estimate of how much of its processor an instance needs. Shares are fractions of the
// processor time that it gets.
type Load struct {
	// Share is the share in use. Demand adds what requests would take that are refused for the
	// processor: it may exceed 1.
	Share, Demand float64
	// Limit is the demand up to which requests wait for the processor for no longer than their
	// target leaves; zero means that there is no limit.
	Limit float64
	// Ceiling is the part of the stated processor time that it gets, as learned while it lagged.
	Ceiling float64
	// Rate is how many requests arrive a second.
	Rate float64
	// Cost is the processor time that one request takes; zero means not known.
	Cost time.Duration
}

// Capacity learns from an instance's own use of the processor how much of it requests take. The
// zero value estimates nothing, as Cores is not known. Where the processor lags although the process uses less than it
// may, it takes what is used then for all that there is. It is safe for concurrent use.
type Capacity struct {
	// Cores is how much of a processor the process may use; zero means not known. It is set
	// before the first Update.
	Cores float64

	mu      sync.Mutex
	last    Usage
	at      time.Time     // of last
	share   float64       // of the stated cores
	loss    float64       // 1 less the ceiling
	lagging time.Duration // so far
	served  float64       // requests a second
	refused float64       // requests a second
	// Decayed sums over the smoothed values, for the cost of a request.
	count, sumServed, sumShare, sumServed2, sumBoth float64
}

// Update has to be called several times a second.
func (c *Capacity) Update(u Usage, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Cores <= 0 {
		return
	}
	if c.at.IsZero() {
		c.last, c.at = u, now
		return
	}
	elapsed, last := now.Sub(c.at).Seconds(), c.last
	if elapsed <= 0 {
		return
	}
	c.last, c.at = u, now
	weight := 1 - math.Exp(-elapsed/usageTime.Seconds())
	smooth := func(value *float64, current float64) { *value += weight * (current - *value) }
	refused := float64(u.Refused - last.Refused)
	smooth(&c.share, (u.Processor-last.Processor).Seconds()/elapsed/c.Cores)
	smooth(&c.refused, refused/elapsed)
	smooth(&c.served, (float64(u.Arrived-last.Arrived)-refused)/elapsed)
	c.learnCeiling(u.Lagging, elapsed)
	keep := math.Exp(-elapsed / learningTime.Seconds())
	learn := func(sum *float64, current float64) { *sum = *sum*keep + current*elapsed }
	learn(&c.count, 1)
	learn(&c.sumServed, c.served)
	learn(&c.sumShare, c.share)
	learn(&c.sumServed2, c.served*c.served)
	learn(&c.sumBoth, c.served*c.share)
}

// learnCeiling learns how much processor time there is: what is in use while the processor lags. The caller holds
// the lock.
func (c *Capacity) learnCeiling(lagging bool, elapsed float64) {
	c.loss *= math.Exp(-elapsed / ceilingTime.Seconds())
	if !lagging {
		c.lagging = 0
		return
	}
	before := c.lagging
	c.lagging += time.Duration(elapsed * float64(time.Second))
	if c.lagging < saturatedTime {
		return
	}
	loss := min(max(1-c.share, 0), 1-minCeiling)
	if before >= saturatedTime {
		loss = min(loss, c.loss)
	}
	c.loss = loss
}

// costShare returns the share of the processor that one request a second takes. It is the slope of the share
// over the requests served. The caller holds the lock.
func (c *Capacity) costShare() float64 {
	variance := c.count*c.sumServed2 - c.sumServed*c.sumServed
	if variance <= 0.01*c.sumServed*c.sumServed || c.sumServed == 0 {
		return 0
	}
	slope := (c.count*c.sumBoth - c.sumServed*c.sumShare) / variance
	// The share without requests is not below zero.
	return min(max(slope, 0), c.sumShare/c.sumServed)
}

// Load returns the current estimate. Target is the shortest target latency of requests; zero means that
// there is none.
func (c *Capacity) Load(target time.Duration) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	ceiling := 1 - c.loss
	cost := c.costShare() / ceiling
	l := Load{Share: c.share / ceiling, Ceiling: ceiling, Rate: c.served + c.refused}
	l.Demand = l.Share + cost*c.refused
	l.Cost = time.Duration(cost * ceiling * c.Cores * float64(time.Second))
	if c.Cores <= 0 {
		return l
	}
	allowed := rejectNoneLag.Seconds()
	if target > 0 {
		allowed = min(allowed, target.Seconds()/2/passes)
	}
	// With random arrivals, requests that take the processor for the time t wait for it for
	// t * share / (1 - share) in the mean.
	l.Limit = min(max(allowed/(allowed+cost), minLimit), maxLimit)
	return l
}
