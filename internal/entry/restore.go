package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/gauge"
	"github.com/greengagestep/greengagestep/internal/watch"
)

const (
	// snapshotSpread is added, for each other instance, to the time over which instances that
	// learn from each other that the platform was restored read what it holds. Configurations
	// take some hundred kB, and the platform delivers some 10 MB a second.
	snapshotSpread = 10 * time.Millisecond
	// relayedSnapshotDelay is how long the instances of a large fleet wait for the records of
	// others before that.
	relayedSnapshotDelay = 600 * time.Millisecond
)

// platformRestored returns a function that is called when a feed shows that the platform was
// restored from an older copy. That affects all feeds, and what the fleet itself has stored.
func (i *Instance) platformRestored(feed string) func(from, to int64) {
	return func(from, to int64) {
		i.handler.Metrics.Count(gauge.Name("platform_restores_total", "feed", feed))
		i.logger.Warn(event.Restored, zap.String("feed", feed), zap.Int64("from", from), zap.Int64("to", to))
		i.operators.NoteEpoch(to)
		i.endpoints.NoteEpoch(to)
		if i.epoch.Swap(to) == to {
			return // the other feed has shown the same
		}
		select {
		case i.restored <- struct{}{}:
		default:
			// Another restoration is pending, after which the same is checked.
		}
	}
}

// rewriter checks, after the platform was restored from an older copy, what the fleet itself has
// stored there. It implements suture.Service.
type rewriter struct{ *Instance }

// String returns the name of the service in the supervisor's events.
func (rewriter) String() string { return "rewriter" }

// Serve implements suture.Service.
func (r rewriter) Serve(ctx context.Context) error {
	for {
		select {
		case <-r.restored:
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-time.After(r.snapshotDelay()):
		case <-ctx.Done():
			return ctx.Err()
		}
		r.finder.Reregister()
		if r.quarantineStore != nil {
			r.quarantineStore.Reload()
		}
		if err := r.peers.Key.Refresh(ctx); err != nil {
			return err
		}
	}
}

// snapshotDelay returns how long this instance waits before it reads what a restored platform holds,
// so that all do not at once.
func (i *Instance) snapshotDelay() time.Duration {
	delay := time.Duration(rand.Float64() * float64(i.peers.Peers(time.Now())) * float64(snapshotSpread))
	if i.peers.Sparse() {
		delay += relayedSnapshotDelay
	}
	return delay
}

// logSnapshot logs that all records of a feed were read anew after the platform was restored.
func logSnapshot[T any](i *Instance, feed string, b watch.Batch[T]) {
	if !b.Restored {
		return
	}
	i.logger.Info(event.Resynchronized, zap.String("feed", feed), zap.Int64("epoch", b.Next.Epoch), zap.Int64("next", b.Next.Offset),
		zap.Int("records", len(b.Records)), zap.Bool("relayed", b.Relayed))
}
