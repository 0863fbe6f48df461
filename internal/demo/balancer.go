package demo

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// balancer simulates the platform's load balancer: it distributes requests over the
// instances that are ready.
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

// add waits until an instance is ready, or ctx has ended, and then sends requests to it
// again.
func (b *balancer) add(ctx context.Context, n *Node) {
	for !n.Ready(ctx) && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = append(b.nodes, n)
}

var errNoReadyInstance = errors.New("demo: no instance is ready")

// pick returns the caller address of the instance for a request. The distribution is
// uneven on purpose: the first instance gets every third request in addition to its
// share of the others.
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
