package scheduler_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/share"
)

// The benchmarks run real schedulers in simulated time with fixed seeds. Run them
// with
//
//	go test -run '^$' -bench Share -benchtime 1x ./internal/scheduler

var seeds = []uint64{1, 2, 3, 4}

// concurrentRuns limits the number of simulations that run at the same time.
var concurrentRuns = make(chan struct{}, 8)

// runSeeds runs a trace for every seed and returns the simulations.
func runSeeds(newTrace func(seed uint64) trace, mode schedulingMode, configure func(*scheduler.Scheduler), setup func(*simulation)) []*simulation {
	sims := make([]*simulation, len(seeds))
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() {
			concurrentRuns <- struct{}{}
			defer func() { <-concurrentRuns }()
			tr := newTrace(seed)
			sim := tr.buildSimulation(mode, configure)
			if setup != nil {
				setup(sim)
			}
			sim.run(tr.length)
			sims[i] = sim
		})
	}
	wg.Wait()
	return sims
}

func mean(sims []*simulation, f func(sim *simulation) float64) float64 {
	total := 0.0
	for _, sim := range sims {
		total += f(sim)
	}
	return total / float64(len(sims))
}

func maximum(sims []*simulation, f func(sim *simulation) float64) float64 {
	highest := math.Inf(-1)
	for _, sim := range sims {
		highest = math.Max(highest, f(sim))
	}
	return highest
}

func gapOf(service string) func(sim *simulation) float64 {
	return func(sim *simulation) float64 { return sim.meter.service(service).Gap() }
}

func idlePercent(service string) func(sim *simulation) float64 {
	return func(sim *simulation) float64 { return 100 * sim.meter.service(service).IdleFraction() }
}

func controlBytesPerSecond(length time.Duration) func(sim *simulation) float64 {
	return func(sim *simulation) float64 {
		return float64(sim.messageBytes) / length.Seconds() / float64(len(sim.nodes))
	}
}

func messagesPerSecond(length time.Duration) func(sim *simulation) float64 {
	return func(sim *simulation) float64 {
		return float64(sim.messages) / length.Seconds() / float64(len(sim.nodes))
	}
}

func corePercent(length time.Duration) func(sim *simulation) float64 {
	return func(sim *simulation) float64 {
		return 100 * sim.cpuTime.Seconds() / length.Seconds() / float64(len(sim.nodes))
	}
}

// reportComparison compares the fleet with one central scheduler, with isolated
// routers and with first-come, first-served order, for the same arrivals.
func reportComparison(b *testing.B, newTrace func(seed uint64) trace) {
	tr := newTrace(1)
	model := tr.services[0]
	fleet := runSeeds(newTrace, modeFleet, nil, nil)
	central := runSeeds(newTrace, modeCentral, nil, nil)
	isolated := runSeeds(newTrace, modeIsolated, nil, nil)
	fifo := runSeeds(newTrace, modeFIFO, nil, nil)
	centralGap := mean(central, gapOf(model.name))
	b.ReportMetric(mean(fleet, gapOf(model.name))/centralGap, "gap-ratio")
	b.ReportMetric(maximum(fleet, gapOf(model.name))/model.maxCost, "gap-requests")
	b.ReportMetric(mean(isolated, gapOf(model.name))/centralGap, "alone-gap-ratio")
	b.ReportMetric(mean(fifo, gapOf(model.name))/centralGap, "fifo-gap-ratio")
	b.ReportMetric(mean(isolated, idlePercent(model.name)), "alone-idle-%")
	b.ReportMetric(mean(fleet, idlePercent(model.name)), "idle-%")
	if len(tr.services) > 1 {
		b.ReportMetric(mean(fleet, idlePercent(tr.services[1].name)), "plain-idle-%")
		b.ReportMetric(mean(isolated, idlePercent(tr.services[1].name)), "alone-plain-idle-%")
	}
	b.ReportMetric(mean(fleet, controlBytesPerSecond(tr.length)), "control-B/s")
	b.ReportMetric(mean(fleet, corePercent(tr.length)), "core-%")
	b.ReportMetric(mean(fleet, messagesPerSecond(tr.length)), "messages/s")
	b.ReportMetric(mean(fleet, func(sim *simulation) float64 { return float64(sim.oversubscribed) }), "stray")
}

func BenchmarkShareToday(b *testing.B) {
	for _, deployment := range []func(time.Duration, uint64) trace{kaseTrace, cordilleraTrace} {
		for _, pinned := range []bool{false, true} {
			newTrace := func(seed uint64) trace {
				tr := deployment(6*time.Minute, seed)
				tr.pinned = pinned
				return tr
			}
			distribution := map[bool]string{false: "spread", true: "pinned"}[pinned]
			b.Run(newTrace(1).name+"/"+distribution, func(b *testing.B) {
				for b.Loop() {
					reportComparison(b, newTrace)
				}
			})
		}
	}
}

// modelOnly returns the trace with its first service, the model, only.
func modelOnly(tr trace) trace {
	tr.services = tr.services[:1]
	return tr
}

// BenchmarkShareCharging compares how much each running request is charged in
// advance, in seconds of a slot's service. Zero charges only what was delivered.
func BenchmarkShareCharging(b *testing.B) {
	for _, advanceSeconds := range []float64{0, 1, 5, 20, 60} {
		b.Run(fmt.Sprintf("ahead=%vs", advanceSeconds), func(b *testing.B) {
			newTrace := func(seed uint64) trace { return modelOnly(kaseTrace(6*time.Minute, seed)) }
			configure := func(s *scheduler.Scheduler) {
				s.Ledger.Policy = func(string) share.Policy { return share.Policy{SlotRate: 40, AdvanceCharge: 40 * advanceSeconds} }
			}
			for b.Loop() {
				b.ReportMetric(mean(runSeeds(newTrace, modeCentral, configure, nil), gapOf("keelemudel")), "central-gap")
				b.ReportMetric(mean(runSeeds(newTrace, modeFleet, configure, nil), gapOf("keelemudel")), "gap")
			}
		})
	}
}

// BenchmarkShareLong shows whether the gap grows with the length of the run.
func BenchmarkShareLong(b *testing.B) {
	for _, length := range []time.Duration{10 * time.Minute, 100 * time.Minute} {
		b.Run(length.String(), func(b *testing.B) {
			newTrace := func(seed uint64) trace {
				tr := modelOnly(cordilleraTrace(length, seed))
				tr.services[0].load = 1.05
				return tr
			}
			for b.Loop() {
				b.ReportMetric(maximum(runSeeds(newTrace, modeFleet, nil, nil), gapOf("asistente-modelo"))/8000, "gap-requests")
			}
		})
	}
}

// useOneSeed makes runSeeds use one seed only, for traces that take long.
func useOneSeed(b *testing.B) {
	all := seeds
	seeds = seeds[:1]
	b.Cleanup(func() { seeds = all })
}

// BenchmarkShareScaled compares a fleet of fifty instances with one central
// scheduler.
func BenchmarkShareScaled(b *testing.B) {
	useOneSeed(b)
	newTrace := func(seed uint64) trace { return scaledTrace(60*time.Second, seed) }
	for b.Loop() {
		fleet := runSeeds(newTrace, modeFleet, nil, nil)
		central := runSeeds(newTrace, modeCentral, nil, nil)
		b.ReportMetric(mean(fleet, gapOf("model"))/mean(central, gapOf("model")), "gap-ratio")
		b.ReportMetric(maximum(fleet, gapOf("model"))/8000, "gap-requests")
		b.ReportMetric(mean(fleet, idlePercent("model")), "idle-%")
		b.ReportMetric(mean(fleet, controlBytesPerSecond(time.Minute)), "control-B/s")
		b.ReportMetric(mean(fleet, corePercent(time.Minute)), "core-%")
	}
}

// BenchmarkShareFlood measures how much of their service the other kinds keep
// while requests of some kinds flood the fleet, compared with the same trace without
// the flood: a flood from one customer, from all, and from all where customers are
// weighted by their usual load.
func BenchmarkShareFlood(b *testing.B) {
	floods := map[string][]string{"least": {"tag"}, "most": {"plan"}, "both": {"tag", "plan"}}
	const from, to = 2 * time.Minute, 4 * time.Minute
	for _, name := range []string{"least", "most", "both"} {
		for _, who := range []string{"one", "all", "weighted"} {
			oneCustomer := who == "one"
			configure := func(s *scheduler.Scheduler) {
				if who == "weighted" {
					s.Ledger.Weight = usualLoadWeight
				}
			}
			b.Run(name+"/"+who, func(b *testing.B) {
				baselineTrace := func(seed uint64) trace {
					tr := modelOnly(kaseTrace(6*time.Minute, seed))
					tr.services[0].load = 0.6
					tr.urgency = map[string]int{"plan": 5, "summary": 2}
					return tr
				}
				floodedTrace := func(seed uint64) trace {
					tr := baselineTrace(seed)
					tr.flood = &flood{kinds: floods[name], from: from, to: to, factor: 3, oneCustomer: oneCustomer}
					return tr
				}
				for b.Loop() {
					floodedRuns := runSeeds(floodedTrace, modeFleet, configure, measureOtherKinds(floods[name], from, to))
					baselineRuns := runSeeds(baselineTrace, modeFleet, configure, measureOtherKinds(floods[name], from, to))
					fifo := runSeeds(floodedTrace, modeFIFO, nil, measureOtherKinds(floods[name], from, to))
					floodedService := mean(floodedRuns, func(sim *simulation) float64 { return sim.otherService })
					baselineService := mean(baselineRuns, func(sim *simulation) float64 { return sim.otherService })
					b.ReportMetric(100*floodedService/baselineService, "kept-%")
					b.ReportMetric(100*mean(fifo, func(sim *simulation) float64 { return sim.otherService })/baselineService, "fifo-kept-%")
					b.ReportMetric(mean(floodedRuns, idlePercent("keelemudel")), "idle-%")
				}
			})
		}
	}
}

// usualLoadWeight weights the large customers of a trace by their load relative to a
// small one: the three large customers offer two thirds of the load in equal parts, the
// twelve small ones one third.
func usualLoadWeight(customer string) float64 {
	if customer < "c03" {
		return 8
	}
	return 1
}

// measureOtherKinds records the service that all kinds except the flooding ones
// receive between two times.
func measureOtherKinds(flooding []string, from, to time.Duration) func(sim *simulation) {
	return func(sim *simulation) {
		sum := func() float64 {
			m := sim.meter.service("keelemudel")
			total := m.Total()
			for _, k := range flooding {
				total -= m.Kind(k)
			}
			return total
		}
		sim.after(from, func() { sim.otherService = -sum() })
		sim.after(to, func() { sim.otherService += sum() })
	}
}

// downDuration is how long a killed instance stays down.
const downDuration = 20 * time.Second

// recoveryDuration is the time after a fault by which the gap must be within its
// bound again.
const recoveryDuration = 10 * time.Second

// BenchmarkShareRestart kills every instance in turn, without warning, and restarts
// it without its state.
func BenchmarkShareRestart(b *testing.B) {
	for _, deployment := range []func(time.Duration, uint64) trace{kaseTrace, cordilleraTrace} {
		newTrace := func(seed uint64) trace { return modelOnly(deployment(6*time.Minute, seed)) }
		b.Run(newTrace(1).name, func(b *testing.B) { reportRestarts(b, newTrace) })
	}
}

func reportRestarts(b *testing.B, newTrace func(seed uint64) trace) {
	service := newTrace(1).services[0].name
	faults := func(sim *simulation) {
		for i, n := range sim.nodes {
			at := time.Duration(60+50*i) * time.Second
			sim.after(at, func() {
				n.kill()
				sim.meter.pause(sim.now, downDuration+recoveryDuration)
			})
			sim.after(at+downDuration, n.restart)
		}
	}
	for b.Loop() {
		sims := runSeeds(newTrace, modeFleet, nil, faults)
		b.ReportMetric(maximum(sims, gapOf(service))/8000, "gap-requests")
		b.ReportMetric(mean(sims, idlePercent(service)), "idle-%")
		b.ReportMetric(mean(sims, func(sim *simulation) float64 { return float64(sim.oversubscribed) }), "stray")
	}
}

// BenchmarkSharePartition separates one failure domain from the others for two
// minutes. Once the partition has healed, service delivered on the other side is
// either not charged or charged in full.
func BenchmarkSharePartition(b *testing.B) {
	for _, chargeAfterHealing := range []bool{false, true} {
		for _, pinned := range []bool{false, true} {
			name := map[bool]string{false: "forgive", true: "pay-back"}[chargeAfterHealing] + map[bool]string{false: "/spread", true: "/pinned"}[pinned]
			b.Run(name, func(b *testing.B) {
				newTrace := func(seed uint64) trace {
					tr := modelOnly(kaseTrace(8*time.Minute, seed))
					tr.pinned = pinned
					return tr
				}
				configure := func(s *scheduler.Scheduler) { s.Ledger.ChargeAfterPartition = chargeAfterHealing }
				partition := func(sim *simulation) { sim.partition("d0", 2*time.Minute, 4*time.Minute, recoveryDuration) }
				for b.Loop() {
					sims := runSeeds(newTrace, modeFleet, configure, partition)
					b.ReportMetric(maximum(sims, gapOf("keelemudel"))/8000, "gap-requests")
					for _, side := range []string{"in", "out"} {
						sideGap := func(sim *simulation) float64 { return sim.sides[side].service("keelemudel").Gap() }
						b.ReportMetric(maximum(sims, sideGap)/8000, side+"-gap-requests")
					}
					b.ReportMetric(mean(sims, func(sim *simulation) float64 { return float64(sim.oversubscribed) }), "stray")
				}
			})
		}
	}
}

// BenchmarkShareSlope measures control traffic and processor time while the numbers
// of instances, customers and endpoints grow together.
func BenchmarkShareSlope(b *testing.B) {
	useOneSeed(b)
	for _, n := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			newTrace := func(seed uint64) trace {
				tr := scaledTrace(60*time.Second, seed)
				tr.instances, tr.customers, tr.largeCustomers = n, 6*n, 2+n/5
				tr.services[0].endpoints = 10 * n
				return tr
			}
			for b.Loop() {
				sims := runSeeds(newTrace, modeFleet, nil, nil)
				b.ReportMetric(mean(sims, controlBytesPerSecond(time.Minute)), "control-B/s")
				b.ReportMetric(mean(sims, corePercent(time.Minute)), "core-%")
			}
		})
	}
}

// BenchmarkSharePlain measures short requests at increasing load.
func BenchmarkSharePlain(b *testing.B) {
	for _, load := range []float64{0.1, 0.2, 0.4, 0.6, 0.9, 1.2} {
		b.Run(fmt.Sprintf("load=%v", load), func(b *testing.B) {
			newTrace := func(seed uint64) trace {
				tr := kaseTrace(20*time.Second, seed)
				tr.services = tr.services[1:]
				tr.services[0].load = load
				return tr
			}
			for b.Loop() {
				sims := runSeeds(newTrace, modeFleet, nil, nil)
				b.ReportMetric(mean(sims, idlePercent("crew-portal")), "idle-%")
				b.ReportMetric(mean(sims, controlBytesPerSecond(20*time.Second)), "control-B/s")
				b.ReportMetric(mean(sims, func(sim *simulation) float64 { return float64(sim.oversubscribed) }), "stray")
			}
		})
	}
}
