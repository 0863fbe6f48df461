package peer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/link"
	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// BenchmarkReserve measures one reservation at another instance over loopback, both ends
// included, in a fleet of 77 instances with 90 endpoints.
func BenchmarkReserve(b *testing.B) {
	requester, home := newFleetPair(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			hearAll(requester, home, i+1)
		}
		r := fleet.Reservation{Endpoint: fmt.Sprintf("i-%08x", i%30*3*7919), Tokens: 1, MaxWait: time.Hour}
		if got := requester.Reserve(b.Context(), r); got != fleet.GrantAccepted {
			// The machine is so busy that the home takes too long.
			b.Skip(got)
		}
	}
}

// BenchmarkExchange measures one message and its reply between the same instances, with two feeds.
func BenchmarkExchange(b *testing.B) {
	requester, home := newFleetPair(b)
	for _, x := range []*peer.Exchange{requester, home} {
		x.Feeds["endpoints"], x.Feeds["operators"] = &watch.Follower[string]{Name: "endpoints"}, &watch.Follower[string]{Name: "operators"}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if i%1000 == 0 {
			hearAll(requester, home, i+1)
		}
		if err := requester.SendTo(b.Context(), home.Self.Address); err != nil {
			b.Skip(err)
		}
	}
}

// newFleetPair returns two instances that are connected over loopback and know 90 endpoints.
func newFleetPair(b *testing.B) (requester, home *peer.Exchange) {
	home = newExchange("key")
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+peer.ReservePath, home.ServeReserve)
	mux.Handle("POST "+peer.Path, home)
	links := &link.Handler{Next: mux, SignatureHeader: peer.HeaderSignature, Logger: zap.NewNop()}
	b.Cleanup(links.Close)
	mux.Handle("POST "+link.Path, links)
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	home.Self = peer.Member{Name: "front-home", Domain: "a", Address: strings.TrimPrefix(server.URL, "http://"), Start: 1}
	requester = newExchange("key")
	requester.Self.Domain = "b"
	for _, x := range []*peer.Exchange{requester, home} {
		for i := range 90 {
			x.Balancer.Put(placement.Endpoint{ID: fmt.Sprintf("i-%08x", i*7919), EndpointInfo: fleet.EndpointInfo{Service: "m", Address: "e", Domain: []string{"a", "b", "c"}[i%3], Slots: 16}})
		}
	}
	return requester, home
}

// hearAll makes two instances receive messages from each other and from 75 more.
func hearAll(requester, home *peer.Exchange, sequence int) {
	hear(requester, home.Self, sequence)
	hear(home, requester.Self, sequence)
	for k := range 75 {
		m := peer.Member{Name: fmt.Sprintf("front-%d", k), Domain: "b", Address: fmt.Sprintf("10.0.0.%d:80", 2+k), Start: 1}
		hear(requester, m, sequence)
		hear(home, m, sequence)
	}
}

// hear makes an instance receive a message from a member.
func hear(x *peer.Exchange, from peer.Member, sequence int) {
	body := fmt.Sprintf(`{"f":{"n":%q,"d":%q,"a":%q,"i":1},"q":%d}`, from.Name, from.Domain, from.Address, sequence)
	postMessage(x, x.Key.Sign("ask", []byte(body)), body)
}
