package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// Load: all endpoints of a service have more work than a request may wait for. Every refusal is counted, and an
// operator sees on the default level one line with what set the limit, not one for each.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	g := newTestGateway(t, arrangement.Config{
		Services: []arrangement.Service{{Name: "portal"}},
		Routes: []arrangement.Route{{
			Name: "r", Host: "h", Path: "/", Targets: []arrangement.Target{{Service: "portal", Weight: 1}}, Stream: true, TargetLatencyMillis: 200,
		}},
	})
	core, logs := observer.New(zap.InfoLevel)
	g.handler.Logger = zap.New(core)
	g.addEndpoint("e", func(*http.Request, string, io.Writer) bool {
		t.Error("a refused request must not be sent")
		return false
	})
	g.balancer.SetInstanceWork("peer", map[string]placement.Work{"e": {Runs: 3, Tokens: 80_000}}, true, time.Now())
	for range 5 {
		r, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader("x"))
		require.NoError(t, err)
		res, err := g.client.Do(r)
		require.NoError(t, err)
		_ = res.Body.Close()
		require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	}
	lines := logs.FilterMessage(event.Refusals).All()
	require.NotEmpty(t, lines)
	require.Less(t, len(lines), 5)
	fields := lines[0].ContextMap()
	require.Equal(t, "target", fields["bound"])
	require.Greater(t, fields["least"], fields["limit"])
	var metrics strings.Builder
	g.handler.Metrics.Write(&metrics)
	require.Contains(t, metrics.String(), `greengagestep_placements_total{service="portal",weighing="over"} 5`)
}

// Two customers are refused for seconds, one of them more than the other. An operator sees on the default level who
// lacks what and why, not one line for each request.
func TestShortfallsNameCustomersThatLack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		g := newTestGateway(t, arrangement.Config{
			Services: []arrangement.Service{{Name: "portal"}},
			Routes: []arrangement.Route{{
				Name: "r", Host: "h", Path: "/", Targets: []arrangement.Target{{Service: "portal", Weight: 1}}, Stream: true, TargetLatencyMillis: 200,
			}},
			Customers: []arrangement.Customer{{Name: "large", Keys: []string{"kl"}}, {Name: "small", Keys: []string{"ks"}}},
		})
		core, logs := observer.New(zap.InfoLevel)
		g.handler.Logger = zap.New(core)
		g.addEndpoint("e", func(*http.Request, string, io.Writer) bool {
			t.Error("a refused request must not be sent")
			return false
		})
		for i := range 110 {
			g.balancer.SetInstanceWork("peer", map[string]placement.Work{"e": {Runs: 3, Tokens: 80_000}}, true, time.Now())
			r, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader("x"))
			require.NoError(t, err)
			r.Header.Set("Key", []string{"kl", "kl", "ks"}[i%3])
			r.Header.Set("Input", "1000")
			res, err := g.client.Do(r)
			require.NoError(t, err)
			_ = res.Body.Close()
			require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
			time.Sleep(10 * time.Millisecond)
		}
		lines := logs.FilterMessage(event.Shortfall).All()
		require.Len(t, lines, 2)
		large, small := lines[0].ContextMap(), lines[1].ContextMap()
		require.Equal(t, "large", large["customer"])
		require.Equal(t, "small", small["customer"])
		require.Equal(t, "queue-full", large["reason"])
		require.InDelta(t, 67_000, large["tokens"], 2000)
		require.InDelta(t, 33_000, small["tokens"], 2000)
		require.Greater(t, large["asked"], small["asked"])
		require.Zero(t, large["served"])
	})
}
