package entry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

// testHeaderCodec is a fleet.HeaderCodec with short header names.
type testHeaderCodec struct{}

func (testHeaderCodec) DecodeRequest(h http.Header) fleet.RequestAttrs {
	return fleet.RequestAttrs{ID: h.Get("Request-Id"), Key: h.Get("Key")}
}

func (testHeaderCodec) RewriteForEndpoint(h http.Header, e fleet.ForwardAttrs) {
	h.Set("Customer", e.Customer)
}

func (testHeaderCodec) DecodeResponse(_ int, h http.Header) fleet.ResponseAttrs {
	return fleet.ResponseAttrs{ID: h.Get("Request-Id"), Sealed: true, Leaving: h.Get("Leaving") != ""}
}

// fakeFeed is a feed whose records the test writes.
type fakeFeed[T any] struct {
	epoch   int64 // zero means that the platform does not state it
	mu      sync.Mutex
	records []fleet.KeyedRecord[T]
	down    bool // the platform does not respond
	trimmed bool // the next read of changes finds its position gone
}

var errPlatformDown = errors.New("platform does not respond")

func (f *fakeFeed[T]) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeFeed[T]) write(key string, value *T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, fleet.KeyedRecord[T]{Key: key, Value: value})
}

// writeInvalid writes a record that cannot be read.
func (f *fakeFeed[T]) writeInvalid(key string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, fleet.KeyedRecord[T]{Key: key, Err: err})
}

// trim drops all records of some keys, without a record that says so, and makes the next read of
// changes fail.
func (f *fakeFeed[T]) trim(keys ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trimmed = true
	f.records = slices.DeleteFunc(f.records, func(r fleet.KeyedRecord[T]) bool { return slices.Contains(keys, r.Key) })
}

// restore simulates that the platform was restored from a copy without the records of some keys.
func (f *fakeFeed[T]) restore(keys ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch++
	f.records = slices.DeleteFunc(f.records, func(r fleet.KeyedRecord[T]) bool { return slices.Contains(keys, r.Key) })
}

func (f *fakeFeed[T]) Newest(context.Context) ([]fleet.KeyedRecord[T], fleet.Cursor, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]fleet.KeyedRecord[T](nil), f.records...), fleet.Cursor{Epoch: f.epoch, Offset: int64(len(f.records)) + 1}, nil
}

func (f *fakeFeed[T]) Changes(ctx context.Context, from fleet.Cursor, wait time.Duration) ([]fleet.KeyedRecord[T], fleet.Cursor, error) {
	f.mu.Lock()
	if f.trimmed {
		f.trimmed = false
		f.mu.Unlock()
		return nil, fleet.Cursor{}, fleet.ErrTrimmed
	}
	if from.Offset > int64(len(f.records))+1 {
		epoch := f.epoch
		f.mu.Unlock()
		return nil, fleet.Cursor{Epoch: epoch}, fleet.ErrTrimmed
	}
	records, down, epoch := append([]fleet.KeyedRecord[T](nil), f.records[from.Offset-1:]...), f.down, f.epoch
	f.mu.Unlock()
	if down {
		return nil, fleet.Cursor{}, errPlatformDown
	}
	if len(records) == 0 && wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return records, fleet.Cursor{Epoch: epoch, Offset: from.Offset + int64(len(records))}, nil
}

// fakeStore is a fleet.WriteOnceValue and a fleet.KeyValueStore that stays empty.
type fakeStore struct {
	mu    sync.Mutex
	value []byte
}

func (s *fakeStore) Get(context.Context) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, nil
}

func (s *fakeStore) Create(_ context.Context, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.value == nil {
		s.value = value
	}
	return nil
}

func (*fakeStore) Put(context.Context, string, []byte) error       { return nil }
func (*fakeStore) List(context.Context) (map[string][]byte, error) { return nil, nil }

// fakeKeyValueStore is a fleet.KeyValueStore in memory.
type fakeKeyValueStore struct {
	mu     sync.Mutex
	values map[string][]byte
}

func (s *fakeKeyValueStore) Put(_ context.Context, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values == nil {
		s.values = map[string][]byte{}
	}
	s.values[key] = value
	return nil
}

func (s *fakeKeyValueStore) List(context.Context) (map[string][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values), nil
}

// fixture is one instance with one endpoint, connected in memory, under a fake clock.
type fixture struct {
	t               *testing.T
	net             *standin.MemoryNetwork
	callers         net.Listener
	ready           net.Listener
	metrics         net.Listener
	operators       *fakeFeed[watch.OperatorRecord]
	endpoints       *fakeFeed[fleet.EndpointInfo]
	quarantine      *fakeKeyValueStore
	settings        chan entry.Settings
	stop            context.CancelFunc
	done            chan error
	endpointAddress string
	processingTime  time.Duration // of a request at the endpoint
	answerHeader    string        // header lines that the endpoint adds to its answers
	endpointConns   atomic.Int64  // open connections to the endpoint
	run             atomic.Int64  // requests that the endpoint has run
	idleTimeout     time.Duration // of callers' connections; zero means the default
	routeTimeout    time.Duration // of published routes; zero means none
	lag             atomic.Int64  // scheduling lag of the process, in nanoseconds
	heartbeat       time.Duration // at which endpoints write their records; zero means the default
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t: t, net: &standin.MemoryNetwork{}, operators: &fakeFeed[watch.OperatorRecord]{}, endpoints: &fakeFeed[fleet.EndpointInfo]{},
		quarantine: &fakeKeyValueStore{}, settings: make(chan entry.Settings, 1), done: make(chan error, 1),
	}
	endpoint := f.listen()
	t.Cleanup(func() { _ = endpoint.Close() })
	f.endpointAddress = endpoint.Addr().String()
	go f.serveEndpoint(endpoint)
	f.start()
	return f
}

// start starts the instance with no state of its own.
func (f *fixture) start() {
	f.callers, f.ready, f.metrics = f.listen(), f.listen(), f.listen()
	store := &fakeStore{}
	i := &entry.Instance{
		Name: "front-1", Domain: "a", Callers: f.callers, Ready: f.ready, Metrics: f.metrics, Peers: f.listen(), HeaderCodec: testHeaderCodec{},
		Operators: f.operators, Endpoints: f.endpoints, Secret: store, Directory: store, Quarantine: f.quarantine,
		Grace: 8 * time.Second, Dial: f.net.Dial, HeartbeatInterval: f.heartbeat, Settings: f.settings,
		Lag: func() time.Duration { return time.Duration(f.lag.Load()) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	go func() { f.done <- i.Run(ctx) }()
}

func (f *fixture) listen() net.Listener {
	l, err := f.net.Listen()
	require.NoError(f.t, err)
	return l
}

// serveEndpoint responds to every request after processingTime.
func (f *fixture) serveEndpoint(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		f.endpointConns.Add(1)
		go func() {
			defer f.endpointConns.Add(-1)
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				time.Sleep(f.processingTime)
				f.run.Add(1)
				body := "for " + r.Header.Get("Customer")
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", r.Header.Get("Request-Id"), f.answerHeader, len(body), body)
			}
		}()
	}
}

// request posts one request on a connection of its own.
func (f *fixture) request(l net.Listener, path, key string) (int, string) {
	return f.do(l, http.MethodPost, path, key)
}

// do sends one request on a connection of its own.
func (f *fixture) do(l net.Listener, method, path, key string) (int, string) {
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return f.net.Dial(ctx, network, l.Addr().String())
		},
		DisableKeepAlives: true,
	}}
	req, err := http.NewRequest(method, "http://front"+path, strings.NewReader("x"))
	require.NoError(f.t, err)
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

func (f *fixture) publish(version int64, paths ...string) {
	c := &watch.VersionedConfiguration{Version: version, Config: arrangement.Config{Customers: []arrangement.Customer{{Name: "saar", Keys: []string{"k"}}}}}
	c.Config.Limits.IdleTimeoutMillis = int(f.idleTimeout.Milliseconds())
	for _, p := range paths {
		c.Config.Routes = append(c.Config.Routes, arrangement.Route{Name: p, Path: p, TimeoutMillis: int(f.routeTimeout.Milliseconds()), Targets: []arrangement.Target{{Service: "m", Weight: 1}}})
	}
	f.operators.write("config", &watch.OperatorRecord{VersionedConfiguration: c})
}

func (f *fixture) startServing() {
	f.publish(5, "/a/")
	f.endpoints.write("i-1", &fleet.EndpointInfo{Service: "m", Address: f.endpointAddress, Domain: "a", Slots: 4})
	time.Sleep(3 * time.Second)
}

func (f *fixture) shutDown() {
	f.stop()
	require.NoError(f.t, <-f.done)
}

// Before a configuration is known the instance is not ready and refuses requests with 503,
// not with 404. Afterwards it serves the callers that the configuration allows.
func TestReadyAfterFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		time.Sleep(time.Second)
		status, _ := f.request(f.ready, "/ready", "")
		require.Equal(t, http.StatusServiceUnavailable, status)
		status, _ = f.request(f.callers, "/a/x", "k")
		require.Equal(t, http.StatusServiceUnavailable, status)
		f.startServing()
		status, _ = f.request(f.ready, "/ready", "")
		require.Equal(t, http.StatusOK, status)
		status, body := f.request(f.callers, "/a/x", "k")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "for saar", body)
		status, _ = f.request(f.callers, "/a/x", "wrong")
		require.Equal(t, http.StatusUnauthorized, status)
		status, _ = f.request(f.callers, "/b/x", "k")
		require.Equal(t, http.StatusNotFound, status)
		f.shutDown()
	})
}

// A new version is in force within a second; an older version never replaces it.
func TestConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.startServing()
		f.publish(9, "/a/", "/b/")
		time.Sleep(time.Second)
		status, _ := f.request(f.callers, "/b/x", "k")
		require.Equal(t, http.StatusOK, status)
		f.publish(7, "/a/")
		time.Sleep(2 * time.Second)
		status, _ = f.request(f.callers, "/b/x", "k")
		require.Equal(t, http.StatusOK, status)
		f.shutDown()
	})
}

// An endpoint gets no new requests from one second after its record says that it is leaving.
func TestLeavingEndpointGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.startServing()
		f.endpoints.write("i-1", &fleet.EndpointInfo{Service: "m", Address: f.endpointAddress, Domain: "a", Slots: 4, Leaving: true})
		time.Sleep(time.Second)
		status, _ := f.request(f.callers, "/a/x", "k")
		require.Equal(t, http.StatusServiceUnavailable, status)
		f.shutDown()
	})
}

// An endpoint that says in an answer that it leaves gets no further requests, though its record
// calls it ready, and keeps no connections. Metrics name the source.
func TestEndpointThatSaysThatItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.startServing()
		f.processingTime = time.Second
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() { f.request(f.callers, "/a/x", "k") })
		}
		wg.Wait()
		require.EqualValues(t, 2, f.endpointConns.Load())
		f.answerHeader = "Leaving: 1\r\n"
		status, _ := f.request(f.callers, "/a/x", "k")
		require.Equal(t, http.StatusOK, status)
		synctest.Wait()
		require.Zero(t, f.endpointConns.Load())
		f.endpoints.write("i-1", &fleet.EndpointInfo{Service: "m", Address: f.endpointAddress, Domain: "a", Slots: 4})
		time.Sleep(2 * time.Second)
		status, _ = f.request(f.callers, "/a/x", "k")
		require.Equal(t, http.StatusServiceUnavailable, status)
		_, text := f.do(f.metrics, http.MethodGet, "/metrics", "")
		require.Contains(t, text, `endpoint_unavailable_total{reason="leaving-by-answer"} 1`)
		require.Contains(t, text, `endpoints{service="m",state="leaving"} 1`)
		f.shutDown()
	})
}

// Endpoints that had left got requests for two more seconds where records are written often: each
// pause between two reads counted as an outage in which records expire.
func TestPauseBetweenReadsIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.shutDown()
		f.heartbeat = 200 * time.Millisecond
		f.start()
		f.startServing()
		status, _ := f.request(f.callers, "/a/x", "k")
		require.Equal(t, http.StatusOK, status)
		f.endpoints.write("i-1", nil)
		time.Sleep(time.Second)
		status, _ = f.request(f.callers, "/a/x", "k")
		require.Equal(t, http.StatusServiceUnavailable, status)
		f.shutDown()
	})
}

// Endpoints whose records were not written again after an outage of the platform got requests
// for up to half a second longer than they were to be kept, until the next check. The platform
// binds an instance to its records three seconds after an outage.
func TestMissingEndpointGetsNoRequestsThreeSecondsAfterOutage(t *testing.T) {
	for phase := range 20 {
		t.Run(strconv.Itoa(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.startServing()
				f.endpoints.setDown(true)
				time.Sleep(6*time.Second + time.Duration(phase)*25*time.Millisecond)
				f.endpoints.write("i-1", nil)
				f.endpoints.setDown(false)
				time.Sleep(time.Second)
				status, _ := f.request(f.callers, "/a/x", "k")
				require.Equal(t, http.StatusOK, status, "the record may be written again")
				time.Sleep(2 * time.Second)
				status, _ = f.request(f.callers, "/a/x", "k")
				require.Equal(t, http.StatusServiceUnavailable, status)
				f.shutDown()
			})
		})
	}
}

// A planned stop makes the instance not ready at once, serves requests that still arrive, and
// aborts none.
func TestStopFinishesActiveRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.startServing()
		f.processingTime = 4 * time.Second
		statuses := make(chan int, 3)
		sendRequest := func() {
			status, _ := f.request(f.callers, "/a/x", "k")
			statuses <- status
		}
		go sendRequest()
		time.Sleep(time.Second)
		f.stop()
		time.Sleep(500 * time.Millisecond)
		status, _ := f.request(f.ready, "/ready", "")
		require.Equal(t, http.StatusServiceUnavailable, status)
		go sendRequest()
		require.NoError(t, <-f.done)
		require.Equal(t, http.StatusOK, <-statuses)
		require.Equal(t, http.StatusOK, <-statuses)
	})
}

// A call that arrives late in a planned stop was accepted although its time limit lay after the end
// of the process, which cut it off while its endpoint was silent. It is refused.
func TestStopRefusesCallsThatItMayCutOff(t *testing.T) {
	const limit = 3 * time.Second
	for arrival := 3 * time.Second; arrival < 7600*time.Millisecond; arrival += 200 * time.Millisecond {
		t.Run(arrival.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				f := newFixture(t)
				f.startServing()
				f.operators.write("config", &watch.OperatorRecord{VersionedConfiguration: &watch.VersionedConfiguration{Version: 6, Config: arrangement.Config{
					Customers: []arrangement.Customer{{Name: "saar", Keys: []string{"k"}}},
					Routes:    []arrangement.Route{{Name: "r", Path: "/a/", TimeoutMillis: int(limit.Milliseconds()), Targets: []arrangement.Target{{Service: "m", Weight: 1}}}},
				}}})
				time.Sleep(2 * time.Second)
				f.processingTime = limit - 100*time.Millisecond
				// One call keeps the process from ending early.
				var wg sync.WaitGroup
				for _, at := range []time.Duration{2700 * time.Millisecond, 4600 * time.Millisecond} {
					wg.Go(func() {
						time.Sleep(at)
						status, _ := f.request(f.callers, "/a/x", "k")
						require.Equal(t, http.StatusOK, status)
					})
				}
				status, body, sentAt := 0, "", time.Time{}
				wg.Go(func() {
					time.Sleep(arrival)
					sentAt = time.Now()
					status, body = f.request(f.callers, "/a/x", "k")
				})
				f.stop()
				require.NoError(t, <-f.done)
				endedAt := time.Now()
				wg.Wait()
				switch {
				case status == http.StatusServiceUnavailable:
					require.Greater(t, arrival, 4600*time.Millisecond)
					require.Equal(t, "stopping", strings.TrimSpace(body))
				case status == 0:
					require.Less(t, endedAt.Sub(sentAt), 200*time.Millisecond, "cut off, or refused without an answer")
				default:
					require.Equal(t, http.StatusOK, status)
				}
			})
		})
	}
}
