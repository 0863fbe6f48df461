package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/peer"
)

// Settings is what may change of an instance while it runs.
type Settings struct {
	Grace time.Duration
	Seeds []string
}

// change takes in settings that have changed.
func (i *Instance) change(c Settings) {
	now := time.Now()
	i.grace.Store(int64(c.Grace))
	for _, seed := range c.Seeds {
		i.peers.Meet(peer.Member{Address: seed}, now)
	}
	i.logger.Info(event.Reload, zap.Duration("grace", c.Grace), zap.Strings("seeds", c.Seeds))
}

// follow takes in settings as they change.
func (i *Instance) follow(ctx context.Context) {
	for {
		select {
		case c := <-i.Settings:
			i.change(c)
		case <-ctx.Done():
			return
		}
	}
}
