package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/greengagestep/greengagestep/internal/service"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// crashProbeDelay is the delay between a broken connection and the probe that
	// checks whether the endpoint still accepts connections.
	crashProbeDelay = 30 * time.Millisecond
	// crashProbeTimeout is the time limit of that probe.
	crashProbeTimeout = 500 * time.Millisecond
	// crashProbeWait is how long a retry waits for that probe.
	crashProbeWait = 100 * time.Millisecond
)

var errQuarantined = errors.New("requests like this one crash endpoints")

// watchQuarantine returns a context that is canceled when the request becomes quarantined
// before its endpoint has responded to it.
func (c *call) watchQuarantine(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := c.h.Quarantine.Watch(c.signatures, func() { cancel(errQuarantined) })
	c.stopWatch = stop
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// probeForCrash checks in the background whether the endpoint whose connection broke has
// crashed, since a broken connection alone does not prove it. A failed probe is reported
// to the balancer, and to the quarantine if the endpoint refused the connection or accepts
// none for silenceLimit: until then it may just be silent. An endpoint that wants no requests
// is not probed.
func (c *call) probeForCrash() {
	h, run, endpoint := c.h, c.run, c.choice.Endpoint
	var suspect fleet.Suspect
	if h.Quarantine != nil {
		suspect = c.lastAttempt.Suspect(time.Now())
	}
	done := make(chan struct{})
	c.crashProbe = done
	h.crashProbes.Add(1)
	service.Go(h.Logger, "crash probe", func() {
		defer h.crashProbes.Done()
		defer close(done)
		broken := time.Now()
		time.Sleep(crashProbeDelay)
		if !run.MayProbe(time.Now()) {
			return
		}
		err := h.probe(endpoint.Address)
		if err == nil {
			return
		}
		h.Balancer.RecordProbe(endpoint, false, time.Now())
		for isTimeout(err) && time.Since(broken) < silenceLimit {
			if !run.MayProbe(time.Now()) {
				return
			}
			err = h.probe(endpoint.Address)
		}
		if err == nil {
			h.Balancer.RecordProbe(endpoint, true, time.Now())
			return
		}
		if h.Quarantine != nil {
			h.Quarantine.Crashed(suspect)
		}
	})
}

func (h *Handler) probe(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	return h.Pool.Probe(ctx, address)
}

// mayCrashNext reports whether the request is quarantined after its last attempt. If its
// endpoint may have crashed because of it, that is known only after the endpoint was probed.
func (c *call) mayCrashNext(ctx context.Context) bool {
	if c.h.Quarantine == nil {
		return false
	}
	if c.crashProbe != nil && !c.lastAttempt.Running() {
		select {
		case <-c.crashProbe:
		case <-time.After(crashProbeWait):
		case <-ctx.Done():
		}
	}
	return c.h.Quarantine.Contains(c.signatures)
}
