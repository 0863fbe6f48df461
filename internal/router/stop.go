package router

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/scheduler"
)

const (
	// drainPollInterval is how often a planned stop checks for remaining requests.
	drainPollInterval = 50 * time.Millisecond
	// drainReportInterval is how often it records what it still waits for.
	drainReportInterval = 5 * time.Second
	// leavePeriod is how long a stopping instance still accepts requests, because
	// the load balancer has not detected yet that it is not ready. In this time
	// the peers also receive the message that it leaves.
	leavePeriod = 1500 * time.Millisecond
)

func (r *Router) isStopping() bool {
	select {
	case <-r.stopping:
		return true
	default:
		return false
	}
}

// drain stops the instance gracefully: it reports that it is not ready, hands its tasks
// over to the peers, refuses requests that arrive after leavePeriod, and waits until
// the queued and running requests have ended. Then it accepts no more connections and waits
// until the responses in progress are complete. It returns an error if requests or responses
// remain after Drain.
func (r *Router) drain() error {
	r.stopOnce.Do(func() { close(r.stopping) })
	r.trail.Add(audit.Entry{Type: audit.EventStop, Subject: r.Name, Change: "stopping", Cause: "planned stop"})
	deadline := time.Now().Add(r.Drain)
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.Leave(time.Now()) })
	time.Sleep(min(leavePeriod, r.Drain))
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.Close() })
	r.caller.Close()
	lastReport := time.Now()
	for {
		remaining := r.remainingWork()
		if remaining == "" {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("router: stopped after %s although %s", r.Drain, remaining)
		}
		if time.Since(lastReport) > drainReportInterval {
			lastReport = time.Now()
			r.trail.Add(audit.Entry{Type: audit.EventStop, Subject: r.Name, Change: "waiting", Cause: remaining})
		}
		time.Sleep(drainPollInterval)
	}
	if err := r.closeCallers(deadline); err != nil {
		return err
	}
	r.trail.Add(audit.Entry{Type: audit.EventStop, Subject: r.Name, Change: "stopped", Cause: "nothing waits or runs here"})
	return nil
}

// closeCallers closes the listener of callers and their idle connections, and waits until the responses
// in progress are complete. It returns an error if some are not at the deadline.
func (r *Router) closeCallers(deadline time.Time) error {
	if active := r.caller.Active(); active > 0 {
		r.trail.Add(audit.Entry{Type: audit.EventStop, Subject: r.Name, Change: "waiting", Cause: fmt.Sprintf("%d answers are being sent", active)})
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := r.callerServer.Shutdown(ctx)
	if active := r.caller.Active(); active > 0 {
		return fmt.Errorf("router: stopped after %s although %d answers are being sent", r.Drain, active)
	}
	if err != nil {
		r.Logger.Warn("connections of callers are open at the end of the stop", zap.Error(err))
	}
	return nil
}

// remainingWork describes the requests that wait or run here, or returns "". Refused requests do not
// count: their callers may go on repeating them.
func (r *Router) remainingWork() string {
	remaining := ""
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		if st := s.Status(); st.Waiting+st.Running > 0 {
			remaining = fmt.Sprintf("%d requests wait and %d run here", st.Waiting, st.Running)
		}
	})
	return remaining
}
