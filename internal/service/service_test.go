package service_test

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/service"
)

// An unexpected error in a background task, such as one on a malformed message, takes neither
// the process nor other tasks down, and is logged.
func TestPanicEndsOnlyItsTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.ErrorLevel)
		done := false
		service.Go(zap.New(core), "message", func() {
			panic("malformed message")
		})
		service.Go(zap.New(core), "other", func() { done = true })
		synctest.Wait()
		require.True(t, done)
		require.Equal(t, 1, logs.FilterMessage(event.Panic).Len())
		require.Equal(t, "message", logs.All()[0].ContextMap()["task"])
	})
}
