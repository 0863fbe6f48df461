package connection_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/connection"
)

// A write was told of the reset of a connection: the next read returned the end of the stream, so that a response without a length
// looked complete. On a connection that the peer has closed in order before the reset, reads do return the end.
func TestReadsReportReset(t *testing.T) {
	for name, dial := range map[string]connection.Dial{
		"ReportReset":  connection.ReportReset((&net.Dialer{}).DialContext),
		"ResetOnClose": connection.ResetOnClose((&net.Dialer{}).DialContext),
	} {
		for _, c := range []struct {
			name    string
			closed  bool // in order, before the reset
			readEnd error
		}{
			{"reset", false, syscall.ECONNRESET},
			{"closed, then reset", true, io.EOF},
		} {
			t.Run(name+" "+c.name, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer listener.Close()
				conn, err := dial(t.Context(), "tcp", listener.Addr().String())
				require.NoError(t, err)
				defer conn.Close()
				peer, err := listener.Accept()
				require.NoError(t, err)
				_, err = io.WriteString(peer, "part")
				require.NoError(t, err)
				if c.closed {
					require.NoError(t, peer.(*net.TCPConn).CloseWrite())
				}
				require.NoError(t, peer.(*net.TCPConn).SetLinger(0))
				require.NoError(t, peer.Close())
				for range 2 {
					_, err = io.WriteString(conn, "upload")
					require.Error(t, err)
				}
				data, err := io.ReadAll(conn)
				require.Equal(t, "part", string(data))
				if c.closed {
					require.NoError(t, err)
					_, err = conn.Read(make([]byte, 1))
				}
				require.ErrorIs(t, err, c.readEnd)
			})
		}
	}
}
