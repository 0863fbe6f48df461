package outlet_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/backlog"
	"github.com/greengagestep/greengagestep/internal/outlet"
)

// connect returns both ends of a connection over loopback, the server's with small buffers.
func connect(t testing.TB, account *backlog.Account) (server *outlet.Conn, caller *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	s, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, s.(*net.TCPConn).SetWriteBuffer(64<<10))
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
	t.Cleanup(func() { _ = c.Close() })
	return outlet.New(s, account, nil), c.(*net.TCPConn)
}

// A caller that now and then falls behind gets all bytes in order, also those that were left when the
// server closed the connection.
func TestSlowCallerGetsAllBytesInOrder(t *testing.T) {
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 0))
		account := &backlog.Account{MaxBytes: 1 << 20}
		server, caller := connect(t, account)
		want := make([]byte, 3_000_000)
		for n := range want {
			want[n] = byte(rng.Uint32())
		}
		written := make(chan error, 1)
		go func() {
			rest, rng := want, rand.New(rand.NewPCG(seed, 1))
			for len(rest) > 0 {
				n := min(1+rng.IntN(60_000), len(rest))
				if _, err := server.Write(rest[:n]); err != nil {
					written <- err
					return
				}
				rest = rest[n:]
			}
			written <- server.Close()
		}()
		var got bytes.Buffer
		if seed%2 == 0 {
			// The server has written what it can before anything is read.
			for account.Unread() < 64<<10 {
				_, err := io.CopyN(&got, caller, 1)
				require.NoError(t, err)
			}
		}
		_, err := io.Copy(&got, caller)
		require.NoError(t, err)
		require.NoError(t, <-written)
		require.True(t, bytes.Equal(want, got.Bytes()), "seed %d", seed)
		require.Zero(t, account.Unread())
	}
}

// While the caller keeps up, nothing is held and a write allocates nothing.
func TestWriteToFastCallerHoldsNothing(t *testing.T) {
	account := &backlog.Account{}
	server, caller := connect(t, account)
	event, read := bytes.Repeat([]byte("x"), 100), make([]byte, 100)
	require.Zero(t, testing.AllocsPerRun(1000, func() {
		_, err := server.Write(event)
		require.NoError(t, err)
		_, err = io.ReadFull(caller, read)
		require.NoError(t, err)
		require.False(t, server.Behind())
	}))
	require.NoError(t, server.Close())
}

// A caller that closed its connection is known without a read by the server.
func TestClosedByCaller(t *testing.T) {
	server, caller := connect(t, &backlog.Account{})
	require.False(t, server.Closed())
	_, err := caller.Write([]byte("x"))
	require.NoError(t, err)
	_, err = server.Read(make([]byte, 1))
	require.NoError(t, err)
	require.False(t, server.Closed())
	require.NoError(t, caller.Close())
	require.Eventually(t, server.Closed, time.Second, time.Millisecond)
	require.NoError(t, server.Close())
}

// The server closes a connection whose caller reads now and then, but too little: the rest is written for
// a bounded time.
func TestCloseIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		account := &backlog.Account{}
		var reasons []backlog.Reason
		server := outlet.New(near, account, func(_ string, r backlog.Reason) { reasons = append(reasons, r) })
		_, err := server.Write(make([]byte, 100_000))
		require.NoError(t, err)
		require.NoError(t, server.Close())
		began := time.Now()
		for err == nil {
			time.Sleep(time.Second)
			_, err = far.Read(make([]byte, 10))
		}
		require.True(t, errors.Is(err, io.EOF), "%v", err)
		require.InDelta(t, 30, time.Since(began).Seconds(), 2)
		synctest.Wait()
		require.Zero(t, account.Unread())
		require.Equal(t, []backlog.Reason{backlog.ReasonStalled}, reasons)
	})
}

// BenchmarkWrite measures a write of one event to a caller that keeps up, and the same on the bare connection.
func BenchmarkWrite(b *testing.B) {
	for name, wrap := range map[string]bool{"bare": false, "outlet": true} {
		b.Run(name, func(b *testing.B) {
			server, caller := connect(b, &backlog.Account{})
			writer := net.Conn(server)
			if !wrap {
				writer = server.Conn
			}
			event, read := bytes.Repeat([]byte("x"), 100), make([]byte, 100)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := writer.Write(event); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(caller, read); err != nil {
					b.Fatal(err)
				}
			}
			_ = server.Close()
		})
	}
}

// Many callers share a small account, and every other one stops reading: those that read get all their
// bytes, those that stopped are given up by the writes of the others or after a while, and nothing is held
// in the end.
func TestCallersShareAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := &backlog.Account{MaxBytes: 1 << 20}
		want := bytes.Repeat([]byte("0123456789abcdef"), 16<<10)
		var givenUp [40]atomic.Bool
		var all sync.WaitGroup
		for n := range givenUp {
			near, far := net.Pipe()
			server := outlet.New(near, account, func(string, backlog.Reason) { givenUp[n].Store(true) })
			server.Assign(fmt.Sprint("customer ", n%4))
			all.Go(func() {
				for rest := want; len(rest) > 0; rest = rest[min(5000, len(rest)):] {
					if _, err := server.Write(rest[:min(5000, len(rest))]); err != nil {
						break
					}
					time.Sleep(time.Millisecond)
				}
				_ = server.Close()
			})
			if n%2 == 1 {
				continue
			}
			all.Go(func() {
				got, err := io.ReadAll(far)
				require.NoError(t, err)
				require.True(t, bytes.Equal(want, got))
			})
		}
		all.Wait()
		time.Sleep(time.Minute)
		for n := range givenUp {
			require.Equal(t, n%2 == 1, givenUp[n].Load(), "caller %d", n)
		}
		require.Zero(t, account.Unread())
	})
}
