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
	// Grace is how long a planned stop may take; zero leaves it as it is.
	Grace time.Duration
	// Seeds are further addresses of other instances.
	Seeds []string
}

// applySettings applies changed settings.
func (i *Instance) applySettings(s Settings) {
	now := time.Now()
	if s.Grace > 0 {
		i.graceNanos.Store(int64(s.Grace))
	}
	for _, seed := range s.Seeds {
		i.peers.AddPeer(peer.Member{Address: seed}, now)
	}
	i.logger.Info(event.Reload, zap.Duration("grace", i.currentGrace()), zap.Strings("seeds", s.Seeds))
}

func (i *Instance) currentGrace() time.Duration { return time.Duration(i.graceNanos.Load()) }

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
