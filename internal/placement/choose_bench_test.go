package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// largeBalancer has the size of the users' deployments after growth.
func largeBalancer(now time.Time) *placement.Balancer {
	const endpoints, instances = 90, 24
	b := &placement.Balancer{LocalDomain: "a"}
	for i := range endpoints {
		b.Put(placement.Endpoint{ID: fmt.Sprintf("i-%d", i), EndpointInfo: fleet.EndpointInfo{Service: "model", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: string(rune('a' + i%3)), Slots: 16}})
	}
	for p := range instances {
		work := map[string]placement.Work{}
		for i := range endpoints / 2 {
			work[fmt.Sprintf("i-%d", (i*2+p)%endpoints)] = placement.Work{Runs: 1, Tokens: 500}
		}
		b.SetInstanceWork(fmt.Sprintf("10.1.0.%d:1", p), work, true, start)
	}
	return b
}

func BenchmarkChooseLarge(b *testing.B) {
	now := time.Now()
	balancer := largeBalancer(now)
	r := placement.Request{Service: "model", Tokens: 12000, Stream: true, TargetLatency: 600 * time.Millisecond}
	for i := 0; b.Loop(); i++ {
		r.Shared = []fleet.PromptPart{{ID: uint64(i % 3), Tokens: 512}, {ID: uint64(100 + i%160), Tokens: 4870}}
		r.AffinityKey = r.Shared[1].ID
		c, _ := balancer.Choose(r, now)
		run, _ := balancer.Begin(c, r, now)
		run.RecordFirst(now)
		run.End(placement.ResultAnswered, now)
	}
}
