package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/gateway"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// asked returns a request as a caller with a key would send it.
func asked(host, path, key string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.Host = host
	r.Header.Set("Key", key)
	r.Header.Set("Parts", "book:5000,question:30")
	return r
}

// An explanation names the endpoint that the next request goes to, why the others are out, and the
// refusal that it would get, without an effect of its own.
func TestExplanationIsWhatHappens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := unaryConfig()
		config.Routes[0].TargetLatencyMillis = 300
		config.Customers = []arrangement.Customer{{Name: "c", Keys: []string{"k"}}}
		g := newTestGateway(t, config)
		g.client.Transport = keyTransport{g.client.Transport}
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			g.addCounted(id, serveWell)
			g.move(id, "domain of "+id)
		}
		g.balancer.SetEvacuated("domain of i-1", true, time.Now())
		g.balancer.SetInstanceWork("p", map[string]placement.Work{"i-2": {Runs: 2}}, true, time.Now())

		var first gateway.Explanation
		for n := range 20 {
			e, err := g.handler.Explain(asked("h", "/x", "k"))
			require.NoError(t, err)
			if n == 0 {
				first = e
			}
			require.Equal(t, first, e)
		}
		require.Equal(t, "c", first.Customer)
		target := first.Targets[0]
		require.Empty(t, target.Refused)
		require.EqualValues(t, 150, target.Limit)
		var order, excluded []string
		for _, c := range target.Candidates {
			order, excluded = append(order, c.Endpoint), append(excluded, c.Excluded)
		}
		require.Equal(t, []string{"i-3", "i-2", "i-1"}, order)
		require.Equal(t, []string{"", "", "evacuated"}, excluded)
		choice, ok := g.balancer.Choose(placement.Request{Service: "portal"}, time.Now())
		require.True(t, ok)
		require.Equal(t, order[0], choice.Endpoint.ID)

		g.balancer.SetInstanceWork("p", map[string]placement.Work{"i-2": {Runs: 90}, "i-3": {Runs: 90}}, true, time.Now())
		e, err := g.handler.Explain(asked("h", "/x", "k"))
		require.NoError(t, err)
		require.Equal(t, fleet.ReasonQueueFull, e.Targets[0].Refused)
		_, body := g.post("/x", "1")
		require.Equal(t, "queue-full\n", body)
		g.balancer.SetEvacuated("domain of i-2", true, time.Now())
		g.balancer.SetEvacuated("domain of i-3", true, time.Now())
		e, err = g.handler.Explain(asked("h", "/x", "k"))
		require.NoError(t, err)
		require.Equal(t, fleet.ReasonEvacuated, e.Targets[0].Refused)
	})
}

// What no route or customer fits is an error of its own.
func TestExplainRefusesUnknownRequests(t *testing.T) {
	config := unaryConfig()
	config.Customers = []arrangement.Customer{{Name: "c", Keys: []string{"k"}}}
	g := newTestGateway(t, config)
	_, err := g.handler.Explain(asked("another", "/x", "k"))
	require.ErrorIs(t, err, gateway.ErrUnknownRoute)
	_, err = g.handler.Explain(asked("h", "/x", "unknown"))
	require.ErrorIs(t, err, gateway.ErrUnknownKey)
	_, err = (&gateway.Handler{HeaderCodec: plainHeaderCodec{}}).Explain(asked("h", "/x", "k"))
	require.ErrorIs(t, err, gateway.ErrNoConfiguration)
}

// Targets without weights have equal shares.
func TestExplanationOfRouteWithoutWeights(t *testing.T) {
	g := newTestGateway(t, arrangement.Config{Routes: []arrangement.Route{{Name: "r", Path: "/", Public: true, Targets: []arrangement.Target{{Service: "portal"}, {Service: "model"}}}}})
	e, err := g.handler.Explain(asked("h", "/x", "k"))
	require.NoError(t, err)
	require.Equal(t, 0.5, e.Targets[0].Share)
	require.Equal(t, 0.5, e.Targets[1].Share)
}
