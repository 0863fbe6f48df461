package peer

import (
	"context"
	"maps"
	"time"

	"github.com/greengagestep/greengagestep/internal/placement"
)

// Sign, Pack and Unpack let tests build and decode messages of a peer.
func (k *Key) Sign(purpose string, data []byte) string { return k.sign(purpose, data) }

var Pack = pack

func Unpack(data []byte) map[uint32]placement.Work { return maps.Collect(unpack(data)) }

// Home returns the home of an endpoint.
func Home(e placement.Endpoint, members []Member) Member {
	return selectHome(e, members, memberHashes(members))
}

// HomeOf returns the name of the home of an endpoint by the view of an instance.
func (x *Exchange) HomeOf(id string, now time.Time) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.endpointHomes(now)[id].Name
}

// SendTo sends one message to a peer and applies its reply.
func (x *Exchange) SendTo(ctx context.Context, address string) error {
	x.mu.Lock()
	x.init()
	p := x.peers[address]
	m := x.compose(p, false, time.Now())
	x.mu.Unlock()
	x.send(ctx, p, m)
	return p.lastErr
}
