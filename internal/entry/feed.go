package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/watch"
)

// limit returns how old what is known may become: the first of the instances that
// hear each other reads for all, the others step in when it does not.
// A read takes as long as wait.
func (i *Instance) limit(age, wait time.Duration) func() time.Duration {
	return func() time.Duration {
		rank := i.peers.Rank(time.Now())
		if rank == 0 {
			return age
		}
		return age + wait + spareAge + time.Duration(min(rank, maxRank))*rankAge
	}
}

func (i *Instance) editions(b watch.Batch[watch.VersionedConfiguration]) {
	for _, r := range b.Records {
		if r.Fault != nil {
			i.logger.Warn(event.Odd, zap.Error(r.Fault))
			continue
		}
		if r.Value == nil {
			continue
		}
		if i.handler.Use(r.Value.Text, r.Value.Version) {
			i.logger.Info(event.Configuration, zap.Int64("version", r.Value.Version), zap.Int("routes", len(r.Value.Text.Routes)))
		}
	}
}

func (i *Instance) lost(feed string) func(error) {
	return func(err error) { i.logger.Warn(event.Lost, zap.String("feed", feed), zap.Error(err)) }
}

func (i *Instance) regained(feed string) func(time.Duration) {
	return func(away time.Duration) {
		i.logger.Info(event.Regained, zap.String("feed", feed), zap.Duration("away", away))
	}
}
