package demo

import (
	"context"
	"net"
	"sync"
)

// Network carries the connections of a site. Its methods must be safe for concurrent
// use.
type Network interface {
	Listen() (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	Close()
}

// freezer blocks the network traffic of an instance while it is frozen.
type freezer struct {
	mu     sync.Mutex
	thawed chan struct{} // closed while not frozen
}

func newFreezer() *freezer {
	f := &freezer{thawed: make(chan struct{})}
	close(f.thawed)
	return f
}

func (f *freezer) set(frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.thawed:
		if frozen {
			f.thawed = make(chan struct{})
		}
	default:
		if !frozen {
			close(f.thawed)
		}
	}
}

func (f *freezer) wait() {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	<-thawed
}

// freezableConn is a connection of an instance. It blocks while the instance is frozen,
// and a write fails and closes it while its ends are partitioned from each other.
type freezableConn struct {
	net.Conn
	freezer *freezer
	// partitioned reports whether the ends are partitioned from each other; nil means
	// never.
	partitioned func() bool
}

// Read implements net.Conn.
func (c *freezableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.freezer.wait()
	return n, err
}

// Write implements net.Conn.
func (c *freezableConn) Write(p []byte) (int, error) {
	c.freezer.wait()
	if c.partitioned != nil && c.partitioned() {
		_ = c.Conn.Close()
		return 0, errPartitioned
	}
	return c.Conn.Write(p)
}

// freezableListener makes the connections that an instance accepts freezable.
type freezableListener struct {
	net.Listener
	freezer *freezer
}

// Accept implements net.Listener.
func (l freezableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &freezableConn{Conn: c, freezer: l.freezer}, nil
}
