package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A call whose caller and route set no time limit was accepted until shortly before the end of a
// planned stop, and cut off if its endpoint was not done by then. It is refused as soon as the load
// balancer sends callers elsewhere.
func TestStopRefusesCallsWithoutTimeLimit(t *testing.T) {
	for arrival := 3 * time.Second; arrival < 7*time.Second; arrival += 500 * time.Millisecond {
		t.Run(arrival.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				f := newFixture(t)
				f.startServing()
				f.processingTime = 4800 * time.Millisecond
				statuses := make(chan int, 1)
				f.stop()
				go func() {
					// This call keeps the process from ending early.
					time.Sleep(2500 * time.Millisecond)
					s, _ := f.request(f.callers, "/a/x", "k")
					statuses <- s
				}()
				time.Sleep(arrival)
				status, body := f.request(f.callers, "/a/x", "k")
				require.NoError(t, <-f.done)
				require.Equal(t, http.StatusOK, <-statuses)
				require.Equal(t, http.StatusServiceUnavailable, status)
				require.Equal(t, "stopping", strings.TrimSpace(body))
			})
		})
	}
}
