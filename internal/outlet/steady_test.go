package outlet_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/backlog"
	"github.com/greengagestep/greengagestep/internal/outlet"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// A caller that reads steadily, if slowly, is not given up: the socket's buffer gives room in large steps. One that stops is.
func TestSteadyCallerIsNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, other := net.Pipe()
		defer other.Close()
		socket := &standin.Socket{Conn: conn, Buffer: 4 << 20}
		given := make(chan backlog.Reason, 1)
		server := outlet.New(socket, &backlog.Account{MaxBytes: 64 << 20}, func(_ string, r backlog.Reason) { given <- r })
		go func() {
			_, _ = server.Write(make([]byte, 12<<20))
		}()
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			require.NotZero(t, socket.Take(4<<10))
			require.Empty(t, given)
		}
		time.Sleep(backlog.ReadTimeout - 2*time.Second)
		require.Empty(t, given)
		time.Sleep(4 * time.Second)
		require.Equal(t, backlog.ReasonStalled, <-given)
	})
}

// What a socket of the operating system holds for its caller is known.
func TestUnacknowledgedOfSocket(t *testing.T) {
	server, _ := connect(t, &backlog.Account{MaxBytes: 1 << 20})
	require.Zero(t, server.Unacknowledged())
	for server.Unacknowledged() == 0 {
		_, err := server.Write(make([]byte, 20_000))
		require.NoError(t, err)
	}
}
