package outlet_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/backlog"
	"github.com/greengagestep/greengagestep/internal/outlet"
)

// A caller that is given up gets a reset: a response that ends with its connection must not look complete.
func TestGivenUpCallerIsReset(t *testing.T) {
	account := &backlog.Account{MaxBytes: 1 << 20}
	server, caller := connect(t, account)
	for account.Unread() == 0 {
		_, err := server.Write(make([]byte, 20_000))
		require.NoError(t, err)
	}
	var victims []backlog.Victim
	for len(victims) == 0 {
		var ok bool
		ok, victims = account.ReserveBody("", 0, 1_000, time.Now())
		require.True(t, ok)
	}
	require.NotEmpty(t, victims)
	victims[0].Reader.GiveUp(victims[0].Reason)
	n, err := io.Copy(io.Discard, caller)
	require.Error(t, err, "%d bytes and a plain end", n)
}

type listener struct {
	net.Listener
	account *backlog.Account
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return outlet.New(c, l.account, nil), nil
}

// The server closes: a write that waits for a caller that does not read ends soon, as with net/http alone.
func TestServerCloseEndsWaitingWrite(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		_, _ = io.WriteString(w, strings.Repeat("x", 32<<20))
	})}
	go func() { _ = srv.Serve(listener{l, &backlog.Account{MaxBytes: 1 << 20}}) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(500 * time.Millisecond)
	_ = srv.Close()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		t.Fatal("the handler still waits 3 s after Close")
	}
}
