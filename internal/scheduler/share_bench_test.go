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

// The benchmarks drive the real decisions over explicit time with fixed seeds. Run
// them with
//
//	go test -run '^$' -bench Share -benchtime 1x ./internal/scheduler

var seeds = []uint64{1, 2, 3, 4}

// parallel bounds the worlds that run at a time.
var parallel = make(chan struct{}, 8)

// runs runs a trace for every seed and returns the worlds.
func runs(mk func(seed uint64) trace, how way, tune func(*scheduler.Scheduler), also func(*world)) []*world {
	worlds := make([]*world, len(seeds))
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() {
			parallel <- struct{}{}
			defer func() { <-parallel }()
			tr := mk(seed)
			w := tr.build(how, tune)
			if also != nil {
				also(w)
			}
			w.run(tr.length)
			worlds[i] = w
		})
	}
	wg.Wait()
	return worlds
}

func mean(worlds []*world, f func(w *world) float64) float64 {
	total := 0.0
	for _, w := range worlds {
		total += f(w)
	}
	return total / float64(len(worlds))
}

func most(worlds []*world, f func(w *world) float64) float64 {
	highest := math.Inf(-1)
	for _, w := range worlds {
		highest = math.Max(highest, f(w))
	}
	return highest
}

func gapOf(service string) func(w *world) float64 {
	return func(w *world) float64 { return w.meter.service(service).Gap() }
}

func idleOf(service string) func(w *world) float64 {
	return func(w *world) float64 { return 100 * w.meter.service(service).IdleFraction() }
}

func controlOf(length time.Duration) func(w *world) float64 {
	return func(w *world) float64 { return float64(w.bytes) / length.Seconds() / float64(len(w.nodes)) }
}

func sendsOf(length time.Duration) func(w *world) float64 {
	return func(w *world) float64 { return float64(w.sends) / length.Seconds() / float64(len(w.nodes)) }
}

func coreOf(length time.Duration) func(w *world) float64 {
	return func(w *world) float64 { return 100 * w.busy.Seconds() / length.Seconds() / float64(len(w.nodes)) }
}

// report compares the fleet with one central scheduler, with routers that know
// nothing of each other and with first come first served, on the same arrivals.
func report(b *testing.B, mk func(seed uint64) trace) {
	tr := mk(1)
	model := tr.services[0]
	fleet := runs(mk, wayFleet, nil, nil)
	central := runs(mk, wayCentral, nil, nil)
	alone := runs(mk, wayAlone, nil, nil)
	fifo := runs(mk, wayFIFO, nil, nil)
	best := mean(central, gapOf(model.name))
	b.ReportMetric(mean(fleet, gapOf(model.name))/best, "gap-ratio")
	b.ReportMetric(most(fleet, gapOf(model.name))/model.most, "gap-requests")
	b.ReportMetric(mean(alone, gapOf(model.name))/best, "alone-gap-ratio")
	b.ReportMetric(mean(fifo, gapOf(model.name))/best, "fifo-gap-ratio")
	b.ReportMetric(mean(alone, idleOf(model.name)), "alone-idle-%")
	b.ReportMetric(mean(fleet, idleOf(model.name)), "idle-%")
	if len(tr.services) > 1 {
		b.ReportMetric(mean(fleet, idleOf(tr.services[1].name)), "plain-idle-%")
		b.ReportMetric(mean(alone, idleOf(tr.services[1].name)), "alone-plain-idle-%")
	}
	b.ReportMetric(mean(fleet, controlOf(tr.length)), "control-B/s")
	b.ReportMetric(mean(fleet, coreOf(tr.length)), "core-%")
	b.ReportMetric(mean(fleet, sendsOf(tr.length)), "messages/s")
	b.ReportMetric(mean(fleet, func(w *world) float64 { return float64(w.stray) }), "stray")
}

func BenchmarkShareToday(b *testing.B) {
	for _, firm := range []func(time.Duration, uint64) trace{kase, cordillera} {
		for _, pinned := range []bool{false, true} {
			mk := func(seed uint64) trace {
				tr := firm(6*time.Minute, seed)
				tr.pinned = pinned
				return tr
			}
			spread := map[bool]string{false: "spread", true: "pinned"}[pinned]
			b.Run(mk(1).name+"/"+spread, func(b *testing.B) {
				for b.Loop() {
					report(b, mk)
				}
			})
		}
	}
}

// modelOnly keeps only the model service of a trace.
func modelOnly(tr trace) trace {
	tr.services = tr.services[:1]
	return tr
}

// BenchmarkShareCharging compares how much each running request is charged in
// advance, in seconds of a slot's service. Zero charges only what was delivered.
func BenchmarkShareCharging(b *testing.B) {
	for _, ahead := range []float64{0, 1, 5, 20, 60} {
		b.Run(fmt.Sprintf("ahead=%vs", ahead), func(b *testing.B) {
			mk := func(seed uint64) trace { return modelOnly(kase(6*time.Minute, seed)) }
			tune := func(s *scheduler.Scheduler) {
				s.Book.Policy = func(string) share.Policy { return share.Policy{SlotRate: 40, AdvanceCharge: 40 * ahead} }
			}
			for b.Loop() {
				b.ReportMetric(mean(runs(mk, wayCentral, tune, nil), gapOf("keelemudel")), "central-gap")
				b.ReportMetric(mean(runs(mk, wayFleet, tune, nil), gapOf("keelemudel")), "gap")
			}
		})
	}
}

// BenchmarkShareLong shows whether the gap grows with the length of the run.
func BenchmarkShareLong(b *testing.B) {
	for _, length := range []time.Duration{10 * time.Minute, 100 * time.Minute} {
		b.Run(length.String(), func(b *testing.B) {
			mk := func(seed uint64) trace {
				tr := modelOnly(cordillera(length, seed))
				tr.services[0].load = 1.05
				return tr
			}
			for b.Loop() {
				b.ReportMetric(most(runs(mk, wayFleet, nil, nil), gapOf("asistente-modelo"))/8000, "gap-requests")
			}
		})
	}
}

// oneSeed makes runs use one seed only, for traces that take long.
func oneSeed(b *testing.B) {
	all := seeds
	seeds = seeds[:1]
	b.Cleanup(func() { seeds = all })
}

// BenchmarkShareScaled runs the fleet of fifty instances against one central
// scheduler.
func BenchmarkShareScaled(b *testing.B) {
	oneSeed(b)
	mk := func(seed uint64) trace { return scaled(60*time.Second, seed) }
	for b.Loop() {
		fleet := runs(mk, wayFleet, nil, nil)
		central := runs(mk, wayCentral, nil, nil)
		b.ReportMetric(mean(fleet, gapOf("model"))/mean(central, gapOf("model")), "gap-ratio")
		b.ReportMetric(most(fleet, gapOf("model"))/8000, "gap-requests")
		b.ReportMetric(mean(fleet, idleOf("model")), "idle-%")
		b.ReportMetric(mean(fleet, controlOf(time.Minute)), "control-B/s")
		b.ReportMetric(mean(fleet, coreOf(time.Minute)), "core-%")
	}
}

// BenchmarkShareFlood shows how much of its service other work keeps while kinds of
// work flood in, against the same trace without the flood: from one customer, from all,
// and from all where customers have the weight of their usual load.
func BenchmarkShareFlood(b *testing.B) {
	floods := map[string][]string{"least": {"tag"}, "most": {"plan"}, "both": {"tag", "plan"}}
	const from, to = 2 * time.Minute, 4 * time.Minute
	for _, name := range []string{"least", "most", "both"} {
		for _, who := range []string{"one", "all", "weighted"} {
			one := who == "one"
			tune := func(s *scheduler.Scheduler) {
				if who == "weighted" {
					s.Book.Weight = usualLoad
				}
			}
			b.Run(name+"/"+who, func(b *testing.B) {
				calm := func(seed uint64) trace {
					tr := modelOnly(kase(6*time.Minute, seed))
					tr.services[0].load = 0.6
					tr.urgency = map[string]int{"plan": 5, "summary": 2}
					return tr
				}
				flooded := func(seed uint64) trace {
					tr := calm(seed)
					tr.flood = &flood{kinds: floods[name], from: from, to: to, factor: 3, one: one}
					return tr
				}
				for b.Loop() {
					during := runs(flooded, wayFleet, tune, others(floods[name], from, to))
					before := runs(calm, wayFleet, tune, others(floods[name], from, to))
					fifo := runs(flooded, wayFIFO, nil, others(floods[name], from, to))
					kept := mean(during, func(w *world) float64 { return w.noted })
					calmly := mean(before, func(w *world) float64 { return w.noted })
					b.ReportMetric(100*kept/calmly, "kept-%")
					b.ReportMetric(100*mean(fifo, func(w *world) float64 { return w.noted })/calmly, "fifo-kept-%")
					b.ReportMetric(mean(during, idleOf("keelemudel")), "idle-%")
				}
			})
		}
	}
}

// usualLoad weighs the large customers of a trace by what they offer beside a small
// one: two thirds in three parts against one third in twelve.
func usualLoad(customer string) float64 {
	if customer < "c03" {
		return 8
	}
	return 1
}

// others notes the service that all kinds but the flooding ones get between two
// times.
func others(flooding []string, from, to time.Duration) func(w *world) {
	return func(w *world) {
		sum := func() float64 {
			m := w.meter.service("keelemudel")
			total := m.Total()
			for _, k := range flooding {
				total -= m.Kind(k)
			}
			return total
		}
		w.after(from, func() { w.noted = -sum() })
		w.after(to, func() { w.noted += sum() })
	}
}

// downTime is how long a killed instance is away.
const downTime = 20 * time.Second

// settleTime is when after a fault the gap must be in its bound again.
const settleTime = 10 * time.Second

// BenchmarkShareRestart kills every instance in turn, without warning, and starts
// it again with no memory.
func BenchmarkShareRestart(b *testing.B) {
	for _, firm := range []func(time.Duration, uint64) trace{kase, cordillera} {
		mk := func(seed uint64) trace { return modelOnly(firm(6*time.Minute, seed)) }
		b.Run(mk(1).name, func(b *testing.B) { restarts(b, mk) })
	}
}

func restarts(b *testing.B, mk func(seed uint64) trace) {
	service := mk(1).services[0].name
	faults := func(w *world) {
		for i, n := range w.nodes {
			at := time.Duration(60+50*i) * time.Second
			w.after(at, func() {
				n.kill()
				w.meter.quiet(w.now, downTime+settleTime)
			})
			w.after(at+downTime, n.restart)
		}
	}
	for b.Loop() {
		worlds := runs(mk, wayFleet, nil, faults)
		b.ReportMetric(most(worlds, gapOf(service))/8000, "gap-requests")
		b.ReportMetric(mean(worlds, idleOf(service)), "idle-%")
		b.ReportMetric(mean(worlds, func(w *world) float64 { return float64(w.stray) }), "stray")
	}
}

// BenchmarkSharePartition cuts one failure domain off for two minutes and joins it
// again, with the debt forgiven and paid back.
func BenchmarkSharePartition(b *testing.B) {
	for _, payBack := range []bool{false, true} {
		for _, pinned := range []bool{false, true} {
			name := map[bool]string{false: "forgive", true: "pay-back"}[payBack] + map[bool]string{false: "/spread", true: "/pinned"}[pinned]
			b.Run(name, func(b *testing.B) {
				mk := func(seed uint64) trace {
					tr := modelOnly(kase(8*time.Minute, seed))
					tr.pinned = pinned
					return tr
				}
				tune := func(s *scheduler.Scheduler) { s.Book.ChargeAfterPartition = payBack }
				cut := func(w *world) { w.partition("d0", 2*time.Minute, 4*time.Minute, settleTime) }
				for b.Loop() {
					worlds := runs(mk, wayFleet, tune, cut)
					b.ReportMetric(most(worlds, gapOf("keelemudel"))/8000, "gap-requests")
					for _, side := range []string{"in", "out"} {
						sided := func(w *world) float64 { return w.sides[side].service("keelemudel").Gap() }
						b.ReportMetric(most(worlds, sided)/8000, side+"-gap-requests")
					}
					b.ReportMetric(mean(worlds, func(w *world) float64 { return float64(w.stray) }), "stray")
				}
			})
		}
	}
}

// BenchmarkShareSlope gives control traffic and processor time as instances,
// customers and endpoints grow together.
func BenchmarkShareSlope(b *testing.B) {
	oneSeed(b)
	for _, n := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			mk := func(seed uint64) trace {
				tr := scaled(60*time.Second, seed)
				tr.instances, tr.customers, tr.large = n, 6*n, 2+n/5
				tr.services[0].endpoints = 10 * n
				return tr
			}
			for b.Loop() {
				worlds := runs(mk, wayFleet, nil, nil)
				b.ReportMetric(mean(worlds, controlOf(time.Minute)), "control-B/s")
				b.ReportMetric(mean(worlds, coreOf(time.Minute)), "core-%")
			}
		})
	}
}

// BenchmarkSharePlain raises the load of short calls.
func BenchmarkSharePlain(b *testing.B) {
	for _, load := range []float64{0.1, 0.2, 0.4, 0.6, 0.9, 1.2} {
		b.Run(fmt.Sprintf("load=%v", load), func(b *testing.B) {
			mk := func(seed uint64) trace {
				tr := kase(20*time.Second, seed)
				tr.services = tr.services[1:]
				tr.services[0].load = load
				return tr
			}
			for b.Loop() {
				worlds := runs(mk, wayFleet, nil, nil)
				b.ReportMetric(mean(worlds, idleOf("crew-portal")), "idle-%")
				b.ReportMetric(mean(worlds, controlOf(20*time.Second)), "control-B/s")
				b.ReportMetric(mean(worlds, func(w *world) float64 { return float64(w.stray) }), "stray")
			}
		})
	}
}
