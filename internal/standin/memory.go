package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Memory is a network within the process, for tests with fake time: connections
// are pipes, and no system call is made. It is safe for concurrent use.
type Memory struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     []net.Conn
	count     int
}

type memoryListener struct {
	network *Memory
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

// Listen returns a listener with an address of its own.
func (m *Memory) Listen() (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.count++
	l := &memoryListener{
		network: m, address: memoryAddress(fmt.Sprintf("127.1.0.%d:80", m.count)),
		accept: make(chan net.Conn), closed: make(chan struct{}),
	}
	if m.listeners == nil {
		m.listeners = map[string]*memoryListener{}
	}
	m.listeners[l.address.String()] = l
	return l, nil
}

// Dial connects to a listener.
func (m *Memory) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[address]
	m.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("standin: nothing listens at %s", address)
	}
	near, far := net.Pipe()
	select {
	case l.accept <- far:
	case <-l.closed:
		return nil, fmt.Errorf("standin: nothing listens at %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	m.mu.Lock()
	m.conns = append(m.conns, near, far)
	m.mu.Unlock()
	return near, nil
}

// Close closes all connections and listeners.
func (m *Memory) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		_ = c.Close()
	}
	for _, l := range m.listeners {
		l.shut()
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
	l.shut()
	return nil
}

func (l *memoryListener) shut() { l.once.Do(func() { close(l.closed) }) }

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// Loopback is the network of the machine, restricted to 127.0.0.1.
type Loopback struct {
	dialer net.Dialer
}

// Listen returns a listener on a free port.
func (*Loopback) Listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// Dial connects to an address.
func (l *Loopback) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return l.dialer.DialContext(ctx, network, address)
}

// Close does nothing: connections end with their servers.
func (*Loopback) Close() {}
