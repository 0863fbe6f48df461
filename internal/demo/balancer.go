package demo

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// balancer plays the platform's balancer: it spreads requests over the instances
// that report that they are ready.
type balancer struct {
	mu    sync.Mutex
	nodes []*Node
}

func newBalancer(s *Site) *balancer { return &balancer{nodes: slices.Clone(s.Nodes)} }

func (b *balancer) remove(n *Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = slices.DeleteFunc(b.nodes, func(o *Node) bool { return o == n })
}

// add waits until an instance is ready and sends requests to it again.
func (b *balancer) add(ctx context.Context, n *Node) {
	for !n.Ready(ctx) && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = append(b.nodes, n)
}

var errNoReadyInstance = errors.New("demo: no instance is ready")

// pick returns the callers' address for a request. The spread is uneven: the first
// instance gets every third request besides its part.
func (b *balancer) pick(_ context.Context, number int) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.nodes) == 0 {
		return "", errNoReadyInstance
	}
	if number%3 == 0 {
		return b.nodes[0].CallerAddress, nil
	}
	return b.nodes[number%len(b.nodes)].CallerAddress, nil
}
