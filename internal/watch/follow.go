// Package watch follows the records that operators and endpoints write: it keeps
// reading a feed, begins anew when the feed forgot what it has not seen, takes over
// from other instances what they have read, and says when the platform is lost and
// regained.
package watch

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Edition is a configuration with the version that its operator gave it.
type Edition struct {
	Version int64            `json:"version"`
	Text    arrangement.Text `json:"text"`
}

// Batch is what one read of a feed brought.
type Batch[T any] struct {
	Records []fleet.Keyed[T]
	// Whole is set when keys that are missing do not exist any more.
	Whole bool
	At    time.Time
}

// Mark says how far an instance has read a feed.
type Mark struct {
	// Next is the place from which on nothing is known; zero means that
	// nothing has been read.
	Next int64 `json:"n"`
	// Age is how long ago the platform had nothing beyond Next, in
	// milliseconds.
	Age int64 `json:"a"`
	// Reader and Reading name the read of the platform that showed this. Told
	// again it says nothing new, however young its age has become on the way.
	Reader  uint32 `json:"i,omitempty"`
	Reading int64  `json:"c,omitempty"`
	// Back is how long ago the platform came back after it was away, in
	// milliseconds; zero means not lately.
	Back int64 `json:"b,omitempty"`
}

const (
	// defaultTimeout bounds a call beyond the time that it may wait: the
	// platform answers in milliseconds.
	defaultTimeout = time.Second
	// firstPause and maxPause bound the pauses after failed calls, so that a
	// platform that comes back is found soon and not overrun.
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// defaultKeep bounds the records that are kept for other instances if the
	// follower does not.
	defaultKeep = 512
	// maxTold bounds the records of one message, in bytes: who lacks more reads
	// the platform.
	maxTold = 512 << 10
	// checkInterval is the pause between two looks at the age of what is known.
	checkInterval = 50 * time.Millisecond
)

// Follower follows one feed. Exported fields are set before Serve. It is safe for
// concurrent use.
type Follower[T any] struct {
	Name string
	Feed fleet.Feed[T]
	// Limit returns how old what is known may become before the feed is read;
	// nil means zero. Other instances that read it earlier keep it fresh.
	Limit func() time.Duration
	// Wait is how long a read waits for a record; zero means not at all.
	Wait time.Duration
	// Keep is how many of the newest records are kept for other instances; zero
	// means 512.
	Keep int
	// Timeout bounds a call beyond Wait; zero means one second.
	Timeout time.Duration
	// OnBatch is called with what was read, in order.
	OnBatch func(Batch[T])
	// OnLost is called at the first failure after a success or the start,
	// OnRegained at the next success. Nil is allowed.
	OnLost     func(err error)
	OnRegained func(away time.Duration)
	// OnBack is called with the time at which the platform came back, seen here or
	// by another instance, before anything that was read after it. Nil is allowed.
	OnBack func(at time.Time)

	mu        sync.Mutex
	next      int64
	based     bool
	confirmed time.Time        // when the platform had nothing beyond next
	reader    uint32           // names this follower's own reads
	shown     Mark             // names the read that confirmed
	readings  map[uint32]int64 // the newest read of each reader that was heard of
	recent    []Record[T]      // the records before next, oldest first
	relayed   time.Time        // when another instance told the newest of them
	newest    map[string]*Encoded[T]
	ahead     time.Time // since when another instance is ahead
	aheadNext int64     // how far it had read
	pause     time.Duration
	retry     time.Time
	lost      time.Time
	back      time.Time // when the platform came back
}

// String names the follower in the supervisor's events.
func (f *Follower[T]) String() string { return "follow " + f.Name }

// Serve implements suture.Service.
func (f *Follower[T]) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if pause := f.due(time.Now()); pause > 0 {
			select {
			case <-time.After(min(pause, checkInterval)):
			case <-ctx.Done():
			}
			continue
		}
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(err, time.Now())
		}
	}
	return ctx.Err()
}

// due returns the time until the next read.
func (f *Follower[T]) due(now time.Time) time.Duration {
	limit := time.Duration(0)
	if f.Limit != nil {
		// Before the lock: it may lock what calls the follower.
		limit = f.Limit()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if pause := f.retry.Sub(now); pause > 0 {
		return pause
	}
	if !f.based || f.Limit == nil {
		return 0
	}
	return limit - now.Sub(f.confirmed)
}

// step makes one read.
func (f *Follower[T]) step(ctx context.Context) error {
	timeout := f.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	f.mu.Lock()
	based, from := f.based, f.next
	f.mu.Unlock()
	if !based {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		begun := time.Now()
		records, next, err := f.Feed.Newest(ctx)
		if err != nil {
			return err
		}
		f.reached(time.Now())
		f.mu.Lock()
		f.restart(records, next, f.own(), begun)
		f.mu.Unlock()
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+f.Wait)
	defer cancel()
	begun := time.Now()
	records, next, err := f.Feed.Changes(ctx, from, f.Wait)
	if errors.Is(err, fleet.ErrTrimmed) {
		f.mu.Lock()
		f.based = false
		f.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	if len(records) == 0 {
		begun = time.Now()
	}
	f.reached(time.Now())
	f.mu.Lock()
	f.advance(records, from, next, f.own(), begun)
	f.mu.Unlock()
	return nil
}

// maxReaders bounds the readers that are remembered: each start of an instance is one.
const maxReaders = 1024

// own names the next read of this follower. The lock is held.
func (f *Follower[T]) own() Mark {
	if f.reader == 0 {
		f.reader = 1 + rand.Uint32N(math.MaxUint32)
	}
	return Mark{Reader: f.reader, Reading: f.readings[f.reader] + 1}
}

// confirm takes in that a read showed nothing beyond next. It counts once. The lock is
// held.
func (f *Follower[T]) confirm(by Mark, at time.Time) {
	if by.Reading <= f.readings[by.Reader] {
		return
	}
	if f.readings == nil || len(f.readings) >= maxReaders {
		f.readings = map[uint32]int64{f.reader: f.readings[f.reader]}
	}
	f.readings[by.Reader] = by.Reading
	if at.After(f.confirmed) {
		f.confirmed, f.shown = at, by
	}
}

// restart takes the newest records in place of all that was known. The lock is held.
func (f *Follower[T]) restart(records []fleet.Keyed[T], next int64, by Mark, at time.Time) {
	f.based, f.next, f.confirmed = true, next, time.Time{}
	f.confirm(by, at)
	f.recent, f.newest = nil, map[string]*Encoded[T]{}
	f.remember(records)
	f.recent = nil
	f.OnBatch(Batch[T]{Records: records, Whole: true, At: time.Now()})
}

// advance takes in the records from one place to another. The lock is held.
func (f *Follower[T]) advance(records []fleet.Keyed[T], from, next int64, by Mark, at time.Time) {
	if !f.based || from != f.next {
		return
	}
	f.next = next
	f.confirm(by, at)
	if next-from == int64(len(records)) {
		f.remember(records)
	} else {
		// Records that are not wanted leave a gap that cannot be told on.
		f.remember(records)
		f.recent = nil
	}
	if len(records) > 0 {
		f.OnBatch(Batch[T]{Records: records, At: time.Now()})
	}
}

func (f *Follower[T]) remember(records []fleet.Keyed[T]) {
	for _, k := range records {
		r := Record[T]{Key: k.Key}
		if k.Value == nil {
			delete(f.newest, k.Key)
		} else {
			r.Value = &Encoded[T]{value: k.Value}
			f.newest[k.Key] = r.Value
		}
		f.recent = append(f.recent, r)
	}
	keep := f.Keep
	if keep == 0 {
		keep = defaultKeep
	}
	if over := len(f.recent) - keep; over > 0 {
		f.recent = append(f.recent[:0:0], f.recent[over:]...)
	}
}

// reached notes that the platform answered. It comes before what the answer brought:
// records may have lapsed while the platform was away.
func (f *Follower[T]) reached(now time.Time) {
	f.mu.Lock()
	f.pause, f.retry = 0, time.Time{}
	lost := f.lost
	f.lost = time.Time{}
	if !lost.IsZero() {
		f.returned(now)
	}
	f.mu.Unlock()
	if !lost.IsZero() && f.OnRegained != nil {
		f.OnRegained(now.Sub(lost))
	}
}

// returned takes in when the platform came back. The lock is held.
func (f *Follower[T]) returned(at time.Time) {
	if !at.After(f.back) {
		return
	}
	f.back = at
	if f.OnBack != nil {
		f.OnBack(at)
	}
}

// backTerm is how long the platform's return is told: records that lapsed are back, or
// gone, before.
const backTerm = 4 * time.Second

// failed sets the time of the next read.
func (f *Follower[T]) failed(err error, now time.Time) {
	f.mu.Lock()
	first := f.lost.IsZero()
	if first {
		f.lost = now
	}
	f.pause = min(max(2*f.pause, firstPause), maxPause)
	f.retry = now.Add(f.pause/2 + rand.N(f.pause/2+1))
	f.mu.Unlock()
	if first && f.OnLost != nil {
		f.OnLost(err)
	}
}

// Mark says how far the feed has been read.
func (f *Follower[T]) Mark(now time.Time) Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.based {
		return Mark{}
	}
	m := Mark{Next: f.next, Age: now.Sub(f.confirmed).Milliseconds(), Reader: f.shown.Reader, Reading: f.shown.Reading}
	if back := now.Sub(f.back); back < backTerm {
		m.Back = max(back.Milliseconds(), 1)
	}
	return m
}

// Told is what one instance tells another of a feed.
type Told[T any] struct {
	Mark
	// From is the place of the first record.
	From    int64       `json:"f,omitempty"`
	Records []Record[T] `json:"r,omitempty"`
	// Whole is set when the records are the newest of all keys.
	Whole bool `json:"w,omitempty"`
}

// Record is a record as instances tell it. A nil value means that the key was
// dropped or could not be read.
type Record[T any] struct {
	Key   string      `json:"k"`
	Value *Encoded[T] `json:"v,omitempty"`
}

// relayPause is how long an instance keeps to itself what another one told it: the one
// that read it tells everybody, and large records told by all to all take seconds.
const relayPause = 300 * time.Millisecond

// Tell returns what an instance that has read up to a place lacks, as far as it is
// remembered.
func (f *Follower[T]) Tell(place int64, now time.Time) Told[T] {
	t := Told[T]{Mark: f.Mark(now)}
	f.mu.Lock()
	defer f.mu.Unlock()
	lacks := f.next - place
	if !f.based || lacks <= 0 || place <= 0 || lacks > int64(len(f.recent)) || now.Sub(f.relayed) < relayPause {
		return t
	}
	records := f.recent[len(f.recent)-int(lacks):]
	if size(records) > maxTold {
		return t
	}
	t.Next, t.From, t.Records = f.next, place, slices.Clone(records)
	return t
}

// Snapshot returns the newest record of each key, for an instance that cannot reach
// the platform.
func (f *Follower[T]) Snapshot(now time.Time) Told[T] {
	t := Told[T]{Mark: f.Mark(now), Whole: true}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, v := range f.newest {
		t.Records = append(t.Records, Record[T]{key, v})
	}
	return t
}

// Hear takes in what another instance tells. It reports whether the other one is
// ahead in a way that cannot be taken in.
func (f *Follower[T]) Hear(t Told[T], now time.Time) (behind bool) {
	if t.Next == 0 {
		return false
	}
	at := now.Add(-time.Duration(t.Age) * time.Millisecond)
	records := make([]fleet.Keyed[T], 0, len(t.Records))
	for _, r := range t.Records {
		records = append(records, r.keyed())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.Back > 0 {
		f.returned(now.Add(-time.Duration(t.Back) * time.Millisecond))
	}
	switch {
	case t.Whole && (!f.based || t.Next > f.next):
		f.restart(records, t.Next, t.Mark, at)
	case f.based && t.From == f.next && len(records) > 0:
		f.relayed = now
		f.advance(records, t.From, t.Next, t.Mark, at)
	case f.based && t.Next == f.next && f.aheadNext <= f.next:
		// Where others are known to be ahead, who is as far says nothing.
		f.confirm(t.Mark, at)
	}
	return t.Next > f.next
}

// Hurry makes the follower read the feed now.
func (f *Follower[T]) Hurry() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = time.Time{}
}

// Away reports whether the platform does not answer.
func (f *Follower[T]) Away() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lost.IsZero()
}
