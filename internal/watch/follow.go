// Package watch follows the records that operators and endpoints write. It reads a feed
// continuously, starts again from the newest records if the feed has trimmed records that
// were not read yet or the platform was restored from an older copy, takes over records that
// other instances have already read, and reports when the platform becomes unreachable and
// when it is reachable again.
package watch

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/evacuation"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// VersionedConfiguration is a configuration with the version that its operator assigned.
type VersionedConfiguration struct {
	Version int64              `json:"version"`
	Config  arrangement.Config `json:"text"`
}

// OperatorRecord is a record that an operator writes. Exactly one of its fields is set.
// A configuration is encoded as it was before there were other records.
type OperatorRecord struct {
	*VersionedConfiguration
	Evacuation *evacuation.Record `json:"evacuation,omitempty"`
}

// Batch is the result of one read of a feed.
type Batch[T any] struct {
	Records []fleet.KeyedRecord[T]
	// Snapshot is set when Records holds every existing key: keys that are not in it
	// no longer exist.
	Snapshot bool
	At       time.Time
	// Since is when the platform was last known to have none of the records; zero means not
	// known.
	Since time.Time
	// Relayed is set when the records came from another instance.
	Relayed bool
	// Next is the place after the records.
	Next fleet.Cursor
	// Restored is set on a snapshot of another epoch than the records before it: the platform
	// was restored from an older copy, in which records that were read may be missing and
	// ones that were replaced or removed may be back, until their writers write them again.
	Restored bool
}

// Position is how far an instance has read a feed and how recent that knowledge is.
type Position struct {
	// Epoch is the epoch of Next; zero means not known.
	Epoch int64 `json:"e,omitempty"`
	// Next is the first offset that has not been read. Zero means that nothing has
	// been read if Epoch is zero, too.
	Next int64 `json:"n"`
	// Age is how long ago the platform was last known to have no record at or beyond
	// Next, in milliseconds.
	Age int64 `json:"a"`
	// ReaderID and ReadSeq identify the read of the platform that showed this. A
	// second message about the same read carries no new information, even if its
	// age has become smaller because time in transit is not counted.
	ReaderID uint32 `json:"i,omitempty"`
	ReadSeq  int64  `json:"c,omitempty"`
	// ResponsiveAge is for how long the platform has responded to some instance without
	// an outage, in milliseconds; zero means not known.
	ResponsiveAge int64 `json:"u,omitempty"`
}

// Cursor returns up to where the feed has been read.
func (p Position) Cursor() fleet.Cursor { return fleet.Cursor{Epoch: p.Epoch, Offset: p.Next} }

// Known reports whether the feed has been read.
func (p Position) Known() bool { return p.Cursor() != fleet.Cursor{} }

const (
	// defaultTimeout bounds a call beyond the time that the call may wait for a record:
	// the platform responds within milliseconds.
	defaultTimeout = time.Second
	// minRetryDelay and maxRetryDelay bound the delays after failed calls, so that a
	// platform that becomes reachable again is detected soon and not overloaded.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// defaultMaxRecent bounds the records that are kept for other instances if
	// Follower.MaxRecent is zero.
	defaultMaxRecent = 512
	// maxUpdateBytes bounds the records of one message: an instance that misses more
	// reads the platform.
	maxUpdateBytes = 512 << 10
	// maxTransit is how long an update from another instance may be on its way without
	// counting as older than it says.
	maxTransit = 300 * time.Millisecond
	// checkInterval is the longest time between two checks of the age of the data.
	checkInterval = 50 * time.Millisecond
)

// Follower reads one feed continuously. Exported fields are set before Serve. It is
// safe for concurrent use.
type Follower[T any] struct {
	Name string
	Feed fleet.Feed[T]
	// MaxAge returns how old the data may become before the feed is read again; nil
	// means zero. Updates from other instances that read the feed earlier keep it recent.
	MaxAge func() time.Duration
	// Wait is how long a read waits for a record; zero means that it does not wait.
	Wait time.Duration
	// MaxRecent is how many of the newest records are kept for other instances; zero
	// means 512.
	MaxRecent int
	// Timeout bounds a call beyond Wait; zero means one second.
	Timeout time.Duration
	// OnBatch is called with the records that were read or came from other instances,
	// in order. The follower's lock is held.
	OnBatch func(Batch[T])
	// OnUnreachable is called at the first failure after a success or the start,
	// OnReachable at the next success. Nil is allowed.
	OnUnreachable func(err error)
	OnReachable   func(outage time.Duration)
	// ExpiryTime is how long the platform must have responded to no instance for records
	// to expire because their writers could not reach it. A shorter outage, and one of
	// single instances, is none of the platform. Zero means that outages do not matter.
	ExpiryTime time.Duration
	// OnRecovery is called with the time at which an outage of the platform ended, before
	// any records that were read after it, and again with an earlier time if another
	// instance shows that the platform responded before; relayed is set then. Nil is
	// allowed.
	OnRecovery func(at time.Time, relayed bool)
	// OnRestored is called when the platform is found to be in another epoch, before all records
	// are read anew. The follower's lock is not held. Nil is allowed.
	OnRestored func(from, to int64)
	// SnapshotDelay returns how long the follower waits before it reads all records if it has
	// learned of a new epoch other than by a read of the feed; nil means zero.
	SnapshotDelay func() time.Duration

	mu               sync.Mutex
	cursor           fleet.Cursor
	initialized      bool
	epoch            int64                   // newest known epoch, whose records may not have been read yet; zero means not known
	readNewestAt     time.Time               // when the records of a newer epoch than the cursor's are read
	cancelRead       context.CancelCauseFunc // ends the read in progress; nil before the first one
	confirmedAt      time.Time               // when the platform was last known to have no record at or beyond the cursor
	readerID         uint32                  // identifies this follower's own reads; zero until the first one
	confirmedBy      Position                // identifies the read behind confirmedAt
	reads            map[uint32]readSeqs     // the newest known reads by reader ID
	recent           []Record[T]             // the records before the cursor, oldest first
	relayedAt        time.Time               // when another instance sent the newest of them
	latest           map[string]*Encoded[T]
	aheadSince       time.Time    // since when another instance has been ahead
	ahead            fleet.Cursor // up to where it had read
	retryDelay       time.Duration
	retryAt          time.Time
	unreachableSince time.Time // zero while the platform responds
	failedReadAt     time.Time // when the last read that failed began
	// The platform responded to some instance from responsiveSince to responsiveUntil
	// without a pause of ExpiryTime. Both are zero until the first read.
	responsiveSince, responsiveUntil time.Time
	recovered                        bool // an outage of the platform ended at responsiveSince
}

// readSeqs holds sequence numbers of the reads of one follower.
type readSeqs struct {
	confirmed int64 // the newest read that confirmed records
	heard     int64 // the newest read that showed that the platform responded
}

// String returns the follower's name in the events of the supervisor.
func (f *Follower[T]) String() string { return "follow " + f.Name }

// Serve implements suture.Service.
func (f *Follower[T]) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if pause := f.untilNextRead(time.Now()); pause > 0 {
			select {
			case <-time.After(min(pause, checkInterval)):
			case <-ctx.Done():
			}
			continue
		}
		start := time.Now()
		if err := f.readOnce(ctx); err != nil && ctx.Err() == nil {
			f.readFailed(err, start, time.Now())
		}
	}
	return ctx.Err()
}

// untilNextRead returns the time until the next read.
func (f *Follower[T]) untilNextRead(now time.Time) time.Duration {
	maxAge := time.Duration(0)
	if f.MaxAge != nil {
		// MaxAge is called before the lock is taken: it may take a lock that is held
		// by code that calls the follower.
		maxAge = f.MaxAge()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if pause := f.retryAt.Sub(now); pause > 0 {
		return pause
	}
	if !f.initialized || f.MaxAge == nil {
		return 0
	}
	if f.outOfDate() {
		return f.readNewestAt.Sub(now)
	}
	return maxAge - now.Sub(f.confirmedAt)
}

// readOnce makes one read.
func (f *Follower[T]) readOnce(ctx context.Context) error {
	timeout := f.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	readCtx, cancelRead := context.WithCancelCause(ctx)
	defer cancelRead(nil)
	f.mu.Lock()
	f.cancelRead = cancelRead
	all, from, knownEpoch := !f.initialized || f.outOfDate(), f.cursor, f.epoch
	f.mu.Unlock()
	if !all {
		timeout += f.Wait
	}
	readCtx, cancel := context.WithTimeout(readCtx, timeout)
	defer cancel()
	var err error
	if all {
		err = f.readNewest(readCtx, knownEpoch)
	} else {
		err = f.readChanges(readCtx, from, knownEpoch)
	}
	if err != nil && errors.Is(context.Cause(readCtx), errRestored) {
		return nil
	}
	return err
}

// maxReaders bounds the reader IDs that are remembered: each start of an instance adds one.
const maxReaders = 1024

// nextRead returns the identity of this follower's next read. The lock is held.
func (f *Follower[T]) nextRead() Position {
	if f.readerID == 0 {
		f.readerID = 1 + rand.Uint32N(math.MaxUint32)
	}
	return Position{ReaderID: f.readerID, ReadSeq: f.reads[f.readerID].confirmed + 1}
}

// confirm records that a read found nothing beyond the cursor. Each read counts only once. The
// lock is held.
func (f *Follower[T]) confirm(read Position, at time.Time) {
	seqs := f.reads[read.ReaderID]
	if read.ReadSeq <= seqs.confirmed {
		return
	}
	seqs.confirmed = read.ReadSeq
	f.setReads(read.ReaderID, seqs)
	if at.After(f.confirmedAt) {
		f.confirmedAt, f.confirmedBy = at, read
	}
}

// setReads sets the newest known reads of one reader. The lock is held.
func (f *Follower[T]) setReads(readerID uint32, seqs readSeqs) {
	if f.reads == nil || len(f.reads) >= maxReaders {
		f.reads = map[uint32]readSeqs{f.readerID: f.reads[f.readerID]}
	}
	f.reads[readerID] = seqs
}

// reset replaces all known records with the newest ones. The lock is held.
func (f *Follower[T]) reset(records []fleet.KeyedRecord[T], next fleet.Cursor, read Position, at time.Time) {
	since := f.confirmedAt
	restored := next.Epoch != f.cursor.Epoch && f.cursor != fleet.Cursor{}
	if restored {
		f.aheadSince, f.ahead = time.Time{}, fleet.Cursor{}
	}
	f.initialized, f.cursor, f.epoch, f.confirmedAt = true, next, next.Epoch, time.Time{}
	f.confirm(read, at)
	old := f.latest
	f.recent, f.latest = nil, map[string]*Encoded[T]{}
	for _, r := range records {
		if v := old[r.Key]; r.Err != nil && v != nil {
			f.latest[r.Key] = v
		}
	}
	f.retain(records)
	f.recent = nil
	f.OnBatch(Batch[T]{Records: records, Snapshot: true, At: time.Now(), Since: since, Relayed: read.ReaderID != f.readerID, Next: next, Restored: restored})
}

// advance adds the records between two offsets of an epoch. The lock is held.
func (f *Follower[T]) advance(records []fleet.KeyedRecord[T], from, next fleet.Cursor, read Position, at time.Time) {
	if !f.initialized || from != f.cursor {
		return
	}
	since := f.confirmedAt
	f.cursor = next
	f.confirm(read, at)
	if next.Offset-from.Offset == int64(len(records)) {
		f.retain(records)
	} else {
		// The feed filtered out some records, so offsets cannot be computed from the
		// number of records: they cannot be passed on to other instances.
		f.retain(records)
		f.recent = nil
	}
	if len(records) > 0 {
		f.OnBatch(Batch[T]{Records: records, At: time.Now(), Since: since, Relayed: read.ReaderID != f.readerID, Next: next})
	}
}

func (f *Follower[T]) retain(records []fleet.KeyedRecord[T]) {
	for _, k := range records {
		r := Record[T]{Key: k.Key}
		switch {
		case k.Err != nil:
			// The record before it still holds.
			r.Invalid = true
		case k.Value == nil:
			delete(f.latest, k.Key)
		default:
			r.Value = &Encoded[T]{value: k.Value}
			f.latest[k.Key] = r.Value
		}
		f.recent = append(f.recent, r)
	}
	maxRecent := f.MaxRecent
	if maxRecent == 0 {
		maxRecent = defaultMaxRecent
	}
	if excess := len(f.recent) - maxRecent; excess > 0 {
		f.recent = append(f.recent[:0:0], f.recent[excess:]...)
	}
}

// platformResponded records that the platform responded. It is called before the records of
// the response are processed: records may have expired during an outage of the platform.
func (f *Follower[T]) platformResponded(now time.Time) {
	f.mu.Lock()
	f.retryDelay, f.retryAt = 0, time.Time{}
	since := f.unreachableSince
	f.unreachableSince = time.Time{}
	f.responded(now)
	f.mu.Unlock()
	if !since.IsZero() && f.OnReachable != nil {
		f.OnReachable(now.Sub(since))
	}
}

// readFailed records a failed read and sets the time of the next one.
func (f *Follower[T]) readFailed(err error, start, now time.Time) {
	f.mu.Lock()
	f.failedReadAt = start
	firstFailure := f.unreachableSince.IsZero()
	if firstFailure {
		f.unreachableSince = now
	}
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	// The delay counts from the start of the read, so that reads that get no response do not
	// put off noticing the end of an outage.
	f.retryAt = start.Add(f.retryDelay/2 + rand.N(f.retryDelay/2+1))
	if soonest := now.Add(minRetryDelay / 2); f.retryAt.Before(soonest) {
		f.retryAt = soonest
	}
	f.mu.Unlock()
	if firstFailure && f.OnUnreachable != nil {
		f.OnUnreachable(err)
	}
}

// Position returns how far the feed has been read.
func (f *Follower[T]) Position(now time.Time) Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.initialized {
		return Position{}
	}
	p := Position{Epoch: f.cursor.Epoch, Next: f.cursor.Offset, Age: now.Sub(f.confirmedAt).Milliseconds(), ReaderID: f.confirmedBy.ReaderID, ReadSeq: f.confirmedBy.ReadSeq}
	if !f.responsiveSince.IsZero() {
		p.ResponsiveAge = max(now.Sub(f.responsiveSince).Milliseconds(), 1)
	}
	return p
}

// Update is the message that one instance sends to another about a feed.
type Update[T any] struct {
	Position
	// From is the offset of the first record.
	From    int64       `json:"f,omitempty"`
	Records []Record[T] `json:"r,omitempty"`
	// Snapshot is set when the records are the newest of every key.
	Snapshot bool `json:"w,omitempty"`
}

// Record is a record in an Update. A nil value means that the key was removed, unless Invalid is
// set.
type Record[T any] struct {
	Key   string      `json:"k"`
	Value *Encoded[T] `json:"v,omitempty"`
	// Invalid is set if the value could not be read.
	Invalid bool `json:"x,omitempty"`
}

// relayDelay is how long an instance does not pass on records that it got from another one:
// the instance that read them sends them to every other, and large records sent by all
// instances to all others take seconds. It does not apply where each instance gets the records
// from one other only.
const relayDelay = 300 * time.Millisecond

// UpdateFrom returns the records that are missing in an instance that has read up to a
// cursor of the same epoch, as far as they are still kept. Records that came from another
// instance less than relayDelay ago are included only if relay is set.
func (f *Follower[T]) UpdateFrom(from fleet.Cursor, relay bool, now time.Time) Update[T] {
	u := Update[T]{Position: f.Position(now)}
	f.mu.Lock()
	defer f.mu.Unlock()
	missing := f.cursor.Offset - from.Offset
	if !f.initialized || from.Epoch != f.cursor.Epoch || from == (fleet.Cursor{}) || missing <= 0 || missing > int64(len(f.recent)) || !relay && now.Sub(f.relayedAt) < relayDelay {
		return u
	}
	records := f.recent[len(f.recent)-int(missing):]
	if encodedSize(records) > maxUpdateBytes {
		return u
	}
	u.Epoch, u.Next, u.From, u.Records = f.cursor.Epoch, f.cursor.Offset, from.Offset, slices.Clone(records)
	return u
}

// Snapshot returns the newest record of each key, for an instance that cannot reach the
// platform.
func (f *Follower[T]) Snapshot(now time.Time) Update[T] {
	u := Update[T]{Position: f.Position(now), Snapshot: true}
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, v := range f.latest {
		u.Records = append(u.Records, Record[T]{Key: key, Value: v})
	}
	return u
}

// Apply processes an update from another instance that was on its way for transit at most. It
// reports whether this follower is still behind the other instance afterwards. Only a snapshot of
// another epoch can be used; the offsets in other updates have a meaning in their own epoch only.
func (f *Follower[T]) Apply(u Update[T], now time.Time, transit time.Duration) (behind bool) {
	if !u.Known() {
		return false
	}
	behind, from := f.apply(u, now, transit)
	if u.Snapshot {
		f.restored(from, max(from, u.Epoch))
	} else {
		f.NoteEpoch(u.Epoch)
	}
	return behind
}

// apply does so, but for noting the epoch of the update. It returns the newest epoch that was known
// before.
func (f *Follower[T]) apply(u Update[T], now time.Time, transit time.Duration) (behind bool, knownEpoch int64) {
	at := now.Add(-time.Duration(u.Age) * time.Millisecond)
	if transit > maxTransit {
		// The message says nothing of the time since it was sent.
		at = at.Add(-transit)
	}
	records := make([]fleet.KeyedRecord[T], 0, len(u.Records))
	for _, r := range u.Records {
		records = append(records, r.toKeyed())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard(u.Position, at, now)
	knownEpoch = f.epoch
	from, next := fleet.Cursor{Epoch: u.Epoch, Offset: u.From}, u.Cursor()
	switch {
	case u.Snapshot && u.Epoch >= f.epoch && (f.cursor.Before(next) || !f.initialized && next == f.cursor):
		f.reset(records, next, u.Position, at)
	case f.initialized && from == f.cursor && len(records) > 0:
		f.relayedAt = now
		f.advance(records, from, next, u.Position, at)
	case f.initialized && next == f.cursor && !f.cursor.Before(f.ahead):
		// If other instances are known to be ahead, an instance at the same offset
		// does not show that the data is current.
		f.confirm(u.Position, at)
	}
	return f.cursor.Before(next), knownEpoch
}

// ReadNow makes the follower read the feed at once.
func (f *Follower[T]) ReadNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = time.Time{}
}

// Unreachable reports whether the platform does not respond.
func (f *Follower[T]) Unreachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unreachableSince.IsZero()
}
