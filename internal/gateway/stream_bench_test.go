package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// BenchmarkStream measures one request whose response is a stream of forty events, with the caller on an
// in-memory network, where an attempt to write has a timer, or on loopback.
func BenchmarkStream(b *testing.B) {
	b.Run("memory", func(b *testing.B) { benchmarkStream(b, nil) })
	b.Run("loopback", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		benchmarkStream(b, l)
	})
}

func benchmarkStream(b *testing.B, callers net.Listener) {
	g := newTestGateway(b, arrangement.Config{Routes: []arrangement.Route{{Name: "r", Path: "/", Stream: true, Targets: []arrangement.Target{{Service: "portal"}}}}})
	if callers != nil {
		g.serve(callers)
		g.client.Transport = &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", callers.Addr().String())
		}}
	}
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
