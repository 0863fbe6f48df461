package router_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/pkg/operator"
)

// order sends a call to the plain service and returns the endpoint that ran it, or the reason of the refusal.
func order(t *testing.T, site *demo.Site, node *demo.Node, key string) (endpoint, reason string) {
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+node.CallerAddress+"/portal/orders", strings.NewReader("an order"))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Request-Timeout", "5")
	resp, err := site.Client().Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	var body struct{ Endpoint, Reason string }
	require.NoError(t, json.Unmarshal(data, &body), "%s", data)
	return body.Endpoint, body.Reason
}

// Two customers compete for the slots of a service and one of them is bound to a region: its requests run
// only there, also if its instance holds idle slots elsewhere, and are refused at once if the region is
// emptied or has no endpoint.
func TestRequestsStayInTheRegionsOfTheirCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := &demo.Site{Network: &standin.MemoryNetwork{}, InstanceCount: 3, DomainCount: 3, EngineCount: 1, PlainCount: 3, PlainSlots: 2, CallTime: 20 * time.Millisecond}
		require.NoError(t, site.Start())
		defer func() { require.NoError(t, site.Close()) }()
		publish := func(text string, base int64) {
			result, err := site.Nodes[0].OperatorClient().Publish(t.Context(), operator.Proposal{Actor: "ana", BaseVersion: base, Text: text})
			require.NoError(t, err)
			require.Equal(t, base+1, result.Version)
			time.Sleep(3 * time.Second)
		}
		domains := "domains: [{name: d0, region: north}, {name: d1, region: south}]\n"
		bound := strings.Replace(demo.ConfigText(), "keys: [key-1]", "keys: [key-1]\n    regions: [south]", 1) + domains
		publish(bound, 0)
		require.NoError(t, site.WaitReady(t.Context()))

		used := map[string]bool{}
		for n := range 60 {
			node := site.Nodes[n%3]
			free, reason := order(t, site, node, "key-0")
			require.Empty(t, reason)
			used[free] = true
			endpoint, reason := order(t, site, node, "key-1")
			require.Equal(t, "p1", endpoint, reason)
		}
		require.Len(t, used, 3)

		publish(bound+"evacuated: [d1]\n", 1)
		for _, node := range site.Nodes {
			begun := time.Now()
			_, reason := order(t, site, node, "key-1")
			require.Equal(t, "evacuated", reason)
			require.Less(t, time.Since(begun), 100*time.Millisecond)
			endpoint, _ := order(t, site, node, "key-0")
			require.Contains(t, []string{"p0", "p2"}, endpoint)
		}
		status, err := site.Nodes[0].OperatorClient().Status(t.Context())
		require.NoError(t, err)
		places := map[string]operator.Endpoint{}
		for _, e := range status.Endpoints {
			places[e.Name] = e
		}
		require.Equal(t, "south", places["p1"].Region)
		require.True(t, places["p1"].Evacuated)
		require.Empty(t, places["p2"].Region)
		entries, err := site.Nodes[2].OperatorClient().Audit(t.Context())
		require.NoError(t, err)
		last := operator.AuditEntry{}
		for _, e := range entries {
			if e.Type == "evacuation" {
				last = e
			}
		}
		require.Equal(t, "failure domain d1 emptied", last.Subject+" "+last.Change)
		require.Regexp(t, `^configuration version 2, (published by ana|taken from peer e[01]), at most [0-9]+ ms ago$`, last.Cause)

		publish(strings.Replace(bound, "{name: d1, region: south}", "{name: d7, region: south}", 1), 2)
		_, reason := order(t, site, site.Nodes[0], "key-1")
		require.Equal(t, "region", reason)
	})
}
