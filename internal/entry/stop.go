package entry

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/gateway"
)

// stop lets callers go: answers close their connections, requests that run are
// brought to their end, late ones are refused.
func (i *Instance) stop(callers *http.Server) {
	begun, grace := time.Now(), time.Duration(i.grace.Load())
	close(i.leaving)
	i.handler.Stop(gateway.ShutdownTimes{RefuseStreams: begun.Add(farewell), RefuseAll: begun.Add(grace - callTime)})
	i.logger.Info(event.Stopping, zap.Int64("active", i.handler.Active()))
	for time.Since(begun) < grace-lastMoment {
		if time.Since(begun) >= farewell {
			i.idlers.sweep(time.Millisecond, time.Now())
			if i.handler.Active() == 0 {
				break
			}
		}
		time.Sleep(stopPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastMoment/2)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		i.logger.Warn(event.Stopped, zap.String("cause", "grace is over, requests were cut off"), zap.Int64("active", i.handler.Active()), zap.Error(err))
	}
}
