package entry

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/gateway"
)

// stop drains the instance: responses close their connections, active requests are completed,
// and late requests are refused. Shortly before the end of the grace period, the requests that are
// left are ended.
func (i *Instance) stop(callers *http.Server) {
	received := time.Now()
	close(i.stopping)
	time.Sleep(lagSettleTime)
	// The grace period began when the signal was sent.
	lag := i.Lag()
	start, grace := received.Add(-min(lag, maxSignalLag)), i.currentGrace()
	i.handler.Stop(shutdownTimes(start, grace))
	i.logger.Info(event.Stopping, zap.Int64("active", i.handler.Active()), zap.Duration("grace", grace), zap.Duration("lag", lag))
	for time.Since(start) < grace-exitReserve {
		// A longer period may not hold for a stop that has begun.
		if current := i.currentGrace(); current < grace {
			grace = current
			i.handler.Stop(shutdownTimes(start, grace))
		}
		if time.Since(start) >= drainDelay {
			i.idleConns.closeIdle()
			if i.idleConns.busyCount() == 0 && i.handler.Active() == 0 && i.handler.Backlog.Unread() == 0 {
				break
			}
		}
		time.Sleep(stopPollInterval)
	}
	i.logger.Info(event.Ending, zap.Int64("active", i.handler.Active()), zap.Duration("took", time.Since(received)), zap.Duration("lag", i.Lag()))
	callers.SetKeepAlivesEnabled(false)
	i.handler.EndRequests()
	ctx, cancel := context.WithTimeout(context.Background(), exitReserve/2)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		i.logger.Warn(event.Stopped, zap.String("cause", "grace period ended; active requests were aborted"), zap.Int64("active", i.handler.Active()), zap.Error(err))
		// An error means that a listener is closed already.
		_ = callers.Close()
	}
}

// shutdownTimes returns the times of a stop whose grace period began at start.
func shutdownTimes(start time.Time, grace time.Duration) gateway.ShutdownTimes {
	return gateway.ShutdownTimes{RefuseStreams: start.Add(drainDelay), RefuseAll: start.Add(grace - callReserve), End: start.Add(grace - exitReserve)}
}
