package demo_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// The benchmarks report durations in fake time, which contain the delays of the fleet
// but not the speed of the machine:
//
//	go test -run '^$' -bench 'Publish|Recover' -benchtime 1x ./internal/demo

func newBenchSite(instances int) *demo.Site {
	return &demo.Site{
		Network: &standin.MemoryNetwork{}, InstanceCount: instances, DomainCount: 3, EngineCount: 3, PlainCount: 3,
		CallTime: 20 * time.Millisecond, DrainTimeout: 5 * time.Second,
	}
}

// BenchmarkPublish reports the time from the publish call until the new version is in
// force at the last instance, without faults and with one instance killed 2.5 s before.
func BenchmarkPublish(b *testing.B) {
	for _, instances := range []int{5, 20, 40} {
		for _, killed := range []bool{false, true} {
			b.Run(fmt.Sprintf("instances=%d/killed=%v", instances, killed), func(b *testing.B) {
				for b.Loop() {
					var took time.Duration
					synctest.Test(&testing.T{}, func(*testing.T) { took = publishTime(instances, killed) })
					b.ReportMetric(took.Seconds(), "in-force-s")
				}
			})
		}
	}
}

func publishTime(instances int, killed bool) time.Duration {
	s := newBenchSite(instances)
	defer s.Close()
	if s.Start() != nil {
		return -1
	}
	ctx := context.Background()
	if _, err := s.Publish(ctx, demo.ConfigText(), 0); err != nil {
		return -1
	}
	if killed {
		s.Nodes[1].Kill()
		time.Sleep(2500 * time.Millisecond)
	}
	start := time.Now()
	if _, err := s.Publish(ctx, demo.ConfigText()+"# edited\n", 1); err != nil {
		return -1
	}
	for _, n := range s.Nodes {
		for n.Running() && n.Version(ctx) < 2 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// BenchmarkRecover reports the time from the kill of a leader until the endpoints that
// it was the home of serve again through another instance, and until its failure domain
// has a new leader.
func BenchmarkRecover(b *testing.B) {
	for b.Loop() {
		var endpointsTime, leaderTime time.Duration
		synctest.Test(&testing.T{}, func(*testing.T) { endpointsTime, leaderTime = recoverTimes() })
		b.ReportMetric(endpointsTime.Seconds(), "homes-s")
		b.ReportMetric(leaderTime.Seconds(), "leader-s")
	}
}

func recoverTimes() (endpointsTime, leaderTime time.Duration) {
	s := newBenchSite(6)
	defer s.Close()
	if s.Start() != nil {
		return -1, -1
	}
	ctx := context.Background()
	if _, err := s.Publish(ctx, demo.ConfigText(), 0); err != nil {
		return -1, -1
	}
	time.Sleep(5 * time.Second)
	var killed, survivor *demo.Node
	for _, n := range s.Nodes {
		st, err := n.OperatorClient().Status(ctx)
		if err == nil && st.Leader == n.Name && n.Domain == "d0" {
			killed = n
		}
	}
	for _, n := range s.Nodes {
		if n.Domain == "d0" && n != killed {
			survivor = n
		}
	}
	if killed == nil || survivor == nil {
		return -1, -1
	}
	start := time.Now()
	killed.Kill()
	for endpointsTime == 0 || leaderTime == 0 {
		time.Sleep(50 * time.Millisecond)
		st, err := survivor.OperatorClient().Status(ctx)
		if err != nil {
			return -1, -1
		}
		if endpointsTime == 0 && len(st.HomeEndpoints) == 2 && st.UnsettledEndpoints == 0 {
			endpointsTime = time.Since(start)
		}
		if leaderTime == 0 && st.Leader == survivor.Name {
			leaderTime = time.Since(start)
		}
	}
	return endpointsTime, leaderTime
}
