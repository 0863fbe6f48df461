package watch_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// restoredFeed simulates a keyed topic of a store that may be restored from an older copy. Its
// responses show the store as it was when the call arrived and take up to maxDelay.
type restoredFeed struct {
	maxDelay time.Duration

	mu      sync.Mutex
	rng     *rand.Rand
	records []fleet.KeyedRecord[int]
	copied  int // number of records in the copy
	epoch   int64
	down    bool
}

var errDown = errors.New("down")

// respond returns the records from an offset on and the end of the topic, after a delay.
func (f *restoredFeed) respond(ctx context.Context, from int64) ([]fleet.KeyedRecord[int], fleet.Cursor, error) {
	f.mu.Lock()
	next := fleet.Cursor{Epoch: f.epoch, Offset: int64(len(f.records))}
	var records []fleet.KeyedRecord[int]
	err := error(nil)
	switch {
	case f.down:
		err = errDown
	case from > next.Offset:
		err = fleet.ErrTrimmed
	default:
		records = append(records, f.records[from:]...)
	}
	delay := time.Duration(f.rng.Int64N(int64(f.maxDelay)))
	f.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, fleet.Cursor{}, ctx.Err()
	}
	return records, next, err
}

func (f *restoredFeed) Newest(ctx context.Context) ([]fleet.KeyedRecord[int], fleet.Cursor, error) {
	records, next, err := f.respond(ctx, 0)
	newest := map[string]fleet.KeyedRecord[int]{}
	for _, r := range records {
		newest[r.Key] = r
	}
	var list []fleet.KeyedRecord[int]
	for _, r := range newest {
		list = append(list, r)
	}
	return list, next, err
}

func (f *restoredFeed) Changes(ctx context.Context, from fleet.Cursor, _ time.Duration) ([]fleet.KeyedRecord[int], fleet.Cursor, error) {
	return f.respond(ctx, from.Offset)
}

func (f *restoredFeed) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// values returns the newest value of each key.
func (f *restoredFeed) values() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	values := map[string]int{}
	for _, r := range f.records {
		values[r.Key] = *r.Value
	}
	return values
}

// relay sends updates between all followers until ctx is done. As in a fleet, each knows the position
// that the receiver last told it, and messages take some time.
func relay(ctx context.Context, followers []*testFollower, transit time.Duration) {
	for n, from := range followers {
		for m, to := range followers {
			if n == m {
				continue
			}
			go func() {
				for ctx.Err() == nil {
					data, err := from.EncodeUpdate(to.Position(time.Now()).Cursor(), true, time.Now())
					if err != nil {
						panic(err)
					}
					time.Sleep(transit)
					if _, err := to.Receive(data, false, time.Now(), 0); err != nil {
						panic(err)
					}
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
	}
}

// Followers that read a store and relay records to each other hold what the store holds, however it
// is restored from older copies while they read: before, records that got offsets below the ones
// that had been read were never read, and followers took each other's old records for new ones.
func TestFollowersHoldWhatRestoredStoreHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"write", "write", "write", "copy", "restore", "restore", "down", "up", "wait", "pause"}), 1, 40).Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := &restoredFeed{rng: rand.New(rand.NewPCG(seed, 1)), maxDelay: 60 * time.Millisecond, epoch: 1}
			var followers []*testFollower
			for n := range 3 {
				r := newFollower(nil, 100*time.Millisecond+time.Duration(n)*400*time.Millisecond)
				r.Feed = f
				followers = append(followers, r)
				go func() { _ = r.Serve(ctx) }()
			}
			relay(ctx, followers, 3*time.Millisecond)
			for n, step := range steps {
				value := n + 1
				key := fmt.Sprint("k", n%3)
				switch step {
				case "write":
					f.set(func() { f.records = append(f.records, fleet.KeyedRecord[int]{Key: key, Value: &value}) })
				case "copy":
					f.set(func() { f.copied = len(f.records) })
				case "restore":
					f.set(func() { f.records, f.epoch = f.records[:f.copied:f.copied], f.epoch+1 })
				case "down", "up":
					f.set(func() { f.down = step == "down" })
				case "wait":
					time.Sleep(time.Duration(10+seed%90) * time.Millisecond)
				case "pause":
					time.Sleep(time.Second)
				}
			}
			f.set(func() { f.down = false })
			// Failed reads are repeated after up to maxRetryDelay, and the last follower relies
			// on the others for up to its own maximum age.
			time.Sleep(2 * time.Second)
			for n, r := range followers {
				r.mu.Lock()
				values := r.values
				r.mu.Unlock()
				if len(f.values())+len(values) > 0 {
					require.Equal(t, f.values(), values, "follower %d after %v", n, steps)
				}
			}
			cancel()
			time.Sleep(2 * time.Second)
		})
	})
}

// A store that does not state its epoch works as before; one that begins to is read anew.
func TestUnknownEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &restoredFeed{rng: rand.New(rand.NewPCG(1, 1)), maxDelay: time.Millisecond}
		r := newFollower(nil, 100*time.Millisecond)
		r.Feed = f
		restores := 0
		r.OnRestored = func(int64, int64) { restores++ }
		serve(t, r)
		one, two := 1, 2
		f.set(func() { f.records = append(f.records, fleet.KeyedRecord[int]{Key: "a", Value: &one}) })
		time.Sleep(time.Second)
		require.Equal(t, 1, r.value("a"))
		f.set(func() { f.records[0].Value, f.epoch = &two, 7 })
		time.Sleep(time.Second)
		require.Equal(t, 2, r.value("a"))
		require.Equal(t, watch.Position{Epoch: 7, Next: 1}.Cursor(), r.Position(time.Now()).Cursor())
		require.Zero(t, restores, "the epoch was not known before")
		f.set(func() { f.epoch = 0 })
		time.Sleep(time.Second)
		require.Equal(t, int64(7), r.Position(time.Now()).Epoch, "a response without an epoch changes nothing")
	})
}

// slowFeed responds to a read of all records as they were when it began.
type slowFeed struct{ *restoredFeed }

func (f slowFeed) Newest(ctx context.Context) ([]fleet.KeyedRecord[int], fleet.Cursor, error) {
	records, next, err := f.restoredFeed.Newest(ctx)
	time.Sleep(200 * time.Millisecond)
	return records, next, err
}

// A read of all records was under way while another instance sent the records that were written after
// it had begun: these were undone until the next read.
func TestSlowReadDoesNotUndoRelayedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := 1, 2
		f := &restoredFeed{rng: rand.New(rand.NewPCG(1, 1)), maxDelay: time.Millisecond, epoch: 1}
		f.records = []fleet.KeyedRecord[int]{{Key: "a", Value: &one}}
		local, peer := newFollower(slowFeed{f}, time.Hour), newFollower(f, time.Hour)
		ctx := t.Context()
		go func() { _ = local.ReadOnce(ctx) }()
		time.Sleep(100 * time.Millisecond)
		f.set(func() { f.records = append(f.records, fleet.KeyedRecord[int]{Key: "a", Value: &two}) })
		require.NoError(t, peer.ReadOnce(ctx))
		local.Apply(peer.Snapshot(time.Now()), time.Now(), 0)
		require.Equal(t, 2, local.value("a"))
		time.Sleep(time.Second)
		require.Equal(t, 2, local.value("a"))
		require.Equal(t, peer.Position(time.Now()).Cursor(), local.Position(time.Now()).Cursor())
	})
}
