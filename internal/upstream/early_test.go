package upstream_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/upstream"
)

// An endpoint answers before it has read a long body, and reads on after its answer: the answer is not cut off.
func TestEarlyAnswerOutlastsUnreadBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{serve: func(c net.Conn, br *bufio.Reader) {
			_, err := br.ReadString('\n')
			require.NoError(t, err)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 10\r\n\r\n")
			for range 10 {
				time.Sleep(time.Second)
				if _, err := c.Write([]byte("x")); err != nil {
					return
				}
			}
			time.Sleep(time.Minute)
		}}
		p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: d.dial}
		body, err := post(p, "1", strings.Repeat("b", 1<<20))
		require.NoError(t, err)
		require.Equal(t, "xxxxxxxxxx", body)
		time.Sleep(2 * time.Minute)
	})
}
