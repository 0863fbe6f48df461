package outlet_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/backlog"
	"github.com/greengagestep/greengagestep/internal/outlet"
)

// A caller that reads steadily, if slowly, is not given up: the socket's buffer gives room in large steps.
func TestSteadyCallerIsNotStalled(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	s, err := l.Accept()
	require.NoError(t, err)
	given := make(chan backlog.Reason, 1)
	account := &backlog.Account{MaxBytes: 64 << 20}
	server := outlet.New(s, account, func(_ string, r backlog.Reason) { given <- r })
	go func() {
		_, _ = server.Write(make([]byte, 12<<20))
		_ = server.Close()
	}()
	read := int64(0)
	for began := time.Now(); time.Since(began) < 12*time.Second; time.Sleep(100 * time.Millisecond) {
		n, err := io.CopyN(io.Discard, c, 4<<10)
		read += n
		select {
		case r := <-given:
			t.Fatalf("given up: %s after %v and %d bytes read (unread %d)", r, time.Since(began), read, account.Unread())
		default:
		}
		require.NoError(t, err)
	}
}
