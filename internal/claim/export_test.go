package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// AnswerForTest answers a question as the peers' address would.
func AnswerForTest(ctx context.Context, d *Desk, path string, question, answer any) error {
	d.init()
	c := question.(Claim)
	switch path {
	case PathDecide:
		winner, err := d.shards[c.Shard()].decide(ctx, c)
		*answer.(*wireVerdict) = wireVerdict{Winner: winner, Unavailable: err != nil}
	case PathResult:
		ctx, cancel := context.WithTimeout(ctx, resultTerm)
		defer cancel()
		*answer.(*Result) = d.Result(ctx, c)
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
			Print: "0123456789abcdef", Holder: "instance-1", Incarnation: 123456, Request: fmt.Sprintf("instance-1.%032d", i),
		}
		data, _ := json.Marshal(wireBatch{Claims: []Claim{c}})
		_ = x.apply(int64(i), data)
	}
	return x
}
