package outlet_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/backlog"
	"github.com/greengagestep/greengagestep/internal/outlet"
	"github.com/greengagestep/greengagestep/internal/standin"
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
	synctest.Test(t, func(t *testing.T) {
		network := &standin.MemoryNetwork{}
		l, err := network.Listen()
		require.NoError(t, err)
		ended := make(chan struct{})
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer close(ended)
			_, _ = io.WriteString(w, strings.Repeat("x", 32<<20))
		})}
		go func() { _ = srv.Serve(listener{l, &backlog.Account{MaxBytes: 1 << 20}}) }()
		c, err := network.Dial(t.Context(), "tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		time.Sleep(500 * time.Millisecond)
		select {
		case <-ended:
			t.Fatal("the write does not wait")
		default:
		}
		closed := time.Now()
		_ = srv.Close()
		<-ended
		require.Less(t, time.Since(closed), 3*time.Second)
	})
}
