package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/peer"
)

// Settings are the settings of an instance that may change while it runs.
type Settings struct {
	Grace time.Duration
	Seeds []string
}

// applySettings applies changed settings.
func (i *Instance) applySettings(s Settings) {
	now := time.Now()
	i.graceNanos.Store(int64(s.Grace))
	for _, seed := range s.Seeds {
		i.peers.AddPeer(peer.Member{Address: seed}, now)
	}
	i.logger.Info(event.Reload, zap.Duration("grace", s.Grace), zap.Strings("seeds", s.Seeds))
}

// followSettings applies settings whenever they change, until the context is done.
func (i *Instance) followSettings(ctx context.Context) {
	for {
		select {
		case s := <-i.Settings:
			i.applySettings(s)
		case <-ctx.Done():
			return
		}
	}
}
