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

// callKeyed returns a function that sends a request with a body and an idempotency key, to a site whose streams may run once only.
func callKeyed(t *testing.T, path, body string) func(query, key, lastEventID string) (int, string) {
	site := &demo.Site{Network: &standin.MemoryNetwork{}, InstanceCount: 1, DomainCount: 1, EngineCount: 1, PlainCount: 1}
	require.NoError(t, site.Start())
	_, err := site.Publish(t.Context(), strings.Replace(demo.ConfigText(), "    repeat: [GET, POST]\n", "", 1), 0)
	require.NoError(t, err)
	client := site.Client()
	t.Cleanup(func() {
		client.CloseIdleConnections()
		require.NoError(t, site.Close())
	})
	return func(query, key, lastEventID string) (int, string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+site.Nodes[0].CallerAddress+path+query, strings.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer key-0")
		req.Header.Set("Kind", "plan")
		req.Header.Set("Idempotency-Key", key)
		if lastEventID != "" {
			req.Header.Set("Last-Event-ID", lastEventID)
		}
		resp, err := client.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(data)
	}
}

// Two requests with one idempotency key differed in their queries only: the second one got the answer of the
// first one.
func TestKeyOfRequestWithAnotherQueryIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		call := callKeyed(t, "/portal/orders", "an order")
		for _, c := range []struct {
			query  string
			status int
		}{{"?a=1", http.StatusOK}, {"?a=1", http.StatusOK}, {"?a=2", http.StatusUnprocessableEntity}, {"", http.StatusUnprocessableEntity}} {
			status, _ := call(c.query, "order-1", "")
			require.Equal(t, c.status, status, c.query)
		}
	})
}

// A caller that resumes a stream with its key gets what follows its last event, and one that asks for all of a stream that was
// resumed when it ran gets no part that may pass as the whole.
func TestKeyOfResumedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		call := callKeyed(t, "/model/generate", `{"prompt":"q","tokens":5}`)
		status, all := call("", "a", "")
		require.Equal(t, http.StatusOK, status)
		_, whole, _ := strings.Cut(all, "id: 4\n")
		rest := "id: 4\n" + whole
		end := rest[strings.Index(rest, "event: end\n"):]
		for _, c := range []struct {
			key, lastEventID string
			status           int
			body             string
		}{
			{"a", "", http.StatusOK, all},
			{"a", "3", http.StatusOK, rest},
			{"a", "5", http.StatusOK, end},
			{"a", "none", http.StatusOK, all},
			{"b", "3", http.StatusOK, rest},
			{"b", "3", http.StatusOK, rest},
			{"b", "4", http.StatusOK, rest[strings.Index(rest, "id: 5\n"):]},
			{"b", "2", http.StatusConflict, ""},
			{"b", "", http.StatusConflict, ""},
			{"c", "5", http.StatusOK, end},
			{"c", "", http.StatusConflict, ""},
			{"c", "5", http.StatusOK, end},
		} {
			status, body := call("", c.key, c.lastEventID)
			require.Equal(t, c.status, status, "%+v", c)
			if status == http.StatusOK {
				require.Equal(t, c.body, body, "%+v", c)
			}
		}
	})
}
