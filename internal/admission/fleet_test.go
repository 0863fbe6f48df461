package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/admission"
)

// flow is the demand of one customer at some instances of a fleet.
type flow struct {
	customer string
	// rate is in tokens per second, over all its instances.
	rate      float64
	instances []int
}

// fleetLoad simulates instances that admit requests to endpoints with queues and exchange their
// usage every exchangeInterval.
type fleetLoad struct {
	instances, endpoints int
	// capacity of one endpoint, in tokens per second.
	capacity float64
	flows    []flow
}

// run returns the rate at which each customer is served from two seconds on, in tokens per
// second.
func (f fleetLoad) run(seed uint64, duration time.Duration) map[string]float64 {
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
	served := map[string]float64{}
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
				best := rng.IntN(f.endpoints)
				for range sampled - 1 {
					if e := rng.IntN(f.endpoints); backlog[e] < backlog[best] {
						best = e
					}
				}
				wait := time.Duration(backlog[best] / f.capacity * float64(time.Second))
				if l.Admit(admission.Request{Customer: flow.customer, QueueWait: wait, TargetLatency: targetLatency}, now) {
					l.RecordServed(flow.customer, size, now)
					backlog[best] += size
					if elapsed >= warmUp {
						served[flow.customer] += size / (duration - warmUp).Seconds()
					}
				}
			}
		}
	}
	return served
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
			{"flood", 6_000_000, all},
			{"two", 500_000, []int{3, 4}},
			{"one", 330_000, []int{5}},
			{"three", 270_000, []int{6, 7, 8}},
			{"small", 60_000, []int{9}},
			{"spread", 100_000, all},
		}}
		served := f.run(seed, 8*time.Second)
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
