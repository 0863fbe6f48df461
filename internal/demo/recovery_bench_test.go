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

// The benchmarks give times of the fleet itself, in fake time:
//
//	go test -run '^$' -bench 'Publish|Recover' -benchtime 1x ./internal/demo

func fleetOf(instances int) *demo.Site {
	return &demo.Site{
		Network: &standin.Memory{}, Instances: instances, Domains: 3, Engines: 3, Plains: 3,
		CallTime: 20 * time.Millisecond, Drain: 5 * time.Second,
	}
}

// BenchmarkPublish gives the time from the call until the last instance reports a
// publication in force, undisturbed and with one instance killed just before.
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
	s := fleetOf(instances)
	defer s.Close()
	if s.Start() != nil {
		return -1
	}
	ctx := context.Background()
	if _, err := s.Publish(ctx, demo.Text(), 0); err != nil {
		return -1
	}
	if killed {
		s.Nodes[1].Kill()
		time.Sleep(2500 * time.Millisecond)
	}
	start := time.Now()
	if _, err := s.Publish(ctx, demo.Text()+"# edited\n", 1); err != nil {
		return -1
	}
	for _, n := range s.Nodes {
		for n.Running() && n.Version(ctx) < 2 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

// BenchmarkRecover gives the time from the kill of an instance until the endpoints
// that it was home of serve again, and until a new leader leads its failure domain.
func BenchmarkRecover(b *testing.B) {
	for b.Loop() {
		var slots, leads time.Duration
		synctest.Test(&testing.T{}, func(*testing.T) { slots, leads = recoverTimes() })
		b.ReportMetric(slots.Seconds(), "homes-s")
		b.ReportMetric(leads.Seconds(), "leader-s")
	}
}

func recoverTimes() (slots, leads time.Duration) {
	s := fleetOf(6)
	defer s.Close()
	if s.Start() != nil {
		return -1, -1
	}
	ctx := context.Background()
	if _, err := s.Publish(ctx, demo.Text(), 0); err != nil {
		return -1, -1
	}
	time.Sleep(5 * time.Second)
	var victim, witness *demo.Node
	for _, n := range s.Nodes {
		st, err := n.Operator().Status(ctx)
		if err == nil && st.Leader == n.Name && n.Domain == "d0" {
			victim = n
		}
	}
	for _, n := range s.Nodes {
		if n.Domain == "d0" && n != victim {
			witness = n
		}
	}
	if victim == nil || witness == nil {
		return -1, -1
	}
	start := time.Now()
	victim.Kill()
	for slots == 0 || leads == 0 {
		time.Sleep(50 * time.Millisecond)
		st, err := witness.Operator().Status(ctx)
		if err != nil {
			return -1, -1
		}
		if slots == 0 && len(st.HomeEndpoints) == 2 && st.UnsettledEndpoints == 0 {
			slots = time.Since(start)
		}
		if leads == 0 && st.Leader == witness.Name {
			leads = time.Since(start)
		}
	}
	return slots, leads
}
