package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/queue"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// refusals is a port that records the requests that were refused as well.
type refusals struct {
	recorder
	reasons map[string]fleet.Reason
}

func (r *refusals) Refuse(q queue.Request, reason fleet.Reason) { r.reasons[q.ID] = reason }

func quietScheduler(t *testing.T, requests int) (*scheduler.Scheduler, *refusals, func(change func(*scheduler.Endpoint), now time.Time)) {
	s, _ := instance("e0", 10)
	port := &refusals{recorder{woken: map[string]int{}}, map[string]fleet.Reason{}}
	s.Port = port
	list := []scheduler.Endpoint{{Name: "m0", Service: "model", Domain: "d0", Slots: 8, Quiet: true}}
	s.SetEndpoints(list, epoch)
	for i := range requests {
		require.NoError(t, s.Arrive(queue.Request{ID: fmt.Sprint("r", i), Key: share.Key{Service: "model", Customer: "a"}}, epoch))
	}
	s.Tick(epoch)
	return s, port, func(change func(*scheduler.Endpoint), now time.Time) {
		change(&list[0])
		s.SetEndpoints(list, now)
		s.Tick(now)
	}
}

func TestQuietEndpointGetsRequestsStepwise(t *testing.T) {
	s, port, set := quietScheduler(t, 8)
	require.Empty(t, port.started)
	require.Equal(t, 8, s.Status().Waiting)
	now := epoch.Add(2 * time.Second)
	set(func(e *scheduler.Endpoint) { e.Quiet, e.Limit = false, 1 }, now)
	require.Len(t, port.started, 1)
	s.Finish(port.started[0].Request.ID, now)
	require.Len(t, port.started, 2, "the slot serves the next request")
	now = now.Add(1500 * time.Millisecond)
	set(func(e *scheduler.Endpoint) { e.Limit = 4 }, now)
	require.Len(t, port.started, 5, "four at a time")
	now = now.Add(1500 * time.Millisecond)
	set(func(e *scheduler.Endpoint) { e.Limit = 0 }, now)
	require.Len(t, port.started, 8)
}

func TestSlotOfQuietEndpointIsNotUsedAgain(t *testing.T) {
	s, port, set := quietScheduler(t, 1)
	now := epoch.Add(2 * time.Second)
	set(func(e *scheduler.Endpoint) { e.Quiet = false }, now)
	require.Len(t, port.started, 1)
	set(func(e *scheduler.Endpoint) { e.Quiet = true }, now)
	require.NoError(t, s.Arrive(queue.Request{ID: "later", Key: share.Key{Service: "model", Customer: "a"}}, now))
	s.Finish("r0", now)
	require.Len(t, port.started, 1)
	require.Equal(t, 1, s.Status().Waiting)
	s.RefuseWaiting(share.Key{Service: "other", Customer: "a"}, fleet.ReasonQuiet)
	require.Empty(t, port.reasons)
	s.RefuseWaiting(share.Key{Service: "model", Customer: "a"}, fleet.ReasonQuiet)
	require.Equal(t, map[string]fleet.Reason{"later": fleet.ReasonQuiet}, port.reasons)
	require.Zero(t, s.Status().Waiting)
}
