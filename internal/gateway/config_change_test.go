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

// slowHomes answers a reservation after a second.
type slowHomes struct{}

func (slowHomes) Reserve(ctx context.Context, _ fleet.Reservation) fleet.ReservationResult {
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
	}
	return fleet.GrantAccepted
}

func (slowHomes) Partial() bool { return true }

// A configuration that comes into force while a request is in progress must not end it, whatever the
// request waits for: a later version removes its route, its service or its key, or shortens its limits.
func TestLaterConfigurationLeavesRequestsInProgress(t *testing.T) {
	const timeout = 10_000
	first := func() arrangement.Config {
		return arrangement.Config{
			Customers: []arrangement.Customer{{Name: "saar", Keys: []string{"k"}}, {Name: "mets", Keys: []string{"other"}}},
			Services:  []arrangement.Service{{Name: "portal"}},
			Routes: []arrangement.Route{{
				Name: "r", Path: "/", Stream: true, TimeoutMillis: timeout, Attempts: 1, Repeat: arrangement.RepeatNever,
				Targets: []arrangement.Target{{Service: "portal", Weight: 1}},
			}},
			Limits: arrangement.Limits{MaxBodyBytes: 1000, IdleTimeoutMillis: 15_000},
		}
	}
	for _, c := range []struct {
		name   string
		change func(*arrangement.Config)
	}{
		{"route removed", func(c *arrangement.Config) { c.Routes = nil }},
		{"service removed", func(c *arrangement.Config) {
			c.Services, c.Routes[0].Targets = nil, []arrangement.Target{{Service: "other", Weight: 1}}
		}},
		{"no target left", func(c *arrangement.Config) { c.Routes[0].Targets = nil }},
		{"key revoked", func(c *arrangement.Config) { c.Customers = c.Customers[1:] }},
		{"shorter time limit", func(c *arrangement.Config) { c.Routes[0].TimeoutMillis = 1 }},
		{"shorter body and idle limits", func(c *arrangement.Config) {
			c.Limits = arrangement.Limits{MaxBodyBytes: 1, IdleTimeoutMillis: 1}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGateway(t, first())
				g.handler.Homes = slowHomes{}
				g.addEndpoint("i-1", func(r *http.Request, body string, w io.Writer) bool {
					fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 51\r\n\r\n", r.Header.Get("Request-Id"))
					for id := 1; id <= 3; id++ {
						time.Sleep(time.Second)
						fmt.Fprintf(w, "id: %d\ndata: %-3.3s\n\n", id, body)
					}
					return true
				})
				defer time.Sleep(time.Minute)
				// One request begins every 0.5 s: when the version comes, the first ones have all
				// events but the last, the last ones wait for a reservation or for their bodies.
				results := make(chan string, 8)
				for n := range cap(results) {
					go func() {
						time.Sleep(time.Duration(n) * 500 * time.Millisecond)
						body, write := io.Pipe()
						go func() {
							_, _ = io.WriteString(write, "a")
							time.Sleep(400 * time.Millisecond)
							_, _ = io.WriteString(write, "bc")
							_ = write.Close()
						}()
						r, err := http.NewRequest(http.MethodPost, "http://h/", body)
						require.NoError(t, err)
						r.Header.Set("Request-Id", fmt.Sprint(n))
						r.Header.Set("Key", "k")
						resp, err := g.client.Do(r)
						if err != nil {
							results <- err.Error()
							return
						}
						defer resp.Body.Close()
						got, err := io.ReadAll(resp.Body)
						results <- fmt.Sprint(resp.StatusCode, " ", strings.ReplaceAll(string(got), "\n", " "), err)
					}()
				}
				time.Sleep(3600 * time.Millisecond)
				later := first()
				c.change(&later)
				require.True(t, g.handler.Use(later, 2))
				for range cap(results) {
					require.Equal(t, "200 id: 1 data: abc  id: 2 data: abc  id: 3 data: abc  <nil>", <-results)
				}
			})
		})
	}
}
