package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// flow is the demand of one customer at some instances of a fleet.
type flow struct {
	customer string
	// rate is in tokens per second, over all its instances.
	rate      float64
	instances []int
	// past is set if all requests have already missed their target latency.
	past bool
}

// fleetLoad simulates instances that admit requests to endpoints with queues and exchange their
// usage every exchangeInterval.
type fleetLoad struct {
	instances, endpoints int
	// capacity of one endpoint, in tokens per second.
	capacity float64
	flows    []flow
}

// run returns the rates at which each customer asks and is served from two seconds on, in tokens per
// second.
func (f fleetLoad) run(seed uint64, duration time.Duration) (asked, served map[string]float64) {
	const (
		step             = 2 * time.Millisecond
		exchangeInterval = 750 * time.Millisecond
		targetLatency    = 300 * time.Millisecond
		sampled          = 4 // endpoints that one request considers
		warmUp           = 2 * time.Second
	)
	rng := rand.New(rand.NewPCG(seed, 1))
	ledgers := make([]*admission.Ledger, f.instances)
	for i := range ledgers {
		ledgers[i] = &admission.Ledger{}
	}
	backlog := make([]float64, f.endpoints)
	asked, served = map[string]float64{}, map[string]float64{}
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		now := start.Add(elapsed)
		for e := range backlog {
			backlog[e] = max(0, backlog[e]-f.capacity*step.Seconds())
		}
		if elapsed%exchangeInterval == 0 {
			for i, from := range ledgers {
				for j, to := range ledgers {
					if i != j {
						to.SetRemoteUsage(fmt.Sprint(i), from.LocalUsage(now), now)
					}
				}
			}
		}
		for _, flow := range f.flows {
			for tokens := flow.rate * step.Seconds(); tokens > 0; {
				size := math.Min(600+rng.ExpFloat64()*5000, 40_000)
				if rng.Float64() > tokens/size {
					break
				}
				tokens -= size
				l := ledgers[flow.instances[rng.IntN(len(flow.instances))]]
				l.RecordDemand(flow.customer, size, now)
				if elapsed >= warmUp {
					asked[flow.customer] += size / (duration - warmUp).Seconds()
				}
				best := rng.IntN(f.endpoints)
				for range sampled - 1 {
					if e := rng.IntN(f.endpoints); backlog[e] < backlog[best] {
						best = e
					}
				}
				wait := time.Duration(backlog[best] / f.capacity * float64(time.Second))
				if l.Admit(admission.Request{Customer: flow.customer, QueueWait: wait, TargetLatency: targetLatency, PastTarget: flow.past}, now) {
					l.RecordServed(flow.customer, size, now)
					backlog[best] += size
					if elapsed >= warmUp {
						served[flow.customer] += size / (duration - warmUp).Seconds()
					}
				}
			}
		}
	}
	return asked, served
}

// One customer asks at all 24 instances for several times the capacity, a few large ones at one
// or two instances for more than their share. In six seconds none that is refused may get less
// than half of what it asks for or the best served one gets, whichever is less.
func TestFloodAtAllInstancesLeavesLargeCustomersTheirShare(t *testing.T) {
	all := make([]int, 24)
	for i := range all {
		all[i] = i
	}
	for seed := range uint64(4) {
		f := fleetLoad{instances: 24, endpoints: 112, capacity: 20_000, flows: []flow{
			{customer: "flood", rate: 6_000_000, instances: all},
			{customer: "two", rate: 500_000, instances: []int{3, 4}},
			{customer: "one", rate: 330_000, instances: []int{5}},
			{customer: "three", rate: 270_000, instances: []int{6, 7, 8}},
			{customer: "small", rate: 60_000, instances: []int{9}},
			{customer: "spread", rate: 100_000, instances: all},
		}}
		_, served := f.run(seed, 8*time.Second)
		for _, flow := range f.flows[1:] {
			least := math.Min(flow.rate, served["flood"]) / 2
			require.GreaterOrEqual(t, served[flow.customer], least, "%s, seed %d: %v", flow.customer, seed, served)
		}
		total := 0.0
		for _, rate := range served {
			total += rate
		}
		require.GreaterOrEqual(t, total, 0.9*112*20_000, "capacity must not idle")
	}
}

// Customers whose requests had been refused before came back past their target latency while another one
// asked for several times the capacity. They were refused again and again, however little they got: the
// other one could go on above its share.
func TestCustomersThatComeBackLateGetTheirShare(t *testing.T) {
	all := []int{0, 1, 2, 3, 4}
	for seed := range uint64(4) {
		f := fleetLoad{instances: 5, endpoints: 9, capacity: 112_000, flows: []flow{
			{customer: "flood", rate: 4_000_000, instances: all},
			{customer: "other", rate: 150_000, instances: all},
			{customer: "back", rate: 250_000, instances: all, past: true},
			{customer: "one back", rate: 200_000, instances: []int{2}, past: true},
		}}
		asked, served := f.run(seed, 8*time.Second)
		for _, flow := range f.flows[1:] {
			least := math.Min(asked[flow.customer], served["flood"]) / 2
			require.GreaterOrEqual(t, served[flow.customer], least, "%s, seed %d: %v", flow.customer, seed, served)
		}
		require.GreaterOrEqual(t, served["other"], 0.95*asked["other"], "requests within their target latency must not suffer, seed %d: %v", seed, served)
	}
}

// A customer at its share or above it gets only capacity that no request within its target latency needs.
func TestLateRequestsAboveTheShareYield(t *testing.T) {
	l, now := &admission.Ledger{}, start
	l.RecordDemand("large", 3000, now)
	l.RecordServed("large", 3000, now)
	l.RecordDemand("other", 3000, now)
	l.RecordServed("other", 1000, now)
	r := admission.Request{Customer: "large", TargetLatency: 400 * time.Millisecond}
	within := l.MaxQueueWait(r, now)
	r.PastTarget = true
	require.Less(t, l.MaxQueueWait(r, now), within/2)
	r.Customer = "other"
	require.Greater(t, l.MaxQueueWait(r, now), within)
	require.Less(t, l.MaxQueueWait(r, now), 200*time.Millisecond, "a request within its target latency goes first")
	r.TargetLatency = 1
	require.Positive(t, l.MaxQueueWait(r, now), "zero is no limit where an endpoint is chosen")
	r.TargetLatency = 0
	require.Equal(t, fleet.NoLimit, l.MaxQueueWait(r, now))
}
