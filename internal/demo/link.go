package demo

import (
	"context"
	"net"
	"sync"
)

// Network carries the connections of a site.
type Network interface {
	Listen() (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	Close()
}

// gate holds back what an instance sends and receives while it is frozen.
type gate struct {
	mu     sync.Mutex
	thawed chan struct{} // closed while not frozen
}

func newGate() *gate {
	g := &gate{thawed: make(chan struct{})}
	close(g.thawed)
	return g
}

func (g *gate) set(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.thawed:
		if frozen {
			g.thawed = make(chan struct{})
		}
	default:
		if !frozen {
			close(g.thawed)
		}
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	thawed := g.thawed
	g.mu.Unlock()
	<-thawed
}

// gatedConn is a connection of an instance. It fails once its ends are cut off from
// each other and waits while the instance is frozen.
type gatedConn struct {
	net.Conn
	gate *gate
	// cut reports whether the ends are cut off; nil means never.
	cut func() bool
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.wait()
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	c.gate.wait()
	if c.cut != nil && c.cut() {
		_ = c.Conn.Close()
		return 0, errCut
	}
	return c.Conn.Write(p)
}

// gatedListener wraps the connections that an instance accepts.
type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept implements net.Listener.
func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c, gate: l.gate}, nil
}
