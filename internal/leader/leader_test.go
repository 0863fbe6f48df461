package leader_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/leader"
	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

func newLease(log *standin.Log, name string) *leader.Lease {
	return &leader.Lease{Self: name, Incarnation: 1, Domain: "d0", Log: log}
}

func advance(t *testing.T, l *leader.Lease) {
	t.Helper()
	require.NoError(t, l.Advance(t.Context(), true, time.Now))
}

func sendOrder(e *standin.Engine, version string, fence int64) int {
	data, _ := json.Marshal(standin.Order{Model: "m", Version: version, Fence: fence})
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/order", bytes.NewReader(data)))
	return w.Code
}

func TestOrderOfPausedLeaderIsRejectedAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		engine := &standin.Engine{Fencing: true}
		a, b := newLease(log, "a"), newLease(log, "b")
		advance(t, a)
		oldFence, leads := a.Leads(time.Now())
		require.True(t, leads)
		advance(t, b)
		_, leads = b.Leads(time.Now())
		require.False(t, leads, "the lease of the first leader has not expired")
		// The first leader is paused right after it checked its lease.
		time.Sleep(15 * time.Second)
		advance(t, b)
		newFence, leads := b.Leads(time.Now())
		require.True(t, leads)
		require.Greater(t, newFence, oldFence)
		require.Equal(t, http.StatusOK, sendOrder(engine, "2", newFence))
		require.Equal(t, http.StatusPreconditionFailed, sendOrder(engine, "1", oldFence))
		_, leads = a.Leads(time.Now())
		require.False(t, leads)
	})
}

func TestTakeoverWithLostResponseIsReadFromLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		a := newLease(log, "a")
		log.Set(standin.LogFaults{Lose: 1})
		require.ErrorIs(t, a.Advance(t.Context(), true, time.Now), leader.ErrUnavailable)
		advance(t, a)
		_, leads := a.Leads(time.Now())
		require.True(t, leads)
	})
}

func TestNewLeaderWaitsBeforeOrdersWithoutFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLease(&standin.Log{}, "a")
		advance(t, l)
		require.False(t, l.SafeWithoutFencing(time.Now()))
		time.Sleep(4 * time.Second)
		require.True(t, l.SafeWithoutFencing(time.Now()))
	})
}

// TestOneLeader runs candidates under random faults and pauses and checks that at most
// one leads at a time and that each change of leader raises the fencing number.
func TestOneLeader(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { oneLeader(t, seed) })
		})
	}
}

func oneLeader(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	log := &standin.Log{Retention: 2 * time.Minute}
	candidates := []*leader.Lease{newLease(log, "a"), newLease(log, "b"), newLease(log, "c")}
	paused := make([]time.Time, len(candidates))
	lastFence, lastHolder, led := int64(-1), "", 0
	for range 2000 {
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		if rng.IntN(40) == 0 {
			log.Set(standin.LogFaults{Down: rng.IntN(3) == 0, Lose: rng.IntN(3)})
		}
		i := rng.IntN(len(candidates))
		if rng.IntN(30) == 0 {
			paused[i] = time.Now().Add(time.Duration(rng.IntN(30)) * time.Second)
		}
		if time.Now().After(paused[i]) {
			_ = candidates[i].Advance(context.Background(), true, time.Now)
		}
		leading := 0
		for _, c := range candidates {
			fence, leads := c.Leads(time.Now())
			if !leads {
				continue
			}
			leading++
			led++
			if c.Self != lastHolder {
				require.Greater(t, fence, lastFence)
				lastHolder = c.Self
			}
			lastFence = max(lastFence, fence)
		}
		require.LessOrEqual(t, leading, 1)
	}
	require.Positive(t, led)
}

func TestPlan(t *testing.T) {
	config := arrangement.Config{
		Services: []arrangement.Service{
			{Name: "store"},
			{Name: "model", Model: "m", Needs: []string{"store"}},
		},
		Models: []arrangement.Model{{Name: "m", Version: "2"}},
	}
	endpoint := func(name, model, version string, running int) leader.Endpoint {
		return leader.Endpoint{Name: name, Service: "model", Model: model, Version: version, Running: running, Reported: true}
	}
	ready := func(string) bool { return true }
	for _, tc := range []struct {
		name      string
		endpoints []leader.Endpoint
		ready     func(string) bool
		orders    []string
		drain     []string
		waits     string
	}{
		{"all endpoints without a model get an order at once", []leader.Endpoint{endpoint("a", "", "", 0), endpoint("b", "", "", 0)}, ready, []string{"a", "b"}, nil, ""},
		{"no order is sent before the dependency is ready", []leader.Endpoint{endpoint("a", "", "", 0)}, func(s string) bool { return s != "store" }, nil, nil, "store"},
		{"a change of version drains the endpoint with the fewest requests first", []leader.Endpoint{endpoint("a", "m", "1", 3), endpoint("b", "m", "1", 1)}, ready, nil, []string{"b"}, ""},
		{"a drained endpoint gets an order", []leader.Endpoint{endpoint("a", "m", "1", 3), endpoint("b", "m", "1", 0)}, ready, []string{"b"}, []string{"b"}, ""},
		{"an endpoint that loads the model delays the change of the next one", []leader.Endpoint{endpoint("a", "m", "1", 0), endpoint("b", "", "", 0)}, ready, []string{"b"}, nil, ""},
		{"endpoints with the right version get no order", []leader.Endpoint{endpoint("a", "m", "2", 0)}, ready, nil, nil, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plan := leader.NewPlan(config, tc.endpoints, tc.ready)
			var orders []string
			for _, o := range plan.Orders {
				orders = append(orders, o.Endpoint)
			}
			require.Equal(t, tc.orders, orders)
			require.Equal(t, tc.drain, plan.Drain)
			require.Equal(t, tc.waits, plan.Waits["model"])
		})
	}
}
