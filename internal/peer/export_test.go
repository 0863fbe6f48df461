package peer

// Sign, Pack and Unpack let tests build and decode messages of a peer.
func (k *Key) Sign(purpose string, data []byte) string { return k.sign(purpose, data) }

var (
	Pack   = pack
	Unpack = unpack
)

// Home returns the home of an endpoint.
var Home = selectHome
