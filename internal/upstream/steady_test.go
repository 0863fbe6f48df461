package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/upstream"
)

// An endpoint behind a narrow path takes a long body steadily: it is not given up.
func TestSteadyEndpointIsNotStalled(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	const size = 4 << 20
	read := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
		br := bufio.NewReader(c)
		for {
			line, err := br.ReadString('\n')
			if err != nil || line == "\r\n" {
				break
			}
		}
		n, began := int64(0), time.Now()
		for n < size {
			m, err := io.CopyN(io.Discard, br, min(10<<10, size-n))
			n += m
			if err != nil {
				break
			}
			if time.Since(began) < 8*time.Second {
				time.Sleep(100 * time.Millisecond) // 100 KB/s
			}
		}
		read <- n
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(time.Second)
	}()
	p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", l.Addr().String())
	}}
	began := time.Now()
	body, err := post(p, "1", strings.Repeat("b", size))
	require.NoError(t, err, "after %v, the endpoint has read %d bytes", time.Since(began), <-read)
	require.Equal(t, "ok", body)
}
