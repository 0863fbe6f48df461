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

func table(n int) *endpoint.Table {
	t := endpoint.NewTable()
	t.Seed(listed(n), start)
	for i := range n {
		t.Report(fmt.Sprintf("m%d", i), endpoint.Load{Slots: 8, Ready: true}, start)
	}
	return t
}

func listed(n int) []fleet.Instance {
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

func fail(t *endpoint.Table, name string, times int, now time.Time) {
	for range times {
		t.Result(name, false, now)
	}
}

func TestEjectionEndsWithAProbe(t *testing.T) {
	tab := table(4)
	now := start.Add(time.Minute)
	report := func(at time.Time) { tab.Report("m0", endpoint.Load{Slots: 8, Ready: true}, at) }
	report(now)
	fail(tab, "m0", 3, now)
	require.Equal(t, "ejected", state(tab, "m0", now).Why)
	now = now.Add(6 * time.Second)
	probed := state(tab, "m0", now)
	require.Empty(t, probed.Why)
	require.Equal(t, 1, probed.Slots, "a probed endpoint runs one request at a time")
	tab.Result("m0", true, now)
	require.Less(t, state(tab, "m0", now).Slots, 8, "it comes back slowly")
	now = now.Add(10 * time.Second)
	report(now)
	require.Equal(t, 8, state(tab, "m0", now).Slots)
}

func TestFailedProbeEjectsForLonger(t *testing.T) {
	tab := table(4)
	fail(tab, "m0", 3, start)
	fail(tab, "m0", 1, start.Add(6*time.Second))
	require.Equal(t, "ejected", state(tab, "m0", start.Add(15*time.Second)).Why)
}

func TestProbesCannotEjectEverything(t *testing.T) {
	tab := table(4)
	for i := range 4 {
		fail(tab, fmt.Sprintf("m%d", i), 9, start)
	}
	open := 0
	for _, s := range tab.States(start) {
		if s.Why == "" {
			open++
		}
	}
	require.Equal(t, 2, open)
}

func TestLeavingEndpointDoesNotComeBackWithAStaleList(t *testing.T) {
	tab := table(2)
	tab.Report("m0", endpoint.Load{Slots: 8, Ready: true, Leaving: true}, start)
	tab.Seed(listed(2), start)
	tab.Report("m0", endpoint.Load{Slots: 8, Ready: true}, start)
	require.Equal(t, "leaving", state(tab, "m0", start).Why)
}

func TestOldReportClosesAnEndpoint(t *testing.T) {
	tab := table(1)
	require.Equal(t, "load report too old", state(tab, "m0", start.Add(11*time.Second)).Why)
}

func TestNewEndpointStartsSlowlyBesideOldOnes(t *testing.T) {
	tab := table(2)
	now := start.Add(time.Minute)
	tab.Seed(listed(3), now)
	tab.Report("m2", endpoint.Load{Slots: 8, Ready: true}, now)
	require.Equal(t, 2, state(tab, "m2", now).Slots)
	require.Equal(t, 8, state(tab, "m2", now.Add(10*time.Second)).Slots)
}

func TestAllNewEndpointsStartAtFullSlots(t *testing.T) {
	require.Equal(t, 8, state(table(3), "m0", start).Slots)
}
