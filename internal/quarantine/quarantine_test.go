package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/quarantine"
)

func newList() *quarantine.List { return quarantine.New(&audit.Trail{}) }

func TestRequestThatCrashesTwoEndpointsIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList()
		l.Crashed("print", "m0", "r1", time.Now())
		l.Crashed("print", "m0", "r2", time.Now())
		require.False(t, l.Contains("print"), "two crashes of one endpoint count once")
		l.Crashed("print", "m1", "r3", time.Now())
		require.True(t, l.Contains("print"))
		time.Sleep(11 * time.Minute)
		require.False(t, l.Contains("print"))
	})
}

func TestRequestSentToACrashedEndpointIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newList()
		started := time.Now()
		time.Sleep(time.Second)
		l.Crashed("fault", "m0", "r1", started)
		l.Crashed("fault", "m1", "r1", started)
		time.Sleep(time.Second)
		l.Crashed("late", "m0", "r2", time.Now())
		l.Crashed("late", "m1", "r2", time.Now())
		require.True(t, l.Contains("fault"))
		require.False(t, l.Contains("late"))
	})
}

func TestPeersExchangeCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newList(), newList()
		a.Crashed("print", "m0", "r1", time.Now())
		b.Crashed("print", "m1", "r2", time.Now())
		message := a.Compose("b")
		a.Sent("b", false)
		require.Equal(t, message, a.Compose("b"), "a message that did not arrive is sent again")
		a.Sent("b", true)
		require.Nil(t, a.Compose("b"))
		require.NoError(t, b.Receive("a", message))
		require.True(t, b.Contains("print"))
	})
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte(`[{"p":"a","e":"m0","r":"r"}]`))
	f.Fuzz(func(_ *testing.T, data []byte) { _ = newList().Receive("a", data) })
}
