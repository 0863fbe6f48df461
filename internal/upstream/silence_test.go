package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/greengagestep/greengagestep/internal/upstream"
)

// A path that carries nothing for a second or so and works again must not break the connections over
// it: the kernel must send a probe, or wait for an acknowledgement, later than that before it gives a
// connection up. A path that stays lost must be noticed before long.
func TestConnectionsOutliveSilence(t *testing.T) {
	const silence, lost = 1500 * time.Millisecond, 3 * time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var conn *net.TCPConn
	pool := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, network, address)
		if err == nil {
			conn = c.(*net.TCPConn)
		}
		return c, err
	}}
	defer pool.Close()
	require.NoError(t, pool.Probe(context.Background(), l.Addr().String()))

	option := func(option int, unit time.Duration) time.Duration {
		raw, err := conn.SyscallConn()
		require.NoError(t, err)
		var value int
		var optErr error
		require.NoError(t, raw.Control(func(fd uintptr) {
			value, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
		}))
		require.NoError(t, optErr)
		return time.Duration(value) * unit
	}
	userTimeout := option(unix.TCP_USER_TIMEOUT, time.Millisecond)
	require.Greater(t, userTimeout, silence)
	require.LessOrEqual(t, userTimeout, lost)

	// The kernel gives up at the first tick of its probes that is past the user timeout.
	lastProbe := time.Duration(0)
	tick := option(unix.TCP_KEEPIDLE, time.Second)
	for tick < userTimeout {
		lastProbe = tick
		tick += option(unix.TCP_KEEPINTVL, time.Second)
	}
	require.Greater(t, lastProbe, silence)
	require.LessOrEqual(t, tick, lost)
}
