package claim

import (
	"context"
	"errors"
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
