package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/entry"
	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// plain is a dialect with short names.
type plain struct{}

func (plain) Ask(h http.Header) fleet.Ask {
	return fleet.Ask{ID: h.Get("Request-Id"), Key: h.Get("Key")}
}
func (plain) Direct(h http.Header, e fleet.Errand) { h.Set("Customer", e.Customer) }
func (plain) Reply(_ int, h http.Header) fleet.Reply {
	return fleet.Reply{ID: h.Get("Request-Id"), Sealed: true}
}

// feed is a feed whose newest records the test sets.
type feed[T any] struct {
	mu      sync.Mutex
	records []fleet.Keyed[T]
}

func (f *feed[T]) write(key string, value *T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, fleet.Keyed[T]{Key: key, Value: value})
}

func (f *feed[T]) Newest(context.Context) ([]fleet.Keyed[T], int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]fleet.Keyed[T](nil), f.records...), int64(len(f.records)) + 1, nil
}

func (f *feed[T]) Changes(ctx context.Context, from int64, wait time.Duration) ([]fleet.Keyed[T], int64, error) {
	f.mu.Lock()
	records := append([]fleet.Keyed[T](nil), f.records[from-1:]...)
	f.mu.Unlock()
	if len(records) == 0 && wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return records, from + int64(len(records)), nil
}

// shelf is the platform's cell and directory.
type shelf struct {
	mu    sync.Mutex
	value []byte
}

func (s *shelf) Get(context.Context) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, nil
}

func (s *shelf) Create(_ context.Context, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.value == nil {
		s.value = value
	}
	return nil
}

func (*shelf) Put(context.Context, string, []byte) error       { return nil }
func (*shelf) List(context.Context) (map[string][]byte, error) { return nil, nil }

// stage is one instance with one endpoint, in memory and fake time.
type stage struct {
	t         *testing.T
	net       *standin.MemoryNetwork
	callers   net.Listener
	ready     net.Listener
	operators *feed[watch.Edition]
	endpoints *feed[fleet.Entry]
	stop      context.CancelFunc
	done      chan error
	address   string        // of the endpoint
	work      time.Duration // that the endpoint needs
}

func start(t *testing.T) *stage {
	s := &stage{t: t, net: &standin.MemoryNetwork{}, operators: &feed[watch.Edition]{}, endpoints: &feed[fleet.Entry]{}, done: make(chan error, 1)}
	s.callers, s.ready = s.listen(), s.listen()
	endpoint := s.listen()
	t.Cleanup(func() { _ = endpoint.Close() })
	s.address = endpoint.Addr().String()
	go s.endpoint(endpoint)
	shelf := &shelf{}
	i := &entry.Instance{
		Name: "front-1", Domain: "a", Callers: s.callers, Ready: s.ready, Peers: s.listen(), Dialect: plain{},
		Operators: s.operators, Endpoints: s.endpoints, Secret: shelf, Directory: shelf, Grace: 8 * time.Second, Dial: s.net.Dial,
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() { s.done <- i.Run(ctx) }()
	return s
}

func (s *stage) listen() net.Listener {
	l, err := s.net.Listen()
	require.NoError(s.t, err)
	return l
}

// endpoint answers every request after its work.
func (s *stage) endpoint(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(s.work)
				body := "for " + r.Header.Get("Customer")
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("Request-Id"), len(body), body)
			}
		}()
	}
}

// ask sends one request on a connection of its own.
func (s *stage) ask(l net.Listener, path, key string) (int, string) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return s.net.Dial(ctx, network, l.Addr().String())
		},
		DisableKeepAlives: true,
	}}
	req, err := http.NewRequest(http.MethodPost, "http://front"+path, strings.NewReader("x"))
	require.NoError(s.t, err)
	req.Header.Set("Request-Id", "1")
	req.Header.Set("Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(body)
}

func (s *stage) publish(version int64, paths ...string) {
	e := &watch.Edition{Version: version, Text: arrangement.Text{Customers: []arrangement.Customer{{Name: "saar", Keys: []string{"k"}}}}}
	for _, p := range paths {
		e.Text.Routes = append(e.Text.Routes, arrangement.Route{Name: p, Path: p, To: []arrangement.Target{{Service: "m", Weight: 1}}})
	}
	s.operators.write("config", e)
}

func (s *stage) serving() {
	s.publish(5, "/a/")
	s.endpoints.write("i-1", &fleet.Entry{Service: "m", Address: s.address, Domain: "a", Slots: 4})
	time.Sleep(3 * time.Second)
}

func (s *stage) end() {
	s.stop()
	require.NoError(s.t, <-s.done)
}

// Before a configuration is known the instance is not ready and refuses, with 503 and
// not 404. Then it serves whom the configuration allows.
func TestReadyOnceItCanServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		time.Sleep(time.Second)
		status, _ := s.ask(s.ready, "/ready", "")
		require.Equal(t, http.StatusServiceUnavailable, status)
		status, _ = s.ask(s.callers, "/a/x", "k")
		require.Equal(t, http.StatusServiceUnavailable, status)
		s.serving()
		status, _ = s.ask(s.ready, "/ready", "")
		require.Equal(t, http.StatusOK, status)
		status, body := s.ask(s.callers, "/a/x", "k")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "for saar", body)
		status, _ = s.ask(s.callers, "/a/x", "wrong")
		require.Equal(t, http.StatusUnauthorized, status)
		status, _ = s.ask(s.callers, "/b/x", "k")
		require.Equal(t, http.StatusNotFound, status)
		s.end()
	})
}

// A new version is in force within a second, an older one never comes back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		s.serving()
		s.publish(9, "/a/", "/b/")
		time.Sleep(time.Second)
		status, _ := s.ask(s.callers, "/b/x", "k")
		require.Equal(t, http.StatusOK, status)
		s.publish(7, "/a/")
		time.Sleep(2 * time.Second)
		status, _ = s.ask(s.callers, "/b/x", "k")
		require.Equal(t, http.StatusOK, status)
		s.end()
	})
}

// A leaving endpoint gets nothing new within a second of its record.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		s.serving()
		s.endpoints.write("i-1", &fleet.Entry{Service: "m", Address: s.address, Domain: "a", Slots: 4, Leaving: true})
		time.Sleep(time.Second)
		status, _ := s.ask(s.callers, "/a/x", "k")
		require.Equal(t, http.StatusServiceUnavailable, status)
		s.end()
	})
}

// A planned stop says at once that it is not ready, takes what still arrives, and
// cuts nothing off.
func TestStopCutsNothingOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		s.serving()
		s.work = 4 * time.Second
		answers := make(chan int, 3)
		ask := func() {
			status, _ := s.ask(s.callers, "/a/x", "k")
			answers <- status
		}
		go ask()
		time.Sleep(time.Second)
		s.stop()
		time.Sleep(500 * time.Millisecond)
		status, _ := s.ask(s.ready, "/ready", "")
		require.Equal(t, http.StatusServiceUnavailable, status)
		go ask()
		require.NoError(t, <-s.done)
		require.Equal(t, http.StatusOK, <-answers)
		require.Equal(t, http.StatusOK, <-answers)
	})
}
