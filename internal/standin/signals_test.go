package standin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/standin"
)

func call(h http.Handler, sender, method, path, body string) *http.Response {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Request-Id", sender+".1")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result()
}

func TestEveryAnswerSaysThatEndpointLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &standin.Engine{Name: "m0"}
		require.Empty(t, call(e, "e0", http.MethodGet, "/load", "").Header.Get("Server-Leaving"))
		e.AnnounceLeaving()
		e.AskForQuiet(time.Second)
		refused := call(e, "e1", http.MethodPost, "/generate", `{"tokens":1}`)
		require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
		require.Equal(t, "1", refused.Header.Get("Server-Leaving"))
		time.Sleep(time.Second)
		for _, answer := range []*http.Response{
			call(e, "e2", http.MethodGet, "/load", ""),
			call(e, "e3", http.MethodPost, "/generate", `{"tokens":1}`),
			call(e, "e4", http.MethodPost, "/generate", "not JSON"),
			call(e, "e5", http.MethodPost, "/order", `{"model":"a"}`),
		} {
			require.Equal(t, "1", answer.Header.Get("Server-Leaving"), answer.Status)
		}
		e.Set(standin.EngineFaults{Unframed: true})
		require.Equal(t, "1", call(e, "e6", http.MethodPost, "/generate", `{"tokens":1}`).Header.Get("Server-Leaving"))
		require.Empty(t, e.SignalCounts().Late, "every sender was told for the first time")
		time.Sleep(3 * time.Second)
		call(e, "e2", http.MethodGet, "/load", "")
		require.Equal(t, []standin.LateRequest{{Sender: "e2", After: 3 * time.Second, Path: "/load"}}, e.SignalCounts().Late)
		e.Restart()
		require.Empty(t, call(e, "e2", http.MethodGet, "/load", "").Header.Get("Server-Leaving"))
	})
}

func TestRequestsInQuietTimeAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &standin.PlainService{Name: "p0"}
		p.AskForQuiet(2500 * time.Millisecond)
		require.Equal(t, "2.500", call(p, "e0", http.MethodGet, "/load", "").Header.Get("Retry-After"))
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, call(p, "e1", http.MethodPost, "/", "x").StatusCode)
		require.Empty(t, p.SignalCounts().Quiet)
		time.Sleep(200 * time.Millisecond)
		call(p, "e0", http.MethodPost, "/", "x")
		call(p, "e1", http.MethodPost, "/", "x") // within half a second of its answer
		require.Equal(t, map[string]int{"e0": 1}, p.SignalCounts().Quiet)
		time.Sleep(1900 * time.Millisecond)
		require.Equal(t, http.StatusOK, call(p, "e0", http.MethodPost, "/", "x").StatusCode)
		require.Equal(t, 4, p.SignalCounts().AskedForQuiet)
		require.Equal(t, map[string]int{"e0": 1}, p.SignalCounts().Quiet)
	})
}

func TestSilentEndpointGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &standin.Engine{Name: "m0", Rate: 10}
		started := time.Now()
		time.AfterFunc(500*time.Millisecond, func() { e.FallSilent(time.Second) })
		body := call(e, "e0", http.MethodPost, "/generate", `{"tokens":10}`)
		require.Equal(t, http.StatusOK, body.StatusCode)
		require.GreaterOrEqual(t, time.Since(started), 1900*time.Millisecond)
	})
}

func TestSignalsAreSetOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &standin.PlainService{Name: "p0"}
		require.Equal(t, http.StatusBadRequest, call(p, "test", http.MethodPost, "/signals", "leaving").StatusCode)
		call(p, "test", http.MethodPost, "/signals", `{"leaving":true,"quiet":1.5}`)
		refused := call(p, "e0", http.MethodGet, "/load", "")
		require.Equal(t, "1.500", refused.Header.Get("Retry-After"))
		require.Equal(t, "1", refused.Header.Get("Server-Leaving"))
		time.Sleep(time.Second)
		call(p, "e0", http.MethodGet, "/load", "")
		answer := call(p, "test", http.MethodGet, "/signals", "")
		require.Empty(t, answer.Header.Get("Server-Leaving"))
		counts, err := io.ReadAll(answer.Body)
		require.NoError(t, err)
		require.JSONEq(t, `{"late":[{"sender":"e0","after":1000000000,"path":"/load"}],"quiet":{"e0":1},"told":["e0"],"asked":2}`, string(counts))
		call(p, "test", http.MethodPost, "/signals", `{"restart":true}`)
		require.Equal(t, http.StatusOK, call(p, "e0", http.MethodGet, "/load", "").StatusCode)
	})
}
