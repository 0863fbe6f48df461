package quarantine_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/quarantine"
)

func list() *quarantine.List { return quarantine.New(&audit.Trail{}) }

func TestTwoEndpointsQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := list()
		l.Crashed("print", "m0", "r1", time.Now())
		l.Crashed("print", "m0", "r2", time.Now())
		require.False(t, l.Held("print"), "one endpoint counts once")
		l.Crashed("print", "m1", "r3", time.Now())
		require.True(t, l.Held("print"))
		time.Sleep(11 * time.Minute)
		require.False(t, l.Held("print"))
	})
}

func TestRequestSentToACrashedEndpointIsInnocent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := list()
		begun := time.Now()
		time.Sleep(time.Second)
		l.Crashed("fault", "m0", "r1", begun)
		l.Crashed("fault", "m1", "r1", begun)
		time.Sleep(time.Second)
		l.Crashed("late", "m0", "r2", time.Now())
		l.Crashed("late", "m1", "r2", time.Now())
		require.True(t, l.Held("fault"))
		require.False(t, l.Held("late"))
	})
}

func TestPeersLearnOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := list(), list()
		a.Crashed("print", "m0", "r1", time.Now())
		b.Crashed("print", "m1", "r2", time.Now())
		message := a.Compose("b")
		a.Sent("b", false)
		require.Equal(t, message, a.Compose("b"), "a lost message is repeated")
		a.Sent("b", true)
		require.Nil(t, a.Compose("b"))
		require.NoError(t, b.Receive("a", message))
		require.True(t, b.Held("print"))
	})
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte(`[{"p":"a","e":"m0","r":"r"}]`))
	f.Fuzz(func(_ *testing.T, data []byte) { _ = list().Receive("a", data) })
}
