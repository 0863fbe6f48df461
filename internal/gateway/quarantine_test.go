package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// A caller that keeps retrying a request that crashes every endpoint running it could take
// down all endpoints one after the other. After two crashes the request must be refused,
// while other requests are still served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := arrangement.Route{Name: "r", Path: "/", Targets: []arrangement.Target{{Service: "portal", Weight: 1}}, Repeat: arrangement.RepeatNever}
		g := newTestGateway(t, arrangement.Config{Routes: []arrangement.Route{route}})
		g.handler.Quarantine = quarantine.New(&audit.Trail{})
		crashed := 0
		for _, id := range []string{"e1", "e2", "e3", "e4"} {
			g.addEndpoint(id, func(r *http.Request, body string, w io.Writer) bool {
				if body == "poison" {
					crashed++
					_ = g.listeners[id].Close()
					return false
				}
				writeResponse(w, r, http.StatusOK, "ok")
				return true
			})
		}
		send := func(body string) int {
			req, err := http.NewRequest(http.MethodPost, "http://front/a", strings.NewReader(body))
			require.NoError(t, err)
			req.Header.Set("Request-Id", "1")
			resp, err := g.client.Do(req)
			require.NoError(t, err)
			_ = resp.Body.Close()
			time.Sleep(time.Second)
			return resp.StatusCode
		}
		require.Equal(t, http.StatusBadGateway, send("poison"))
		require.Equal(t, http.StatusBadGateway, send("poison"))
		for range 5 {
			require.Equal(t, http.StatusServiceUnavailable, send("poison"))
		}
		require.Equal(t, 2, crashed)
		require.Equal(t, http.StatusOK, send("fine"))
	})
}
