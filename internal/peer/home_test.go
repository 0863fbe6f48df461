package peer_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Homes that are kept follow every change of the members, their processors and the endpoints.
func TestKeptHomesFollowChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newExchange("key")
		x.Self.Domain = "a"
		members := map[string]peer.Member{x.Self.Name: x.Self}
		endpoints := map[string]placement.Endpoint{}
		sequence := 0
		hear := func(names ...string) {
			sequence++
			for _, name := range names {
				m := members[name]
				body, err := json.Marshal(map[string]any{"f": m, "q": sequence})
				require.NoError(t, err)
				postMessage(x, x.Key.Sign("ask", body), string(body))
			}
		}
		put := func(i int, domain string) {
			e := placement.Endpoint{ID: fmt.Sprintf("e%d", i), EndpointInfo: fleet.EndpointInfo{Service: "m", Address: "x", Domain: domain, Slots: 4}}
			endpoints[e.ID] = e
			x.Balancer.Put(e)
		}
		for i := range 20 {
			put(i, "a")
		}
		for i, domain := range []string{"a", "a", "b"} {
			name := fmt.Sprintf("front-%d", i+2)
			members[name] = peer.Member{Name: name, Domain: domain, Address: fmt.Sprintf("10.0.0.%d:80", i+2), Start: 1}
		}
		for _, step := range []struct {
			name   string
			change func()
		}{
			{"first", func() { hear("front-2", "front-3", "front-4") }},
			{"unchanged", func() { hear("front-2", "front-3", "front-4") }},
			{"more cores", func() {
				m := members["front-3"]
				m.Cores = 8
				members["front-3"] = m
				hear("front-2", "front-3", "front-4")
			}},
			{"endpoint added", func() { put(20, "b") }},
			{"endpoint in another domain", func() { put(0, "b") }},
			{"endpoint removed", func() { x.Balancer.Remove("e1", ""); delete(endpoints, "e1") }},
			{"peer silent", func() {
				time.Sleep(time.Second)
				hear("front-3", "front-4")
				time.Sleep(time.Second)
				delete(members, "front-2")
			}},
		} {
			step.change()
			time.Sleep(201 * time.Millisecond)
			var live []peer.Member
			for _, m := range members {
				live = append(live, m)
			}
			for id, e := range endpoints {
				require.Equal(t, peer.Home(e, live).Name, x.HomeOf(id, time.Now()), "%s: %s", step.name, id)
			}
			require.Empty(t, x.HomeOf("none", time.Now()))
			if _, listed := endpoints["e1"]; !listed {
				require.Empty(t, x.HomeOf("e1", time.Now()), step.name)
			}
		}
	})
}
