package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// BenchmarkRequest measures one request and its response through the gateway, with the
// caller and the endpoint in the same process.
func BenchmarkRequest(b *testing.B) {
	g := newTestGateway(b, arrangement.Config{Routes: []arrangement.Route{{Name: "r", Path: "/", Targets: []arrangement.Target{{Service: "portal"}}}}})
	g.addEndpoint("e1", func(r *http.Request, _ string, w io.Writer) bool {
		writeResponse(w, r, http.StatusOK, strings.Repeat("x", 800))
		return true
	})
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, "http://front/a", strings.NewReader("body"))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Request-Id", "1")
		resp, err := g.client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
