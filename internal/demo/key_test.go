package demo_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// Two requests with one idempotency key differed in their queries only: the second one got the answer of the
// first one.
func TestKeyOfRequestWithAnotherQueryIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := &demo.Site{Network: &standin.MemoryNetwork{}, InstanceCount: 1, DomainCount: 1, EngineCount: 1, PlainCount: 1}
		require.NoError(t, site.Start())
		defer func() { require.NoError(t, site.Close()) }()
		_, err := site.Publish(t.Context(), demo.ConfigText(), 0)
		require.NoError(t, err)
		client := site.Client()
		defer client.CloseIdleConnections()
		call := func(query string) int {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+site.Nodes[0].CallerAddress+"/portal/orders"+query, strings.NewReader("an order"))
			require.NoError(t, err)
			req.Header.Set("Authorization", "Bearer key-0")
			req.Header.Set("Idempotency-Key", "order-1")
			resp, err := client.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			return resp.StatusCode
		}
		require.Equal(t, http.StatusOK, call("?a=1"))
		require.Equal(t, http.StatusOK, call("?a=1"))
		require.Equal(t, http.StatusUnprocessableEntity, call("?a=2"))
		require.Equal(t, http.StatusUnprocessableEntity, call(""))
	})
}
