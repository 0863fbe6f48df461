package entry_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// callerConn is a connection of a caller that sends requests in two parts.
type callerConn struct {
	net.Conn
	br *bufio.Reader
}

const (
	requestStart = "GET /a/x HTTP/1.1\r\nHost: front\r\nKey: k\r\n"
	requestEnd   = "Request-Id: 1\r\n\r\n"
)

// dialCallers connects to the instance and sends one request.
func (f *fixture) dialCallers() callerConn {
	c, err := f.net.Dial(context.Background(), "tcp", f.callers.Addr().String())
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	conn := callerConn{Conn: c, br: bufio.NewReader(c)}
	status, _ := conn.request(0)
	require.Equal(f.t, http.StatusOK, status)
	return conn
}

// request sends a request with a pause within its headers. It returns the status and the
// Keep-Alive header of the response; the status is 0 if the connection was closed without one.
func (c callerConn) request(pause time.Duration) (status int, keepAlive string) {
	if _, err := c.Write([]byte(requestStart)); err != nil {
		return 0, ""
	}
	time.Sleep(pause)
	if _, err := c.Write([]byte(requestEnd)); err != nil {
		return 0, ""
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, ""
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Keep-Alive")
}

// Guards against requests without a response: a connection is not idle while a request is
// being read from it, however long it was idle before.
func TestConnectionWithRequestBeingReadIsNotClosedAsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.idleTimeout = 3 * time.Second
		f.startServing()
		var statuses []int
		for idle := 2 * time.Second; idle < 3500*time.Millisecond; idle += 100 * time.Millisecond {
			c := f.dialCallers()
			time.Sleep(idle)
			status, _ := c.request(2 * time.Second)
			statuses = append(statuses, status)
		}
		f.shutDown()
		for _, s := range statuses {
			require.Equal(t, http.StatusOK, s, statuses)
		}
	})
}

// Guards against requests without a response around a planned stop: the same when the
// instance closes its idle connections before it ends.
func TestStopAnswersRequestBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.routeTimeout = time.Second
		f.startServing()
		c := f.dialCallers()
		statuses := make(chan int, 1)
		f.stop()
		time.Sleep(2700 * time.Millisecond)
		go func() {
			status, _ := c.request(500 * time.Millisecond)
			statuses <- status
		}()
		err := <-f.done
		require.Equal(t, http.StatusOK, <-statuses)
		require.NoError(t, err)
	})
}

// Guards against requests that run though their connection is being closed, so that their
// callers get no response: whenever a request arrives, it is answered or it does not run.
func TestRequestOnClosingConnectionIsAnsweredOrNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.idleTimeout = 3 * time.Second
		f.startServing()
		answered, closed := 0, 0
		for idle := 3400 * time.Millisecond; idle < 4100*time.Millisecond; idle += 7 * time.Millisecond {
			c := f.dialCallers()
			answered++
			time.Sleep(idle)
			switch status, _ := c.request(0); status {
			case http.StatusOK:
				answered++
			default:
				require.Zero(t, status)
				closed++
			}
		}
		f.shutDown()
		require.NotZero(t, closed)
		require.EqualValues(t, answered, f.run.Load())
	})
}

// Guards against requests that cross the closing of their idle connection: responses state how
// long it may be idle, and it is not closed before, whatever a later configuration says.
func TestConnectionIsKeptForStatedIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.idleTimeout = 10 * time.Second
		f.startServing()
		var statuses []int
		var stated []string
		request := func(c callerConn) {
			status, keepAlive := c.request(0)
			statuses, stated = append(statuses, status), append(stated, keepAlive)
		}
		c := f.dialCallers()
		request(c)
		f.idleTimeout = 3 * time.Second
		f.publish(6, "/a/")
		time.Sleep(9 * time.Second)
		request(c)
		time.Sleep(2 * time.Second)
		request(c)
		time.Sleep(5 * time.Second)
		request(c)
		f.shutDown()
		require.Equal(t, []string{"timeout=10", "timeout=3", "timeout=3", ""}, stated)
		require.Equal(t, []int{http.StatusOK, http.StatusOK, http.StatusOK, 0}, statuses)
	})
}
