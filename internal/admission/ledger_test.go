package admission_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagestep/greengagestep/internal/admission"
)

var start = time.Unix(1_700_000_000, 0)

// simulate sends requests of customers at the given rates, in tokens per second, to
// endpoints with a capacity in tokens per second; the queue wait grows while more than
// the capacity is admitted. It returns the rate at which each customer is served during
// the second half, in tokens per second.
func simulate(rates []float64, capacity float64, duration time.Duration) []float64 {
	const step = 5 * time.Millisecond
	const targetLatency = 300 * time.Millisecond
	const tokensPerRequest = 1000.0
	l := &admission.Ledger{}
	served := make([]float64, len(rates))
	pending := make([]float64, len(rates))
	backlog := 0.0
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		now := start.Add(elapsed)
		backlog = max(0, backlog-capacity*step.Seconds())
		for i, rate := range rates {
			for pending[i] += rate * step.Seconds(); pending[i] >= tokensPerRequest; pending[i] -= tokensPerRequest {
				customer := fmt.Sprint(i)
				l.RecordDemand(customer, tokensPerRequest, now)
				wait := time.Duration(backlog / capacity * float64(time.Second))
				if l.Admit(admission.Request{Customer: customer, QueueWait: wait, TargetLatency: targetLatency}, now) {
					l.RecordServed(customer, tokensPerRequest, now)
					backlog += tokensPerRequest
					if elapsed > duration/2 {
						served[i] += tokensPerRequest / (duration / 2).Seconds()
					}
				}
			}
		}
	}
	return served
}

// One customer sends many times its normal load. The others are served in full, and the
// large customer gets the remaining capacity.
func TestFloodByOneCustomerLeavesOthersServed(t *testing.T) {
	served := simulate([]float64{900_000, 20_000, 20_000, 20_000}, 200_000, 20*time.Second)
	for _, rate := range served[1:] {
		require.GreaterOrEqual(t, rate, 0.95*20_000)
	}
	require.GreaterOrEqual(t, served[0], 0.85*140_000)
}

// Several large customers demand more than the capacity. None gets less than half of
// what the best served one gets, and a small customer is served in full.
func TestLargeCustomersGetSimilarShares(t *testing.T) {
	served := simulate([]float64{600_000, 300_000, 150_000, 10_000}, 200_000, 20*time.Second)
	require.GreaterOrEqual(t, served[3], 0.9*10_000)
	highest, lowest := max(served[0], served[1], served[2]), min(served[0], served[1], served[2])
	require.GreaterOrEqual(t, lowest, highest/2)
}

// The demand is below the capacity. No request is rejected.
func TestNoRejectionBelowCapacity(t *testing.T) {
	served := simulate([]float64{100_000, 30_000, 5_000}, 300_000, 10*time.Second)
	require.InEpsilon(t, 100_000, served[0], 0.02)
	require.InEpsilon(t, 30_000, served[1], 0.02)
}

// The fair share ratio of a customer counts what it was served at all instances, and
// another instance's report expires.
func TestFairShareRatioCountsOtherInstances(t *testing.T) {
	l := &admission.Ledger{}
	l.RecordDemand("large", 1000, start)
	l.RecordServed("large", 1000, start)
	l.RecordDemand("small", 1000, start)
	l.SetRemoteUsage("other", map[string]admission.Usage{"large": {Demand: 9000, Served: 5000}}, start)
	require.Greater(t, l.FairShareRatio("large", start), 1.0)
	require.Zero(t, l.FairShareRatio("small", start))
	localOnly := &admission.Ledger{}
	localOnly.RecordDemand("large", 1000, start)
	localOnly.RecordServed("large", 1000, start)
	localOnly.RecordDemand("small", 1000, start)
	later := start.Add(10 * time.Second)
	require.InDelta(t, localOnly.FairShareRatio("large", later), l.FairShareRatio("large", later), 1e-9, "the report of an instance that no longer reports must expire")
}

// Property: a customer whose demand is served in full is never above its fair share.
func TestSatisfiedCustomerIsNotAboveFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &admission.Ledger{}
		customers := rapid.IntRange(1, 12).Draw(t, "customers")
		for i := range customers {
			demand := rapid.Float64Range(10, 1e6).Draw(t, "asked")
			l.RecordDemand(fmt.Sprint(i), demand, start)
			l.RecordServed(fmt.Sprint(i), demand, start)
		}
		for i := range customers {
			require.LessOrEqual(t, l.FairShareRatio(fmt.Sprint(i), start), 1+1e-9)
		}
	})
}

// Callers state timeouts of 8.5 to 10 s on their first attempt, 2 to 3 s less on a retry,
// and a few state 30 s. Retries must be distinguished from first attempts.
func TestRetryDetectorDistinguishesRetriesFromFirstAttempts(t *testing.T) {
	d := &admission.RetryDetector{}
	const targetLatency = 300 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 2))
	falsePositives, retries, falseNegatives := 0, 0, 0
	for i := range 5000 {
		timeout := 8500*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond)))
		retry := i%5 < 2
		if retry {
			timeout -= 2*time.Second + time.Duration(rng.Int64N(int64(time.Second)))
		}
		if i%100 == 0 {
			timeout, retry = 30*time.Second, false
		}
		pastTarget := d.PastTarget("r", timeout, targetLatency)
		if i < 100 {
			continue
		}
		switch {
		case retry && !pastTarget:
			falseNegatives++
		case !retry && pastTarget:
			falsePositives++
		}
		if retry {
			retries++
		}
	}
	require.Less(t, falsePositives, 30, "first attempts must not be taken for retries past their target latency")
	require.Less(t, falseNegatives, retries/4)
	require.False(t, d.PastTarget("r", 0, targetLatency), "a request without a timeout is not past its target latency")
	require.False(t, d.PastTarget("other", 2*time.Second, targetLatency))
}

// Property: the retry delay is at most a third of the caller's remaining time and at
// least a sixth.
func TestRetryDelayIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		remaining := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "left"))
		delay := admission.RetryDelay(remaining, rapid.Float64Range(0, 1).Draw(t, "draw"))
		require.LessOrEqual(t, delay, remaining/3+time.Nanosecond)
		require.GreaterOrEqual(t, delay, remaining/6)
	})
}

// Tokens may be served before any demand was recorded, and reports of instances that are gone do
// not count.
func TestLedgerWithoutDemand(t *testing.T) {
	l := &admission.Ledger{}
	l.RecordServed("a", 100, start)
	require.Empty(t, l.LocalUsage(start))
	l.SetRemoteUsage("gone", map[string]admission.Usage{"a": {Demand: 900, Served: 900}, "b": {Demand: 100, Served: 100}}, start)
	l.RecordDemand("a", 200, start)
	require.Greater(t, l.FairShareRatio("a", start), 0.9)
	l.ForgetInstance("gone")
	later := start.Add(time.Second)
	require.InDelta(t, 1, l.FairShareRatio("a", later), 0.01)
}

// In a large fleet an instance reports every few seconds: its report counts until the next one.
func TestSeldomReportsCount(t *testing.T) {
	l := &admission.Ledger{}
	for i := range 4 {
		l.SetRemoteUsage("far", map[string]admission.Usage{"a": {Demand: 900, Served: 900}}, start.Add(time.Duration(5*i)*time.Second))
		l.FairShareRatio("a", start.Add(time.Duration(5*i+4)*time.Second))
	}
	require.Positive(t, l.FairShareRatio("a", start.Add(19900*time.Millisecond)))
	require.Zero(t, l.FairShareRatio("a", start.Add(40*time.Second)))
}

// What sets the longest wait of a request is told apart: an operator sees whether capacity, a share or
// lateness led to a refusal.
func TestBoundOfWait(t *testing.T) {
	l, now := &admission.Ledger{}, start
	for customer, served := range map[string]float64{"large": 3000, "small": 1000} {
		l.RecordDemand(customer, 3000, now)
		l.RecordServed(customer, served, now)
	}
	for want, r := range map[admission.Bound]admission.Request{
		admission.BoundTarget: {Customer: "small"},
		admission.BoundShare:  {Customer: "large"},
		admission.BoundLate:   {Customer: "small", PastTarget: true},
	} {
		r.TargetLatency = 400 * time.Millisecond
		require.Equal(t, want, admission.BoundOf(r, l.MaxQueueWait(r, now)))
	}
	require.Equal(t, admission.BoundTarget, admission.BoundOf(admission.Request{}, l.MaxQueueWait(admission.Request{}, now)))
}

// Load: requests are refused at all instances. Whoever weighs what capacity is worth learns how much is refused
// for what is served, wherever that is.
func TestShortageCountsAllInstances(t *testing.T) {
	for _, c := range []struct{ demand, served, shortage float64 }{
		{0, 0, 0}, {1000, 1000, 0}, {1000, 1200, 0}, {1200, 1000, 0.2}, {3000, 1000, 1}, {3000, 0, 1},
	} {
		l := &admission.Ledger{}
		l.SetRemoteUsage("a", map[string]admission.Usage{"x": {Demand: c.demand / 2, Served: c.served}}, start)
		l.SetRemoteUsage("b", map[string]admission.Usage{"y": {Demand: c.demand / 2}}, start)
		require.InDelta(t, c.shortage, l.Shortage(start), 0.01, "%v", c)
	}
}

// Instances refuse a customer's requests because of their processors: what is served of the rest looks like all that it asks
// for. What they turned away counts, whichever instances did; one above its share is satisfied, however much is refused.
func TestSatisfactionCountsWhatIsTurnedAway(t *testing.T) {
	for _, c := range []struct{ accepted, here, elsewhere, satisfaction float64 }{
		{1000, 0, 0, 1}, {1000, 250, 0, 0.8}, {1000, 600, 400, 0.5}, {0, 500, 0, 0}, {4000, 5000, 5000, 1}, {0, 0, 0, 1},
	} {
		l := &admission.Ledger{}
		l.RecordDemand("c", 2*c.accepted, start)
		l.RecordServed("c", 2*c.accepted, start)
		l.RecordTurnedAway("c", 2*c.here, start)
		l.SetRemoteUsage("far", map[string]admission.Usage{
			"c": {TurnedAway: c.elsewhere}, "large": {Demand: 9000, Served: 4000},
		}, start)
		require.InDelta(t, c.satisfaction, l.Satisfaction("c", start), 1e-9, "%+v", c)
		require.InDelta(t, 1, l.Satisfaction("large", start), 1e-9, "%+v", c)
		require.InDelta(t, c.here, l.LocalUsage(start)["c"].TurnedAway, 1e-9)
		later := start.Add(30 * time.Second)
		require.Empty(t, l.LocalUsage(later))
		require.InDelta(t, 1, l.Satisfaction("c", later), 1e-9)
	}
}

// Every instance sends its usage to every other one. Digits below one token a second were most of it.
func TestUsageIsReportedInWholeTokens(t *testing.T) {
	l := &admission.Ledger{}
	for i := range 60 {
		customer := fmt.Sprint("customer", i)
		l.RecordDemand(customer, 12_345+float64(i), start)
		l.RecordServed(customer, 10_111+float64(i), start)
	}
	usage := l.LocalUsage(start.Add(777 * time.Millisecond))
	require.Len(t, usage, 60)
	for customer, u := range usage {
		require.Equal(t, math.Trunc(u.Demand), u.Demand, customer)
		require.Equal(t, math.Trunc(u.Served), u.Served, customer)
	}
	data, err := json.Marshal(usage)
	require.NoError(t, err)
	const perCustomer = len(`"customer59":{"a":4190,"s":3432},`)
	require.LessOrEqual(t, len(data), 60*perCustomer+len("{}"))
}
