package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// BenchmarkStream measures one request whose response is a stream of forty events.
func BenchmarkStream(b *testing.B) {
	g := newTestGateway(b, arrangement.Config{Routes: []arrangement.Route{{Name: "r", Path: "/", Stream: true, Targets: []arrangement.Target{{Service: "portal"}}}}})
	g.addEndpoint("e1", func(r *http.Request, _ string, w io.Writer) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
		for i := range 40 {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 60))
			fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
		}
		fmt.Fprint(w, "0\r\n\r\n")
		return true
	})
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPost, "http://front/a", strings.NewReader(strings.Repeat("y", 12000)))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Request-Id", "1")
		resp, err := g.client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
