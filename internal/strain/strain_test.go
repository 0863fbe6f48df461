package strain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/strain"
)

func TestTurnsAwayWhileBehind(t *testing.T) {
	var changes []bool
	m := &strain.Meter{OnChange: func(heavy bool, _ time.Duration) { changes = append(changes, heavy) }}
	m.Measure(time.Millisecond)
	require.Zero(t, m.Part())
	m.Measure(300 * time.Millisecond)
	require.True(t, m.Heavy())
	require.Greater(t, m.Part(), 0.9)
	for range 10 {
		m.Measure(0)
	}
	require.Less(t, m.Part(), 0.5, "the lag fades within a fifth of a second")
	for range 140 {
		m.Measure(0)
	}
	require.True(t, m.Heavy(), "a balancer that asks every second must notice")
	for range 40 {
		m.Measure(0)
	}
	require.False(t, m.Heavy())
	require.Equal(t, []bool{true, false}, changes)
}
