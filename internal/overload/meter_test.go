package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/overload"
)

func TestMeterDetectsOverloadAndRecovery(t *testing.T) {
	var changes []bool
	m := &overload.Meter{OnChange: func(overloaded bool, _ time.Duration) { changes = append(changes, overloaded) }}
	m.Record(time.Millisecond)
	require.Zero(t, m.RejectFraction())
	m.Record(300 * time.Millisecond)
	require.True(t, m.Overloaded())
	require.Greater(t, m.RejectFraction(), 0.9)
	for range 10 {
		m.Record(0)
	}
	require.Less(t, m.RejectFraction(), 0.5, "the lag must decay within a fifth of a second")
	for range 140 {
		m.Record(0)
	}
	require.True(t, m.Overloaded(), "a load balancer that checks every second must notice the overload")
	for range 40 {
		m.Record(0)
	}
	require.False(t, m.Overloaded())
	require.Equal(t, []bool{true, false}, changes)
}
