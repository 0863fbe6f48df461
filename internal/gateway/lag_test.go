package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/overload"
)

// Beside a processor that lags, endpoints worked on for more than a second after their callers' deadlines: they
// were told the time left before a connection was made, and the end of a run waited for the processor three times. The run
// ends by what the instance lags then.
func TestRunEndsBeforeDeadlineByLag(t *testing.T) {
	const lag, dial, wait = 35 * time.Millisecond, 300 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		laterLag  time.Duration // from half a second on
		readDelay time.Duration // of the connection, which is new
		want      time.Duration
	}{
		"lag lasts":                         {lag, 0, wait - 2*lag},
		"lag ends":                          {0, 0, wait - lag},
		"a new connection waits to be read": {lag, 450 * time.Millisecond, wait - 2*lag},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				defer time.Sleep(time.Minute)
				g := newTestGateway(t, unaryConfig())
				g.handler.Overload = &overload.Meter{}
				g.handler.Overload.Record(lag)
				g.handler.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					time.Sleep(dial)
					return g.network.Dial(ctx, network, address)
				}
				g.readDelay = c.readDelay
				asked := time.Now()
				stated, ended := make(chan string, 1), make(chan time.Duration, 1)
				l, err := g.network.Listen()
				require.NoError(t, err)
				go func() {
					conn, err := l.Accept()
					require.NoError(t, err)
					br := bufio.NewReader(conn)
					r, err := http.ReadRequest(br)
					require.NoError(t, err)
					stated <- r.Header.Get("Wait")
					_, _ = io.Copy(io.Discard, br)
					ended <- time.Since(asked)
				}()
				g.put("i-1", l)
				conn := g.ask(wait)
				time.Sleep(wait / 2)
				for g.handler.Overload.Lag() > c.laterLag {
					g.handler.Overload.Record(c.laterLag)
				}
				time.Sleep(wait)
				require.Equal(t, strconv.FormatInt((wait-dial-c.readDelay-2*lag).Milliseconds(), 10), <-stated)
				require.Equal(t, c.want, <-ended)
				require.NoError(t, conn.Close())
			})
		})
	}
}
