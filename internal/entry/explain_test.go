package entry_test

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// The address for metrics says where a request would go, without sending it.
func TestExplanationIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		status, body := f.do(f.metrics, http.MethodGet, "/explain?path=/a/x", "k")
		require.Equal(t, http.StatusServiceUnavailable, status, body)
		f.startServing()
		status, body = f.do(f.metrics, http.MethodGet, "/explain?path=/a/x", "k")
		require.Equal(t, http.StatusOK, status)
		require.Contains(t, body, `"customer":"saar"`)
		require.Contains(t, body, `"candidates":[{"endpoint":"i-1"`)
		status, _ = f.do(f.metrics, http.MethodGet, "/explain?path=/b/x", "k")
		require.Equal(t, http.StatusNotFound, status)
		status, _ = f.do(f.metrics, http.MethodGet, "/explain?path=/a/x", "unknown")
		require.Equal(t, http.StatusUnauthorized, status)
		require.Zero(t, f.run.Load())
		f.shutDown()
	})
}
