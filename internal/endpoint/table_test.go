package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func newTable(n int) *endpoint.Table {
	t := endpoint.NewTable()
	t.SetInstances(instanceList(n), start)
	for i := range n {
		t.RecordLoad(fmt.Sprintf("m%d", i), endpoint.Load{Slots: 8, Ready: true}, start)
	}
	return t
}

func instanceList(n int) []fleet.Instance {
	var list []fleet.Instance
	for i := range n {
		list = append(list, fleet.Instance{Name: fmt.Sprintf("m%d", i), Role: fleet.RoleEndpoint, Service: "model", Address: fmt.Sprintf("127.0.0.1:%d", i)})
	}
	return list
}

func state(t *endpoint.Table, name string, now time.Time) endpoint.State {
	for _, s := range t.States(now) {
		if s.Name == name {
			return s
		}
	}
	return endpoint.State{}
}

func recordFailures(t *endpoint.Table, name string, times int, now time.Time) {
	for range times {
		t.RecordResult(name, false, now)
	}
}

func TestSuccessfulProbeEndsEjection(t *testing.T) {
	table := newTable(4)
	now := start.Add(time.Minute)
	report := func(at time.Time) { table.RecordLoad("m0", endpoint.Load{Slots: 8, Ready: true}, at) }
	report(now)
	recordFailures(table, "m0", 3, now)
	require.Equal(t, "ejected", state(table, "m0", now).ClosedReason)
	now = now.Add(6 * time.Second)
	probed := state(table, "m0", now)
	require.Empty(t, probed.ClosedReason)
	require.Equal(t, 1, probed.Slots, "a probed endpoint runs one request at a time")
	table.RecordResult("m0", true, now)
	require.Less(t, state(table, "m0", now).Slots, 8, "a restored endpoint gets its slots by slow start")
	now = now.Add(10 * time.Second)
	report(now)
	require.Equal(t, 8, state(table, "m0", now).Slots)
}

func TestFailedProbeEjectsForLonger(t *testing.T) {
	table := newTable(4)
	recordFailures(table, "m0", 3, start)
	recordFailures(table, "m0", 1, start.Add(6*time.Second))
	require.Equal(t, "ejected", state(table, "m0", start.Add(15*time.Second)).ClosedReason)
}

func TestAtMostHalfOfEndpointsAreEjected(t *testing.T) {
	table := newTable(4)
	for i := range 4 {
		recordFailures(table, fmt.Sprintf("m%d", i), 9, start)
	}
	open := 0
	for _, s := range table.States(start) {
		if s.ClosedReason == "" {
			open++
		}
	}
	require.Equal(t, 2, open)
}

func TestLeavingEndpointStaysClosedAfterStaleList(t *testing.T) {
	table := newTable(2)
	table.RecordLoad("m0", endpoint.Load{Slots: 8, Ready: true, Leaving: true}, start)
	table.SetInstances(instanceList(2), start)
	table.RecordLoad("m0", endpoint.Load{Slots: 8, Ready: true}, start)
	require.Equal(t, "leaving", state(table, "m0", start).ClosedReason)
}

func TestOldReportClosesEndpoint(t *testing.T) {
	table := newTable(1)
	require.Equal(t, "load report too old", state(table, "m0", start.Add(11*time.Second)).ClosedReason)
}

func TestNewEndpointBesideOlderOnesGetsSlowStart(t *testing.T) {
	table := newTable(2)
	now := start.Add(time.Minute)
	table.SetInstances(instanceList(3), now)
	table.RecordLoad("m2", endpoint.Load{Slots: 8, Ready: true}, now)
	require.Equal(t, 2, state(table, "m2", now).Slots)
	require.Equal(t, 8, state(table, "m2", now.Add(10*time.Second)).Slots)
}

func TestNoSlowStartIfAllEndpointsAreNew(t *testing.T) {
	require.Equal(t, 8, state(newTable(3), "m0", start).Slots)
}

// A request for a load report, sent while this instance was the home, ended after the next home had
// sent its state, and removed it: the endpoint was taken for a new one, with one slot, until the next
// home sent its state again seconds later.
func TestStateOfNextHomeIsKept(t *testing.T) {
	table := endpoint.NewTable()
	now := time.Unix(1000, 0)
	table.SetInstances([]fleet.Instance{
		{Name: "m0", Role: fleet.RoleEndpoint, Service: "model", Address: "m0:80"},
		{Name: "m1", Role: fleet.RoleEndpoint, Service: "model", Address: "m1:80"},
	}, now.Add(-time.Hour))
	slots := func() int { return table.States(now)[0].Slots }
	table.SetHomeState(endpoint.State{Name: "m0", Slots: 2, Ready: true}, now.Add(-time.Minute))
	require.Equal(t, 2, slots())
	asked := now
	now = now.Add(time.Millisecond)
	table.SetHomeState(endpoint.State{Name: "m0", Slots: 4, Ready: true}, now)
	table.ClearHomeState("m0", asked)
	table.RecordLoad("m0", endpoint.Load{Slots: 4, Ready: true}, now)
	require.Equal(t, 4, slots(), "the state came after the request was sent")
	table.SetHomeState(endpoint.State{Name: "m0", Slots: 3, Ready: true}, now)
	table.ClearHomeState("m0", now)
	require.Equal(t, 3, slots(), "the state came at the same time")
	now = now.Add(time.Second)
	table.ClearHomeState("m0", now)
	require.Equal(t, 1, slots(), "the state of an earlier home is removed, the endpoint is new here")
}

// TestColdBySources checks how long an endpoint with a startup time of 4 s is cold by what each source says
// 10 s after it was listed.
func TestColdBySources(t *testing.T) {
	ms := func(n int64) *int64 { return &n }
	now := start.Add(10 * time.Second)
	for name, c := range map[string]struct {
		apply func(table *endpoint.Table)
		want  time.Duration
	}{
		"nothing":              {func(*endpoint.Table) {}, 0},
		"a report":             {func(table *endpoint.Table) { table.RecordLoad("m0", endpoint.Load{ColdMillis: ms(3000)}, now) }, 3 * time.Second},
		"an absurd report":     {func(table *endpoint.Table) { table.RecordLoad("m0", endpoint.Load{ColdMillis: ms(90000)}, now) }, 4 * time.Second},
		"a report without it":  {func(table *endpoint.Table) { table.RecordLoad("m0", endpoint.Load{}, now) }, 0},
		"a failed call":        {func(table *endpoint.Table) { table.RecordResult("m0", false, now) }, 4 * time.Second},
		"an ended evacuation":  {func(table *endpoint.Table) { table.MarkDomainCold("", now) }, 4 * time.Second},
		"another domain's end": {func(table *endpoint.Table) { table.MarkDomainCold("d9", now) }, 0},
		"a new incarnation":    {func(table *endpoint.Table) { table.SetInstances(listing(2), now) }, 4 * time.Second},
		"its home": {func(table *endpoint.Table) {
			table.SetHomeState(endpoint.State{Name: "m0", Cold: 2 * time.Second, Incarnation: 1}, now)
		}, 2 * time.Second},
		"a report after a failed call": {func(table *endpoint.Table) {
			table.RecordResult("m0", false, now)
			table.RecordLoad("m0", endpoint.Load{ColdMillis: ms(0)}, now)
		}, 0},
		"its home soon after a failed call": {func(table *endpoint.Table) {
			table.RecordResult("m0", false, now)
			table.SetHomeState(endpoint.State{Name: "m0", Incarnation: 1}, now)
		}, 4 * time.Second},
		"its home of the new incarnation": {func(table *endpoint.Table) {
			table.SetInstances(listing(2), now)
			table.SetHomeState(endpoint.State{Name: "m0", Incarnation: 2}, now)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := endpoint.NewTable()
			table.SetInstances(listing(1), start)
			table.StartupTime = func(string) time.Duration { return 4 * time.Second }
			require.Equal(t, 4*time.Second, table.Cold("m0", start), "its start is not known to be long ago")
			require.Zero(t, table.Cold("m0", now))
			c.apply(table)
			require.Equal(t, c.want, table.Cold("m0", now))
			require.Zero(t, table.Cold("m0", now.Add(c.want)))
		})
	}
}
