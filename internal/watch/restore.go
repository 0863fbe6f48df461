package watch

import (
	"context"
	"errors"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// errRestored ends a read that began before the follower learned of a newer epoch.
var errRestored = errors.New("watch: the platform was restored from an older copy")

// NoteEpoch records that the platform is known to be in an epoch. If it is newer than the newest
// known one, the follower reads all records anew after SnapshotDelay.
func (f *Follower[T]) NoteEpoch(epoch int64) {
	f.mu.Lock()
	known := epoch <= f.epoch
	f.mu.Unlock()
	if known {
		return
	}
	delay := time.Duration(0)
	if f.SnapshotDelay != nil {
		// SnapshotDelay is called without the lock, as MaxAge is.
		delay = f.SnapshotDelay()
	}
	f.mu.Lock()
	before := f.epoch
	f.epoch = max(before, epoch)
	if epoch <= before {
		f.mu.Unlock()
		return
	}
	if f.initialized {
		f.readNewestAt = time.Now().Add(delay)
		if f.cancelRead != nil {
			f.cancelRead(errRestored)
		}
	}
	f.mu.Unlock()
	f.restored(before, epoch)
}

// restored reports a change of the epoch. The lock is not held.
func (f *Follower[T]) restored(from, to int64) {
	if from != 0 && from != to && f.OnRestored != nil {
		f.OnRestored(from, to)
	}
}

// OutOfDate implements Relay.
func (f *Follower[T]) OutOfDate() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outOfDate()
}

// outOfDate reports whether the records before the cursor are of another epoch than the newest
// known one. The lock is held.
func (f *Follower[T]) outOfDate() bool { return f.initialized && f.epoch != f.cursor.Epoch }

// superseded reports whether a response shows an epoch that had ended when it arrived: the follower
// has learned of a newer one since it began the read. A read that began later shows the epoch of
// the platform, whichever that is. The lock is held.
func (f *Follower[T]) superseded(response, knownAtStart int64) bool {
	return f.epoch != knownAtStart && response < f.epoch
}

// readNewest reads the newest record of every key. knownEpoch is the newest known epoch.
func (f *Follower[T]) readNewest(ctx context.Context, knownEpoch int64) error {
	start := time.Now()
	records, next, err := f.Feed.Newest(ctx)
	if err != nil {
		return err
	}
	if next.Epoch == 0 {
		next.Epoch = knownEpoch
	}
	f.platformResponded(time.Now())
	f.mu.Lock()
	relayed := f.initialized && next.Epoch == f.cursor.Epoch && next.Before(f.cursor)
	if relayed || f.superseded(next.Epoch, knownEpoch) {
		// Another instance has sent newer records since the read began.
		f.mu.Unlock()
		return nil
	}
	before := f.epoch
	f.reset(records, next, f.nextRead(), start)
	f.mu.Unlock()
	f.restored(before, next.Epoch)
	return nil
}

// readChanges reads the records from the cursor on. If the platform is in another epoch, the next
// read is of all records.
func (f *Follower[T]) readChanges(ctx context.Context, from fleet.Cursor, knownEpoch int64) error {
	start := time.Now()
	records, next, err := f.Feed.Changes(ctx, from, f.Wait)
	trimmed := errors.Is(err, fleet.ErrTrimmed)
	if err != nil && !trimmed {
		return err
	}
	if next.Epoch == 0 {
		next.Epoch = from.Epoch
	}
	if len(records) == 0 {
		start = time.Now()
	}
	if !trimmed {
		f.platformResponded(time.Now())
	}
	f.mu.Lock()
	before := f.epoch
	switch {
	case f.superseded(next.Epoch, knownEpoch):
	case next.Epoch != from.Epoch:
		f.epoch, f.readNewestAt = next.Epoch, time.Time{}
	case trimmed:
		f.initialized = false
	default:
		f.advance(records, from, next, f.nextRead(), start)
	}
	after := f.epoch
	f.mu.Unlock()
	f.restored(before, after)
	return nil
}
