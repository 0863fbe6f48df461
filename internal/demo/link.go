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

// freezer holds back what an instance sends and receives while it is frozen.
type freezer struct {
	mu     sync.Mutex
	thawed chan struct{} // closed while not frozen
}

func newFreezer() *freezer {
	g := &freezer{thawed: make(chan struct{})}
	close(g.thawed)
	return g
}

func (g *freezer) set(frozen bool) {
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

func (g *freezer) wait() {
	g.mu.Lock()
	thawed := g.thawed
	g.mu.Unlock()
	<-thawed
}

// freezableConn is a connection of an instance. It fails once its ends are cut off from
// each other and waits while the instance is frozen.
type freezableConn struct {
	net.Conn
	gate *freezer
	// partitioned reports whether the ends are partitioned off; nil means never.
	partitioned func() bool
}

// Read implements net.Conn.
func (c *freezableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.wait()
	return n, err
}

// Write implements net.Conn.
func (c *freezableConn) Write(p []byte) (int, error) {
	c.gate.wait()
	if c.partitioned != nil && c.partitioned() {
		_ = c.Conn.Close()
		return 0, errPartitioned
	}
	return c.Conn.Write(p)
}

// freezableListener wraps the connections that an instance accepts.
type freezableListener struct {
	net.Listener
	gate *freezer
}

// Accept implements net.Listener.
func (l freezableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &freezableConn{Conn: c, gate: l.gate}, nil
}
