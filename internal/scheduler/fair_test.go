package scheduler_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// smallTrace returns a trace of a few equal customers that all offer more load than
// their share.
func smallTrace(customers int, length time.Duration) trace {
	return trace{
		name: "small", domains: 2, instances: 4, customers: customers, largeCustomers: customers,
		sameDomainDelay: 250 * time.Microsecond, crossDomainDelay: 1500 * time.Microsecond,
		services: []serviceTrace{{name: "model", unit: fleet.UnitTokens, endpoints: 4, slots: 8, rate: 40, meanCost: 200, sigma: 0.8, maxCost: 2000, load: 2}},
		kinds:    []string{"a", "b"}, length: length, seed: 1,
	}
}

// simulate runs a trace with its jobs changed.
func simulate(tr trace, configure func(*scheduler.Scheduler), change func([]*job) []*job) *simulation {
	sim := tr.emptySimulation(modeFleet, configure)
	for _, j := range change(tr.jobs()) {
		sim.after(j.at, func() { sim.submit(j) })
	}
	sim.run(tr.length)
	return sim
}

func unchanged(jobs []*job) []*job { return jobs }

func TestServiceIsProportionalToWeights(t *testing.T) {
	weights := map[string]float64{"c00": 1, "c01": 2, "c02": 4}
	tr := smallTrace(3, 3*time.Minute)
	tr.services[0].load = 6
	sim := simulate(tr, func(s *scheduler.Scheduler) {
		s.Ledger.Weight = func(customer string) float64 { return weights[customer] }
	}, unchanged)
	m := sim.meter.service("model")
	for customer, weight := range weights {
		fraction := m.Customer(customer) / m.Total()
		require.InEpsilon(t, weight/7, fraction, 0.05, "customer %s", customer)
	}
	require.Less(t, m.IdleFraction(), 0.01)
}

// TestCustomerCannotExceedFairShare lets one of six customers send its requests in
// ways that might get it more service than the others, which all offer the same load.
func TestCustomerCannotExceedFairShare(t *testing.T) {
	const greedy = "c00"
	changeGreedy := func(jobs []*job, change func(j *job) []*job) []*job {
		var all []*job
		for _, j := range jobs {
			if j.key.Customer != greedy {
				all = append(all, j)
				continue
			}
			for i, c := range change(j) {
				c.id = fmt.Sprintf("%s.%d", j.id, i)
				all = append(all, c)
			}
		}
		return all
	}
	for _, tc := range []struct {
		name   string
		change func([]*job) []*job
	}{
		{"as the others", unchanged},
		{"splits requests into ten", func(jobs []*job) []*job {
			return changeGreedy(jobs, func(j *job) []*job {
				var parts []*job
				for range 10 {
					c := *j
					c.cost = math.Max(1, j.cost/10)
					parts = append(parts, &c)
				}
				return parts
			})
		}},
		{"sends everything to one instance", func(jobs []*job) []*job {
			return changeGreedy(jobs, func(j *job) []*job { c := *j; c.entry = 0; return []*job{&c} })
		}},
		{"sends in bursts", func(jobs []*job) []*job {
			return changeGreedy(jobs, func(j *job) []*job { c := *j; c.at = c.at.Truncate(20 * time.Second); return []*job{&c} })
		}},
		{"declares a kind for each request", func(jobs []*job) []*job {
			n := 0
			return changeGreedy(jobs, func(j *job) []*job { c := *j; n++; c.key.Kind = fmt.Sprint("k", n%20); return []*job{&c} })
		}},
		{"cancels after two seconds and asks again", func(jobs []*job) []*job {
			return changeGreedy(jobs, func(j *job) []*job {
				a, b := *j, *j
				a.cost = math.Min(a.cost, 80)
				b.cost = math.Max(1, b.cost-a.cost)
				b.at += 2 * time.Second
				return []*job{&a, &b}
			})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr := smallTrace(6, 5*time.Minute)
			sim := simulate(tr, nil, tc.change)
			m := sim.meter.service("model")
			others := (m.Total() - m.Customer(greedy)) / 5
			// The bound for the gap between waiting customers: twice the largest
			// request, regardless of the length of the run.
			require.LessOrEqual(t, m.Customer(greedy)-others, 2*tr.services[0].maxCost)
		})
	}
}

// TestInfrequentCustomerIsNotStarved checks that a customer that sends one request
// now and then has a bounded wait while the others flood the service.
func TestInfrequentCustomerIsNotStarved(t *testing.T) {
	sim := simulate(smallTrace(6, 3*time.Minute), nil, func(jobs []*job) []*job {
		var all []*job
		nextAt := time.Duration(0)
		for _, j := range jobs {
			if j.key.Customer != "c00" {
				all = append(all, j)
				continue
			}
			if j.at >= nextAt {
				nextAt = j.at + 5*time.Second
				all = append(all, j)
			}
		}
		return all
	})
	// 32 slots with requests of 5 s on average become free every 0.16 s; the
	// instances learn of the request within 0.5 s.
	require.Less(t, sim.maxWait["c00"], 2*time.Second)
	require.Positive(t, sim.maxWait["c00"])
}
