package history_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/history"
)

func readDayLog(t *testing.T) *history.Log {
	f, err := os.Open("testdata/day.log")
	require.NoError(t, err)
	defer f.Close()
	l := &history.Log{}
	require.NoError(t, l.Read(f))
	return l
}

// The lines of a request are returned in order, also if a log collector has
// prefixed them, and lines that are not events are counted.
func TestRequestLines(t *testing.T) {
	l := readDayLog(t)
	lines := l.RequestLines("r2")
	require.Len(t, lines, 2)
	require.Equal(t, "attempt", lines[0].Event)
	require.Equal(t, "request", lines[1].Event)
	require.Equal(t, 12, l.Dropped)
	require.Equal(t, 1, l.Unreadable)
	require.Empty(t, l.RequestLines("nobody"))
}

func TestStateAt(t *testing.T) {
	l := readDayLog(t)
	second := func(n int) time.Time { return time.Date(2026, 7, 1, 10, 0, n, 0, time.UTC) }
	state := l.StateAt("front-1", second(4))
	require.Equal(t, int64(7), state.Version)
	require.Len(t, state.Endpoints, 2)
	require.Contains(t, state.Lost, "feed endpoints")
	var out bytes.Buffer
	state.Print(&out)
	golden, err := os.ReadFile("testdata/belief.golden")
	require.NoError(t, err)
	require.Equal(t, string(golden), out.String())
	state = l.StateAt("front-1", second(9))
	require.Empty(t, state.Lost)
	require.Len(t, state.Endpoints, 1)
	require.Zero(t, l.StateAt("front-1", second(11)).Version, "a restarted process has no configuration")
}
