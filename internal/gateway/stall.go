package gateway

import (
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/internal/upstream"
)

// silenceLimit is how long an endpoint may send nothing until work that another one can take over
// is taken from it: sound endpoints pause for a second or so, and callers of streams leave after a
// pause of two seconds or more.
const silenceLimit = 1700 * time.Millisecond

// stallRecheckInterval is the pause between two checks whether another endpoint can take over a
// stream whose endpoint has been silent for silenceLimit.
const stallRecheckInterval = 100 * time.Millisecond

// stallWatch abandons the attempt of a stream that makes no progress, so that another endpoint
// resumes it. A stream whose endpoint has sent complete blocks, or of which the caller has a part, is
// abandoned only if another endpoint and a retry are available: a silent endpoint may be sound. It is
// safe for concurrent use.
type stallWatch struct {
	call   *call
	answer *upstream.Answer

	mu    sync.Mutex
	timer *time.Timer // nil once the watch has ended
	begun bool        // blocks have come, or the caller has a part of the stream
	moved bool        // the attempt was abandoned, and its retry has been withdrawn
	// progressAt is when the last event with data came; the timer is set for it only when it
	// has expired, so that an event does not move a timer.
	progressAt time.Time
}

// watchStall starts a watch. It returns nil if no other endpoint may resume the stream: then it is
// read to its end, however long it pauses.
func (c *call) watchStall(a *upstream.Answer) *stallWatch {
	if !c.repeatable() || c.runs >= c.maxRuns() {
		return nil
	}
	w := &stallWatch{call: c, answer: a, begun: c.headersSent}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(silenceLimit, w.check)
	return w
}

func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	if left := silenceLimit - time.Since(w.progressAt); left > 0 {
		w.timer.Reset(left)
		return
	}
	if w.begun && !w.call.withdrawMove() {
		w.timer.Reset(stallRecheckInterval)
		return
	}
	w.moved = w.begun
	w.answer.Abandon()
}

// receive records that complete blocks have come. Only an event with data is progress.
func (w *stallWatch) receive(progress bool) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun = true
	if progress {
		w.progressAt = time.Now()
	}
}

// end ends the watch. It reports whether the retry of the attempt has been withdrawn.
func (w *stallWatch) end() (moved bool) {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.timer = nil
	return w.moved
}

// withdrawMove withdraws a retry if another endpoint than the one of the current attempt takes
// requests and has none waiting: one that is full would refuse the stream, which then has no
// endpoint left. It reports whether it did. It may be called while the attempt is in progress.
func (c *call) withdrawMove() bool {
	if c.sends >= maxSends {
		return false
	}
	now := time.Now()
	r := c.placementRequest()
	r.Avoid = append(r.Avoid, c.choice.Endpoint.ID)
	if choice, ok := c.h.Balancer.Choose(r, now); !ok || choice.Wait > 0 {
		return false
	}
	return c.h.Budget.Withdraw(c.service, now)
}
