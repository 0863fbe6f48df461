package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/warmup"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const heartbeat = 1200 * time.Millisecond

// newWarmth returns a balancer with one endpoint, whose service is cold for 3 s after a start.
func newWarmth() *placement.Balancer {
	b := &placement.Balancer{HeartbeatInterval: heartbeat}
	b.SetStartup(map[string]placement.Startup{"model": {Limit: warmup.Limit{Rate: 12, Over: 1.5, Slack: 5}, Time: 3 * time.Second}}, time.Now())
	b.Put(record(1, 0))
	return b
}

func record(sequence int64, cold time.Duration) placement.Endpoint {
	e := incarnation(1)
	e.Sequence, e.Cold, e.Seen = sequence, cold, time.Now()
	return e
}

func isCold(b *placement.Balancer) bool {
	cold, _ := b.LearnCold("i-0", 0, time.Now())
	return cold > 0
}

// fail makes connections to the endpoint fail and succeed again.
func fail(b *placement.Balancer, e placement.Endpoint) {
	b.RecordProbe(e, false, time.Now())
	time.Sleep(2 * time.Second)
	b.RecordProbe(e, true, time.Now())
}

// empty empties a failure domain and takes it back.
func empty(b *placement.Balancer, domain string) {
	b.SetEvacuated(domain, true, time.Now())
	b.SetEvacuated(domain, false, time.Now())
}

// Each source says that the endpoint is cold; until says how long it is believed.
func TestSourcesOfCold(t *testing.T) {
	for name, c := range map[string]struct {
		act   func(t *testing.T, b *placement.Balancer)
		until time.Duration
	}{
		"record":               {func(_ *testing.T, b *placement.Balancer) { b.Put(record(2, time.Second)) }, time.Second},
		"record, warm by next": {func(_ *testing.T, b *placement.Balancer) { b.Put(record(2, time.Second)); b.Put(record(3, 0)) }, 0},
		"outdated record":      {func(_ *testing.T, b *placement.Balancer) { b.Put(record(2, 0)); b.Put(record(2, time.Second)) }, 0},
		"restart":              {func(_ *testing.T, b *placement.Balancer) { e := record(1, 2*time.Second); e.Born = 2; b.Put(e) }, 2 * time.Second},
		"lapsed record": {func(_ *testing.T, b *placement.Balancer) {
			e := record(2, time.Second)
			b.Put(e)
			b.Remove(e.ID, "")
			b.Put(record(2, 0))
		}, time.Second},
		"answer": {func(t *testing.T, b *placement.Balancer) {
			begin(t, b).RecordHead(fleet.ResponseAttrs{Cold: time.Second}, time.Now())
		}, time.Second},
		"another instance":   {func(_ *testing.T, b *placement.Balancer) { b.LearnCold("i-0", time.Second, time.Now()) }, time.Second},
		"absurd":             {func(_ *testing.T, b *placement.Balancer) { b.LearnCold("i-0", time.Hour, time.Now()) }, 3*time.Second + heartbeat},
		"failed connections": {func(_ *testing.T, b *placement.Balancer) { fail(b, record(1, 0)) }, 3*time.Second + heartbeat},
		"failed, record after": {func(_ *testing.T, b *placement.Balancer) {
			fail(b, record(1, 0))
			time.Sleep(time.Nanosecond)
			b.Put(record(2, time.Second))
		}, time.Second + 1},
		"failed, outdated": {func(_ *testing.T, b *placement.Balancer) {
			fail(b, record(1, 0))
			time.Sleep(time.Nanosecond)
			b.Put(record(1, 0))
		}, 3*time.Second + heartbeat},
		"failed, record of before": {func(_ *testing.T, b *placement.Balancer) {
			fail(b, record(1, 0))
			time.Sleep(time.Nanosecond)
			b.Put(record(2, 0))
		}, 3*time.Second + heartbeat},
		"domain taken back":         {func(_ *testing.T, b *placement.Balancer) { empty(b, "a") }, 3*time.Second + heartbeat},
		"another domain taken back": {func(_ *testing.T, b *placement.Balancer) { empty(b, "b") }, 0},
		"service without limit": {func(_ *testing.T, b *placement.Balancer) {
			b.SetStartup(nil, time.Now())
			b.Put(record(2, time.Second))
			fail(b, record(2, 0))
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newWarmth()
				c.act(t, b)
				if c.until == 0 {
					require.False(t, isCold(b))
					return
				}
				time.Sleep(c.until - 2)
				require.True(t, isCold(b))
				time.Sleep(2 * time.Nanosecond)
				require.False(t, isCold(b))
			})
		})
	}
}

// An endpoint came back, and all records that were written two heartbeats later have been read: none
// says that it is cold. Records are not written again if nothing but their sequence changes.
func TestNoRecordSaysThatEndpointIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWarmth()
		fail(b, record(1, 0))
		time.Sleep(2 * heartbeat)
		b.SetRecordsRead(time.Now())
		require.True(t, isCold(b))
		time.Sleep(time.Millisecond)
		b.SetRecordsRead(time.Now())
		require.False(t, isCold(b))
	})
}

// A request that was begun while the endpoint was warm, or down, is not sent once a connection is ready
// and it may be cold.
func TestPermitOfColdEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWarmth()
		run := begin(t, b)
		require.Empty(t, run.Permit(time.Now()))
		b.RecordProbe(record(1, 0), false, time.Now())
		require.Equal(t, placement.UnavailableCold, run.Permit(time.Now()), "it came back")
		b.RecordProbe(record(1, 0), true, time.Now())
		require.Equal(t, placement.UnavailableCold, run.Permit(time.Now()))
		c := choose(t, b, newRequest(1), time.Now())
		require.True(t, c.Cold)
		_, reason := b.Begin(c, newRequest(1), time.Now())
		require.Equal(t, placement.UnavailableCold, reason)
		c.StartUntil = time.Now().Add(warmup.GrantLifetime)
		started, reason := b.Begin(c, newRequest(1), time.Now())
		require.Empty(t, reason)
		require.Empty(t, started.Permit(time.Now()))
		time.Sleep(warmup.GrantLifetime)
		require.Equal(t, placement.UnavailableCold, started.Permit(time.Now()))
	})
}

// While no start is free, the endpoint is not chosen, and callers are told when one is.
func TestNoStartIsRequestedBeforeNextIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWarmth()
		b.Put(record(2, 2*time.Second))
		choose(t, b, newRequest(1), time.Now())
		b.DelayStart("i-0", 300*time.Millisecond, time.Now())
		_, ok := b.Choose(newRequest(1), time.Now())
		require.False(t, ok)
		at, ok := b.AvailableFrom(placement.Request{Service: "model"}, time.Now())
		require.True(t, ok)
		require.Equal(t, 300*time.Millisecond, time.Until(at))
		time.Sleep(300 * time.Millisecond)
		r := newRequest(1)
		choose(t, b, r, time.Now())
		r.Warm = true
		_, ok = b.Choose(r, time.Now())
		require.False(t, ok)
	})
}

// Other instances are told of an endpoint that may have become cold only until a record has to say so,
// and nothing that was learned from others.
func TestOwnCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWarmth()
		require.Zero(t, b.OwnCold("i-0", time.Now()))
		b.LearnCold("i-0", time.Second, time.Now())
		require.Zero(t, b.OwnCold("i-0", time.Now()))
		fail(b, record(1, 0))
		require.Equal(t, 2*heartbeat, b.OwnCold("i-0", time.Now()))
		b.Put(record(2, 3*time.Second))
		require.Equal(t, 3*time.Second, b.OwnCold("i-0", time.Now()))
	})
}

// An endpoint that becomes cold again without a request in between is reported again.
func TestColdIsReportedEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWarmth()
		reported := 0
		b.OnChange = func(c placement.Change) {
			if c.To == placement.ConditionCold {
				reported++
			}
		}
		b.Put(record(2, time.Second))
		b.Put(record(3, time.Second))
		require.Equal(t, 1, reported)
		time.Sleep(2 * time.Second)
		b.Put(record(4, time.Second))
		require.Equal(t, 2, reported)
	})
}

// The only endpoint that would not keep a request waiting has just become warm: it gets the request.
func TestJustWarmEndpointTakesWhatWouldBeRefused(t *testing.T) {
	now := time.Now()
	b := newBalancer(2)
	b.SetStartup(map[string]placement.Startup{"model": {Limit: warmup.Limit{Rate: 12, Over: 1.5, Slack: 5}, Time: 3 * time.Second}}, now)
	b.LearnCold("i-1", 100*time.Millisecond, now)
	now = now.Add(150 * time.Millisecond)
	b.SetInstanceWork("peer", map[string]placement.Work{"i-0": {Runs: 40, Tokens: 200_000}}, true, now)
	r := newRequest(7)
	r.MaxWait = 150 * time.Millisecond
	for range 100 {
		c, ok := b.Choose(r, now)
		require.True(t, ok)
		require.NotEqual(t, placement.WeighingOver, c.Weighing)
	}
}

// An endpoint that has just become warm is the cheapest one and considered for a tenth of the requests: the explanation says so
// and names the one that most requests go to, or the only one.
func TestExplanationKnowsWhatHasJustBecomeWarm(t *testing.T) {
	now := time.Now()
	b := newBalancer(2)
	b.SetStartup(map[string]placement.Startup{"model": {Limit: warmup.Limit{Rate: 12, Over: 1.5, Slack: 5}, Time: 3 * time.Second}}, now)
	b.LearnCold("i-1", 100*time.Millisecond, now)
	b.SetInstanceWork("peer", map[string]placement.Work{"i-0": {Runs: 3}}, true, now)
	r := newRequest(0)
	for after, want := range map[time.Duration]string{110 * time.Millisecond: "i-0", 2 * time.Second: "i-1"} {
		c, ok := b.Weigh(r, now.Add(after))
		require.True(t, ok)
		require.Equal(t, want, c.Endpoint.ID, after)
	}
	now = now.Add(110 * time.Millisecond)
	require.Equal(t, "i-1", b.Explain(r, now)[0].Endpoint)
	require.InDelta(t, 0.1, b.Explain(r, now)[0].Chance, 0.01)
	r.Avoid = []string{"i-0"}
	c, ok := b.Weigh(r, now)
	require.True(t, ok)
	require.Equal(t, "i-1", c.Endpoint.ID)
}
