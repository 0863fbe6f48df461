package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

func newExchange(key string) *peer.Exchange {
	k := &peer.Key{Logger: zap.NewNop()}
	if key != "" {
		k.Set([]byte(key))
	}
	return &peer.Exchange{
		Self: peer.Member{Name: "front-1", Address: "10.0.0.1:80", Start: 1}, Key: k, Logger: zap.NewNop(),
		Balancer: &placement.Balancer{}, Ledger: &admission.Ledger{}, Feeds: map[string]watch.Relay{},
	}
}

func postMessage(x *peer.Exchange, signature, body string) int {
	_, status := postForReply(x, signature, body)
	return status
}

func postForReply(x *peer.Exchange, signature, body string) (reply []byte, status int) {
	r := httptest.NewRequest(http.MethodPost, peer.Path, strings.NewReader(body))
	r.Header.Set("Signature", signature)
	w := httptest.NewRecorder()
	x.ServeHTTP(w, r)
	return w.Body.Bytes(), w.Code
}

// A sender without the fleet key receives no data and changes no state.
func TestUnauthenticatedRequestsAreRejected(t *testing.T) {
	x := newExchange("the fleet's key")
	body := `{"f":{"n":"forged","a":"10.9.9.9:1","i":99},"q":1}`
	require.Equal(t, http.StatusUnauthorized, postMessage(x, "", body))
	require.Equal(t, http.StatusUnauthorized, postMessage(x, newExchange("another key").Key.Sign("ask", []byte(body)), body))
	require.Zero(t, x.Peers(time.Now()))
	w := httptest.NewRecorder()
	x.ServeSnapshot(w, httptest.NewRequest(http.MethodGet, peer.SnapshotPath+"?feed=operators", nil))
	require.Equal(t, http.StatusUnauthorized, w.Code)
	require.Equal(t, http.StatusOK, postMessage(x, x.Key.Sign("ask", []byte(body)), body))
	require.Equal(t, 1, x.Peers(time.Now()))
}

// Until the key is known, all messages are rejected.
func TestMessagesAreRejectedWithoutKey(t *testing.T) {
	x := newExchange("")
	require.Equal(t, http.StatusUnauthorized, postMessage(x, "", `{}`))
}

// A message that arrives after a newer one does not replace it, nor does a message
// from an earlier start of the instance.
func TestOldMessagesAreIgnored(t *testing.T) {
	x := newExchange("key")
	x.Balancer.Put(placement.Endpoint{ID: "i-1", EndpointInfo: fleet.EndpointInfo{Service: "m", Address: "e", Slots: 4}})
	sendWork := func(start, sequence, runs int) {
		work := peer.Pack(map[string]placement.Work{"i-1": {Runs: runs}})
		m := map[string]any{"f": map[string]any{"n": "p", "a": "10.0.0.2:80", "i": start}, "q": sequence, "w": work}
		data, err := json.Marshal(m)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, postMessage(x, x.Key.Sign("ask", data), string(data)))
	}
	runs := func() float64 { return x.Balancer.Services(time.Now())["m"].Runs }
	sendWork(1, 5, 3)
	require.InDelta(t, 3.0, runs(), 0.1)
	sendWork(1, 4, 9)
	require.InDelta(t, 3.0, runs(), 0.1)
	sendWork(2, 1, 1)
	require.InDelta(t, 1.0, runs(), 0.1)
	sendWork(1, 6, 9)
	require.InDelta(t, 1.0, runs(), 0.1)
}

// An instance restarts after its clock was set back, so that its new start has the smaller value.
// Its messages were ignored for good. Those of the start before that are still on their way, and
// other instances that know only that start, change nothing.
func TestInstanceThatRestartsWithClockSetBackIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newExchange("key")
		x.Balancer.Put(placement.Endpoint{ID: "i-1", EndpointInfo: fleet.EndpointInfo{Service: "m", Address: "e", Slots: 4}})
		send := func(name, address string, start, sequence, runs int, members ...map[string]any) {
			work := peer.Pack(map[string]placement.Work{"i-1": {Runs: runs}})
			data, err := json.Marshal(map[string]any{"f": map[string]any{"n": name, "a": address, "i": start}, "q": sequence, "w": work, "m": members})
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, postMessage(x, x.Key.Sign("ask", data), string(data)))
		}
		runs := func() float64 { return x.Balancer.Services(time.Now())["m"].Runs }
		send("p", "10.0.0.2:80", 200, 50, 3)
		require.InDelta(t, 3.0, runs(), 0.1)
		send("p", "10.0.0.2:80", 100, 1, 9)
		require.InDelta(t, 3.0, runs(), 0.1, "the known start is not silent yet")
		time.Sleep(2 * time.Second)
		send("p", "10.0.0.2:80", 100, 2, 1)
		require.Equal(t, 1, x.Peers(time.Now()))
		require.InDelta(t, 1.0, runs(), 0.1)
		send("q", "10.0.0.3:80", 1, 1, 0, map[string]any{"n": "p", "a": "10.0.0.2:80", "i": 200})
		x.AddPeer(peer.Member{Name: "p", Address: "10.0.0.2:80", Start: 200}, time.Now())
		send("p", "10.0.0.2:80", 100, 3, 2)
		require.InDelta(t, 2.0, runs(), 0.1)
		time.Sleep(time.Second)
		send("p", "10.0.0.2:80", 100, 4, 1)
		time.Sleep(time.Second)
		require.Equal(t, 1, x.Peers(time.Now()), "p is live, q is silent")
		send("p", "10.0.0.2:80", 300, 1, 4)
		require.InDelta(t, 4.0, runs(), 0.1)
	})
}

// memoryValue is an in-memory fleet.WriteOnceValue: the first value written is kept.
type memoryValue struct {
	mu            sync.Mutex
	value         []byte
	lostResponses int // remaining Create calls that take effect but return an error
}

func (c *memoryValue) Get(context.Context) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value, nil
}

func (c *memoryValue) Create(_ context.Context, value []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.value == nil {
		c.value = value
	}
	if c.lostResponses > 0 {
		c.lostResponses--
		return errors.New("response lost")
	}
	return nil
}

// Instances that start at the same time agree on one key, even if responses of the
// platform are lost.
func TestConcurrentStartsAgreeOnOneKey(t *testing.T) {
	c := &memoryValue{lostResponses: 3}
	keys := make([]*peer.Key, 8)
	var wg sync.WaitGroup
	for i := range keys {
		keys[i] = &peer.Key{Storage: c, Logger: zap.NewNop()}
		wg.Go(func() { _ = keys[i].Serve(t.Context()) })
	}
	wg.Wait()
	for _, k := range keys {
		require.Equal(t, keys[0].Sign("u", []byte("x")), k.Sign("u", []byte("x")))
	}
}

// The platform was restored from a copy without the key: it gets the key of the fleet again. If an
// instance that started meanwhile has stored another one, all use that.
func TestKeyOfRestoredPlatform(t *testing.T) {
	c := &memoryValue{}
	newKey := func() *peer.Key {
		k := &peer.Key{Storage: c, Logger: zap.NewNop()}
		_ = k.Serve(t.Context())
		return k
	}
	first, second := newKey(), newKey()
	before := first.Sign("u", []byte("x"))
	c.value = nil
	require.NoError(t, first.Refresh(t.Context()))
	require.NoError(t, second.Refresh(t.Context()))
	third := newKey()
	for _, k := range []*peer.Key{first, second, third} {
		require.Equal(t, before, k.Sign("u", []byte("x")))
	}
	c.value = nil
	fourth := newKey()
	require.NotEqual(t, before, fourth.Sign("u", []byte("x")))
	c.lostResponses = 1
	for _, k := range []*peer.Key{first, second, third} {
		require.NoError(t, k.Refresh(t.Context()))
		require.Equal(t, fourth.Sign("u", []byte("x")), k.Sign("u", []byte("x")))
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte("1234567"))
	f.Add([]byte(""))
	f.Fuzz(func(t *testing.T, data []byte) {
		require.LessOrEqual(t, len(peer.Unpack(data)), len(data)/7)
	})
}

// newPair returns two instances that have received a message from each other. The
// second listens on loopback and is the home of endpoint i-1.
func newPair(t *testing.T) (requester, home *peer.Exchange) {
	home = newExchange("key")
	mux := http.NewServeMux()
	mux.Handle("POST "+peer.Path, home)
	mux.HandleFunc("POST "+peer.ReservePath, home.ServeReserve)
	home.Self = peer.Member{Name: "front-2", Domain: "b", Address: "10.0.0.2:80", Start: 1}
	requester = newExchange("key")
	requester.Transport = handlerTransport{mux}
	requester.Self.Domain = "a"
	deliver(t, requester, home.Self)
	deliver(t, home, requester.Self)
	for _, x := range []*peer.Exchange{requester, home} {
		x.Balancer.Put(placement.Endpoint{ID: "i-1", EndpointInfo: fleet.EndpointInfo{Service: "m", Address: "e", Domain: "b", Slots: 1}})
	}
	return requester, home
}

// handlerTransport answers requests by a handler, without a network.
type handlerTransport struct{ http.Handler }

// RoundTrip implements http.RoundTripper.
func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// deliver posts a first message from a member to an instance.
func deliver(t *testing.T, x *peer.Exchange, from peer.Member) {
	data, err := json.Marshal(map[string]any{"f": from, "q": 1})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, postMessage(x, x.Key.Sign("ask", data), string(data)))
}

// The home of an endpoint grants each of its slots only once, whichever instance
// requests it, and responds with a refusal when none is free.
func TestHomeGrantsSlotOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		requester, home := newPair(t)
		r := fleet.Reservation{Endpoint: "i-1", Tokens: 100, MaxWait: 10 * time.Millisecond}
		require.Equal(t, fleet.GrantAccepted, requester.Reserve(t.Context(), r))
		require.InDelta(t, 1, home.Balancer.Services(time.Now())["m"].Runs, 0.1)
		require.Equal(t, fleet.GrantRefused, requester.Reserve(t.Context(), r))
		require.Equal(t, fleet.GrantAccepted, home.Reserve(t.Context(), r), "the home itself decides on the work that it counts")
	})
}

// An instance that gets no valid response from the home decides without it, and does
// not request a reservation from it again at once.
func TestReserveWithoutValidResponse(t *testing.T) {
	requester, home := newPair(t)
	home.Key.Set([]byte("another"))
	r := fleet.Reservation{Endpoint: "i-1", Tokens: 100, MaxWait: 10 * time.Millisecond}
	require.Equal(t, fleet.GrantNoAnswer, requester.Reserve(t.Context(), r))
	home.Key.Set([]byte("key"))
	require.Equal(t, fleet.GrantNoAnswer, requester.Reserve(t.Context(), r))
}

// A reservation request that is not signed with the fleet key is rejected and takes no
// slot.
func TestUnauthenticatedReservationIsRejected(t *testing.T) {
	_, home := newPair(t)
	unauthenticated := newExchange("another key")
	body := `{"f":"10.0.0.9:1","e":"i-1","t":1,"l":1000000}`
	r := httptest.NewRequest(http.MethodPost, peer.ReservePath, strings.NewReader(body))
	r.Header.Set("Signature", unauthenticated.Key.Sign("reserve", []byte(body)))
	w := httptest.NewRecorder()
	home.ServeReserve(w, r)
	require.Equal(t, http.StatusUnauthorized, w.Code)
	require.Zero(t, home.Balancer.Services(time.Now())["m"].Runs)
}

// Covers instances whose names differ only in their last character: each is the home
// of a similar share of the endpoints, and only in its own failure domain.
func TestHomesAreSpread(t *testing.T) {
	var members []peer.Member
	for n := 1; n <= 9; n++ {
		for _, domain := range []string{"tartu", "polva"} {
			members = append(members, peer.Member{Name: fmt.Sprintf("front-%s-%d", domain, n), Domain: domain})
		}
	}
	homes := map[string]int{}
	for n := range 900 {
		m := peer.Home(placement.Endpoint{ID: fmt.Sprintf("i-%08x", n*7919), EndpointInfo: fleet.EndpointInfo{Domain: "tartu"}}, members)
		require.Equal(t, "tartu", m.Domain)
		homes[m.Name]++
	}
	require.Len(t, homes, 9)
	for name, n := range homes {
		require.InDelta(t, 100, n, 40, name)
	}
}

// A failure domain has 17 instances of 0.144 cores, 6 of 0.48 and 2 of 0.8: each is the home of endpoints
// in proportion to its processor, and the endpoints of one that leaves go to others, while the rest keep
// theirs. Instances whose processor is not known count like each other.
func TestHomesFollowProcessors(t *testing.T) {
	var members []peer.Member
	total := 0.0
	for n := range 25 {
		cores := 0.144
		switch {
		case n < 2:
			cores = 0.8
		case n < 8:
			cores = 0.48
		}
		total += cores
		members = append(members, peer.Member{Name: fmt.Sprintf("front-%d", n), Domain: "a", Cores: cores})
	}
	const endpoints = 9000
	home := func(n int, members []peer.Member) peer.Member {
		return peer.Home(placement.Endpoint{ID: fmt.Sprintf("i-%08x", n*7919), EndpointInfo: fleet.EndpointInfo{Domain: "a"}}, members)
	}
	homes := map[string]int{}
	for n := range endpoints {
		m := home(n, members)
		homes[m.Name]++
		if m.Name != "front-0" {
			require.Equal(t, m, home(n, members[1:]))
		}
	}
	for _, m := range members {
		expected := endpoints * m.Cores / total
		require.InDelta(t, expected, homes[m.Name], 0.25*expected, m.Name)
	}
	for _, unknown := range []float64{0, -1, math.Inf(1), math.NaN()} {
		require.Equal(t, peer.Home(placement.Endpoint{ID: "i-1"}, []peer.Member{{Name: "x"}, {Name: "y"}}).Name,
			peer.Home(placement.Endpoint{ID: "i-1"}, []peer.Member{{Name: "x", Cores: unknown}, {Name: "y", Cores: 1}}).Name)
	}
}

// Work below zero, as a caller that understated its prompt made it, was packed as that of a million
// tokens: all other instances took the endpoint for full.
func TestNegativeWorkIsPackedAsNone(t *testing.T) {
	for _, work := range []placement.Work{{Runs: 1, Tokens: -5500}, {Runs: -1, Tokens: -16}} {
		for _, w := range peer.Unpack(peer.Pack(map[string]placement.Work{"i-1": work})) {
			require.Equal(t, placement.Work{Runs: max(work.Runs, 0)}, w)
		}
	}
}
