package router_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/pkg/operator"
)

// Status reported an endpoint as open while the instance still refused requests for its service: for up
// to a tick while the load report of another endpoint was awaited, and for a moment otherwise.
func TestEndpointThatStatusReportsAsOpenIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		site := &demo.Site{Network: &standin.MemoryNetwork{}, InstanceCount: 1, DomainCount: 1, EngineCount: 1, PlainCount: 1}
		started := time.Now()
		require.NoError(t, site.Start())
		defer func() { require.NoError(t, site.Close()) }()
		_, err := site.Publish(ctx, demo.ConfigText(), 0)
		require.NoError(t, err)
		node, portal := site.Nodes[0], site.PlainServices[0]
		isOpen := func() bool {
			st, err := node.OperatorClient().Status(ctx)
			require.NoError(t, err)
			return slices.ContainsFunc(st.Endpoints, func(e operator.Endpoint) bool { return e.Name == portal.Name && e.ClosedReason == "" })
		}

		// A new incarnation of the plain service reports its load between two ticks, and the engine does
		// not report its own.
		time.Sleep(time.Until(started.Add(6500 * time.Millisecond)))
		site.ModelEngines[0].FallSilent(10 * time.Second)
		portal.FallSilent(2030 * time.Millisecond)
		site.ReplaceEndpoint(portal.Name)
		time.Sleep(time.Second)
		require.False(t, isOpen())
		for !isOpen() {
			require.Less(t, time.Since(started), 15*time.Second)
			time.Sleep(time.Millisecond)
		}

		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.CallerAddress+"/portal/orders", strings.NewReader("an order"))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer key-0")
		resp, err := site.Client().Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode, "outcome %s", resp.Header.Get("Outcome"))
	})
}
