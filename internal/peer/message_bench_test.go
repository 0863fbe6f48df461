package peer_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// BenchmarkReceive measures one message from a peer and its reply, without the network, in a
// fleet of 117 instances with 198 endpoints.
func BenchmarkReceive(b *testing.B) {
	x := newExchange("key")
	work := map[string]placement.Work{}
	for i := range 198 {
		id := fmt.Sprintf("i-%08x", i*7919)
		x.Balancer.Put(placement.Endpoint{ID: id, EndpointInfo: fleet.EndpointInfo{Service: "m", Address: "e", Domain: "a", Slots: 12}})
		if i%10 == 0 {
			work[id] = placement.Work{Runs: 1, Tokens: 6000}
		}
	}
	for i := range 116 {
		data, _ := json.Marshal(map[string]any{"f": peer.Member{Name: fmt.Sprintf("front-%d", i), Domain: "a", Address: fmt.Sprintf("10.0.0.%d:80", 2+i), Start: 1}, "q": 1})
		postMessage(x, x.Key.Sign("ask", data), string(data))
	}
	for name, partial := range map[string]bool{"full": false, "partial": true} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				m := map[string]any{"f": peer.Member{Name: "front-3", Domain: "a", Address: "10.0.0.5:80", Start: int64(2 + i)}, "q": 2 + i, "w": peer.Pack(work), "p": partial}
				if !partial {
					m["u"] = map[string]admission.Usage{"a": {Demand: 1000, Served: 500}, "b": {Demand: 10, Served: 10}}
				}
				data, _ := json.Marshal(m)
				r := httptest.NewRequest(http.MethodPost, peer.Path, strings.NewReader(string(data)))
				r.Header.Set("Signature", x.Key.Sign("ask", data))
				x.ServeHTTP(httptest.NewRecorder(), r)
			}
		})
	}
}
