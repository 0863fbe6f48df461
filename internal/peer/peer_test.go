package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

func exchange(key string) *peer.Exchange {
	k := &peer.Key{Logger: zap.NewNop()}
	if key != "" {
		k.Set([]byte(key))
	}
	return &peer.Exchange{
		Self: peer.Member{Name: "front-1", Address: "10.0.0.1:80", Start: 1}, Key: k, Logger: zap.NewNop(),
		Board: &placement.Balancer{}, Ledger: &admission.Ledger{}, Feeds: map[string]watch.Relay{},
	}
}

func post(x *peer.Exchange, signature, body string) int {
	r := httptest.NewRequest(http.MethodPost, peer.Path, strings.NewReader(body))
	r.Header.Set("Signature", signature)
	w := httptest.NewRecorder()
	x.ServeHTTP(w, r)
	return w.Code
}

// A sender that does not know the fleet's key is told nothing and changes nothing.
func TestStrangersGetNothing(t *testing.T) {
	x := exchange("the fleet's key")
	body := `{"f":{"n":"forged","a":"10.9.9.9:1","i":99},"q":1}`
	require.Equal(t, http.StatusUnauthorized, post(x, "", body))
	require.Equal(t, http.StatusUnauthorized, post(x, exchange("another key").Key.Sign("ask", []byte(body)), body))
	require.Zero(t, x.Peers(time.Now()))
	w := httptest.NewRecorder()
	x.ServeSnapshot(w, httptest.NewRequest(http.MethodGet, peer.SnapshotPath+"?feed=operators", nil))
	require.Equal(t, http.StatusUnauthorized, w.Code)
	require.Equal(t, http.StatusOK, post(x, x.Key.Sign("ask", []byte(body)), body))
	require.Equal(t, 1, x.Peers(time.Now()))
}

// Before the key is known nobody is answered.
func TestNoKeyNoTalk(t *testing.T) {
	x := exchange("")
	require.Equal(t, http.StatusUnauthorized, post(x, "", `{}`))
}

// A message that was overtaken does not replace a newer one, and one of an earlier
// start of the instance does not either.
func TestOldMessagesAreDropped(t *testing.T) {
	x := exchange("key")
	x.Board.Put(placement.Endpoint{ID: "i-1", Entry: fleet.Entry{Service: "m", Address: "e", Slots: 4}})
	tell := func(start, sequence, runs int) {
		work := peer.Pack(map[string]placement.Work{"i-1": {Runs: runs}})
		m := map[string]any{"f": map[string]any{"n": "p", "a": "10.0.0.2:80", "i": start}, "q": sequence, "w": work}
		data, err := json.Marshal(m)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, post(x, x.Key.Sign("ask", data), string(data)))
	}
	runs := func() float64 { return x.Board.Services(time.Now())["m"].Runs }
	tell(1, 5, 3)
	require.InDelta(t, 3.0, runs(), 0.1)
	tell(1, 4, 9)
	require.InDelta(t, 3.0, runs(), 0.1)
	tell(2, 1, 1)
	require.InDelta(t, 1.0, runs(), 0.1)
	tell(1, 6, 9)
	require.InDelta(t, 1.0, runs(), 0.1)
}

// cell is a stand-in for the platform's: the first value written stays.
type cell struct {
	mu    sync.Mutex
	value []byte
	lose  int // calls whose answer is lost after they had their effect
}

func (c *cell) Get(context.Context) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value, nil
}

func (c *cell) Create(_ context.Context, value []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.value == nil {
		c.value = value
	}
	if c.lose > 0 {
		c.lose--
		return errors.New("answer lost")
	}
	return nil
}

// All instances that start at once end up with one key, also when answers are lost.
func TestOneKeyForAll(t *testing.T) {
	c := &cell{lose: 3}
	keys := make([]*peer.Key, 8)
	var wg sync.WaitGroup
	for i := range keys {
		keys[i] = &peer.Key{Cell: c, Logger: zap.NewNop()}
		wg.Go(func() { _ = keys[i].Serve(t.Context()) })
	}
	wg.Wait()
	for _, k := range keys {
		require.Equal(t, keys[0].Sign("u", []byte("x")), k.Sign("u", []byte("x")))
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte("1234567"))
	f.Add([]byte(""))
	f.Fuzz(func(t *testing.T, data []byte) {
		require.LessOrEqual(t, len(peer.Unpack(data)), len(data)/7)
	})
}

// pair returns two instances that hear each other over loopback, and an endpoint whose
// home is the second.
func pair(t *testing.T) (asker, home *peer.Exchange) {
	home = exchange("key")
	mux := http.NewServeMux()
	mux.Handle("POST "+peer.Path, home)
	mux.HandleFunc("POST "+peer.ReservePath, home.ServeReserve)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	home.Self = peer.Member{Name: "front-2", Domain: "b", Address: strings.TrimPrefix(server.URL, "http://"), Start: 1}
	asker = exchange("key")
	asker.Self.Domain = "a"
	hear(t, asker, home.Self)
	hear(t, home, asker.Self)
	for _, x := range []*peer.Exchange{asker, home} {
		x.Board.Put(placement.Endpoint{ID: "i-1", Entry: fleet.Entry{Service: "m", Address: "e", Domain: "b", Slots: 1}})
	}
	return asker, home
}

// hear makes one instance hear another.
func hear(t *testing.T, x *peer.Exchange, from peer.Member) {
	data, err := json.Marshal(map[string]any{"f": from, "q": 1})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, post(x, x.Key.Sign("ask", data), string(data)))
}

// The home of an endpoint gives its places once, whoever asks, and tells why not.
func TestHomeGivesPlacesOnce(t *testing.T) {
	asker, home := pair(t)
	r := fleet.Reservation{Endpoint: "i-1", Tokens: 100, Limit: 10 * time.Millisecond}
	require.Equal(t, fleet.GrantGiven, asker.Reserve(t.Context(), r))
	require.InDelta(t, 1, home.Board.Services(time.Now())["m"].Runs, 0.1)
	require.Equal(t, fleet.GrantRefused, asker.Reserve(t.Context(), r))
	require.Equal(t, fleet.GrantGiven, home.Reserve(t.Context(), r), "the home itself decides by what it counts")
}

// An asker that cannot reach the home decides alone, and does not ask again at once.
func TestHomeUnheard(t *testing.T) {
	asker, home := pair(t)
	home.Key.Set([]byte("another"))
	r := fleet.Reservation{Endpoint: "i-1", Tokens: 100, Limit: 10 * time.Millisecond}
	require.Equal(t, fleet.GrantUnheard, asker.Reserve(t.Context(), r))
	home.Key.Set([]byte("key"))
	require.Equal(t, fleet.GrantUnheard, asker.Reserve(t.Context(), r))
}

// Who does not know the key gets no place and takes none.
func TestStrangersGetNoPlace(t *testing.T) {
	_, home := pair(t)
	stranger := exchange("another key")
	body := `{"f":"10.0.0.9:1","e":"i-1","t":1,"l":1000000}`
	r := httptest.NewRequest(http.MethodPost, peer.ReservePath, strings.NewReader(body))
	r.Header.Set("Signature", stranger.Key.Sign("reserve", []byte(body)))
	w := httptest.NewRecorder()
	home.ServeReserve(w, r)
	require.Equal(t, http.StatusUnauthorized, w.Code)
	require.Zero(t, home.Board.Services(time.Now())["m"].Runs)
}

// Pattern: instances whose names differ in their last letter. Each is home of its part of
// the endpoints, in its own failure domain only.
func TestHomesAreSpread(t *testing.T) {
	var members []peer.Member
	for n := 1; n <= 9; n++ {
		for _, domain := range []string{"tartu", "polva"} {
			members = append(members, peer.Member{Name: fmt.Sprintf("front-%s-%d", domain, n), Domain: domain})
		}
	}
	homes := map[string]int{}
	for n := range 900 {
		m := peer.Home(placement.Endpoint{ID: fmt.Sprintf("i-%08x", n*7919), Entry: fleet.Entry{Domain: "tartu"}}, members)
		require.Equal(t, "tartu", m.Domain)
		homes[m.Name]++
	}
	require.Len(t, homes, 9)
	for name, n := range homes {
		require.InDelta(t, 100, n, 40, name)
	}
}
