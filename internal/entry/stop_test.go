package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/entry"
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

// The head of a request came before the time from which requests are refused in a planned stop, the
// rest of its body after it: it was accepted by the time of its head and cut off at the end of the
// process, or its body was still being read then. It is refused without having run.
func TestStopRefusesRequestsWhoseBodiesArriveLate(t *testing.T) {
	for _, c := range []struct {
		name string
		// head and rest are when the two parts of the request are sent, after the signal; a rest
		// of zero is never sent.
		head, rest time.Duration
		// limit is that of the route.
		limit time.Duration
		// status is that of the response, which arrives at answered at the latest.
		status   int
		answered time.Duration
	}{
		{"in time", 2 * time.Second, 2600 * time.Millisecond, 6 * time.Second, http.StatusOK, 5 * time.Second},
		{"late but fitting", 2 * time.Second, 4 * time.Second, 5 * time.Second, http.StatusOK, 6400 * time.Millisecond},
		{"past the end of the process", 2 * time.Second, 4 * time.Second, 6 * time.Second, http.StatusServiceUnavailable, 4100 * time.Millisecond},
		{"no limit", 2 * time.Second, 4 * time.Second, 0, http.StatusServiceUnavailable, 4100 * time.Millisecond},
		{"head before the signal", -time.Second, 4 * time.Second, 0, http.StatusServiceUnavailable, 4100 * time.Millisecond},
		{"never whole", 2 * time.Second, 0, 0, http.StatusServiceUnavailable, 6700 * time.Millisecond},
		{"never whole, head before the signal", -time.Second, 0, 0, http.StatusServiceUnavailable, 6700 * time.Millisecond},
		{"never whole, a fitting limit", 4500 * time.Millisecond, 0, 3 * time.Second, http.StatusServiceUnavailable, 6700 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				f := newFixture(t)
				f.routeTimeout = c.limit
				f.startServing()
				f.processingTime = 2300 * time.Millisecond
				signal := time.Now().Add(2 * time.Second)
				statuses := make(chan int, 1)
				go func() {
					// This call keeps the process from ending early.
					time.Sleep(time.Until(signal.Add(2700 * time.Millisecond)))
					f.request(f.callers, "/a/x", "k")
				}()
				var answered time.Duration
				go func() {
					status := f.requestInParts(signal.Add(c.head), c.rest, signal)
					answered = time.Since(signal)
					statuses <- status
				}()
				time.Sleep(time.Until(signal))
				f.stop()
				require.NoError(t, <-f.done)
				require.Equal(t, c.status, <-statuses)
				require.LessOrEqual(t, answered, c.answered)
			})
		})
	}
}

// requestInParts sends the head and a part of the body of a request at head, and the rest of the body
// at a time after the signal; zero means never. It returns the status of the response, zero if there
// is none.
func (f *fixture) requestInParts(head time.Time, rest time.Duration, signal time.Time) int {
	time.Sleep(time.Until(head))
	c, err := f.net.Dial(context.Background(), "tcp", f.callers.Addr().String())
	require.NoError(f.t, err)
	defer c.Close()
	go func() {
		fmt.Fprint(c, "POST /a/x HTTP/1.1\r\nHost: front\r\nKey: k\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nx")
		if rest > 0 {
			time.Sleep(time.Until(signal.Add(rest)))
			fmt.Fprint(c, "x")
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Requests that were accepted before a planned stop and that no endpoint has answered by its end
// were cut off without an answer. Each gets one while the process still runs.
func TestStopAnswersRequestsThatItEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		// sent is when the request is sent, after the signal.
		sent time.Duration
	}{
		{"in progress before the signal", -time.Second},
		{"accepted after the signal", time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				f := newFixture(t)
				f.startServing()
				f.processingTime = 20 * time.Second
				signal := time.Now().Add(2 * time.Second)
				status, body, answered := 0, "", time.Duration(0)
				var sent sync.WaitGroup
				sent.Go(func() {
					time.Sleep(time.Until(signal.Add(c.sent)))
					status, body = f.request(f.callers, "/a/x", "k")
					answered = time.Since(signal)
				})
				time.Sleep(time.Until(signal))
				f.stop()
				require.NoError(t, <-f.done)
				ended := time.Since(signal)
				sent.Wait()
				require.Equal(t, http.StatusBadGateway, status)
				require.Equal(t, "stopping", strings.TrimSpace(body))
				require.LessOrEqual(t, answered, ended)
				require.Less(t, ended, 8*time.Second)
			})
		})
	}
}

// A request was in progress when a planned stop began: its response did not say that its connection
// closes, so that the caller's next request could cross the closing of the idle connection.
func TestStopClosesConnectionsOfRequestsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		f := newFixture(t)
		f.startServing()
		c := f.dialCallers()
		f.processingTime = time.Second
		closes := make(chan bool, 1)
		go func() {
			fmt.Fprint(c, requestStart+requestEnd)
			resp, err := http.ReadResponse(c.br, nil)
			closes <- err == nil && resp.StatusCode == http.StatusOK && resp.Close
		}()
		time.Sleep(500 * time.Millisecond)
		f.stop()
		require.NoError(t, <-f.done)
		require.True(t, <-closes)
	})
}

// A loaded machine delivers the signal to stop late, and the platform kills the process when the grace
// period after the signal was sent has passed: the requests that were left got no answer.
func TestStopEndsBeforeGraceDespiteLag(t *testing.T) {
	for _, c := range []struct {
		lag  time.Duration
		ends time.Duration // after the instance got the signal
	}{
		{0, 7700 * time.Millisecond},
		{400 * time.Millisecond, 7300 * time.Millisecond},
		// A process that was frozen may have got the signal after that: its work keeps most of
		// the grace period.
		{5 * time.Second, 7200 * time.Millisecond},
	} {
		t.Run(c.lag.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				f := newFixture(t)
				f.startServing()
				f.lag.Store(int64(c.lag))
				f.processingTime = 20 * time.Second
				status := make(chan int, 1)
				go func() {
					s, _ := f.request(f.callers, "/a/x", "k")
					status <- s
				}()
				time.Sleep(time.Second)
				signal := time.Now()
				f.stop()
				require.Equal(t, http.StatusBadGateway, <-status)
				require.InDelta(t, c.ends.Seconds(), time.Since(signal).Seconds(), 0.05)
				require.NoError(t, <-f.done)
			})
		})
	}
}

// The settings change during a planned stop. A shorter grace period was not heeded, and the platform
// killed the process before it had answered the requests that were left.
func TestShorterGraceHoldsDuringStop(t *testing.T) {
	for _, c := range []struct {
		name    string
		changed time.Duration // when the settings change, after the signal
		grace   time.Duration // from then on
		ends    time.Duration // after the signal
	}{
		{"shorter", 2 * time.Second, 5 * time.Second, 4700 * time.Millisecond},
		{"shorter than the time passed", 6 * time.Second, 5 * time.Second, 6 * time.Second},
		{"longer", 2 * time.Second, 20 * time.Second, 7700 * time.Millisecond},
		{"missing", 2 * time.Second, 0, 7700 * time.Millisecond},
		{"missing, before the signal", -500 * time.Millisecond, 0, 7700 * time.Millisecond},
		{"longer, before the signal was handled", 0, 20 * time.Second, 19700 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				f := newFixture(t)
				f.startServing()
				f.processingTime = 30 * time.Second
				status := make(chan int, 1)
				go func() {
					s, _ := f.request(f.callers, "/a/x", "k")
					status <- s
				}()
				go func() {
					time.Sleep(time.Second + c.changed)
					f.settings <- entry.Settings{Grace: c.grace}
				}()
				time.Sleep(time.Second)
				signal := time.Now()
				f.stop()
				require.Equal(t, http.StatusBadGateway, <-status)
				require.InDelta(t, c.ends.Seconds(), time.Since(signal).Seconds(), 0.05)
				require.NoError(t, <-f.done)
			})
		})
	}
}
