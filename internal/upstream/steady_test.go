package upstream_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/internal/upstream"
)

// An endpoint behind a narrow path takes a long body steadily: it is not given up, though its socket gives room in large steps.
func TestSteadyEndpointIsNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 8 << 20
		p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: func(context.Context, string, string) (net.Conn, error) {
			conn, endpoint := net.Pipe()
			socket := &standin.Socket{Conn: conn, Buffer: 4 << 20}
			go func() {
				defer endpoint.Close()
				for taken := 0; taken <= size; taken += socket.Take(10 << 10) {
					time.Sleep(100 * time.Millisecond) // 100 KB/s
				}
				writeResponse(endpoint, "1", "ok")
			}()
			return socket, nil
		}}
		began := time.Now()
		body, err := post(p, "1", strings.Repeat("b", size))
		require.NoError(t, err, "after %v", time.Since(began))
		require.Equal(t, "ok", body)
		p.Close()
	})
}
