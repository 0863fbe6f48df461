package demo_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/demo"
)

// The benchmarks measure the cost of the request path over loopback, directly to an
// endpoint and through one router, in the same run:
//
//	go test -run '^$' -bench Path -benchtime 3s ./internal/demo

const pathConfig = `services:
  - name: portal
    unit: time
    slots: 64
    repeat: [GET, POST]
  - name: model
    model: assistant
    slots: 256
    rate: 1000
customers:
  - name: c0
    keys: [key-0]
models:
  - name: assistant
    version: "1"
`

// startPathSite starts one router in front of one plain service and one model engine,
// and returns the addresses of the two.
func startPathSite(b *testing.B, callTime time.Duration, rate float64) (site *demo.Site, plain, model string) {
	site = &demo.Site{
		InstanceCount: 1, DomainCount: 1, EngineCount: 1, PlainCount: 1, PlainSlots: 64, EngineSlots: 256,
		CallTime: callTime, TokenRate: rate, DrainTimeout: time.Second,
	}
	require.NoError(b, site.Start())
	_, err := site.Publish(context.Background(), pathConfig, 0)
	require.NoError(b, err)
	b.Cleanup(func() { _ = site.Close() })
	return site, site.Address("p0"), site.Address("m0")
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func get(client *http.Client, url string) error {
	_, err := fetch(client, http.MethodGet, url, nil)
	return err
}

// fetch sends a request, reads the answer and returns its length in bytes. A status
// other than 200 is an error.
func fetch(client *http.Client, method, url string, body []byte) (int64, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer key-0")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return n, err
}

// BenchmarkPathCall measures the latency and CPU time of small sequential calls.
func BenchmarkPathCall(b *testing.B) {
	site, plain, _ := startPathSite(b, time.Nanosecond, 1000)
	for _, target := range []struct{ name, url string }{
		{"direct", "http://" + plain + "/stock"},
		{"router", "http://" + site.Nodes[0].CallerAddress + "/portal/stock"},
	} {
		b.Run(target.name, func(b *testing.B) {
			b.ReportAllocs()
			times := make([]time.Duration, 0, b.N)
			before := processCPUTime()
			for b.Loop() {
				start := time.Now()
				require.NoError(b, get(site.Client(), target.url))
				times = append(times, time.Since(start))
			}
			cpu := processCPUTime() - before
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "median-us")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(cpu.Microseconds())/float64(len(times)), "cpu-us/op")
		})
	}
}

// BenchmarkPathParallel measures the CPU time of small calls from 32 concurrent callers.
func BenchmarkPathParallel(b *testing.B) {
	site, plain, _ := startPathSite(b, time.Nanosecond, 1000)
	for _, target := range []struct{ name, url string }{
		{"direct", "http://" + plain + "/stock"},
		{"router", "http://" + site.Nodes[0].CallerAddress + "/portal/stock"},
	} {
		b.Run(target.name, func(b *testing.B) {
			b.SetParallelism(32 / runtime.GOMAXPROCS(0))
			before := processCPUTime()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := get(site.Client(), target.url); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64((processCPUTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkPathStreams measures the tokens per second and the CPU time per token of 1
// and 200 concurrent streams.
func BenchmarkPathStreams(b *testing.B) {
	const tokens = 500
	site, _, model := startPathSite(b, time.Nanosecond, 1000)
	for _, streams := range []int{1, 200} {
		for _, target := range []struct{ name, url string }{
			{"direct", "http://" + model + "/generate"},
			{"router", "http://" + site.Nodes[0].CallerAddress + "/model/generate"},
		} {
			b.Run(fmt.Sprintf("%s/streams=%d", target.name, streams), func(b *testing.B) {
				var done atomic.Int64
				start, before := time.Now(), processCPUTime()
				for b.Loop() {
					var wg sync.WaitGroup
					for range streams {
						wg.Go(func() {
							if streamAnswer(site.Client(), target.url, tokens) == nil {
								done.Add(tokens)
							}
						})
					}
					wg.Wait()
				}
				b.ReportMetric(float64(done.Load())/time.Since(start).Seconds(), "tokens/s")
				b.ReportMetric(float64((processCPUTime()-before).Nanoseconds())/float64(done.Load())/1000, "cpu-us/token")
			})
		}
	}
}

func streamAnswer(client *http.Client, url string, tokens int) error {
	body := fmt.Sprintf(`{"prompt":"x","tokens":%d}`, tokens)
	n, err := fetch(client, http.MethodPost, url, []byte(body))
	if err == nil && n < int64(tokens) {
		err = fmt.Errorf("answer of %d bytes", n)
	}
	return err
}
