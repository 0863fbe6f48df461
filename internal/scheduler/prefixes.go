package scheduler

// maxPrefixes is the number of prompt prefixes that are remembered for each endpoint.
// Endpoints cache prompt prefixes in limited memory and report them late and
// incompletely, so the prefixes that were recently sent there are the better
// estimate.
const maxPrefixes = 64

// prefixHistory holds the hashes of the prompt prefixes that each endpoint ran last.
type prefixHistory struct {
	hashes map[string]map[uint64]bool
	order  map[string][]uint64
}

func newPrefixHistory() *prefixHistory {
	return &prefixHistory{hashes: map[string]map[uint64]bool{}, order: map[string][]uint64{}}
}

// add records that an endpoint runs a request with a prompt prefix. A hash of zero
// means that the request has none.
func (p *prefixHistory) add(endpoint string, hash uint64) {
	if hash == 0 || p.hashes[endpoint][hash] {
		return
	}
	if p.hashes[endpoint] == nil {
		p.hashes[endpoint] = map[uint64]bool{}
	}
	p.hashes[endpoint][hash] = true
	p.order[endpoint] = append(p.order[endpoint], hash)
	if len(p.order[endpoint]) > maxPrefixes {
		delete(p.hashes[endpoint], p.order[endpoint][0])
		p.order[endpoint] = p.order[endpoint][1:]
	}
}

func (p *prefixHistory) contains(endpoint string, hash uint64) bool { return p.hashes[endpoint][hash] }
