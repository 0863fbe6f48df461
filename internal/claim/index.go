// Package claim makes requests that must not be repeated run at most once for each
// idempotency key, whichever instance they arrive at.
//
// A claim is a record in a stream of the log service. A claim wins its key only if it
// is the first one for the key in log order, so two instances that both believe they
// own a shard still agree on the winner. A shard has an owner only to batch appends and
// to reduce reads.
package claim

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of streams that claims are spread over by the hash of their key.
// It must be the same at all instances.
const Shards = 8

// Claim is a request's claim to an idempotency key. Of all claims to a key only one wins,
// and only its request may run.
type Claim struct {
	// ID is unique for each claim.
	ID       string `json:"i"`
	Customer string `json:"c"`
	Key      string `json:"k"`
	// Fingerprint identifies the content of the request. Using a key again with
	// another fingerprint is an error of the caller.
	Fingerprint string `json:"p"`
	// Holder and Incarnation identify the process that made the claim and runs the
	// request if it wins.
	Holder      string `json:"h"`
	Incarnation uint32 `json:"n"`
	// Request is the ID of the request.
	Request string `json:"r"`
}

// Shard returns the shard of a claim.
func (c Claim) Shard() int { return shardOf(c.Customer, c.Key) }

func shardOf(customer, key string) int {
	return int(xxhash.Sum64String(customer+"\x00"+key) % Shards)
}

// Stream returns the log stream of a shard.
func Stream(shard int) string { return fmt.Sprintf("claims-%d", shard) }

type scopedKey struct {
	customer string
	key      string
}

func (c Claim) scopedKey() scopedKey { return scopedKey{c.Customer, c.Key} }

// wireBatch is one record of a claims stream.
type wireBatch struct {
	Claims []Claim `json:"c,omitempty"`
	// Releases are claims whose requests certainly never ran.
	Releases []Claim `json:"x,omitempty"`
}

// index holds the winning claims of one shard, as far as its stream has been read.
// Records are applied in log order.
type index struct {
	next    int64 // offset of the first record that has not been applied
	winners map[scopedKey]Claim
	// byOffset lists the winners in log order, so that the oldest are dropped first.
	byOffset []winnerOffset
}

type winnerOffset struct {
	offset    int64
	scopedKey scopedKey
	id        string
}

func newIndex() *index {
	return &index{winners: map[scopedKey]Claim{}}
}

// apply applies the record at an offset. Records before next are ignored. It returns an
// error if the record cannot be decoded; the record counts as applied then.
func (x *index) apply(offset int64, data []byte) error {
	if offset < x.next {
		return nil
	}
	x.next = offset + 1
	var batch wireBatch
	if err := json.Unmarshal(data, &batch); err != nil {
		return fmt.Errorf("claim: cannot decode record at offset %d: %w", offset, err)
	}
	for _, c := range batch.Releases {
		if w, ok := x.winners[c.scopedKey()]; ok && w.ID == c.ID {
			delete(x.winners, c.scopedKey())
		}
	}
	for _, c := range batch.Claims {
		if _, taken := x.winners[c.scopedKey()]; taken {
			continue
		}
		x.winners[c.scopedKey()] = c
		x.byOffset = append(x.byOffset, winnerOffset{offset, c.scopedKey(), c.ID})
	}
	return nil
}

// dropBefore drops the winners whose records the log has trimmed, given the first
// offset that the log still keeps.
func (x *index) dropBefore(first int64) {
	for len(x.byOffset) > 0 && x.byOffset[0].offset < first {
		oldest := x.byOffset[0]
		x.byOffset = x.byOffset[1:]
		if x.winners[oldest.scopedKey].ID == oldest.id {
			delete(x.winners, oldest.scopedKey)
		}
	}
	x.next = max(x.next, first)
}

// winner returns the claim that holds a key.
func (x *index) winner(k scopedKey) (Claim, bool) {
	c, ok := x.winners[k]
	return c, ok
}

// find returns the winning claim of a request by the ID of the request.
func (x *index) find(request string) (Claim, bool) {
	for _, c := range x.winners {
		if c.Request == request {
			return c, true
		}
	}
	return Claim{}, false
}
