package endpoint_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/endpoint"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

var (
	leaving = endpoint.Answer{Leaving: true}
	ready   = endpoint.Load{Slots: 8, Ready: true}
)

func check(t *endpoint.Table, use endpoint.Use, now time.Time) endpoint.Verdict {
	_, v := t.Check("m0", use, now)
	return v
}

func quiet(d time.Duration) endpoint.Answer { return endpoint.Answer{Quiet: d} }

func listing(incarnation uint64) []fleet.Instance {
	list := instanceList(3)
	list[0].Incarnation = incarnation
	return list
}

// TestCheckMergesSources checks what each source alone means for each use.
func TestCheckMergesSources(t *testing.T) {
	all := []endpoint.Use{endpoint.UseCaller, endpoint.UseOrder, endpoint.UseProbe}
	for name, c := range map[string]struct {
		apply  func(table *endpoint.Table, target endpoint.Target)
		reason endpoint.Reason
		source endpoint.Source
		uses   []endpoint.Use // for which nothing may be sent
	}{
		"nothing": {func(*endpoint.Table, endpoint.Target) {}, "", "", nil},
		"leaving by answer": {func(table *endpoint.Table, target endpoint.Target) {
			table.RecordAnswer(target, leaving, start)
		}, endpoint.ReasonLeaving, endpoint.SourceAnswer, all},
		"leaving by report": {func(table *endpoint.Table, _ endpoint.Target) {
			table.RecordLoad("m0", endpoint.Load{Leaving: true}, start)
		}, endpoint.ReasonLeaving, endpoint.SourceReport, all},
		"leaving by record": {func(table *endpoint.Table, _ endpoint.Target) {
			list := listing(1)
			list[0].Leaving = true
			table.SetInstances(list, start)
		}, endpoint.ReasonLeaving, endpoint.SourceList, all},
		"leaving by peer": {func(table *endpoint.Table, _ endpoint.Target) {
			table.SetHomeState(endpoint.State{Name: "m0", Closed: true, ClosedReason: "leaving", Incarnation: 1}, start)
		}, endpoint.ReasonLeaving, endpoint.SourceHome, all},
		"evacuated": {func(table *endpoint.Table, _ endpoint.Target) {
			table.Evacuated = func(string) bool { return true }
		}, endpoint.ReasonEvacuated, endpoint.SourceOperator, all[:2]},
		"quiet": {func(table *endpoint.Table, target endpoint.Target) {
			table.RecordAnswer(target, quiet(time.Minute), start)
		}, endpoint.ReasonQuiet, endpoint.SourceAnswer, all},
		"ejected": {func(table *endpoint.Table, _ endpoint.Target) {
			recordFailures(table, "m0", 3, start)
		}, endpoint.ReasonEjected, endpoint.SourceSelf, all[:1]},
		"closed by the home": {func(table *endpoint.Table, _ endpoint.Target) {
			table.SetHomeState(endpoint.State{Name: "m0", Closed: true, ClosedReason: "not ready", Incarnation: 1}, start)
		}, endpoint.ReasonNotReady, endpoint.SourceHome, all[:1]},
		"not ready": {func(table *endpoint.Table, _ endpoint.Target) {
			table.RecordLoad("m0", endpoint.Load{Slots: 8}, start)
		}, endpoint.ReasonNotReady, endpoint.SourceReport, all[:1]},
		"unlisted": {func(table *endpoint.Table, _ endpoint.Target) {
			table.SetInstances(nil, start)
		}, endpoint.ReasonUnlisted, endpoint.SourceList, all},
	} {
		t.Run(name, func(t *testing.T) {
			table := endpoint.NewTable()
			table.SetInstances(listing(1), start)
			table.RecordLoad("m0", ready, start)
			target, _ := table.Check("m0", endpoint.UseCaller, start)
			c.apply(table, target)
			for _, use := range all {
				v := check(table, use, start)
				withheld := slices.Contains(c.uses, use)
				require.Equal(t, !withheld, v.Allowed(), use)
				if withheld {
					require.Equal(t, c.reason, v.Reason, use)
					require.Equal(t, c.source, v.Source, use)
				}
			}
		})
	}
}

func TestLeavingByAnswerIsNotTakenBack(t *testing.T) {
	table := endpoint.NewTable()
	table.SetInstances(listing(1), start)
	table.RecordLoad("m0", ready, start)
	target, _ := table.Check("m0", endpoint.UseCaller, start)
	require.True(t, table.RecordAnswer(target, leaving, start))
	require.False(t, table.RecordAnswer(target, leaving, start))
	table.RecordAnswer(target, endpoint.Answer{}, start)
	table.RecordLoad("m0", ready, start)
	table.SetInstances(listing(1), start)
	table.SetInstances(listing(0), start)
	table.SetHomeState(endpoint.State{Name: "m0", Slots: 8, Ready: true, Incarnation: 1}, start)
	table.RecordResult("m0", true, start)
	table.ClearEjections("")
	v := check(table, endpoint.UseCaller, start.Add(time.Second))
	require.Equal(t, endpoint.Verdict{Reason: endpoint.ReasonLeaving, Source: endpoint.SourceAnswer, Age: time.Second}, v)
	require.Equal(t, "leaving (answer, 1s ago)", v.String())
}

func TestListThatDropsEndpointForAWhileDoesNotBringItBack(t *testing.T) {
	for _, c := range []struct {
		before, after uint64
		away          time.Duration
		back          bool
	}{
		{1, 1, time.Second, false},
		{1, 1, 11 * time.Minute, true},
		{1, 2, time.Second, true},
		{0, 0, time.Second, true},
	} {
		table := endpoint.NewTable()
		table.SetInstances(listing(c.before), start)
		target, _ := table.Check("m0", endpoint.UseProbe, start)
		table.RecordAnswer(target, leaving, start)
		table.SetInstances(nil, start)
		now := start.Add(c.away)
		table.SetInstances(nil, now)
		table.SetInstances(listing(c.after), now)
		require.Equal(t, c.back, check(table, endpoint.UseProbe, now).Allowed(), c)
	}
}

func TestNewIncarnationStartsClean(t *testing.T) {
	table := endpoint.NewTable()
	table.SetInstances(listing(1), start)
	old, _ := table.Check("m0", endpoint.UseCaller, start)
	table.RecordAnswer(old, leaving, start)
	table.SetInstances(listing(2), start)
	require.True(t, check(table, endpoint.UseProbe, start).Allowed())
	// What speaks of the earlier incarnation arrives late.
	require.False(t, table.RecordAnswer(old, endpoint.Answer{Leaving: true, Quiet: time.Minute}, start))
	table.SetHomeState(endpoint.State{Name: "m0", Closed: true, ClosedReason: "leaving", Incarnation: 1}, start)
	record := listing(1)
	record[0].Leaving = true
	table.SetInstances(record, start)
	table.RecordLoad("m0", ready, start)
	require.True(t, check(table, endpoint.UseCaller, start).Allowed())
}

func TestLatestEndOfQuietHolds(t *testing.T) {
	table := newTable(2)
	target, _ := table.Check("m0", endpoint.UseCaller, start)
	require.True(t, table.RecordAnswer(target, quiet(5*time.Second), start))
	require.False(t, table.RecordAnswer(target, quiet(time.Second), start.Add(time.Second)), "an earlier end changes nothing")
	require.False(t, table.RecordAnswer(target, quiet(6*time.Second), start.Add(time.Second)))
	require.Equal(t, endpoint.ReasonQuiet, check(table, endpoint.UseProbe, start.Add(6900*time.Millisecond)).Reason)
	require.True(t, check(table, endpoint.UseProbe, start.Add(7*time.Second)).Allowed())
}

func TestQuietEndpointIsNeitherClosedNorFailed(t *testing.T) {
	table := newTable(2)
	target, _ := table.Check("m0", endpoint.UseCaller, start)
	table.RecordAnswer(target, quiet(time.Minute), start)
	for _, at := range []time.Duration{0, 5 * time.Second, 59 * time.Second} {
		s := state(table, "m0", start.Add(at))
		require.True(t, s.Quiet)
		require.False(t, s.Closed, "%s: %s", at, s.ClosedReason)
		require.Equal(t, 8, s.Slots)
	}
	// No report was requested meanwhile: the last one counts from the end of the quiet.
	require.Empty(t, state(table, "m0", start.Add(69*time.Second)).ClosedReason)
	require.Equal(t, "load report too old", state(table, "m0", start.Add(71*time.Second)).ClosedReason)
}

func TestEndpointIsUsedStepwiseAfterQuiet(t *testing.T) {
	table := newTable(2)
	target, _ := table.Check("m0", endpoint.UseCaller, start)
	table.RecordAnswer(target, quiet(time.Second), start)
	var limits []int
	for _, at := range []time.Duration{1000, 1250, 1500, 2000, 2500, 3000} {
		limits = append(limits, state(table, "m0", start.Add(at*time.Millisecond)).Limit)
	}
	require.Equal(t, []int{1, 1, 2, 4, 6, 0}, limits)
}

func TestServiceIsQuietIfAllItsEndpointsAre(t *testing.T) {
	table := newTable(3)
	now := start
	ask := func(name string, d time.Duration) {
		target, _ := table.Check(name, endpoint.UseCaller, now)
		table.RecordAnswer(target, quiet(d), now)
	}
	ask("m0", 3*time.Second)
	ask("m1", 2*time.Second)
	_, all := table.QuietUntil("model", nil, now)
	require.False(t, all)
	table.RecordLoad("m2", endpoint.Load{Leaving: true}, now)
	until, all := table.QuietUntil("model", nil, now)
	require.True(t, all)
	require.Equal(t, start.Add(2*time.Second), until, "the first endpoint that takes requests again counts")
	_, all = table.QuietUntil("model", nil, start.Add(2*time.Second))
	require.False(t, all)
	_, all = table.QuietUntil("other", nil, now)
	require.False(t, all)
}

func TestPauseIsNoFailure(t *testing.T) {
	table := newTable(4)
	now := start
	for range 2 {
		now = now.Add(time.Second)
		require.False(t, table.RecordSilence("m0", now.Add(-time.Second), now))
	}
	require.Empty(t, state(table, "m0", now).ClosedReason)
	table.RecordLoad("m0", ready, now)
	require.False(t, table.RecordSilence("m0", now, now.Add(time.Second)), "it was heard in between")
	require.True(t, table.RecordSilence("m0", now.Add(2*time.Second), now.Add(3*time.Second)))
	require.Equal(t, "ejected", state(table, "m0", now.Add(3*time.Second)).ClosedReason)
}
