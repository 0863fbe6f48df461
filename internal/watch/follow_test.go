package watch_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// fakeFeed simulates a keyed topic of the platform's store.
type fakeFeed struct {
	mu          sync.Mutex
	records     []fleet.KeyedRecord[int]
	oldest      int64
	unreachable bool
	calls       int
}

func (f *fakeFeed) write(key string, value int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, fleet.KeyedRecord[int]{Key: key, Value: &value})
}

func (f *fakeFeed) Newest(context.Context) ([]fleet.KeyedRecord[int], fleet.Cursor, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.unreachable {
		return nil, fleet.Cursor{}, errors.New("down")
	}
	newest := map[string]fleet.KeyedRecord[int]{}
	for _, r := range f.records {
		newest[r.Key] = r
	}
	var list []fleet.KeyedRecord[int]
	for _, r := range newest {
		list = append(list, r)
	}
	return list, f.next(), nil
}

// next starts at one, because offset zero means that nothing was read.
func (f *fakeFeed) next() fleet.Cursor { return fleet.Cursor{Offset: int64(len(f.records)) + 1} }

func (f *fakeFeed) Changes(_ context.Context, from fleet.Cursor, _ time.Duration) ([]fleet.KeyedRecord[int], fleet.Cursor, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.unreachable {
		return nil, fleet.Cursor{}, errors.New("down")
	}
	if from.Offset < f.oldest {
		return nil, fleet.Cursor{}, fleet.ErrTrimmed
	}
	return append([]fleet.KeyedRecord[int](nil), f.records[from.Offset-1:]...), f.next(), nil
}

// testFollower follows a feed and records the values that it receives.
type testFollower struct {
	*watch.Follower[int]
	mu       sync.Mutex
	values   map[string]int
	received []int
}

func newFollower(f fleet.Feed[int], maxAge time.Duration) *testFollower {
	r := &testFollower{values: map[string]int{}}
	r.Follower = &watch.Follower[int]{Name: "test", Feed: f, MaxAge: func() time.Duration { return maxAge }, OnBatch: func(b watch.Batch[int]) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if b.Snapshot {
			r.values = map[string]int{}
		}
		for _, k := range b.Records {
			r.values[k.Key] = *k.Value
			r.received = append(r.received, *k.Value)
		}
	}}
	return r
}

func (r *testFollower) value(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

func serve(t *testing.T, followers ...*testFollower) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, f := range followers {
		go func() { _ = f.Serve(ctx) }()
	}
}

func TestFollowerResetsAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFeed{}
		f.write("a", 1)
		r := newFollower(f, 100*time.Millisecond)
		serve(t, r)
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, 1, r.value("a"))
		f.write("a", 2)
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 2, r.value("a"))
		f.mu.Lock()
		f.records = append(f.records, fleet.KeyedRecord[int]{Key: "a", Value: new(int)})
		f.oldest = f.next().Offset
		f.mu.Unlock()
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, 0, r.value("a"), "after a trim the newest records are read")
	})
}

// One instance reads the feed and passes the records on to another one, which has a higher
// maximum age and reads the feed only if those updates stop.
func TestOneFollowerReadsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFeed{}
		f.write("a", 1)
		first, second := newFollower(f, 100*time.Millisecond), newFollower(f, time.Second)
		serve(t, first, second)
		stop := make(chan struct{})
		t.Cleanup(func() { close(stop) })
		go func() {
			for {
				select {
				case <-time.After(100 * time.Millisecond):
					second.Apply(first.UpdateFrom(second.Position(time.Now()).Cursor(), false, time.Now()), time.Now(), 0)
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
		require.LessOrEqual(t, calls, 35, "only one of the two followers reads")
	})
}

// Instances that exchange the ages of their data do not make that data count as more recent,
// however long messages take: otherwise none of them would read the platform any more.
func TestUpdatesDoNotRefreshAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const transit, interval = 100 * time.Millisecond, 10 * time.Millisecond
		f := &fakeFeed{}
		f.write("a", 1)
		followers := make([]*testFollower, 6)
		for i := range followers {
			followers[i] = newFollower(f, 600*time.Millisecond)
		}
		serve(t, followers...)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		for _, from := range followers {
			go func() {
				for ctx.Err() == nil {
					for _, to := range followers {
						update := from.UpdateFrom(to.Position(time.Now()).Cursor(), false, time.Now())
						time.AfterFunc(transit, func() { to.Apply(update, time.Now(), 0) })
					}
					time.Sleep(interval)
				}
			}()
		}
		time.Sleep(time.Second)
		f.write("a", 2)
		time.Sleep(time.Second)
		for _, r := range followers {
			require.Equal(t, 2, r.value("a"))
		}
		cancel()
		time.Sleep(time.Second)
	})
}

// An instance that knows of instances ahead of it still reads the feed, even if others that
// are as far behind as itself keep reporting a low age for their offset.
func TestReadsWhenBehindDespiteEquallyOldPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFeed{}
		f.write("a", 1)
		r := newFollower(f, 300*time.Millisecond)
		serve(t, r)
		time.Sleep(55 * time.Millisecond)
		f.write("a", 2)
		for i := range 100 {
			behind := watch.Update[int]{Position: watch.Position{Next: 2, ReaderID: 7, ReadSeq: int64(i + 1)}}
			ahead := watch.Update[int]{Position: watch.Position{Next: 3, ReaderID: 8, ReadSeq: int64(i + 1)}}
			for _, update := range []watch.Update[int]{ahead, behind} {
				data, err := json.Marshal(update)
				require.NoError(t, err)
				_, err = r.Receive(data, false, time.Now(), 0)
				require.NoError(t, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, 2, r.value("a"))
	})
}

// Guards against all instances sending a large configuration (many routes, many instances)
// to all others: the instance that read it sends it to each other instance, and the
// receivers do not forward it at once.
func TestRelayedRecordsAreNotForwardedAtOnce(t *testing.T) {
	f := &fakeFeed{}
	f.write("a", 1)
	direct, relayed, third := newFollower(f, 0), newFollower(f, 0), newFollower(f, 0)
	for _, r := range []*testFollower{direct, relayed, third} {
		require.NoError(t, r.ReadOnce(t.Context()))
	}
	f.write("a", 2)
	require.NoError(t, direct.ReadOnce(t.Context()))
	now := time.Now()
	from := third.Position(now).Cursor()
	relayed.Apply(direct.UpdateFrom(from, false, now), now, 0)
	require.Equal(t, 2, relayed.value("a"))
	require.Empty(t, relayed.UpdateFrom(from, false, now).Records)
	require.NotEmpty(t, relayed.UpdateFrom(from, false, now.Add(400*time.Millisecond)).Records, "the instance that read the record may be gone")
	require.NotEmpty(t, direct.UpdateFrom(from, false, now).Records)
}

// countingValue counts its encodings.
type countingValue struct{ encodings *int }

func (c countingValue) MarshalJSON() ([]byte, error) {
	*c.encodings++
	return []byte("1"), nil
}

func TestRecordsAreEncodedOnce(t *testing.T) {
	n := 0
	e := watch.NewEncoded(&countingValue{&n})
	for range 24 {
		_, err := json.Marshal(watch.Record[countingValue]{Key: "a", Value: e})
		require.NoError(t, err)
	}
	require.Equal(t, 1, n)
}

// MaxAge may call code that itself calls the follower, as the exchange between instances
// does. It is therefore called without the follower's lock.
func TestMaxAgeIsCalledWithoutLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFeed{}
		f.write("a", 1)
		r := newFollower(f, 0)
		var unlocked atomic.Int64
		r.MaxAge = func() time.Duration {
			if r.Unlocked() {
				unlocked.Add(1)
			}
			return 100 * time.Millisecond
		}
		serve(t, r)
		time.Sleep(time.Second)
		require.Greater(t, unlocked.Load(), int64(5))
	})
}

// The platform's recovery is reported before the records are processed that expired during
// the outage. This also holds for an instance that did not notice the outage and learns of
// it from another instance.
func TestRecoveryIsReportedBeforeLaterRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFeed{}
		f.write("a", 1)
		direct, relayed := newFollower(f, 0), newFollower(f, 0)
		var order []string
		for name, r := range map[string]*testFollower{"reads": direct, "told": relayed} {
			r.ExpiryTime = 2 * time.Second
			r.OnRecovery = func(time.Time, bool) { order = append(order, name+" back") }
			batch := r.OnBatch
			r.OnBatch = func(b watch.Batch[int]) {
				order = append(order, name+" batch")
				batch(b)
			}
			require.NoError(t, r.ReadOnce(t.Context()))
		}
		order = nil
		f.unreachable = true
		err := direct.ReadOnce(t.Context())
		require.Error(t, err)
		direct.ReadFailed(err, time.Now())
		time.Sleep(2 * time.Second)
		f.unreachable = false
		f.write("a", 2)
		require.NoError(t, direct.ReadOnce(t.Context()))
		now := time.Now()
		relayed.Apply(direct.UpdateFrom(relayed.Position(now).Cursor(), false, now), now, 0)
		require.Equal(t, []string{"reads back", "reads batch", "told back", "told batch"}, order)
	})
}

// Endpoints whose records expired in an outage were removed at once: an instance that had seen
// the outage dropped it again when a message of another one arrived that did not know of its end.
func TestOutageIsKeptWhenPeerDoesNotKnowItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFeed{}
		f.write("a", 1)
		direct, other := newFollower(f, 0), newFollower(f, 0)
		var recoveredAt time.Time
		for _, r := range []*testFollower{direct, other} {
			r.ExpiryTime = expiryTime
			require.NoError(t, r.ReadOnce(t.Context()))
		}
		direct.OnRecovery = func(at time.Time, _ bool) { recoveredAt = at }
		time.Sleep(time.Second)
		for _, r := range []*testFollower{direct, other} {
			require.NoError(t, r.ReadOnce(t.Context()))
		}
		lastResponse := time.Now()
		time.Sleep(expiryTime / 2)
		direct.ReadFailed(errPlatformDown, time.Now())
		time.Sleep(expiryTime/2 + 200*time.Millisecond)
		require.NoError(t, direct.ReadOnce(t.Context()))
		now := time.Now()
		direct.Apply(other.UpdateFrom(direct.Position(now).Cursor(), false, now), now, 0)
		require.True(t, recoveredAt.After(lastResponse), recoveredAt.Sub(lastResponse))
	})
}

// Endpoints whose records expired in an outage were removed at once: a message from before the
// outage that arrived late seemed to show that the platform had just responded.
func TestOutageIsKnownDespiteLateMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFeed{}
		f.write("a", 1)
		local, other := newFollower(f, 0), newFollower(f, 0)
		recovered := false
		for _, r := range []*testFollower{local, other} {
			r.ExpiryTime = expiryTime
			require.NoError(t, r.ReadOnce(t.Context()))
		}
		local.OnRecovery = func(time.Time, bool) { recovered = true }
		time.Sleep(time.Second)
		for _, r := range []*testFollower{local, other} {
			require.NoError(t, r.ReadOnce(t.Context()))
		}
		message, err := other.EncodeUpdate(local.Position(time.Now()).Cursor(), false, time.Now())
		require.NoError(t, err)
		const transit = expiryTime - 100*time.Millisecond
		time.Sleep(transit)
		_, err = local.Receive(message, false, time.Now(), transit)
		require.NoError(t, err)
		time.Sleep(expiryTime - 100*time.Millisecond)
		local.ReadFailed(errPlatformDown, time.Now())
		require.NoError(t, local.ReadOnce(t.Context()))
		require.True(t, recovered)
	})
}

// An instance whose feed was trimmed just before the platform became unreachable took over the
// older records of a peer: endpoints that had left got requests again.
func TestTrimmedFeedIsNotReplacedByOlderSnapshot(t *testing.T) {
	f := &fakeFeed{}
	f.write("a", 1)
	local, peer := newFollower(f, 0), newFollower(f, 0)
	require.NoError(t, peer.ReadOnce(t.Context()))
	f.write("a", 2)
	require.NoError(t, local.ReadOnce(t.Context()))
	older, err := peer.EncodeSnapshot(time.Now())
	require.NoError(t, err)
	f.oldest = f.next().Offset + 1
	require.NoError(t, local.ReadOnce(t.Context()), "the feed was trimmed")
	f.unreachable = true
	require.Error(t, local.ReadOnce(t.Context()))
	_, err = local.Receive(older, false, time.Now(), 0)
	require.NoError(t, err)
	require.Equal(t, 2, local.value("a"))
	f.unreachable = false
	require.NoError(t, peer.ReadOnce(t.Context()), "the feed was trimmed")
	require.NoError(t, peer.ReadOnce(t.Context()))
	current, err := peer.EncodeSnapshot(time.Now())
	require.NoError(t, err)
	_, err = local.Receive(current, false, time.Now(), 0)
	require.NoError(t, err)
	require.NotZero(t, local.Position(time.Now()).Next, "current records are taken over")
}

// An instance that cannot reach the platform gets all records from a peer.
func TestSnapshotFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, unreachable := &fakeFeed{}, &fakeFeed{unreachable: true}
		f.write("a", 1)
		f.write("b", 2)
		connected, isolated := newFollower(f, 100*time.Millisecond), newFollower(unreachable, 100*time.Millisecond)
		serve(t, connected, isolated)
		time.Sleep(time.Second)
		require.True(t, isolated.Unreachable())
		data, err := connected.EncodeSnapshot(time.Now())
		require.NoError(t, err)
		_, err = isolated.Receive(data, false, time.Now(), 0)
		require.NoError(t, err)
		require.Equal(t, 2, isolated.value("b"))
		f.write("b", 3)
		time.Sleep(300 * time.Millisecond)
		data, err = connected.EncodeUpdate(isolated.Position(time.Now()).Cursor(), false, time.Now())
		require.NoError(t, err)
		_, err = isolated.Receive(data, false, time.Now(), 0)
		require.NoError(t, err)
		require.Equal(t, 3, isolated.value("b"))
	})
}

// operatorFeed is a feed of operators' records that only a peer can read.
type operatorFeed struct{}

func (operatorFeed) Newest(context.Context) ([]fleet.KeyedRecord[watch.OperatorRecord], fleet.Cursor, error) {
	return nil, fleet.Cursor{}, errors.New("down")
}

func (operatorFeed) Changes(context.Context, fleet.Cursor, time.Duration) ([]fleet.KeyedRecord[watch.OperatorRecord], fleet.Cursor, error) {
	return nil, fleet.Cursor{}, errors.New("down")
}

// An instance that cannot reach the platform learns both kinds of operators' records from a peer, as
// updates and as a snapshot, and how old they may be.
func TestOperatorRecordsFromPeer(t *testing.T) {
	var batches []watch.Batch[watch.OperatorRecord]
	isolated := &watch.Follower[watch.OperatorRecord]{Name: "operators", Feed: operatorFeed{}, OnBatch: func(b watch.Batch[watch.OperatorRecord]) { batches = append(batches, b) }}
	now := time.Now()
	for _, update := range []string{
		`{"n":3,"a":40,"i":1,"c":1,"w":true,"r":[{"k":"config","v":{"version":7,"text":{"services":null,"customers":null,"kinds":null}}},{"k":"x","v":{"evacuation":{"domain":"a"}}}]}`,
		`{"n":4,"a":0,"i":1,"c":2,"f":3,"r":[{"k":"x"}]}`,
		`{"n":9,"a":0,"i":1,"c":3,"w":true,"r":[]}`,
	} {
		_, err := isolated.Receive([]byte(update), false, now, 0)
		require.NoError(t, err)
		now = now.Add(100 * time.Millisecond)
	}
	require.Len(t, batches, 3)
	require.EqualValues(t, 7, batches[0].Records[0].Value.VersionedConfiguration.Version)
	require.Equal(t, "a", batches[0].Records[1].Value.Evacuation.Domain)
	require.True(t, batches[0].Since.IsZero())
	require.Nil(t, batches[1].Records[0].Value)
	require.Equal(t, now.Add(-340*time.Millisecond), batches[1].Since)
	require.True(t, batches[1].Relayed)
	require.True(t, batches[2].Snapshot)
	require.Empty(t, batches[2].Records)
}

// Property: in whatever order records arrive from the store and from a peer, an instance
// never returns to an older record: the values of a key never decrease.
func TestRecordsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeFeed{}
		f.write("a", 1)
		peer, local := newFollower(f, 0), newFollower(f, 0)
		ctx := context.Background()
		var messages []json.RawMessage
		value := 1
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				value++
				f.write("a", value)
			case 1:
				require.NoError(t, peer.ReadOnce(ctx))
			case 2:
				require.NoError(t, local.ReadOnce(ctx))
			case 3:
				data, err := peer.EncodeUpdate(local.Position(time.Now()).Cursor(), false, time.Now())
				require.NoError(t, err)
				messages = append(messages, data)
			case 4:
				data, err := peer.EncodeSnapshot(time.Now())
				require.NoError(t, err)
				messages = append(messages, data)
			case 5:
				if len(messages) > 0 {
					i := rapid.IntRange(0, len(messages)-1).Draw(t, "letter")
					_, err := local.Receive(messages[i], false, time.Now(), 0)
					require.NoError(t, err)
				}
			}
		}
		last := 0
		for _, v := range local.received {
			require.GreaterOrEqual(t, v, last)
			last = v
		}
	})
}

func endpointInfo(address string) *fleet.EndpointInfo {
	return &fleet.EndpointInfo{Service: "model", Address: address, Domain: "a", Slots: 4}
}

func apply(tracker *watch.EndpointTracker, at time.Time, snapshot bool, records ...fleet.KeyedRecord[fleet.EndpointInfo]) {
	tracker.Apply(watch.Batch[fleet.EndpointInfo]{Records: records, Snapshot: snapshot, At: at})
}

func endpointCount(b *placement.Balancer) int { return len(b.Endpoints()) }

func TestEndpointTrackerRemovesAtOnceWithoutOutage(t *testing.T) {
	b := &placement.Balancer{}
	tracker := &watch.EndpointTracker{Balancer: b}
	now := time.Unix(1000, 0)
	apply(tracker, now, true, fleet.KeyedRecord[fleet.EndpointInfo]{Key: "i-1", Value: endpointInfo("e1")})
	require.Equal(t, 1, endpointCount(b))
	apply(tracker, now, false, fleet.KeyedRecord[fleet.EndpointInfo]{Key: "i-1"})
	require.Zero(t, endpointCount(b))
}

// Endpoints whose records expired during an outage of the platform have two seconds to
// write them again.
func TestEndpointTrackerAwaitsRecordsAfterOutage(t *testing.T) {
	b := &placement.Balancer{}
	tracker := &watch.EndpointTracker{Balancer: b}
	now := time.Unix(1000, 0)
	apply(tracker, now, true, fleet.KeyedRecord[fleet.EndpointInfo]{Key: "i-1", Value: endpointInfo("e1")}, fleet.KeyedRecord[fleet.EndpointInfo]{Key: "i-2", Value: endpointInfo("e2")})
	recovered := now.Add(10 * time.Second)
	tracker.SetRecovered(recovered)
	apply(tracker, recovered, true)
	require.Equal(t, 2, endpointCount(b), "no endpoint is removed yet")
	apply(tracker, recovered.Add(time.Second), false, fleet.KeyedRecord[fleet.EndpointInfo]{Key: "i-1", Value: endpointInfo("e1")})
	checked := recovered
	removeExpired := func(until time.Time) {
		for ; !checked.After(until); checked = checked.Add(removeInterval) {
			tracker.RemoveExpired(checked, checked)
		}
	}
	removeExpired(recovered.Add(1900 * time.Millisecond))
	require.Equal(t, 2, endpointCount(b))
	removeExpired(recovered.Add(2300 * time.Millisecond))
	require.Equal(t, 1, endpointCount(b), "the endpoint that did not write its record again is removed")
}

func TestEndpointTrackerIgnoresInvalidRecords(t *testing.T) {
	b := &placement.Balancer{}
	invalid := 0
	tracker := &watch.EndpointTracker{Balancer: b, OnInvalid: func(string, error) { invalid++ }}
	now := time.Unix(1000, 0)
	apply(tracker, now, true, fleet.KeyedRecord[fleet.EndpointInfo]{Key: "i-1", Value: endpointInfo("e1")}, fleet.KeyedRecord[fleet.EndpointInfo]{Key: "x", Err: errors.New("unreadable")})
	require.Equal(t, 1, endpointCount(b))
	require.Equal(t, 1, invalid)
}

// A record that cannot be used does not remove the one before it, neither at the instance that read
// it nor at others that get it from there or read a snapshot.
func TestInvalidRecordKeepsTheOneBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &endpointLog{refused: map[string]bool{}}
		ctx := t.Context()
		var balancers []*placement.Balancer
		newFollower := func() *watch.Follower[fleet.EndpointInfo] {
			b := &placement.Balancer{}
			balancers = append(balancers, b)
			return newEndpointFollower(endpointFeed{log, "a"}, &watch.EndpointTracker{Balancer: b}, time.Second)
		}
		log.append("e1", endpointInfo("e1:80"))
		reader, peer, late := newFollower(), newFollower(), newFollower()
		require.NoError(t, reader.ReadOnce(ctx))
		require.NoError(t, peer.ReadOnce(ctx))
		log.records = append(log.records, fleet.KeyedRecord[fleet.EndpointInfo]{Key: "e1", Err: errors.New("incomplete")})
		require.NoError(t, reader.ReadOnce(ctx))
		data, err := reader.EncodeUpdate(peer.Position(time.Now()).Cursor(), true, time.Now())
		require.NoError(t, err)
		_, err = peer.Receive(data, true, time.Now(), 0)
		require.NoError(t, err)
		require.Equal(t, reader.Position(time.Now()).Next, peer.Position(time.Now()).Next)
		data, err = reader.EncodeSnapshot(time.Now())
		require.NoError(t, err)
		_, err = late.Receive(data, false, time.Now(), 0)
		require.NoError(t, err)
		for _, b := range balancers {
			require.Equal(t, []string{"e1"}, endpointIDs(b))
		}
	})
}
