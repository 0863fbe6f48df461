package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

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
		left := time.Now()
		relief.Update(true, true, 10, true, left)
		refused := map[string]int{}
		for i := range 210 {
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
		require.InDelta(t, 340.0/6, refused["/quick"], 25)
	})
}
