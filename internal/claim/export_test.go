package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// CallForTest serves a call as the HTTP handlers would.
func CallForTest(ctx context.Context, reg *Registry, path string, args, reply any) error {
	reg.init()
	c := args.(Claim)
	switch path {
	case PathDecide:
		winner, err := reg.shards[c.Shard()].decide(ctx, c)
		*reply.(*wireDecision) = wireDecision{Winner: winner, Unavailable: err != nil}
	case PathResult:
		ctx, cancel := context.WithTimeout(ctx, resultTimeout)
		defer cancel()
		*reply.(*Result) = reg.Result(ctx, c)
	default:
		return errors.New("unknown path")
	}
	return nil
}

// IndexForTest returns an index that holds n claims.
func IndexForTest(n int) any {
	x := newIndex()
	for i := range n {
		c := Claim{
			ID: fmt.Sprintf("instance-1.123456.%d", i), Customer: "customer-1", Key: fmt.Sprintf("portal/order-%d", i),
			Fingerprint: "0123456789abcdef", Holder: "instance-1", Incarnation: 123456, Request: fmt.Sprintf("instance-1.%032d", i),
		}
		data, _ := json.Marshal(wireBatch{Claims: []Claim{c}})
		_ = x.apply(int64(i), data)
	}
	return x
}
