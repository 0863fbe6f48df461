package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// silentHomes answers no reservation.
type silentHomes struct{}

func (silentHomes) Reserve(ctx context.Context, _ fleet.Reservation) fleet.ReservationResult {
	<-ctx.Done()
	return fleet.GrantNoAnswer
}

func (silentHomes) Partial() bool { return true }

// The instance ends while requests are in progress: they were cut off without an answer. Those that
// have not run are refused, those that may have run get an error status, and a stream whose beginning
// the caller has is cut off, so that it does not look complete.
func TestEndedRequestsAreAnswered(t *testing.T) {
	for _, c := range []struct {
		name     string
		homes    fleet.Homes
		answer   string // what the endpoint has sent when the instance ends
		status   int
		body     string
		complete bool
	}{
		{"waiting for a reservation", silentHomes{}, "", http.StatusServiceUnavailable, "stopping\n", true},
		{"without a response", nil, "", http.StatusBadGateway, "stopping\n", true},
		{"within a short response", nil, "Content-Length: 9\r\n\r\nhalf", http.StatusBadGateway, "stopping\n", true},
		{"within a stream", nil, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: x\n\n\n\r\n", http.StatusOK, "id: 1\ndata: x\n\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGateway(t, arrangement.Config{Routes: []arrangement.Route{{
					Name: "r", Path: "/", Stream: true, Targets: []arrangement.Target{{Service: "portal", Weight: 1}}, Repeat: arrangement.RepeatNever, Attempts: 1,
				}}})
				g.handler.Homes = c.homes
				g.addEndpoint("i-1", func(r *http.Request, _ string, w io.Writer) bool {
					if c.answer != "" {
						fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\n%s", r.Header.Get("Request-Id"), c.answer)
					}
					time.Sleep(time.Minute)
					return false
				})
				defer time.Sleep(2 * time.Minute)
				time.AfterFunc(5*time.Second, g.handler.EndRequests)
				sent := time.Now()
				r, err := http.NewRequest(http.MethodPost, "http://h/", strings.NewReader("x"))
				require.NoError(t, err)
				r.Header.Set("Request-Id", "1")
				resp, err := g.client.Do(r)
				require.NoError(t, err)
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				require.Equal(t, c.complete, err == nil, err)
				require.Equal(t, c.status, resp.StatusCode)
				require.Equal(t, c.body, string(body))
				require.Equal(t, c.status == http.StatusServiceUnavailable, resp.Header.Get("Retry-After") != "")
				require.Equal(t, 5*time.Second, time.Since(sent))
				require.Zero(t, g.handler.Active())
			})
		})
	}
}
