package watch_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// feed is a stand-in for a keyed topic of the platform's store.
type feed struct {
	mu      sync.Mutex
	records []fleet.Keyed[int]
	first   int64
	down    bool
	calls   int
}

func (f *feed) write(key string, value int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, fleet.Keyed[int]{Key: key, Value: &value})
}

func (f *feed) Newest(context.Context) ([]fleet.Keyed[int], int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return nil, 0, errors.New("down")
	}
	newest := map[string]fleet.Keyed[int]{}
	for _, r := range f.records {
		newest[r.Key] = r
	}
	var list []fleet.Keyed[int]
	for _, r := range newest {
		list = append(list, r)
	}
	return list, f.next(), nil
}

// next begins above zero, which means that nothing was read.
func (f *feed) next() int64 { return int64(len(f.records)) + 1 }

func (f *feed) Changes(_ context.Context, from int64, _ time.Duration) ([]fleet.Keyed[int], int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.down {
		return nil, 0, errors.New("down")
	}
	if from < f.first {
		return nil, 0, fleet.ErrTrimmed
	}
	return append([]fleet.Keyed[int](nil), f.records[from-1:]...), f.next(), nil
}

// reader follows a feed and keeps what it saw.
type reader struct {
	*watch.Follower[int]
	mu     sync.Mutex
	values map[string]int
	seen   []int
}

func newReader(f *feed, limit time.Duration) *reader {
	r := &reader{values: map[string]int{}}
	r.Follower = &watch.Follower[int]{Name: "test", Feed: f, Limit: func() time.Duration { return limit }, OnBatch: func(b watch.Batch[int]) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if b.Whole {
			r.values = map[string]int{}
		}
		for _, k := range b.Records {
			r.values[k.Key] = *k.Value
			r.seen = append(r.seen, *k.Value)
		}
	}}
	return r
}

func (r *reader) value(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

func serve(t *testing.T, followers ...*reader) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, f := range followers {
		go func() { _ = f.Serve(ctx) }()
	}
}

func TestFollowsAndBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		f.write("a", 1)
		r := newReader(f, 100*time.Millisecond)
		serve(t, r)
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, 1, r.value("a"))
		f.write("a", 2)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 2, r.value("a"))
		f.mu.Lock()
		f.records = append(f.records, fleet.Keyed[int]{Key: "a", Value: new(int)})
		f.first = f.next()
		f.mu.Unlock()
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, 0, r.value("a"), "records that were trimmed are read from the newest")
	})
}

// One instance reads for the others; when it cannot, the next one does.
func TestOthersStepIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		f.write("a", 1)
		first, second := newReader(f, 100*time.Millisecond), newReader(f, time.Second)
		serve(t, first, second)
		stop := make(chan struct{})
		t.Cleanup(func() { close(stop) })
		go func() {
			for {
				select {
				case <-time.After(100 * time.Millisecond):
					second.Hear(first.Tell(second.Mark(time.Now()).Next, time.Now()), time.Now())
				case <-stop:
					return
				}
			}
		}()
		time.Sleep(time.Second)
		f.write("a", 2)
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, 2, second.value("a"))
		f.mu.Lock()
		before := f.calls
		f.mu.Unlock()
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		calls := f.calls - before
		f.mu.Unlock()
		require.LessOrEqual(t, calls, 35, "only one of the two reads")
	})
}

// Instances that tell each other how fresh they are do not make each other fresher by
// it, however long messages take: somebody still reads.
func TestTellingDoesNotRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const transit, pause = 100 * time.Millisecond, 10 * time.Millisecond
		f := &feed{}
		f.write("a", 1)
		readers := make([]*reader, 6)
		for i := range readers {
			readers[i] = newReader(f, 600*time.Millisecond)
		}
		serve(t, readers...)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		for _, from := range readers {
			go func() {
				for ctx.Err() == nil {
					for _, to := range readers {
						told := from.Tell(to.Mark(time.Now()).Next, time.Now())
						time.AfterFunc(transit, func() { to.Hear(told, time.Now()) })
					}
					time.Sleep(pause)
				}
			}()
		}
		time.Sleep(time.Second)
		f.write("a", 2)
		time.Sleep(time.Second)
		for _, r := range readers {
			require.Equal(t, 2, r.value("a"))
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// An instance that knows of others ahead is not kept from reading by those that are
// behind like itself.
func TestBehindTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		f.write("a", 1)
		r := newReader(f, 300*time.Millisecond)
		serve(t, r)
		time.Sleep(55 * time.Millisecond)
		f.write("a", 2)
		for i := range 100 {
			behind := watch.Told[int]{Mark: watch.Mark{Next: 2, Reader: 7, Reading: int64(i + 1)}}
			ahead := watch.Told[int]{Mark: watch.Mark{Next: 3, Reader: 8, Reading: int64(i + 1)}}
			for _, told := range []watch.Told[int]{ahead, behind} {
				data, err := json.Marshal(told)
				require.NoError(t, err)
				_, err = r.Receive(data, time.Now())
				require.NoError(t, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, 2, r.value("a"))
	})
}

// Pattern: a configuration of many routes and many instances. The one that read it tells
// everybody; those who were told do not all tell each other too.
func TestRelaysWait(t *testing.T) {
	f := &feed{}
	f.write("a", 1)
	reads, told, third := newReader(f, 0), newReader(f, 0), newReader(f, 0)
	for _, r := range []*reader{reads, told, third} {
		require.NoError(t, r.Step(t.Context()))
	}
	f.write("a", 2)
	require.NoError(t, reads.Step(t.Context()))
	now := time.Now()
	place := third.Mark(now).Next
	told.Hear(reads.Tell(place, now), now)
	require.Equal(t, 2, told.value("a"))
	require.Empty(t, told.Tell(place, now).Records)
	require.NotEmpty(t, told.Tell(place, now.Add(400*time.Millisecond)).Records, "the reader may be gone")
	require.NotEmpty(t, reads.Tell(place, now).Records)
}

// counted counts how often it is encoded.
type counted struct{ encoded *int }

func (c counted) MarshalJSON() ([]byte, error) {
	*c.encoded++
	return []byte("1"), nil
}

func TestRecordsAreEncodedOnce(t *testing.T) {
	n := 0
	e := watch.NewEncoded(&counted{&n})
	for range 24 {
		_, err := json.Marshal(watch.Record[counted]{Key: "a", Value: e})
		require.NoError(t, err)
	}
	require.Equal(t, 1, n)
}

// The limit may ask what asks the follower in turn: the exchange between instances does.
func TestLimitIsAskedWithoutLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		f.write("a", 1)
		r := newReader(f, 0)
		free := 0
		r.Limit = func() time.Duration {
			if r.Unlocked() {
				free++
			}
			return 100 * time.Millisecond
		}
		serve(t, r)
		time.Sleep(time.Second)
		require.Greater(t, free, 5)
	})
}

// The platform's return is known before the records that lapsed meanwhile are read, and
// also to an instance that never noticed the outage and is told by another.
func TestReturnIsKnownBeforeWhatLapsed(t *testing.T) {
	f := &feed{}
	f.write("a", 1)
	reads, told := newReader(f, 0), newReader(f, 0)
	var order []string
	for name, r := range map[string]*reader{"reads": reads, "told": told} {
		r.OnBack = func(time.Time) { order = append(order, name+" back") }
		batch := r.OnBatch
		r.OnBatch = func(b watch.Batch[int]) {
			order = append(order, name+" batch")
			batch(b)
		}
		require.NoError(t, r.Step(t.Context()))
	}
	order = nil
	f.down = true
	err := reads.Step(t.Context())
	require.Error(t, err)
	reads.Failed(err, time.Now())
	f.down = false
	f.write("a", 2)
	require.NoError(t, reads.Step(t.Context()))
	now := time.Now()
	told.Hear(reads.Tell(told.Mark(now).Next, now), now)
	require.Equal(t, []string{"reads back", "reads batch", "told back", "told batch"}, order)
}

// An instance that cannot reach the platform takes everything from a neighbour.
func TestSnapshotFromNeighbour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, dark := &feed{}, &feed{down: true}
		f.write("a", 1)
		f.write("b", 2)
		near, far := newReader(f, 100*time.Millisecond), newReader(dark, 100*time.Millisecond)
		serve(t, near, far)
		time.Sleep(time.Second)
		require.True(t, far.Away())
		data, err := near.ComposeWhole(time.Now())
		require.NoError(t, err)
		_, err = far.Receive(data, time.Now())
		require.NoError(t, err)
		require.Equal(t, 2, far.value("b"))
		f.write("b", 3)
		time.Sleep(300 * time.Millisecond)
		data, err = near.Compose(far.Mark(time.Now()).Next, time.Now())
		require.NoError(t, err)
		_, err = far.Receive(data, time.Now())
		require.NoError(t, err)
		require.Equal(t, 3, far.value("b"))
	})
}

// Property: whatever the store and a neighbour bring in any order, an instance never
// goes back: the values of a key only grow.
func TestNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &feed{}
		f.write("a", 1)
		neighbour, own := newReader(f, 0), newReader(f, 0)
		ctx := context.Background()
		var letters []json.RawMessage
		value := 1
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				value++
				f.write("a", value)
			case 1:
				require.NoError(t, neighbour.Step(ctx))
			case 2:
				require.NoError(t, own.Step(ctx))
			case 3:
				data, err := neighbour.Compose(own.Mark(time.Now()).Next, time.Now())
				require.NoError(t, err)
				letters = append(letters, data)
			case 4:
				data, err := neighbour.ComposeWhole(time.Now())
				require.NoError(t, err)
				letters = append(letters, data)
			case 5:
				if len(letters) > 0 {
					i := rapid.IntRange(0, len(letters)-1).Draw(t, "letter")
					_, err := own.Receive(letters[i], time.Now())
					require.NoError(t, err)
				}
			}
		}
		last := 0
		for _, v := range own.seen {
			require.GreaterOrEqual(t, v, last)
			last = v
		}
	})
}

func entry(address string) *fleet.Entry {
	return &fleet.Entry{Service: "model", Address: address, Domain: "a", Slots: 4}
}

func take(r *watch.Roster, at time.Time, whole bool, records ...fleet.Keyed[fleet.Entry]) {
	r.Take(watch.Batch[fleet.Entry]{Records: records, Whole: whole, At: at})
}

func count(b *placement.Balancer) int { return len(b.Endpoints()) }

func TestRosterRemovesAtOnceInCalm(t *testing.T) {
	b := &placement.Balancer{}
	r := &watch.Roster{Board: b}
	now := time.Unix(1000, 0)
	take(r, now, true, fleet.Keyed[fleet.Entry]{Key: "i-1", Value: entry("e1")})
	require.Equal(t, 1, count(b))
	take(r, now, false, fleet.Keyed[fleet.Entry]{Key: "i-1"})
	require.Zero(t, count(b))
}

// Records that lapsed while the platform was away are awaited for two seconds.
func TestRosterAwaitsReturns(t *testing.T) {
	b := &placement.Balancer{}
	r := &watch.Roster{Board: b}
	now := time.Unix(1000, 0)
	take(r, now, true, fleet.Keyed[fleet.Entry]{Key: "i-1", Value: entry("e1")}, fleet.Keyed[fleet.Entry]{Key: "i-2", Value: entry("e2")})
	back := now.Add(10 * time.Second)
	r.Regained(back)
	take(r, back, true)
	require.Equal(t, 2, count(b), "nobody is gone yet")
	take(r, back.Add(time.Second), false, fleet.Keyed[fleet.Entry]{Key: "i-1", Value: entry("e1")})
	r.Settle(back.Add(1900 * time.Millisecond))
	require.Equal(t, 2, count(b))
	r.Settle(back.Add(2300 * time.Millisecond))
	require.Equal(t, 1, count(b), "the one that did not return is gone")
}

func TestRosterIgnoresOddRecords(t *testing.T) {
	b := &placement.Balancer{}
	odd := 0
	r := &watch.Roster{Board: b, OnOdd: func(string, error) { odd++ }}
	now := time.Unix(1000, 0)
	take(r, now, true, fleet.Keyed[fleet.Entry]{Key: "i-1", Value: entry("e1")}, fleet.Keyed[fleet.Entry]{Key: "x", Fault: errors.New("unreadable")})
	require.Equal(t, 1, count(b))
	require.Equal(t, 1, odd)
}
