package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// MemoryNetwork is an in-process network for tests with fake time: connections are
// pipes, and no system call is made. The zero value is ready for use. It is safe for
// concurrent use.
type MemoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     []net.Conn
	addresses int
}

type memoryListener struct {
	network *MemoryNetwork
	address memoryAddress
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type memoryAddress string

// Network implements net.Addr.
func (memoryAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }

// Listen returns a listener with a unique address.
func (m *MemoryNetwork) Listen() (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses++
	l := &memoryListener{
		network: m, address: memoryAddress(fmt.Sprintf("127.1.0.%d:80", m.addresses)),
		accept: make(chan net.Conn), closed: make(chan struct{}),
	}
	if m.listeners == nil {
		m.listeners = map[string]*memoryListener{}
	}
	m.listeners[l.address.String()] = l
	return l, nil
}

// Dial connects to the listener at an address. It fails if there is none, or if ctx
// ends before the listener accepts.
func (m *MemoryNetwork) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("standin: nothing listens at %s", address)
	}
	client, server := net.Pipe()
	select {
	case l.accept <- server:
	case <-l.closed:
		return nil, fmt.Errorf("standin: nothing listens at %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	m.mu.Lock()
	m.conns = append(m.conns, client, server)
	m.mu.Unlock()
	return client, nil
}

// Close closes all listeners and both ends of all connections.
func (m *MemoryNetwork) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		_ = c.Close()
	}
	for _, l := range m.listeners {
		l.closeOnce()
	}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.network.mu.Lock()
	delete(l.network.listeners, l.address.String())
	l.network.mu.Unlock()
	l.closeOnce()
	return nil
}

func (l *memoryListener) closeOnce() { l.once.Do(func() { close(l.closed) }) }

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// LoopbackNetwork is the TCP loopback network of the host: listeners bind to 127.0.0.1.
type LoopbackNetwork struct {
	dialer net.Dialer
}

// Listen returns a listener on a free port.
func (*LoopbackNetwork) Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// Dial connects to an address over the given network, such as "tcp".
func (l *LoopbackNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return l.dialer.DialContext(ctx, network, address)
}

// Close does nothing: connections are closed by their servers.
func (*LoopbackNetwork) Close() {}
