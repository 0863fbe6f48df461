// Package claim makes requests that may not be repeated run at most once for each
// idempotency key, whichever instance they arrive at.
//
// A claim is a record in a stream of the log service. It is won only if it is the
// first for its key in the order of the log, so instances that both believe they
// own a shard still agree. The owner of a shard exists only to batch appends and
// to keep reading cheap.
package claim

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of streams that claims are spread over. It must be the
// same at all instances.
const Shards = 8

// Claim is one request's claim to run.
type Claim struct {
	// ID is unique for each attempt to claim.
	ID       string `json:"i"`
	Customer string `json:"c"`
	Key      string `json:"k"`
	// Print is the fingerprint of the request. The same key with another one
	// is a caller's mistake.
	Print string `json:"p"`
	// Holder and Incarnation name the process that runs the request.
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

type subject struct {
	customer string
	key      string
}

func (c Claim) subject() subject { return subject{c.Customer, c.Key} }

// wireBatch is one record of a claims stream.
type wireBatch struct {
	Claims []Claim `json:"c,omitempty"`
	// Releases names claims whose requests certainly never ran.
	Releases []Claim `json:"x,omitempty"`
}

// index is what a reader of a shard knows. Records are applied in log order.
type index struct {
	next    int64
	winners map[subject]Claim
	// order lists winners by offset, so that the oldest are forgotten first.
	order []marked
}

type marked struct {
	offset  int64
	subject subject
	id      string
}

func newIndex() *index {
	return &index{winners: map[subject]Claim{}}
}

// apply takes in the record at an offset. Records before next are ignored.
func (x *index) apply(offset int64, data []byte) error {
	if offset < x.next {
		return nil
	}
	x.next = offset + 1
	var batch wireBatch
	if err := json.Unmarshal(data, &batch); err != nil {
		return fmt.Errorf("claim: record at offset %d is unreadable: %w", offset, err)
	}
	for _, c := range batch.Releases {
		if w, ok := x.winners[c.subject()]; ok && w.ID == c.ID {
			delete(x.winners, c.subject())
		}
	}
	for _, c := range batch.Claims {
		if _, taken := x.winners[c.subject()]; taken {
			continue
		}
		x.winners[c.subject()] = c
		x.order = append(x.order, marked{offset, c.subject(), c.ID})
	}
	return nil
}

// forget drops the winners whose records the log no longer keeps.
func (x *index) forget(first int64) {
	for len(x.order) > 0 && x.order[0].offset < first {
		m := x.order[0]
		x.order = x.order[1:]
		if x.winners[m.subject].ID == m.id {
			delete(x.winners, m.subject)
		}
	}
	x.next = max(x.next, first)
}

// winner returns the claim that holds a key.
func (x *index) winner(s subject) (Claim, bool) {
	c, ok := x.winners[s]
	return c, ok
}

// find returns the winning claim of a request.
func (x *index) find(request string) (Claim, bool) {
	for _, c := range x.winners {
		if c.Request == request {
			return c, true
		}
	}
	return Claim{}, false
}
