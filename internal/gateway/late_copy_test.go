package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// An endpoint that has started again under another ID rejects requests for its old one, and sends
// the rejection a second time late, as the answer to the next attempt on that connection. That
// attempt was taken for rejected, too: a request that may run once ran at two endpoints.
func TestLateCopyOfRejectionDoesNotAnswerNextAttempt(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			defer time.Sleep(time.Minute)
			g := newTestGateway(t, arrangement.Config{Routes: []arrangement.Route{{
				Name: "r", Path: "/", Targets: []arrangement.Target{{Service: "portal", Weight: 1}}, Repeat: arrangement.RepeatNever, Attempts: 1,
			}}})
			var runs atomic.Int64
			var mu sync.Mutex
			copies := map[io.Writer]string{}
			g.addEndpoint("i-old", func(r *http.Request, _ string, w io.Writer) bool {
				mu.Lock()
				fmt.Fprint(w, copies[w])
				delete(copies, w)
				mu.Unlock()
				if r.Header.Get("Endpoint") == "i-old" {
					rejection := fmt.Sprintf("HTTP/1.1 421 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
					fmt.Fprint(w, rejection)
					mu.Lock()
					copies[w] = rejection
					mu.Unlock()
					return true
				}
				runs.Add(1)
				writeResponse(w, r, http.StatusOK, "booked")
				return true
			})
			address := g.listeners["i-old"].Addr().String()
			g.balancer.Put(placement.Endpoint{ID: "i-new", EndpointInfo: fleet.EndpointInfo{Service: "portal", Address: address, Domain: "a", Slots: 4}})
			for n := range 4 {
				r, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader("q"))
				require.NoError(t, err)
				r.Header.Set("Request-Id", fmt.Sprint(n))
				resp, err := g.client.Do(r)
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
				require.Equal(t, "booked", string(body))
				require.EqualValues(t, n+1, runs.Load())
			}
		})
	}
}
