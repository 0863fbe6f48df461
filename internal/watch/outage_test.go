package watch_test

import (
	"bufio"
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// endpointFeed simulates the endpoints' topic of the platform's store as one instance reaches it.
type endpointFeed struct {
	log *endpointLog
	// name is that of the instance.
	name string
}

// endpointLog is the topic itself.
type endpointLog struct {
	mu      sync.Mutex
	records []fleet.KeyedRecord[fleet.EndpointInfo]
	down    bool
	hanging bool // calls get no response
	refused map[string]bool
	epoch   int64 // zero means that the platform does not state it
	copied  int   // number of records in the copy of the topic
	// sequences holds the last sequence of each endpoint; nil while records have none.
	sequences map[string]int64
}

var errPlatformDown = errors.New("platform does not respond")

// call returns an error if the platform does not respond to the instance.
func (f endpointFeed) call(ctx context.Context) error {
	f.log.mu.Lock()
	hanging, down := f.log.hanging, f.log.down || f.log.refused[f.name]
	f.log.mu.Unlock()
	switch {
	case hanging:
		<-ctx.Done()
		return ctx.Err()
	case down:
		return errPlatformDown
	}
	return nil
}

func (f endpointFeed) Newest(ctx context.Context) ([]fleet.KeyedRecord[fleet.EndpointInfo], fleet.Cursor, error) {
	if err := f.call(ctx); err != nil {
		return nil, fleet.Cursor{}, err
	}
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	newest := map[string]fleet.KeyedRecord[fleet.EndpointInfo]{}
	for _, r := range f.log.records {
		newest[r.Key] = r
	}
	var list []fleet.KeyedRecord[fleet.EndpointInfo]
	for _, r := range newest {
		if r.Value != nil {
			list = append(list, r)
		}
	}
	return list, f.log.next(), nil
}

func (f endpointFeed) Changes(ctx context.Context, from fleet.Cursor, _ time.Duration) ([]fleet.KeyedRecord[fleet.EndpointInfo], fleet.Cursor, error) {
	if err := f.call(ctx); err != nil {
		return nil, fleet.Cursor{}, err
	}
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	if from.Offset > f.log.next().Offset {
		return nil, f.log.next(), fleet.ErrTrimmed
	}
	return slices.Clone(f.log.records[from.Offset-1:]), f.log.next(), nil
}

func (l *endpointLog) next() fleet.Cursor {
	return fleet.Cursor{Epoch: l.epoch, Offset: int64(len(l.records)) + 1}
}

func (l *endpointLog) append(id string, info *fleet.EndpointInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sequences != nil && info != nil {
		l.sequences[id]++
		info.Born, info.Sequence = 1, l.sequences[id]
	}
	l.records = append(l.records, fleet.KeyedRecord[fleet.EndpointInfo]{Key: id, Value: info})
}

// outageFleet is a fleet of instances that follow the records of endpoints.
type outageFleet struct {
	log       *endpointLog
	instances []*outageInstance

	mu  sync.Mutex
	cut map[string]bool // instances that reach neither the platform nor each other
}

// outageInstance is the part of an instance that maintains its endpoints.
type outageInstance struct {
	name     string
	follower *watch.Follower[fleet.EndpointInfo]
	tracker  *watch.EndpointTracker
	balancer *placement.Balancer
}

const (
	exchangeInterval = 50 * time.Millisecond
	// transitTime is how long a message between instances takes.
	transitTime = 2 * time.Millisecond
	// removeInterval is how often an instance removes endpoints whose time is over.
	removeInterval = 100 * time.Millisecond
	readTimeout    = 600 * time.Millisecond
	// expiryTime is that of records that are written every 1.2 s.
	expiryTime = 2400 * time.Millisecond
)

func (s *outageFleet) start(ctx context.Context, name string) {
	i := &outageInstance{name: name, balancer: &placement.Balancer{}}
	i.tracker = &watch.EndpointTracker{Balancer: i.balancer}
	// The first instance reads the feed for all others, which take over in their order.
	maxAge := 500*time.Millisecond + time.Duration(len(s.instances))*300*time.Millisecond
	i.follower = newEndpointFollower(endpointFeed{s.log, name}, i.tracker, maxAge)
	s.instances = append(s.instances, i)
	go func() { _ = i.follower.Serve(ctx) }()
	go every(ctx, removeInterval, func() {
		now := time.Now()
		if p := i.follower.Position(now); p.Known() {
			i.tracker.RemoveExpired(now, now.Add(-time.Duration(p.Age)*time.Millisecond))
		}
	})
}

// every calls a function at an interval until ctx is done.
func every(ctx context.Context, interval time.Duration, f func()) {
	for {
		select {
		case <-time.After(interval):
			f()
		case <-ctx.Done():
			return
		}
	}
}

func newEndpointFollower(feed endpointFeed, tracker *watch.EndpointTracker, maxAge time.Duration) *watch.Follower[fleet.EndpointInfo] {
	return &watch.Follower[fleet.EndpointInfo]{
		Name: "endpoints", Feed: feed, MaxAge: func() time.Duration { return maxAge }, ExpiryTime: expiryTime, Timeout: readTimeout,
		OnBatch: tracker.Apply, OnRecovery: func(at time.Time, _ bool) { tracker.SetRecovered(at) },
	}
}

// exchange sends messages between all instances that reach each other.
func (s *outageFleet) exchange() {
	for _, from := range s.instances {
		for _, to := range s.instances {
			if from != to && !s.isCut(from.name) && !s.isCut(to.name) {
				s.send(from, to)
			}
		}
	}
}

func (s *outageFleet) send(from, to *outageInstance) {
	data, err := from.follower.EncodeUpdate(to.follower.Position(time.Now()).Cursor(), true, time.Now())
	if err != nil {
		panic(err)
	}
	time.AfterFunc(transitTime, func() {
		if _, err := to.follower.Receive(data, true, time.Now(), 0); err != nil {
			panic(err)
		}
	})
}

func (s *outageFleet) isCut(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[name]
}

// set marks instances in one of the fleet's sets, or removes the marks.
func (s *outageFleet) set(marks map[string]bool, names []string, value bool) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	for _, name := range names {
		marks[name] = value
	}
}

// endpoint returns what an instance holds of an endpoint, nil if it does not hold it.
func (s *outageFleet) endpoint(name, id string) *placement.Endpoint {
	for _, i := range s.instances {
		if i.name != name {
			continue
		}
		for _, e := range i.balancer.Endpoints() {
			if e.ID == id {
				return &e
			}
		}
		return nil
	}
	panic("no instance " + name)
}

// change carries out a command of a script that concerns the platform's records as a whole.
func (l *endpointLog) change(command string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch command {
	case "epoch":
		l.epoch = 1
	case "sequences":
		l.sequences = map[string]int64{}
	case "copy":
		l.copied = len(l.records)
	case "restore":
		l.records, l.epoch = l.records[:l.copied:l.copied], l.epoch+1
	}
}

// run executes one line of a script:
//
//	start NAME...        starts instances
//	write ENDPOINT...    endpoints write their records
//	remove ENDPOINT...   records are removed: the endpoints left, or the records expired
//	cut NAME..., join NAME...      instances reach neither the platform nor others; they do again
//	refuse NAME..., serve NAME...  the platform alone is out of reach for instances; it is not
//	down, up             the platform fails all calls; it responds again
//	hang                 the platform gives no response to any call until it is up
//	epoch                the platform states its epoch
//	sequences            records state a sequence
//	drain ENDPOINT...    endpoints write that they leave
//	copy                 the platform makes a copy of its records
//	restore              the platform is restored from the copy
//	wait DURATION
//	has NAME ENDPOINT, lacks NAME ENDPOINT   whether an instance holds an endpoint for requests
//	leaving NAME ENDPOINT                    an instance holds it, and that it leaves
func (s *outageFleet) run(ctx context.Context, t *testing.T, line string) {
	words := strings.Fields(line)
	args := words[1:]
	switch words[0] {
	case "start":
		for _, name := range args {
			s.start(ctx, name)
		}
		go every(ctx, exchangeInterval, s.exchange)
	case "write":
		for _, id := range args {
			s.log.append(id, endpointInfo(id+":80"))
		}
	case "remove":
		for _, id := range args {
			s.log.append(id, nil)
		}
	case "drain":
		for _, id := range args {
			info := endpointInfo(id + ":80")
			info.Leaving = true
			s.log.append(id, info)
		}
	case "epoch", "sequences", "copy", "restore":
		s.log.change(words[0])
	case "cut", "join":
		s.set(s.log.refused, args, words[0] == "cut")
		s.mu.Lock()
		for _, name := range args {
			s.cut[name] = words[0] == "cut"
		}
		s.mu.Unlock()
	case "refuse", "serve":
		s.set(s.log.refused, args, words[0] == "refuse")
	case "down", "hang", "up":
		s.log.mu.Lock()
		s.log.down, s.log.hanging = words[0] == "down", words[0] == "hang"
		s.log.mu.Unlock()
	case "wait":
		d, err := time.ParseDuration(args[0])
		require.NoError(t, err)
		time.Sleep(d)
	case "has", "lacks":
		require.Equal(t, words[0] == "has", s.endpoint(args[0], args[1]) != nil, line)
	case "leaving":
		e := s.endpoint(args[0], args[1])
		require.NotNil(t, e, line)
		require.True(t, e.Leaving, line)
	default:
		require.FailNow(t, "unknown command", line)
	}
}

// Requests reached endpoints more than two seconds after these had left on purpose: their
// records were taken for ones that expired during an outage of the platform, although only
// single instances had not reached it.
func TestEndpointsThatLeaveAfterOutageOfInstanceAreRemoved(t *testing.T) {
	runScripts(t, "testdata/outage")
}

// After the platform had been restored from an older copy, endpoints that had been removed since the
// copy got requests again, ones that had been added since were removed at once, and a leaving that
// the copy did not have was forgotten.
func TestEndpointsOfRestoredPlatform(t *testing.T) { runScripts(t, "testdata/restore") }

// runScripts plays the scripts in a directory.
func runScripts(t *testing.T, dir string) {
	scripts, err := filepath.Glob(dir + "/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, scripts)
	for _, path := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				file, err := os.Open(path)
				require.NoError(t, err)
				defer file.Close()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := &outageFleet{log: &endpointLog{refused: map[string]bool{}}, cut: map[string]bool{}}
				lines := bufio.NewScanner(file)
				for lines.Scan() {
					line, _, _ := strings.Cut(lines.Text(), "#")
					if strings.TrimSpace(line) != "" {
						s.run(ctx, t, line)
					}
				}
				require.NoError(t, lines.Err())
			})
		})
	}
}

// After an outage in which reads got no response, endpoints were removed up to a second before
// they had to have written their records again: the end of the outage was assumed too early.
func TestEndpointsHaveTwoSecondsToWriteRecordsAgain(t *testing.T) {
	const step = 130 * time.Millisecond
	for _, fault := range []string{"down", "hang"} {
		for outage := expiryTime; outage < expiryTime+20*step; outage += step {
			t.Run(fault+" "+outage.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					s := &outageFleet{log: &endpointLog{refused: map[string]bool{}}, cut: map[string]bool{}}
					for _, line := range []string{
						"write e1", "start a b c", "wait 5s", fault, "wait " + outage.String(), "remove e1", "up",
						"wait 1900ms", "has a e1", "has b e1", "has c e1", "wait 1100ms", "lacks a e1", "lacks b e1", "lacks c e1",
					} {
						s.run(ctx, t, line)
					}
				})
			})
		}
	}
}
