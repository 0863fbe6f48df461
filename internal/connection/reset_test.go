package connection_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/connection"
)

// Messages that an instance had given up arrived after a cut and counted as current.
func TestGivenUpMessageIsNotSentLater(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	received, result := make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			result <- err
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 1))
		close(received)
		_, err = io.Copy(io.Discard, conn)
		result <- err
	}()
	client := &http.Client{Transport: &http.Transport{DialContext: connection.ResetOnClose((&net.Dialer{}).DialContext)}}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), strings.NewReader("message"))
	require.NoError(t, err)
	_, err = client.Do(req)
	require.ErrorIs(t, err, context.Canceled)
	require.ErrorIs(t, <-result, syscall.ECONNRESET)
}

func TestDialErrorIsReturned(t *testing.T) {
	dial := connection.ResetOnClose(func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED })
	_, err := dial(t.Context(), "tcp", "127.0.0.1:1")
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}
