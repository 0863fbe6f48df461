package scheduler_test

import (
	"testing"
	"time"

	"github.com/greengagestep/greengagestep/internal/scheduler"
)

func measure(tr trace, how way, tune func(*scheduler.Scheduler)) *world {
	w := tr.build(how, tune)
	w.run(tr.length)
	return w
}

func BenchmarkShareTry(b *testing.B) {
	for _, tr := range []trace{kase(6*time.Minute, 1), cordillera(6*time.Minute, 1)} {
		for _, pinned := range []bool{false, true} {
			tr.pinned = pinned
			for _, how := range []way{wayCentral, wayFleet, wayAlone} {
				name := tr.name + "/spread/" + string(how)
				if pinned {
					name = tr.name + "/pinned/" + string(how)
				}
				b.Run(name, func(b *testing.B) {
					for b.Loop() {
						start := time.Now()
						w := measure(tr, how, nil)
						cpu := time.Since(start)
						for i, s := range tr.services {
							m := w.meter.service(s.name)
							suffix := []string{"-model", "-plain"}[i]
							b.ReportMetric(m.gap, "gap"+suffix)
							b.ReportMetric(100*m.idle/m.slots, "idle-%"+suffix)
						}
						b.ReportMetric(float64(w.bytes)/tr.length.Seconds()/float64(tr.instances), "control-B/s")
						b.ReportMetric(float64(w.stray), "stray")
						b.ReportMetric(100*cpu.Seconds()/tr.length.Seconds()/float64(tr.instances), "core-%")
					}
				})
			}
		}
	}
}
