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

// small is a trace of a few equal customers that all offer more than their share.
func small(customers int, length time.Duration) trace {
	return trace{
		name: "small", domains: 2, instances: 4, customers: customers, large: customers,
		near: 250 * time.Microsecond, far: 1500 * time.Microsecond,
		services: []serviceTrace{{name: "model", unit: fleet.UnitTokens, endpoints: 4, slots: 8, rate: 40, mean: 200, sigma: 0.8, most: 2000, load: 2}},
		kinds:    []string{"a", "b"}, length: length, seed: 1,
	}
}

// play runs a trace with its jobs changed.
func play(tr trace, tune func(*scheduler.Scheduler), change func([]*job) []*job) *world {
	w := tr.empty(wayFleet, tune)
	for _, j := range change(tr.jobs()) {
		w.after(j.at, func() { w.submit(j) })
	}
	w.run(tr.length)
	return w
}

func same(jobs []*job) []*job { return jobs }

func TestWeightsHold(t *testing.T) {
	weights := map[string]float64{"c00": 1, "c01": 2, "c02": 4}
	tr := small(3, 3*time.Minute)
	tr.services[0].load = 6
	w := play(tr, func(s *scheduler.Scheduler) {
		s.Book.Weight = func(customer string) float64 { return weights[customer] }
	}, same)
	m := w.meter.service("model")
	for customer, weight := range weights {
		part := m.Customer(customer) / m.Total()
		require.InEpsilon(t, weight/7, part, 0.05, "customer %s", customer)
	}
	require.Less(t, m.IdleFraction(), 0.01)
}

// TestCustomerCannotGain lets one customer of six try to get more than the others,
// which all offer the same work.
func TestCustomerCannotGain(t *testing.T) {
	const gamer = "c00"
	mine := func(jobs []*job, change func(j *job) []*job) []*job {
		var all []*job
		for _, j := range jobs {
			if j.key.Customer != gamer {
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
		{"as the others", same},
		{"splits requests into ten", func(jobs []*job) []*job {
			return mine(jobs, func(j *job) []*job {
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
			return mine(jobs, func(j *job) []*job { c := *j; c.entry = 0; return []*job{&c} })
		}},
		{"sends in bursts", func(jobs []*job) []*job {
			return mine(jobs, func(j *job) []*job { c := *j; c.at = c.at.Truncate(20 * time.Second); return []*job{&c} })
		}},
		{"declares a kind for each request", func(jobs []*job) []*job {
			n := 0
			return mine(jobs, func(j *job) []*job { c := *j; n++; c.key.Kind = fmt.Sprint("k", n%20); return []*job{&c} })
		}},
		{"cancels after two seconds and asks again", func(jobs []*job) []*job {
			return mine(jobs, func(j *job) []*job {
				a, b := *j, *j
				a.cost = math.Min(a.cost, 80)
				b.cost = math.Max(1, b.cost-a.cost)
				b.at += 2 * time.Second
				return []*job{&a, &b}
			})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tr := small(6, 5*time.Minute)
			w := play(tr, nil, tc.change)
			m := w.meter.service("model")
			others := (m.Total() - m.Customer(gamer)) / 5
			// The goal for the gap between customers that wait: twice the
			// largest request, however long the run.
			require.LessOrEqual(t, m.Customer(gamer)-others, 2*tr.services[0].most)
		})
	}
}

// TestSmallestCustomerIsServed gives a customer that sends one request now and then a
// bounded wait while the others flood.
func TestSmallestCustomerIsServed(t *testing.T) {
	w := play(small(6, 3*time.Minute), nil, func(jobs []*job) []*job {
		var all []*job
		next := time.Duration(0)
		for _, j := range jobs {
			if j.key.Customer != "c00" {
				all = append(all, j)
				continue
			}
			if j.at >= next {
				next = j.at + 5*time.Second
				all = append(all, j)
			}
		}
		return all
	})
	// 32 slots of 5 s mean come free every 0.16 s; instances hear of the request
	// within 0.5 s.
	require.Less(t, w.worst["c00"], 2*time.Second)
	require.Positive(t, w.worst["c00"])
}
