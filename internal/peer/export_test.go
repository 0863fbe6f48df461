package peer

import (
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
