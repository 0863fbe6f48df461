package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/upstream"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// requestIDCodec reads the request ID of a response from the Request-Id header; its other
// methods are not used.
type requestIDCodec struct{}

func (requestIDCodec) DecodeRequest(http.Header) fleet.RequestAttrs       { return fleet.RequestAttrs{} }
func (requestIDCodec) RewriteForEndpoint(http.Header, fleet.ForwardAttrs) {}
func (requestIDCodec) DecodeResponse(_ int, h http.Header) fleet.ResponseAttrs {
	return fleet.ResponseAttrs{ID: h.Get("Request-Id"), Sealed: true}
}

// fakeDialer connects to a function that simulates the endpoint.
type fakeDialer struct {
	serve func(c net.Conn, br *bufio.Reader)
	dials int
}

func (d *fakeDialer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	d.dials++
	go func() {
		defer server.Close()
		d.serve(server, bufio.NewReader(server))
	}()
	return client, nil
}

func post(p *upstream.Pool, id, body string) (string, error) {
	a, err := p.Send(context.Background(), "e", upstream.Request{
		Method: http.MethodPost, Target: "/a?b=c%20d", Host: "h", Header: http.Header{}, Body: []byte(body),
	}, id)
	if err != nil {
		return "", err
	}
	defer a.Close()
	data, err := io.ReadAll(a)
	return string(data), err
}

// readRequest reads one request and returns its body; it returns "" when the connection
// closes.
func readRequest(t *testing.T, br *bufio.Reader) string {
	r, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	require.Equal(t, "/a?b=c%20d", r.RequestURI)
	body, _ := io.ReadAll(r.Body)
	return string(body)
}

func writeResponse(w io.Writer, id, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{serve: func(c net.Conn, br *bufio.Reader) {
			for id := 1; ; id++ {
				if readRequest(t, br) == "" {
					return
				}
				writeResponse(c, fmt.Sprint(id), "ok")
			}
		}}
		p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: d.dial}
		for id := 1; id <= 3; id++ {
			body, err := post(p, fmt.Sprint(id), "x")
			require.NoError(t, err)
			require.Equal(t, "ok", body)
		}
		require.Equal(t, 1, d.dials)
		time.Sleep(time.Minute)
		p.Sweep(time.Now())
		_, err := post(p, "1", "x")
		require.NoError(t, err)
		require.Equal(t, 2, d.dials, "a connection past its idle timeout must not be reused")
		p.Close()
	})
}

// The endpoint sends a second response to the previous request before the response to the
// current one. The extra response must not be returned for the current request.
func TestExtraResponseIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{serve: func(c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			writeResponse(c, "1", "one")
			if readRequest(t, br) == "" {
				return
			}
			writeResponse(c, "1", "one again")
			writeResponse(c, "2", "two")
			readRequest(t, br)
		}}
		p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: d.dial}
		one, err := post(p, "1", "x")
		require.NoError(t, err)
		require.Equal(t, "one", one)
		two, err := post(p, "2", "x")
		require.NoError(t, err)
		require.Equal(t, "two", two)
		p.Close()
	})
}

// An endpoint responds before it has read a long body. The rest of the body would still
// be sent on that connection, so it must not be reused for another request.
func TestConnectionIsNotReusedAfterEarlyResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{}
		d.serve = func(c net.Conn, br *bufio.Reader) {
			if d.dials == 1 {
				_, _ = br.ReadString('\n')
				writeResponse(c, "1", "early")
				return
			}
			readRequest(t, br)
			writeResponse(c, "2", "ok")
			readRequest(t, br)
		}
		p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: d.dial}
		body, err := post(p, "1", strings.Repeat("x", 200<<10))
		require.NoError(t, err)
		require.Equal(t, "early", body)
		_, err = post(p, "2", "x")
		require.NoError(t, err)
		require.Equal(t, 2, d.dials)
		p.Close()
	})
}

// A request that was never sent cannot have been executed; one of which a byte was sent
// may have been.
func TestFailureReportsWhetherEndpointWasReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, fmt.Errorf("refused")
		}}
		_, err := post(p, "1", "x")
		var f *upstream.Failure
		require.ErrorAs(t, err, &f)
		require.False(t, f.Reached)
		require.Equal(t, fleet.ReasonUnreachable, f.Reason)

		d := &fakeDialer{serve: func(_ net.Conn, br *bufio.Reader) { readRequest(t, br) }}
		p = &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: d.dial}
		_, err = post(p, "1", "x")
		require.ErrorAs(t, err, &f)
		require.True(t, f.Reached)
		require.Equal(t, fleet.ReasonEndpointFailed, f.Reason)
	})
}

// A caller that leaves while a connection is being made does not make the endpoint
// unreachable.
func TestDialEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := p.Send(ctx, "e", upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}, "1")
		var f *upstream.Failure
		require.ErrorAs(t, err, &f)
		require.Equal(t, fleet.ReasonCancelled, f.Reason)
		require.False(t, f.Reached)
	})
}

// A request is not sent on a connection that is ready, because its endpoint or its time no longer permits it: the connection was
// closed, or the pool kept one that it never used.
func TestConnectionWithoutRequestIsKept(t *testing.T) {
	for _, end := range []string{"permit", "context"} {
		synctest.Test(t, func(t *testing.T) {
			d := &fakeDialer{serve: func(c net.Conn, br *bufio.Reader) {
				readRequest(t, br)
				writeResponse(c, "2", "ok")
				readRequest(t, br)
			}}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: d.dial}
			r := upstream.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
			if end == "context" {
				p.OnDial = func(string) { cancel() }
			} else {
				r.Permit = func() error { return fmt.Errorf("not permitted") }
			}
			_, err := p.Send(ctx, "e", r, "1")
			var f *upstream.Failure
			require.ErrorAs(t, err, &f)
			require.False(t, f.Reached)
			body, err := post(p, "2", "x")
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			require.Equal(t, 1, d.dials, end)
			p.Close()
		})
	}
}

// HTTP/1.0 has no chunks: a response that names them has a framing that cannot be trusted. Its chunk lines were taken for the body.
func TestChunksInHTTP10AreInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{serve: func(c net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			fmt.Fprint(c, "HTTP/1.0 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
		}}
		_, err := post(&upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: d.dial}, "1", "x")
		var f *upstream.Failure
		require.ErrorAs(t, err, &f)
		require.True(t, f.Reached)
		require.Equal(t, fleet.ReasonInvalidResponse, f.Reason)
	})
}

// When the context of a request is done, its connection to the endpoint is closed at once.
func TestContextDoneClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := make(chan time.Duration, 1)
		started := time.Now()
		d := &fakeDialer{serve: func(_ net.Conn, br *bufio.Reader) {
			readRequest(t, br)
			_, _ = br.ReadByte()
			closed <- time.Since(started)
		}}
		p := &upstream.Pool{HeaderCodec: requestIDCodec{}, Dial: d.dial}
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := p.Send(ctx, "e", upstream.Request{Method: http.MethodPost, Target: "/a?b=c%20d", Host: "h", Header: http.Header{}, Body: []byte("x")}, "1")
		var f *upstream.Failure
		require.ErrorAs(t, err, &f)
		require.Equal(t, fleet.ReasonCancelled, f.Reason)
		require.Equal(t, 100*time.Millisecond, <-closed)
	})
}
