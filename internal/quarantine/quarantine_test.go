package quarantine_test

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// play runs the commands of a script, one a line:
//
//	instances A B...                 starts instances
//	send A R E SIGNATURE...          instance A sends request R to endpoint E, unless it is refused
//	begin R, events R N, finish R    the response of R begins, N more events arrive, it is whole
//	crash E                          endpoint E crashes with the requests that it has
//	crash E A...                     the same, noticed at these instances only
//	broken E                         the connections to endpoint E break; its crash is noticed later
//	outage A N SIGNATURE...          N endpoints with a request of A each crash at the same time
//	exchange                         all instances send each other what they have to say
//	exchange A B                     only A to B; exchange A B lost: the message is lost
//	silent A B                       A has nothing to send to B
//	relay A B                        A sends B what it learned from others as well
//	restart A...                     instances A... lose their state at the same moment
//	storage                          from now on, instances keep crashes in a storage
//	storage up, storage down         it can, or cannot, be reached
//	storage garbage                  its record is replaced by one that cannot be decoded
//	storage restored                 its record is gone, and instances know that it was restored
//	storage clock D                  clocks are set forward by D after its record was written
//	writes N                         the record was written N times
//	sleep D
//	refused A SIGNATURE..., served A SIGNATURE...   what A does with such requests
//	rules A N                        A has N rules
//	canceled R, running R            whether R was ended because it became quarantined
type play struct {
	t         *testing.T
	instances map[string]*quarantine.List
	names     []string
	requests  map[string]*request
	storage   *fakeStorage
	stops     map[string]context.CancelFunc // of the stores, by instance
	stores    map[string]*quarantine.Store
}

// fakeStorage is a fleet.KeyValueStore in memory.
type fakeStorage struct {
	mu     sync.Mutex
	down   bool
	values map[string][]byte
	writes int
}

var errDown = errors.New("storage is down")

func (s *fakeStorage) Put(_ context.Context, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	s.values[key] = value
	s.writes++
	return nil
}

func (s *fakeStorage) List(context.Context) (map[string][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	return maps.Clone(s.values), nil
}

type request struct {
	instance string
	attempt  quarantine.Attempt
	canceled bool
	stop     func()
	suspect  *fleet.Suspect // when its connection broke; nil if it did not
	ended    bool
}

// Each script holds a pattern of crashes that was, or could be, attributed to the wrong requests.
func TestScript(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &play{t: t, instances: map[string]*quarantine.List{}, requests: map[string]*request{}}
				for n, line := range strings.Split(string(data), "\n") {
					line, _, _ = strings.Cut(line, "#")
					if f := strings.Fields(line); len(f) > 0 {
						p.command(file+":"+strconv.Itoa(n+1)+": "+line, f[0], f[1:])
					}
				}
			})
		})
	}
}

// signatures returns the signatures of names. NAME*N stands for N names that begin with NAME.
func signatures(names []string) []uint64 {
	var list []uint64
	for _, name := range names {
		prefix, count, repeated := strings.Cut(name, "*")
		if !repeated {
			list = append(list, xxhash.Sum64String(name))
			continue
		}
		n, err := strconv.Atoi(count)
		if err != nil {
			panic(err)
		}
		for k := range n {
			list = append(list, xxhash.Sum64String(prefix+strconv.Itoa(k)))
		}
	}
	return list
}

func (p *play) command(line, verb string, args []string) {
	t := p.t
	switch verb {
	case "instances":
		p.names = args
		for _, name := range args {
			p.instances[name] = quarantine.New(&audit.Trail{})
		}
	case "restart":
		for _, name := range args {
			p.instances[name] = quarantine.New(&audit.Trail{})
			p.runStore(name)
		}
		for _, name := range p.names {
			for _, restarted := range args {
				p.instances[name].Restarted(restarted)
			}
		}
	case "storage":
		p.useStorage(args)
	case "writes":
		p.storage.mu.Lock()
		defer p.storage.mu.Unlock()
		require.Equal(t, args[0], strconv.Itoa(p.storage.writes), line)
	case "send":
		p.send(args[0], args[1], args[2], signatures(args[3:]))
	case "begin":
		p.requests[args[0]].attempt.Begun = true
	case "events":
		n, err := strconv.Atoi(args[1])
		require.NoError(t, err, line)
		p.requests[args[0]].attempt.Begun = true
		p.requests[args[0]].attempt.AddEvents(n)
	case "finish":
		r := p.requests[args[0]]
		r.attempt.Complete()
		r.end()
	case "crash":
		p.crash(args[0], args[1:])
	case "broken":
		for _, r := range p.requests {
			if !r.ended && r.attempt.Endpoint == args[0] {
				suspect := r.attempt.Suspect(time.Now())
				r.suspect = &suspect
			}
		}
	case "outage":
		n, err := strconv.Atoi(args[1])
		require.NoError(t, err, line)
		p.outage(args[0], n, signatures(args[2:]))
	case "exchange":
		p.exchange(args)
	case "silent":
		data, _ := p.instances[args[0]].Compose(args[1], false)
		require.Nil(t, data, line)
	case "relay":
		p.deliver(args[0], args[1], true, false)
	case "sleep":
		d, err := time.ParseDuration(args[0])
		require.NoError(t, err, line)
		time.Sleep(d)
	case "refused", "served":
		require.Equal(t, verb == "refused", p.instances[args[0]].Contains(signatures(args[1:])), line)
	case "rules":
		require.Equal(t, args[1], strconv.Itoa(p.instances[args[0]].Size()), line)
	case "canceled", "running":
		require.Equal(t, verb == "canceled", p.requests[args[0]].canceled, line)
	default:
		require.Fail(t, "unknown command", line)
	}
}

func (p *play) useStorage(args []string) {
	if len(args) == 0 {
		p.storage, p.stops, p.stores = &fakeStorage{values: map[string][]byte{}}, map[string]context.CancelFunc{}, map[string]*quarantine.Store{}
		for _, name := range p.names {
			p.runStore(name)
		}
		return
	}
	p.storage.mu.Lock()
	defer p.storage.mu.Unlock()
	if args[0] == "restored" {
		clear(p.storage.values)
		for _, s := range p.stores {
			s.Reload()
		}
		return
	}
	if args[0] == "clock" {
		p.setClocks(args[1])
		return
	}
	p.storage.down = args[0] == "down"
	if args[0] == "garbage" {
		for key := range p.storage.values {
			p.storage.values[key] = []byte("{")
		}
	}
}

// setClocks makes the times of day in the records those of clocks that have since been set forward.
func (p *play) setClocks(forward string) {
	d, err := time.ParseDuration(forward)
	require.NoError(p.t, err)
	for key, data := range p.storage.values {
		record := map[string]json.RawMessage{}
		require.NoError(p.t, json.Unmarshal(data, &record))
		written, err := strconv.ParseInt(string(record["written"]), 10, 64)
		require.NoError(p.t, err)
		record["written"] = strconv.AppendInt(nil, written-d.Milliseconds(), 10)
		p.storage.values[key], err = json.Marshal(record)
		require.NoError(p.t, err)
	}
}

// runStore keeps the crashes of an instance in the storage, if there is one, until the
// instance restarts. Instances rank in the order in which the script names them.
func (p *play) runStore(name string) {
	if p.storage == nil {
		return
	}
	if stop := p.stops[name]; stop != nil {
		stop()
	}
	ctx, stop := context.WithCancel(p.t.Context())
	p.t.Cleanup(stop)
	p.stops[name] = stop
	rank := slices.Index(p.names, name)
	s := &quarantine.Store{List: p.instances[name], Storage: p.storage, Rank: func() int { return rank }, Logger: zap.NewNop()}
	p.stores[name] = s
	go func() { _ = s.Serve(ctx) }()
}

func (r *request) end() {
	r.stop()
	r.ended = true
}

func (p *play) send(instance, id, endpoint string, s []uint64) {
	list := p.instances[instance]
	if list.Contains(s) {
		return
	}
	r := &request{instance: instance, attempt: quarantine.Attempt{Quarantine: list, Endpoint: endpoint, Request: id, Signatures: s, Sent: time.Now()}}
	r.stop = list.Watch(s, func() { r.canceled = true })
	p.requests[id] = r
}

func (p *play) crash(endpoint string, noticedAt []string) {
	for _, r := range p.requests {
		if r.ended || r.attempt.Endpoint != endpoint || len(noticedAt) > 0 && !slices.Contains(noticedAt, r.instance) {
			continue
		}
		suspect := r.attempt.Suspect(time.Now())
		if r.suspect != nil {
			suspect = *r.suspect
		}
		p.instances[r.instance].Crashed(suspect)
		r.end()
	}
}

func (p *play) outage(instance string, n int, s []uint64) {
	for k := range n {
		p.send(instance, "outage"+strconv.Itoa(k), "down"+strconv.Itoa(k), append(s[:len(s):len(s)], xxhash.Sum64String("own")+uint64(k)))
	}
	time.Sleep(10 * time.Millisecond)
	for k := range n {
		p.crash("down"+strconv.Itoa(k), nil)
	}
}

func (p *play) exchange(args []string) {
	if len(args) > 0 {
		p.deliver(args[0], args[1], false, len(args) > 2)
		return
	}
	for _, from := range p.names {
		for _, to := range p.names {
			if from != to {
				p.deliver(from, to, false, false)
			}
		}
	}
}

func (p *play) deliver(from, to string, relay, lost bool) {
	data, delivered := p.instances[from].Compose(to, relay)
	if lost {
		return
	}
	if data != nil {
		require.NoError(p.t, p.instances[to].Receive(data))
	}
	delivered()
}

// A message that cannot be decoded, or whose fields make no sense, must not end the process.
func FuzzReceive(f *testing.F) {
	f.Add([]byte(`[{"endpoint":"m0","request":"r","progress":"begun","signatures":[1,2],"age":5,"sent":10}]`))
	f.Add([]byte(`[{"signatures":[18446744073709551615],"age":0}]`))
	f.Add([]byte(`[{"endpoint":"m0","signatures":[1],"age":-5,"sent":-1}]`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		l := quarantine.New(&audit.Trail{})
		_ = l.Receive(data)
		l.Contains([]uint64{1, 2})
		l.Compose("a", true)
	})
}

// The same for requests whose prompts have many parts, all of which but one are shared by all
// requests. No request is answered.
func BenchmarkCrashLongPrompts(b *testing.B) {
	l := quarantine.New(&audit.Trail{})
	now := time.Now()
	var parts []uint64
	for n := range 70 {
		parts = append(parts, uint64(n))
	}
	crash := func(endpoint, request int) {
		l.Crashed(fleet.Suspect{
			Endpoint: strconv.Itoa(endpoint), Request: strconv.Itoa(request), Signatures: append(parts[:70:70], uint64(1000+endpoint*100+request)),
			Progress: fleet.ProgressWaiting, Sent: now.Add(-time.Second), Broken: now.Add(time.Duration(endpoint-1064) * time.Second / 10),
		})
	}
	for endpoint := range 64 {
		for request := range 32 {
			crash(endpoint, request)
		}
	}
	b.ResetTimer()
	for n := range b.N {
		crash(1000+n%64, n)
	}
}

// The cost of one more crash for an instance that remembers as many crashes as it can, each
// with as many suspects as it keeps.
func BenchmarkCrash(b *testing.B) {
	l := quarantine.New(&audit.Trail{})
	now := time.Now()
	crash := func(endpoint, request int) {
		s := []uint64{uint64(request % 3), uint64(10 + request%100), uint64(1000 + endpoint*100 + request)}
		l.Crashed(fleet.Suspect{
			Endpoint: strconv.Itoa(endpoint), Request: strconv.Itoa(request), Signatures: s, Progress: fleet.ProgressWaiting,
			Sent: now.Add(-time.Second), Broken: now,
		})
	}
	for endpoint := range 64 {
		for request := range 32 {
			crash(endpoint, request)
		}
	}
	b.ResetTimer()
	for n := range b.N {
		crash(1000+n, n)
	}
}
