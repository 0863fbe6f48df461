package head

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport sends requests by net/http and returns an error instead of a response with a malformed head. It is safe for
// concurrent use.
type Transport struct {
	transport *http.Transport
}

// NewTransport returns a Transport over t, whose DialContext must not be nil and is replaced.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &scannedConn{Conn: c}, nil
	}
	return &Transport{transport: t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *scannedConn
	resp, err := t.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn = info.Conn.(*scannedConn)
			conn.beginHead()
		},
	})))
	if err != nil {
		return nil, err
	}
	err = conn.headErr()
	if err == nil {
		err = Check(resp)
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// scannedConn scans the heads of the responses that are read from it.
type scannedConn struct {
	net.Conn

	mu   sync.Mutex
	head Scanner
}

// Read implements net.Conn.
func (c *scannedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.head.Write(p[:n])
	return n, err
}

// beginHead is called before a request is sent: the bytes read next are the head of its response.
func (c *scannedConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = Scanner{}
}

func (c *scannedConn) headErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Err()
}
