package peer

import (
	"encoding/binary"
	"hash/fnv"
	"iter"

	"github.com/greengagestep/greengagestep/internal/placement"
)

// Work has a compact binary encoding, since every instance sends it to every other
// one several times a second. The entry of an endpoint holds a hash of its ID, the
// number of requests, and the tokens in units of tokenUnit.
const (
	packedEntryBytes = 7
	tokenUnit        = 16
	maxPackedRuns    = 255
	maxTokenUnits    = 65535
)

// hashID returns the hash that identifies an endpoint in messages between instances.
func hashID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

func pack(work map[string]placement.Work) []byte {
	data := make([]byte, 0, len(work)*packedEntryBytes)
	for id, w := range work {
		data = binary.BigEndian.AppendUint32(data, hashID(id))
		data = append(data, byte(min(max(w.Runs, 0), maxPackedRuns)))
		data = binary.BigEndian.AppendUint16(data, uint16(min(max(w.Tokens, 0)/tokenUnit, maxTokenUnits)))
	}
	return data
}

// unpack decodes work and yields it with the hash of the endpoint ID. An incomplete
// entry at the end is ignored.
func unpack(data []byte) iter.Seq2[uint32, placement.Work] {
	return func(yield func(uint32, placement.Work) bool) {
		for rest := data; len(rest) >= packedEntryBytes; rest = rest[packedEntryBytes:] {
			w := placement.Work{Runs: int(rest[4]), Tokens: int(binary.BigEndian.Uint16(rest[5:])) * tokenUnit}
			if !yield(binary.BigEndian.Uint32(rest), w) {
				return
			}
		}
	}
}
