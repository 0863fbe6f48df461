package router

import (
	"fmt"
	"time"

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
// the queued and running requests have ended. It returns an error if some remain after
// Drain.
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
	r.trail.Add(audit.Entry{Type: audit.EventStop, Subject: r.Name, Change: "stopped", Cause: "nothing waits or runs here"})
	return nil
}

// remainingWork describes what a planned stop still waits for, or returns "".
func (r *Router) remainingWork() string {
	remaining := ""
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		if st := s.Status(); st.Waiting+st.Running > 0 {
			remaining = fmt.Sprintf("%d requests wait and %d run here", st.Waiting, st.Running)
		}
	})
	if remaining == "" && r.caller.Active() > 0 {
		remaining = fmt.Sprintf("%d answers are being sent", r.caller.Active())
	}
	return remaining
}
