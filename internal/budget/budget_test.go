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

// Property: however requests fall on instances, and however many of these hear each
// other, the retries of any ten seconds stay within a fifth of the requests for the
// service and the slack, as long as an instance has ever heard of half of them.
func TestRetriesOfTheFleetAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 30).Draw(t, "instances")
		heard := max(rapid.IntRange((instances+1)/2, instances).Draw(t, "heard"), 1)
		fleet := make([]*budget.Budget, instances)
		for i := range fleet {
			fleet[i] = &budget.Budget{Ratio: ratio / 2, Slack: slack, Instances: func() int { return heard }, Window: window}
		}
		type second struct{ requests, retries int }
		var seconds []second
		for s := range 40 {
			now := start.Add(time.Duration(s) * time.Second)
			sum := second{}
			for range rapid.IntRange(0, 60).Draw(t, "requests") {
				b := fleet[rapid.IntRange(0, instances-1).Draw(t, "instance")]
				sum.requests++
				b.Deposit("portal", now)
				for b.Withdraw("portal", now) {
					sum.retries++
				}
			}
			seconds = append(seconds, sum)
		}
		for end := 10; end <= len(seconds); end++ {
			requests, before, retries := 0, 0, 0
			for i, s := range seconds[:end] {
				if i >= end-10 {
					requests += s.requests
					retries += s.retries
				} else if i >= end-20 {
					before += s.requests
				}
			}
			require.LessOrEqual(t, float64(retries), ratio*float64(max(requests, before))+slack)
		}
	})
}

// Pattern: the endpoints of one service refuse everything. Its retries do not spend
// what the requests for other services earn, and not the other way round.
func TestServicesHaveTheirOwn(t *testing.T) {
	b := &budget.Budget{Ratio: 0.1, Slack: 40}
	for range 1000 {
		b.Deposit("model", start)
	}
	portal := 0
	for range 100 {
		b.Deposit("portal", start)
		for b.Withdraw("portal", start) {
			portal++
		}
	}
	require.LessOrEqual(t, portal, 15)
	require.True(t, b.Withdraw("model", start))
}

// An instance that loses sight of the others does not take their part.
func TestSpareIsNotSpentTwice(t *testing.T) {
	heard := 25
	b := &budget.Budget{Slack: 200, Instances: func() int { return heard }}
	require.InDelta(t, 4, spend(b), 1)
	heard = 1
	b2 := start.Add(time.Hour)
	n := 0
	for b.Withdraw("s", b2) {
		n++
	}
	require.Zero(t, n)
}

func spend(b *budget.Budget) int {
	n := 0
	for b.Withdraw("s", start) {
		n++
	}
	return n
}
