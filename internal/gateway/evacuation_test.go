package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// move lists an endpoint in another failure domain.
func (g *testGateway) move(id, domain string) {
	g.balancer.Put(placement.Endpoint{ID: id, EndpointInfo: fleet.EndpointInfo{Service: "portal", Address: g.listeners[id].Addr().String(), Domain: domain, Slots: 4}})
}

// startedStream writes the first event of a stream and cuts it off.
func startedStream(r *http.Request, _ string, w io.Writer) bool {
	startStream(w, r)
	_ = writeChunk(w, "id: 1\ndata: a\n\n")
	return false
}

// A domain is emptied while the home grants a slot there: the request moves to another domain. What
// was begun before goes on, and if it breaks off, it is not resumed there.
func TestGrantInEvacuatedDomainIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, streamConfig())
		emptied := g.addCounted("i-1", serveWell)
		other := g.addCounted("i-2", startedStream)
		g.move("i-2", "b")
		g.balancer.SetInstanceWork("p", map[string]placement.Work{"i-2": {Runs: 3}}, true, time.Now())
		var asked []string
		g.handler.Homes = homesFunc(func(r fleet.Reservation) fleet.ReservationResult {
			if asked = append(asked, r.Endpoint); len(asked) == 1 {
				g.balancer.SetEvacuated("a", true, time.Now())
			}
			return fleet.GrantAccepted
		})
		_, err := g.stream(30 * time.Second)
		require.Error(t, err)
		require.Equal(t, []string{"i-1", "i-2"}, asked)
		require.Zero(t, emptied.Load())
		require.EqualValues(t, 1, other.Load())
	})
}

// A domain is emptied while a connection to an endpoint there is being made for a request: the
// request is not sent. There is no other endpoint: it is refused at once, with the reason and a time
// that lies within the caller's own.
func TestRequestDialingIntoEvacuatedDomainIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGateway(t, unaryConfig())
		emptied := g.addCounted("i-1", serveWell)
		g.handler.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			time.Sleep(100 * time.Millisecond)
			g.balancer.SetEvacuated("a", true, time.Now())
			return g.network.Dial(ctx, network, address)
		}
		began := time.Now()
		resp, body := g.post("/", "1")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "evacuated\n", body)
		require.Equal(t, 100*time.Millisecond, time.Since(began))
		delay, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, 2, delay, 2)
		require.Zero(t, emptied.Load())
	})
}

// First attempts, retries and resumptions of a request stay in the regions of its route and of its
// customer. What both exclude is refused with a reason of its own.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for name, tc := range map[string]struct {
		route, customer []string
		reach           map[string]bool
	}{
		"none":                    {nil, nil, map[string]bool{"north": true, "south": true, "unknown": true}},
		"of the route":            {[]string{"n"}, nil, map[string]bool{"north": true}},
		"of the customer":         {nil, []string{"s"}, map[string]bool{"south": true}},
		"of both":                 {[]string{"s", "n"}, []string{"n", "w"}, map[string]bool{"north": true}},
		"exclude each other":      {[]string{"n"}, []string{"s"}, nil},
		"without any endpoint":    {[]string{"w"}, nil, nil},
		"empty, as if it was not": {[]string{}, []string{}, map[string]bool{"north": true, "south": true, "unknown": true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := streamConfig()
				config.Routes[0].Regions = tc.route
				config.Customers = []arrangement.Customer{{Name: "c", Keys: []string{"k"}, Regions: tc.customer}}
				g := newTestGateway(t, config)
				g.balancer.Regions = map[string]string{"north": "n", "south": "s"}
				g.client.Transport = keyTransport{g.client.Transport}
				for _, domain := range []string{"north", "south", "unknown"} {
					n := g.addCounted(domain, startedStream)
					g.move(domain, domain)
					defer func() { require.Equal(t, tc.reach[domain], n.Load() > 0, domain) }()
				}
				for range 30 {
					body, _ := g.stream(30 * time.Second)
					if len(tc.reach) == 0 {
						require.Equal(t, "region\n", body)
					}
				}
			})
		})
	}
}

// keyTransport adds the key of a customer to requests.
type keyTransport struct{ http.RoundTripper }

func (k keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Key", "k")
	return k.RoundTripper.RoundTrip(r)
}
