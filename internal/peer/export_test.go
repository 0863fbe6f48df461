package peer

// Sign, Pack and Unpack let tests speak as a peer does.
func (k *Key) Sign(use string, data []byte) string { return k.sign(use, data) }

var (
	Pack   = pack
	Unpack = unpack
)

// Home returns the home of an endpoint.
var Home = home
