package link_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/link"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// peer is an instance that answers requests with their body and signature.
type peer struct {
	URL     string
	network standin.MemoryNetwork
	mux     *http.ServeMux
	links   *link.Handler
	held    chan struct{} // gets a value when a request to /hold has arrived
	hold    chan struct{} // such a request is answered once it is closed
}

func newPeer(t *testing.T, withLinks bool) *peer {
	p := &peer{held: make(chan struct{}, 1), hold: make(chan struct{})}
	mux := http.NewServeMux()
	p.mux = mux
	echo := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Signature", "reply to "+r.Header.Get("Signature"))
		_, _ = w.Write(body)
	}
	mux.HandleFunc("POST /echo", echo)
	mux.HandleFunc("POST /hold", func(w http.ResponseWriter, r *http.Request) {
		p.held <- struct{}{}
		<-p.hold
		echo(w, r)
	})
	mux.HandleFunc("POST /panic", func(http.ResponseWriter, *http.Request) { panic("malformed message") })
	p.links = &link.Handler{Next: mux, SignatureHeader: "Signature", Logger: zap.NewNop()}
	if withLinks {
		mux.Handle("POST "+link.Path, p.links)
	}
	l, err := p.network.Listen()
	require.NoError(t, err)
	p.URL = "http://" + l.Addr().String()
	srv := &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() {
		p.links.Close()
		_ = srv.Close()
	})
	return p
}

// dials are the connections that a transport has opened to a peer.
type dials struct {
	peer *peer
	mu   sync.Mutex
	list []net.Conn
}

func (d *dials) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.peer.network.Dial(ctx, network, address)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, c)
	return c, err
}

func (d *dials) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.list)
}

func newTransport(t *testing.T, p *peer) (*link.Transport, *dials) {
	d := &dials{peer: p}
	plain := &http.Transport{DialContext: d.dial}
	transport := &link.Transport{Dial: d.dial, HTTP: plain, SignatureHeader: "Signature"}
	t.Cleanup(transport.Close)
	t.Cleanup(plain.CloseIdleConnections)
	return transport, d
}

func post(ctx context.Context, transport *link.Transport, url, body string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Signature", "s")
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %s: %s", resp.StatusCode, resp.Header.Get("Signature"), data), err
}

// Many requests at once, short ones and long ones, share one connection, and each gets its own
// response. One on which the peer fails gets none, and does not end the link.
func TestRequestsShareOneConnection(t *testing.T) {
	p := newPeer(t, true)
	transport, d := newTransport(t, p)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			body := strings.Repeat(fmt.Sprint(i), 1+i*20)
			got, err := post(t.Context(), transport, p.URL+"/echo", body)
			require.NoError(t, err)
			require.Equal(t, "200 reply to s: "+body, got)
		})
	}
	wg.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := post(ctx, transport, p.URL+"/panic", "x")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = post(t.Context(), transport, p.URL+"/echo", "x")
	require.NoError(t, err)
	require.Equal(t, 1, d.count())
}

// A request that is given up, as a reservation that takes too long, delays no other one and leaves the
// link open. Its late response is dropped.
func TestRequestGivenUpLeavesLinkOpen(t *testing.T) {
	p := newPeer(t, true)
	transport, d := newTransport(t, p)
	long := strings.Repeat("x", 8<<10)
	_, err := post(t.Context(), transport, p.URL+"/echo", "first")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := post(ctx, transport, p.URL+"/hold", long)
		done <- err
	}()
	got, err := post(t.Context(), transport, p.URL+"/echo", "second")
	require.NoError(t, err)
	require.Equal(t, "200 reply to s: second", got)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	close(p.hold)
	for range 20 {
		got, err = post(t.Context(), transport, p.URL+"/echo", "third")
		require.NoError(t, err)
		require.Equal(t, "200 reply to s: third", got)
	}
	require.Equal(t, 1, d.count())
}

// In a rolling update a peer may have a version that knows no links.
func TestPeerWithoutLinksGetsHTTP(t *testing.T) {
	p := newPeer(t, false)
	transport, _ := newTransport(t, p)
	for range 3 {
		got, err := post(t.Context(), transport, p.URL+"/echo", "x")
		require.NoError(t, err)
		require.Equal(t, "200 reply to s: x", got)
	}
}

// A connection that breaks fails the requests that wait on it; the next one opens another.
func TestBrokenLinkIsReplaced(t *testing.T) {
	p := newPeer(t, true)
	transport, d := newTransport(t, p)
	_, err := post(t.Context(), transport, p.URL+"/echo", "x")
	require.NoError(t, err)
	done := make(chan error)
	go func() {
		_, err := post(t.Context(), transport, p.URL+"/hold", "x")
		done <- err
	}()
	<-p.held
	_ = d.list[0].Close()
	require.Error(t, <-done)
	_, err = post(t.Context(), transport, p.URL+"/echo", "x")
	require.NoError(t, err)
	require.Equal(t, 2, d.count())
	close(p.hold)
}

// The path to a peer is lost without a sign on the connection, as by a cut or a loss of power: what the
// kernel would send late is dropped, and the next request opens another connection at once.
func TestSilentLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var opened atomic.Int64
		transport := &link.Transport{SignatureHeader: "Signature", Dial: func(context.Context, string, string) (net.Conn, error) {
			opened.Add(1)
			client, server := net.Pipe()
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(server))
				_, _ = io.WriteString(server, "HTTP/1.1 101 Switching Protocols\r\n\r\n")
				_, _ = io.Copy(io.Discard, server)
			}()
			return client, nil
		}}
		defer transport.Close()
		send := func(limit time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			_, err := post(ctx, transport, "http://10.0.0.1:80/reserve", "x")
			require.ErrorIs(t, err, context.DeadlineExceeded)
		}
		send(50 * time.Millisecond)
		send(50 * time.Millisecond)
		require.EqualValues(t, 1, opened.Load(), "the peer may be busy")
		time.Sleep(300 * time.Millisecond)
		send(50 * time.Millisecond)
		send(50 * time.Millisecond)
		require.EqualValues(t, 2, opened.Load())
	})
}

// Bytes that are no frames end the link.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 0, 0, 9, 0, 0, 0, 1, 0, 0, 0, 0, 'x'})
	f.Add([]byte{0, 0, 0, 8, 0, 0, 0, 1, 0, 0, 9, 9})
	f.Add([]byte{255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		for read := 0; ; {
			n, err := link.ReadFrame(r)
			if err != nil {
				return
			}
			read += n
			require.LessOrEqual(t, read, len(data))
		}
	})
}
