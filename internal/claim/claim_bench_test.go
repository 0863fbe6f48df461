package claim_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/greengagestep/greengagestep/internal/claim"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// BenchmarkClaims measures the appends per second and the mean delay that claims add, in
// fake time, at increasing claims per second. The log responds after 2 ms.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range []int{10, 100, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("claims=%d", rate), func(b *testing.B) {
			for b.Loop() {
				t := &testing.T{}
				var appends, delay float64
				synctest.Test(t, func(*testing.T) { appends, delay = runClaims(rate) })
				b.ReportMetric(appends, "appends/s")
				b.ReportMetric(delay, "delay-ms")
			}
		})
	}
}

func runClaims(rate int) (appends, delay float64) {
	const seconds = 5
	log := &standin.Log{}
	log.Set(standin.LogFaults{Delay: 2 * time.Millisecond})
	c := newCluster(log, "a", "b", "c", "d", "e")
	c.owner = func(_ string, shard int) string { return string(rune('a' + shard%5)) }
	var mu sync.Mutex
	var wg sync.WaitGroup
	total := time.Duration(0)
	for i := range rate * seconds {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
			start := time.Now()
			_, _ = c.registry(string(rune('a'+i%5))).Begin(context.Background(), "c0", fmt.Sprint("key", i), "p", "r")
			mu.Lock()
			defer mu.Unlock()
			total += time.Since(start)
		})
	}
	wg.Wait()
	return float64(log.Appends()) / seconds, total.Seconds() * 1000 / float64(rate*seconds)
}

// BenchmarkClaimMemory measures the memory of one claim at the owner of its shard.
func BenchmarkClaimMemory(b *testing.B) {
	const n = 20000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		index := claim.IndexForTest(n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(index)
		b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/n, "B/claim")
	}
}
