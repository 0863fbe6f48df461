package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/queue"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/share"
)

// The benchmarks measure the growth rates that docs/CAPACITY.md calculates with:
//
//	go test -run '^$' -bench Capacity ./internal/scheduler

// retainedBytes returns the heap memory that the result of build retains, in bytes.
func retainedBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func account(i int) share.Key {
	return share.Key{Service: fmt.Sprintf("service-%d", i%34), Customer: fmt.Sprintf("customer-%d", i), Kind: "plan"}
}

// BenchmarkCapacityAccounts measures the memory per account and the time to encode a
// report, for a home that knows the accounts of one peer.
func BenchmarkCapacityAccounts(b *testing.B) {
	for _, n := range []int{260, 2600, 26000} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			build := func() any {
				ledger := share.New()
				for i := range n {
					ledger.SetLocalCounts(account(i), 1, 1)
					ledger.Charge(account(i), 100)
				}
				return ledger
			}
			bytes := retainedBytes(build)
			ledger := build().(*share.Ledger)
			sent := &share.SentState{}
			ledger.Report(sent, true, false)
			for b.Loop() {
				ledger.Report(sent, false, false)
			}
			b.ReportMetric(bytes/float64(n), "B/account")
		})
	}
}

// BenchmarkCapacityGrant measures the time of one grant and release at a home where
// requests of many customers wait.
func BenchmarkCapacityGrant(b *testing.B) {
	for _, waiting := range []int{15, 260, 2600} {
		b.Run(fmt.Sprintf("customers=%d", waiting), func(b *testing.B) {
			s, _ := instance("e0", 10)
			s.SetEndpoints([]scheduler.Endpoint{{Name: "m0", Service: "service-0", Domain: "d0", Slots: 1}}, epoch)
			now := epoch.Add(4 * time.Second)
			s.Tick(now)
			for i := range waiting {
				k := share.Key{Service: "service-0", Customer: fmt.Sprintf("customer-%d", i)}
				for j := range 2 {
					if err := s.Arrive(queue.Request{ID: fmt.Sprintf("%d/%d", i, j), Key: k}, now); err != nil {
						b.Fatal(err)
					}
				}
			}
			port := s.Port.(*recorder)
			n := 0
			for b.Loop() {
				run := port.started[len(port.started)-1]
				port.started = port.started[:0]
				s.Finish(run.Request.ID, now)
				n++
				next := run.Request
				next.ID = fmt.Sprintf("again-%d", n)
				if err := s.Arrive(next, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCapacityDuties measures the time to reassign the homes of endpoints when a
// member joins or leaves, and the memory per endpoint.
func BenchmarkCapacityDuties(b *testing.B) {
	for _, size := range []struct{ members, endpoints int }{{5, 23}, {65, 706}, {1100, 12000}} {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			s, _ := instance("e0", 10)
			for i := range size.members - 1 {
				m := member.Member{Name: fmt.Sprintf("p%d", i), Domain: fmt.Sprintf("d%d", i%17), Incarnation: uint32(i + 1)}
				s.Table.RecordMessage(m, epoch)
			}
			endpoints := make([]scheduler.Endpoint, size.endpoints)
			for i := range endpoints {
				endpoints[i] = scheduler.Endpoint{Name: fmt.Sprintf("m%d", i), Service: fmt.Sprintf("service-%d", i%34), Domain: fmt.Sprintf("d%d", i%17), Slots: 64}
			}
			bytes := retainedBytes(func() any { s.SetEndpoints(endpoints, epoch); return s })
			for b.Loop() {
				s.SetEndpoints(endpoints, epoch)
			}
			b.ReportMetric(bytes/float64(size.endpoints), "B/endpoint")
		})
	}
}
