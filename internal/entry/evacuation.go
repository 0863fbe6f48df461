package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/evacuation"
	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/watch"
)

// applyEvacuations applies the records of a batch that empty failure domains. A record that cannot
// be read changes nothing.
func (i *Instance) applyEvacuations(b watch.Batch[watch.OperatorRecord]) {
	since := b.Since
	if since.IsZero() {
		since = b.At
	}
	kept := map[string]bool{}
	var changes []evacuation.Change
	for _, r := range b.Records {
		switch {
		case r.Err != nil:
			kept[r.Key] = true
		case r.Value == nil || r.Value.Evacuation == nil:
			changes = append(changes, i.evacuations.Delete(r.Key)...)
		default:
			kept[r.Key] = true
			changes = append(changes, i.evacuations.Put(r.Key, *r.Value.Evacuation, since)...)
		}
	}
	switch {
	case b.Restored:
		i.evacuations.KeepMissing(kept, b.At.Add(watch.RecoveryGrace))
	case b.Snapshot:
		changes = append(changes, i.evacuations.Retain(kept)...)
	}
	i.evacuationsChanged(changes, since, b.Relayed)
}

// expireEvacuations ends evacuations whose records were not written again after the platform was
// restored from a copy without them.
func (i *Instance) expireEvacuations(now time.Time) {
	if p := i.operators.Position(now); p.Known() {
		dataAt := now.Add(-time.Duration(p.Age) * time.Millisecond)
		i.evacuationsChanged(i.evacuations.Expire(dataAt), dataAt, false)
	}
}

// evacuationsChanged applies changes by records that were written at a time or later.
func (i *Instance) evacuationsChanged(changes []evacuation.Change, since time.Time, relayed bool) {
	for _, c := range changes {
		i.balancer.SetEvacuated(c.Domain, c.Emptied, time.Now())
		i.logEvacuation(c, since, relayed)
	}
}

// logEvacuation logs that a failure domain has been emptied or taken back by a record that was
// written at a time or later.
func (i *Instance) logEvacuation(c evacuation.Change, since time.Time, relayed bool) {
	fields := []zap.Field{
		zap.String("domain", c.Domain), zap.Bool("emptied", c.Emptied), zap.Duration("age", time.Since(since)), zap.Bool("relayed", relayed),
	}
	_, known := i.Regions[c.Domain]
	switch {
	case c.Emptied && !known && i.tracker.Synced() && !i.balancer.HasDomain(c.Domain):
		i.logger.Warn(event.Evacuation, append(fields, zap.String("problem", "unknown failure domain"))...)
	case c.Emptied && i.balancer.AllEvacuated():
		i.logger.Warn(event.Evacuation, append(fields, zap.String("problem", "no endpoint is left"))...)
	default:
		i.logger.Info(event.Evacuation, fields...)
	}
}
