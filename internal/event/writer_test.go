package event_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct{ unblock chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return len(p), nil
}

// While the log output is blocked, lines are dropped and logging calls do not wait.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		w := event.New(out)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = w.Serve(ctx); close(done) }()
		logger := w.Logger()
		start := time.Now()
		for range 20_000 {
			logger.Info(event.Attempt, zap.String("reason", strings.Repeat("x", 200)))
		}
		time.Sleep(time.Second)
		for range 20_000 {
			logger.Info(event.Attempt, zap.String("reason", strings.Repeat("x", 200)))
		}
		require.Equal(t, time.Second, time.Since(start))
		require.Positive(t, w.DroppedLines())
		close(out.unblock)
		cancel()
		<-done
	})
}

// When debug lines exceed their rate limit, the volume of the log stays bounded, lines of
// failures are kept and dropped lines are counted.
func TestLogVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := event.New(&out)
		w.Level = event.LevelDebug
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = w.Serve(ctx); close(done) }()
		logger := w.Logger()
		const seconds, linesPerSecond = 10, 5000
		for i := range seconds * linesPerSecond {
			logger.Debug(event.Request, zap.Int("n", i), zap.String("how", "answer"))
			if i%linesPerSecond == 0 {
				logger.Warn(event.DependencyLost, zap.Int("n", i))
			}
			time.Sleep(time.Second / linesPerSecond)
		}
		cancel()
		<-done
		require.Less(t, out.Len(), seconds*100<<10)
		dependencyLost, dropped := 0, 0.0
		for line := range strings.Lines(out.String()) {
			var l map[string]any
			require.NoError(t, json.Unmarshal([]byte(line), &l), line)
			switch l["msg"] {
			case event.DependencyLost:
				dependencyLost++
			case event.Dropped:
				dropped += l["lines"].(float64)
			}
		}
		require.Equal(t, seconds, dependencyLost)
		require.Equal(t, w.DroppedLines(), int64(dropped))
	})
}

// Lines of frequent events do not displace those of failures and changes from a log of which
// only the last part is kept.
func TestFrequentEventsAreLoggedOnlyAtLevelDebug(t *testing.T) {
	for _, level := range []event.Level{"", event.LevelInfo, event.LevelDebug} {
		var out bytes.Buffer
		w := event.New(&out)
		w.Level = level
		logger := w.Logger()
		logger.Debug(event.Request)
		logger.Info(event.Endpoint)
		require.NoError(t, logger.Sync())
		require.Contains(t, out.String(), event.Endpoint)
		require.Equal(t, level == event.LevelDebug, strings.Contains(out.String(), event.Request), "level %q", level)
		require.Zero(t, w.DroppedLines())
	}
}
