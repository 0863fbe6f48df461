package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/link"
)

// pipes is a listener whose connections are in memory.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// A link without requests is closed, and the next request opens another one; while there are some now and
// then it stays open. One that is opened and never used is closed by the other side.
func TestIdleLinkIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		links := &link.Handler{SignatureHeader: "Signature", Logger: zap.NewNop(), Next: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
		})}
		accepted := pipes(make(chan net.Conn))
		server := &http.Server{Handler: links}
		go func() { _ = server.Serve(accepted) }()
		defer close(accepted)
		defer links.Close()
		opened := 0
		transport := &link.Transport{SignatureHeader: "Signature", Dial: func(context.Context, string, string) (net.Conn, error) {
			opened++
			client, server := net.Pipe()
			accepted <- server
			return client, nil
		}}
		defer transport.Close()
		for i, step := range []struct {
			pause  time.Duration
			opened int
		}{{0, 1}, {9 * time.Second, 1}, {14 * time.Second, 1}, {14 * time.Second, 1}, {41 * time.Second, 2}, {time.Second, 2}} {
			time.Sleep(step.pause)
			got, err := post(t.Context(), transport, "http://10.0.0.1:80/echo", "x")
			require.NoError(t, err)
			require.Equal(t, "200 : x", got)
			require.Equal(t, step.opened, opened, "step %d", i)
		}
		unused, other := net.Pipe()
		accepted <- other
		fmt.Fprintf(unused, "POST /link HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: greengagestep-link\r\nContent-Length: 0\r\n\r\n")
		from, r := time.Now(), bufio.NewReader(unused)
		_, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		_, err = r.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.Equal(t, time.Minute, time.Since(from))
	})
}

// Long replies, as of many records, wait for short ones.
func TestShortFramesDoNotWaitForLongOnes(t *testing.T) {
	const long, short = 100_000, 300
	synctest.Test(t, func(t *testing.T) {
		require.Equal(t, []uint32{0, 2, 4, 1, 3}, link.WriteAll(long, long, short, long, short))
	})
}
