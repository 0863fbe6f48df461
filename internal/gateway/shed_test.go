package gateway_test

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/overload"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// Load: the processor begins to lag by 60 ms, so that a sixth of the work has to be refused, and every second request is on a
// route whose target that lag leaves no time for. Only these are refused. Their callers are told to come back
// once they reach another instance.
func TestRequestsThatWouldBeLateAreRefusedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		config := unaryConfig()
		quick := config.Routes[0]
		quick.Name, quick.Path, quick.TargetLatencyMillis = "quick", "/quick", 100
		config.Routes[0].TargetLatencyMillis = 1000
		config.Routes = append([]arrangement.Route{quick}, config.Routes...)
		g := newTestGateway(t, config)
		g.addCounted("i-1", serveWell)
		meter, relief := &overload.Meter{}, &overload.Relief{}
		g.handler.Overload, g.handler.Relief = meter, relief
		rng := rand.New(rand.NewPCG(1, 2))
		g.handler.Draw = rng.Float64
		left := time.Now()
		relief.Update(true, true, 10, true, left)
		refused, due := map[string]int{}, 0.0
		for i := range 210 {
			if i >= 40 {
				// A sixth of all requests so far has to be refused, all of it from the late ones: those on
				// the quick route since the processor lags.
				due += float64(2*(i+1)) / 6 / float64(i+1-10)
			}
			for _, path := range []string{"/", "/quick"} {
				if i >= 10 {
					meter.Record(60 * time.Millisecond)
				}
				r, err := http.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("q"))
				require.NoError(t, err)
				r.Header.Set("Wait", "9000")
				resp, err := g.client.Do(r)
				require.NoError(t, err)
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK || i < 40 {
					// The mix of requests is known after some of them.
					continue
				}
				refused[path]++
				delay, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.GreaterOrEqual(t, time.Since(left).Seconds()+delay, 2.2, "the load balancer has not noticed yet")
				require.LessOrEqual(t, delay, 3.0, "a third of the time that the caller waits")
			}
		}
		require.Zero(t, refused["/"])
		require.InDelta(t, due, refused["/quick"], 13)
	})
}

// Load: the processor of an instance can serve 0.6 of the work of its callers. One customer, all of whose callers are here,
// sends long prompts that cost more processor time than the short ones of another; a third one is served at other
// instances. The customer with long prompts got next to nothing (FAIR): dear requests were refused first, whoever sent them.
func TestProcessorOverloadLeavesCustomersTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		config := unaryConfig()
		config.Customers = []arrangement.Customer{{Name: "long", Keys: []string{"kl"}}, {Name: "short", Keys: []string{"ks"}}}
		g := newTestGateway(t, config)
		g.addCounted("i-1", serveWell)
		g.handler.Overload = &overload.Meter{}
		asked, served := map[string]float64{}, map[string]float64{}
		send := func(key string, tokens, body int, counts bool) {
			g.handler.Overload.Record(88 * time.Millisecond)
			r, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader(strings.Repeat("q", body)))
			require.NoError(t, err)
			r.Header.Set("Key", key)
			r.Header.Set("Wait", "9000")
			r.Header.Set("Input", strconv.Itoa(tokens))
			resp, err := g.client.Do(r)
			require.NoError(t, err)
			_ = resp.Body.Close()
			if !counts {
				return
			}
			asked[key] += float64(tokens)
			if resp.StatusCode == http.StatusOK {
				served[key] += float64(tokens)
			}
		}
		other := map[string]admission.Usage{"other": {Demand: 400_000, Served: 400_000}}
		for step := range 500 {
			if step%25 == 0 {
				g.handler.Ledger.SetRemoteUsage("peer", other, time.Now())
			}
			counts := step >= 200
			if step%2 == 0 {
				send("kl", 12_000, 128<<10, counts)
			}
			for range 3 {
				send("ks", 800, 1, counts)
			}
			time.Sleep(20 * time.Millisecond)
		}
		for key := range asked {
			require.Greater(t, served[key], asked[key]/2, "%s: %v of %v", key, served, asked)
		}
	})
}

// Load: an instance that served all requests for seconds begins to lag, so that a sixth of the work has to be refused. From
// the first moment on no more than that is refused: the mix of requests before counts in the classes of those after.
func TestOverloadBeginsWithTheFractionThatIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		config := unaryConfig()
		config.Customers = []arrangement.Customer{{Name: "c", Keys: []string{"k"}}}
		g := newTestGateway(t, config)
		g.addCounted("i-1", serveWell)
		g.handler.Overload = &overload.Meter{}
		refused := 0
		for i := range 360 {
			if i >= 240 {
				g.handler.Overload.Record(60 * time.Millisecond)
			}
			r, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader("q"))
			require.NoError(t, err)
			r.Header.Set("Key", "k")
			r.Header.Set("Wait", "9000")
			r.Header.Set("Input", "1000")
			resp, err := g.client.Do(r)
			require.NoError(t, err)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				refused++
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.InDelta(t, 120.0/6, refused, 12)
	})
}
