package router

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/warmup"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

var errNoNetwork = errors.New("no network")

// newGrantingRouter returns an instance that is the home of the cold endpoint p0, unless an instance x is
// listed and heard.
func newGrantingRouter(dial func(context.Context, string, string) (net.Conn, error)) *Router {
	r := &Router{Name: "e0", Domain: "d0", Secret: "s", Logger: zap.NewNop(), Dial: dial, Advertise: "127.0.0.1:1"}
	r.senders = suture.New("senders", suture.Spec{EventHook: func(suture.Event) {}})
	r.buildComponents()
	r.policy.set(arrangement.Config{Services: []arrangement.Service{{Name: "portal", StartupRate: 10, StartupSeconds: 60}}}.WithDefaults())
	r.endpoints.SetInstances([]fleet.Instance{{Name: "p0", Role: fleet.RoleEndpoint, Domain: "d0", Address: "127.0.0.1:2", Service: "portal", Incarnation: 1}}, time.Now())
	r.updateEndpoints(time.Now())
	return r
}

// tickFor lets the instance tick as it does when it runs.
func (r *Router) tickFor(d time.Duration) {
	for ; d > 0; d -= scheduler.TickInterval {
		r.tick(context.Background())
		time.Sleep(scheduler.TickInterval)
	}
}

func (r *Router) countStarts(d time.Duration) int {
	granted := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if _, err := r.start(context.Background(), "p0"); err == nil {
			granted++
		}
	}
	return granted
}

// However much is asked for at a time, a home grants the rate, and nothing until the starts of an earlier
// home must have been used: after it has become the home, or has paused.
func TestHomeGrantsStartsAtTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newGrantingRouter(func(context.Context, string, string) (net.Conn, error) { return nil, errNoNetwork })
		defer close(r.ended)
		r.tick(t.Context())
		require.Zero(t, r.countStarts(400*time.Millisecond), "it has only just become the home")
		r.tickFor(warmup.Window + scheduler.TickInterval)
		require.LessOrEqual(t, r.countStarts(400*time.Millisecond), 10)
		r.tickFor(warmup.Window)
		for range 8 {
			r.tick(t.Context())
			require.LessOrEqual(t, r.countStarts(scheduler.TickInterval), 5)
		}
		granted, refused := r.starts.home.Counts()
		require.InDelta(t, 24, granted, 4)
		require.Positive(t, refused)

		time.Sleep(2 * time.Second)
		r.tick(t.Context())
		require.Zero(t, r.countStarts(400*time.Millisecond), "it paused")
		time.Sleep(time.Minute)
		expires, err := r.start(t.Context(), "p0")
		require.NoError(t, err)
		require.Zero(t, expires, "it is warm")
	})
}

// A start that nobody grants, or whose answer comes late, is not used.
func TestStartThatIsNotHeardInTimeIsNotUsed(t *testing.T) {
	for name, delay := range map[string]time.Duration{"home is away": 0, "answer is late": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newGrantingRouter(func(ctx context.Context, _, _ string) (net.Conn, error) {
					select {
					case <-time.After(delay):
					case <-ctx.Done():
					}
					return nil, errNoNetwork
				})
				defer close(r.ended)
				r.dispatcher.With(func(s *scheduler.Scheduler) {
					s.Table.Self.Leaving = true
					other := s.Table.Self
					other.Name, other.Incarnation, other.Leaving = "x", 7, false
					require.True(t, s.Table.RecordMessage(other, time.Now()))
					s.Tick(time.Now())
					require.Equal(t, "x", s.Home("p0"))
				})
				_, err := r.start(t.Context(), "p0")
				var withheld *endpoint.Withheld
				require.ErrorAs(t, err, &withheld)
				require.Equal(t, endpoint.ReasonCold, withheld.Verdict.Reason)
				require.False(t, r.grantStart("p0", time.Now()), "it is not the home")
				time.Sleep(2 * delay) // until the dial has ended
			})
		})
	}
}
