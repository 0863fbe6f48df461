package peer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// fleetInMemory is a fleet of exchanges that deliver messages to each other without a network.
type fleetInMemory struct {
	mu       sync.Mutex
	handlers map[string]http.Handler // of the members that run, by address
	messages map[string]int          // by the address of the sender
	bytes    map[string]int
	// crashBytes is the size of all reports of crashes, in messages and responses.
	crashBytes int
	// departures counts the departures in all messages and responses; departureBytes is
	// their size.
	departures, departureBytes int
	// lose is how many of the next messages and responses are lost.
	lose int
	// link reports whether a message between two addresses arrives; nil means that all do.
	link    func(from, to string) bool
	members []*peer.Exchange
	feeds   []*watch.Follower[string]
	stops   []context.CancelFunc
}

// memberTransport delivers the messages of one member.
type memberTransport struct {
	fleet *fleetInMemory
	from  string
}

func (m memberTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	f := m.fleet
	f.mu.Lock()
	h := f.handlers[r.URL.Host]
	if f.link != nil && !f.link(m.from, r.URL.Host) {
		h = nil
	}
	f.messages[m.from]++
	f.bytes[m.from] += int(r.ContentLength)
	f.mu.Unlock()
	time.Sleep(time.Millisecond)
	if h == nil || f.loses() {
		return nil, errors.New("unreachable")
	}
	if r.Body == nil {
		r.Body = http.NoBody
	}
	sent, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body = io.NopCloser(bytes.NewReader(sent))
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	f.countCrashBytes(sent)
	f.countCrashBytes(w.Body.Bytes())
	return w.Result(), nil
}

func (f *fleetInMemory) countCrashBytes(message []byte) {
	var m struct {
		Crashes    json.RawMessage   `json:"s"`
		Departures []json.RawMessage `json:"l"`
	}
	if json.Unmarshal(message, &m) != nil {
		// Snapshots are no messages.
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashBytes += len(m.Crashes)
	f.departures += len(m.Departures)
	for _, d := range m.Departures {
		f.departureBytes += len(d)
	}
}

func (f *fleetInMemory) setLink(link func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.link = link
}

// home returns the home of an endpoint.
func (f *fleetInMemory) home(e placement.Endpoint) *peer.Exchange {
	var members []peer.Member
	for _, x := range f.members {
		members = append(members, x.Self)
	}
	for _, x := range f.members {
		if x.Self == peer.Home(e, members) {
			return x
		}
	}
	return nil
}

// loses reports whether a message is lost.
func (f *fleetInMemory) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose--
	return f.lose >= 0
}

func (f *fleetInMemory) crashBytesPerMember() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.crashBytes) / float64(len(f.members))
}

// silentFeed is a feed that cannot be read.
type silentFeed struct{}

func (silentFeed) Newest(context.Context) ([]fleet.KeyedRecord[string], fleet.Cursor, error) {
	return nil, fleet.Cursor{Offset: 1}, nil
}

func (silentFeed) Changes(_ context.Context, from fleet.Cursor, _ time.Duration) ([]fleet.KeyedRecord[string], fleet.Cursor, error) {
	return nil, from, nil
}

// countingFeed has a new record every 10 ms.
type countingFeed struct{ start time.Time }

func (c countingFeed) end() int64 { return 1 + time.Since(c.start).Milliseconds()/10 }

func (c countingFeed) Newest(context.Context) ([]fleet.KeyedRecord[string], fleet.Cursor, error) {
	return nil, fleet.Cursor{Offset: c.end()}, nil
}

func (c countingFeed) Changes(_ context.Context, from fleet.Cursor, _ time.Duration) ([]fleet.KeyedRecord[string], fleet.Cursor, error) {
	var records []fleet.KeyedRecord[string]
	next := c.end()
	for n := from.Offset; n < next; n++ {
		value := fmt.Sprint(n)
		records = append(records, fleet.KeyedRecord[string]{Key: "k", Value: &value})
	}
	return records, fleet.Cursor{Offset: next}, nil
}

// newFleetInMemory starts n members of which the first reads the feed. All know the first three.
func newFleetInMemory(t *testing.T, n int) *fleetInMemory {
	return newFleetWithFeeds(t, n, func(int, *watch.Follower[string]) {})
}

// newFleetWithFeeds does so after configure has changed the feed of each member.
func newFleetWithFeeds(t *testing.T, n int, configure func(i int, feed *watch.Follower[string])) *fleetInMemory {
	f := &fleetInMemory{handlers: map[string]http.Handler{}, messages: map[string]int{}, bytes: map[string]int{}}
	f.members, f.feeds, f.stops = make([]*peer.Exchange, n), make([]*watch.Follower[string], n), make([]context.CancelFunc, n)
	for i := range n {
		f.set(i, 1)
		configure(i, f.feeds[i])
	}
	for i := range n {
		f.serve(t, i)
	}
	return f
}

// set sets member i to one that has learned nothing yet, with a start.
func (f *fleetInMemory) set(i int, start int64) {
	x := newExchange("key")
	x.Self = peer.Member{Name: fmt.Sprintf("front-%d", i), Domain: fmt.Sprint(i % 5), Address: fmt.Sprintf("10.0.%d.%d:80", i/200, 1+i%200), Start: start}
	x.Transport = memberTransport{f, x.Self.Address}
	x.Crashes = quarantine.New(&audit.Trail{})
	feed := &watch.Follower[string]{Name: "endpoints", Feed: silentFeed{}, OnBatch: func(watch.Batch[string]) {}, MaxAge: func() time.Duration { return time.Hour }}
	if i == 0 {
		feed.Feed, feed.MaxAge = countingFeed{time.Now()}, func() time.Duration { return 200 * time.Millisecond }
	}
	x.Feeds = map[string]watch.Relay{"endpoints": feed}
	for seed := range min(3, i) {
		x.AddPeer(peer.Member{Address: f.members[seed].Self.Address}, time.Now())
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+peer.Path, x)
	mux.HandleFunc("POST "+peer.ReservePath, x.ServeReserve)
	mux.HandleFunc("GET "+peer.SnapshotPath, x.ServeSnapshot)
	mux.HandleFunc("POST "+peer.LearnedPath, x.ServeLearned)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handlers[x.Self.Address] = mux
	f.members[i], f.feeds[i] = x, feed
}

// serve starts member i.
func (f *fleetInMemory) serve(t *testing.T, i int) {
	x, feed := f.members[i], f.feeds[i]
	ctx, stop := context.WithCancel(t.Context())
	f.stops[i] = stop
	go func() { _ = x.Serve(ctx) }()
	go func() { _ = feed.Serve(ctx) }()
}

// kill stops a member without a trace.
func (f *fleetInMemory) kill(i int) {
	f.stops[i]()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.handlers, f.members[i].Self.Address)
}

// restart stops a member, lets change replace what a new start does not keep, and starts it again
// under its address.
func (f *fleetInMemory) restart(t *testing.T, i int, change func(x *peer.Exchange)) {
	x := f.members[i]
	f.mu.Lock()
	handler := f.handlers[x.Self.Address]
	f.mu.Unlock()
	f.kill(i)
	time.Sleep(time.Second) // for messages in transit
	synctest.Wait()
	x.Self.Start++
	change(x)
	f.mu.Lock()
	f.handlers[x.Self.Address] = handler
	f.mu.Unlock()
	f.serve(t, i)
}

// rate returns the mean number of messages and bytes that a member sends a second.
func (f *fleetInMemory) rate(during time.Duration) (messages, bytes float64) {
	f.mu.Lock()
	clear(f.messages)
	clear(f.bytes)
	f.mu.Unlock()
	time.Sleep(during)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.messages {
		messages += float64(n)
	}
	for _, n := range f.bytes {
		bytes += float64(n)
	}
	scale := during.Seconds() * float64(len(f.members))
	return messages / scale, bytes / scale
}

// maxIdleRate returns how many messages a second an instance of n may begin while nothing happens: it asks one neighbor
// for records every sendInterval, and one of each pair sends every 0.5 s to a neighbor and every 30 ms times n to another
// instance.
func maxIdleRate(n int) float64 {
	neighbors := 2 * math.Ceil(math.Log2(float64(n)))
	return 10 + neighbors/2/0.5 + 0.5/0.03
}

// Hundreds of instances: what one sends to the others grows no faster than the logarithm of
// their number, and yet all know each other, records reach all of them within two seconds, and
// killed instances are noticed.
func TestLargeFleetExchange(t *testing.T) {
	const small, large = 34, 100
	rates := map[int]float64{}
	sizes := map[int]float64{}
	for _, n := range []int{small, large} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetInMemory(t, n)
			time.Sleep(8 * time.Second)
			for _, x := range f.members {
				require.Equal(t, n-1, x.Peers(time.Now()), x.Self.Name)
				require.True(t, x.Sparse())

			}
			rates[n], sizes[n] = f.rate(3 * time.Second)
			require.LessOrEqual(t, rates[n], maxIdleRate(n))
			for i, feed := range f.feeds {
				lag := f.feeds[0].Position(time.Now()).Next - feed.Position(time.Now()).Next
				require.Less(t, lag, int64(200), "%d is behind by that many records of 10 ms", i)
			}
			for i := range n / 10 {
				f.kill(3 + 7*i)
			}
			time.Sleep(time.Duration(n)*75*time.Millisecond + 3*time.Second)
			require.Equal(t, n-1-n/10, f.members[0].Peers(time.Now()))
			for _, stop := range f.stops {
				stop()
			}
			time.Sleep(time.Second)
		})
	}
	growth := math.Log2(large) / math.Log2(small)
	require.LessOrEqual(t, rates[large], 1.1*growth*rates[small])
	require.LessOrEqual(t, sizes[large], 1.1*growth*sizes[small])
}

// restoredFeed is a feed of a platform that is restored.
type restoredFeed struct {
	mu        sync.Mutex
	epoch     int64
	snapshots int // reads of all records
}

func (r *restoredFeed) Newest(context.Context) ([]fleet.KeyedRecord[string], fleet.Cursor, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshots++
	value := fmt.Sprint(r.epoch)
	return []fleet.KeyedRecord[string]{{Key: "k", Value: &value}}, fleet.Cursor{Epoch: r.epoch, Offset: 1}, nil
}

func (r *restoredFeed) Changes(_ context.Context, from fleet.Cursor, _ time.Duration) ([]fleet.KeyedRecord[string], fleet.Cursor, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return nil, fleet.Cursor{Epoch: r.epoch, Offset: from.Offset}, nil
}

// Many instances, of which one reads the feed for all, learn from each other that the platform was
// restored. All have the records of the restored platform within two seconds, most of them from each
// other: if each read them, reads would take the platform's bandwidth.
func TestRestorationReachesLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 40
		platform := &restoredFeed{epoch: 1}
		f := newFleetWithFeeds(t, n, func(i int, feed *watch.Follower[string]) {
			feed.Feed = platform
			feed.SnapshotDelay = func() time.Duration { return 600*time.Millisecond + rand.N(n*10*time.Millisecond) }
			if i == 0 {
				feed.MaxAge = func() time.Duration { return 200 * time.Millisecond }
			}
		})
		time.Sleep(8 * time.Second)
		platform.mu.Lock()
		platform.epoch, platform.snapshots = 2, 0
		platform.mu.Unlock()
		time.Sleep(2 * time.Second)
		for i, feed := range f.feeds {
			require.Equal(t, fleet.Cursor{Epoch: 2, Offset: 1}, feed.Position(time.Now()).Cursor(), i)
		}
		platform.mu.Lock()
		snapshots := platform.snapshots
		platform.mu.Unlock()
		require.Less(t, snapshots, n/4, "reads of all records")
		for _, stop := range f.stops {
			stop()
		}
		time.Sleep(time.Second)
	})
}

// Two instances of many each had one endpoint crash with a request of the same kind. All others
// must refuse such requests before the users' bound, though most exchange no messages with either
// of the two, and what each of them sends for that grows no faster than the logarithm of their
// number. One that restarts must learn it again.
func TestCrashesReachLargeFleet(t *testing.T) {
	const stableBound = 3 * time.Second
	const small, large = 34, 100
	sizes := map[int]float64{}
	for _, n := range []int{small, large} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleetInMemory(t, n)
			time.Sleep(8 * time.Second)
			for i := range 2 {
				f.members[3+i].Crashes.Crashed(fleet.Suspect{
					Endpoint: fmt.Sprint("m", i), Request: fmt.Sprint("r", i), Signatures: []uint64{1, uint64(10 + i)},
					Progress: fleet.ProgressBegun, Sent: time.Now().Add(-100 * time.Millisecond), Broken: time.Now(),
				})
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(stableBound)
			sizes[n] = f.crashBytesPerMember()
			for _, x := range f.members {
				require.True(t, x.Crashes.Contains([]uint64{1, 99}), x.Self.Name)
				require.False(t, x.Crashes.Contains([]uint64{10, 99}), x.Self.Name)
			}
			restarted := f.members[n-1]
			f.restart(t, n-1, func(x *peer.Exchange) { x.Crashes = quarantine.New(&audit.Trail{}) })
			time.Sleep(stableBound)
			require.True(t, restarted.Crashes.Contains([]uint64{1, 99}))
			for _, stop := range f.stops {
				stop()
			}
			time.Sleep(time.Second)
		})
	}
	growth := math.Log2(large) / math.Log2(small)
	require.Positive(t, sizes[small])
	require.LessOrEqual(t, sizes[large], 1.1*growth*sizes[small])
}

// In a large fleet an endpoint's home alone counts the requests that were granted: they must not
// count for longer than they wait, though their senders report seldom.
func TestGrantedTokensDrain(t *testing.T) {
	b := &placement.Balancer{LocalDomain: "a"}
	b.Put(placement.Endpoint{ID: "i-1", EndpointInfo: fleet.EndpointInfo{Service: "m", Address: "e", Domain: "a", Slots: 12}})
	start := time.Unix(1_700_000_000, 0)
	require.True(t, b.Grant("p", fleet.Reservation{Endpoint: "i-1", Tokens: 16000, MaxWait: 150 * time.Millisecond}, start))
	short := fleet.Reservation{Endpoint: "i-1", Tokens: 500, MaxWait: 20 * time.Millisecond}
	require.False(t, b.Grant("q", short, start.Add(50*time.Millisecond)))
	require.True(t, b.Grant("q", short, start.Add(900*time.Millisecond)), "16000 tokens take 0.2 s")
}
