package router

import (
	"fmt"
	"time"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/scheduler"
)

const (
	// drainPoll is how often a planned stop looks at what is left.
	drainPoll = 50 * time.Millisecond
	// drainNote is how often it says what it still waits for.
	drainNote = 5 * time.Second
	// leaveTerm is how long a stopping instance still takes requests, because
	// the balancer has not seen yet that it is not ready. It also lets the
	// peers hear that it leaves.
	leaveTerm = 1500 * time.Millisecond
)

func (r *Router) isStopping() bool {
	select {
	case <-r.stopping:
		return true
	default:
		return false
	}
}

// drain stops gracefully: it becomes unready, gives its duties to the peers,
// refuses what arrives late, and waits for what waits and runs here. It returns an
// error if something is left after Drain.
func (r *Router) drain() error {
	r.stopOnce.Do(func() { close(r.stopping) })
	r.trail.Add(audit.Entry{Type: audit.EventStop, Subject: r.Name, Change: "stopping", Cause: "planned stop"})
	deadline := time.Now().Add(r.Drain)
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.Leave(time.Now()) })
	time.Sleep(min(leaveTerm, r.Drain))
	r.dispatcher.With(func(s *scheduler.Scheduler) { s.Close() })
	noted := time.Now()
	for {
		left := r.left()
		if left == "" {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("router: stopped after %s although %s", r.Drain, left)
		}
		if time.Since(noted) > drainNote {
			noted = time.Now()
			r.trail.Add(audit.Entry{Type: audit.EventStop, Subject: r.Name, Change: "waiting", Cause: left})
		}
		time.Sleep(drainPoll)
	}
	r.trail.Add(audit.Entry{Type: audit.EventStop, Subject: r.Name, Change: "stopped", Cause: "nothing waits or runs here"})
	return nil
}

// left says what a planned stop still waits for, or returns "".
func (r *Router) left() string {
	left := ""
	r.dispatcher.With(func(s *scheduler.Scheduler) {
		if st := s.Status(); st.Waiting+st.Running > 0 {
			left = fmt.Sprintf("%d requests wait and %d run here", st.Waiting, st.Running)
		}
	})
	if left == "" && r.caller.Active() > 0 {
		left = fmt.Sprintf("%d answers are being sent", r.caller.Active())
	}
	return left
}
