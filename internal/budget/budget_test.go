package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagestep/greengagestep/internal/budget"
)

var start = time.Unix(1_700_000_000, 0)

const (
	ratio  = 0.2
	slack  = 58.0
	window = 10 * time.Second
)

// Property: however requests are distributed over instances, and however many instances
// know each other, the retries of all instances in any ten seconds stay within a fifth of
// the requests for the service (in these ten seconds or the ten before, whichever are
// more) plus the slack, provided that each instance has known at least half of them.
func TestRetriesOfAllInstancesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 30).Draw(t, "instances")
		known := max(rapid.IntRange((instances+1)/2, instances).Draw(t, "heard"), 1)
		budgets := make([]*budget.Budget, instances)
		for i := range budgets {
			budgets[i] = &budget.Budget{Ratio: ratio / 2, Slack: slack, Instances: func() int { return known }, Window: window}
		}
		type counts struct{ requests, retries int }
		var perSecond []counts
		for s := range 40 {
			now := start.Add(time.Duration(s) * time.Second)
			sum := counts{}
			for range rapid.IntRange(0, 60).Draw(t, "requests") {
				b := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
				sum.requests++
				b.Deposit("portal", now)
				for b.Withdraw("portal", now) {
					sum.retries++
				}
			}
			perSecond = append(perSecond, sum)
		}
		for end := 10; end <= len(perSecond); end++ {
			requests, previousRequests, retries := 0, 0, 0
			for i, c := range perSecond[:end] {
				if i >= end-10 {
					requests += c.requests
					retries += c.retries
				} else if i >= end-20 {
					previousRequests += c.requests
				}
			}
			require.LessOrEqual(t, float64(retries), ratio*float64(max(requests, previousRequests))+slack)
		}
	})
}

// The endpoints of one service reject every request. Its retries must not spend what the
// requests for another service earn, nor the other way round.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := &budget.Budget{Ratio: 0.1, Slack: 40}
	for range 1000 {
		b.Deposit("model", start)
	}
	portalRetries := 0
	for range 100 {
		b.Deposit("portal", start)
		for b.Withdraw("portal", start) {
			portalRetries++
		}
	}
	require.LessOrEqual(t, portalRetries, 15)
	require.True(t, b.Withdraw("model", start))
}

// An instance that loses contact with the others must not spend their share of the slack.
func TestSlackIsNotSpentTwice(t *testing.T) {
	known := 25
	b := &budget.Budget{Slack: 200, Instances: func() int { return known }}
	require.InDelta(t, 4, withdrawAll(b), 1)
	known = 1
	later := start.Add(time.Hour)
	retries := 0
	for b.Withdraw("s", later) {
		retries++
	}
	require.Zero(t, retries)
}

func withdrawAll(b *budget.Budget) int {
	retries := 0
	for b.Withdraw("s", start) {
		retries++
	}
	return retries
}
