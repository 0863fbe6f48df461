package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/queue"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

var start = time.Unix(1_700_000_000, 0)

func key(customer string) share.Key { return share.Key{Service: "model", Customer: customer} }

func TestLimits(t *testing.T) {
	q := queue.New()
	q.Limits = func(string) queue.Limits {
		return queue.Limits{RequestsPerKey: 2, BytesPerCustomer: 100, TotalBytes: 150}
	}
	push := func(id, customer string, bytes int64) error {
		return q.Push(queue.Request{ID: id, Key: key(customer), Bytes: bytes})
	}
	require.NoError(t, push("1", "a", 10))
	require.NoError(t, push("2", "a", 10))
	var refusal *queue.Refusal
	require.ErrorAs(t, push("3", "a", 10), &refusal)
	require.Equal(t, fleet.ReasonQueueFull, refusal.Reason)
	require.ErrorAs(t, push("4", "b", 101), &refusal, "bytes of a customer")
	require.NoError(t, push("5", "b", 100))
	require.ErrorAs(t, push("6", "c", 50), &refusal, "total bytes")
	_, ok := q.Pop(key("a"), queue.Target{})
	require.True(t, ok)
	require.NoError(t, push("7", "a", 10))
	require.Equal(t, int64(120), q.Bytes())
}

func TestExpireRemovesOnlyRequestsPastDeadline(t *testing.T) {
	q := queue.New()
	require.NoError(t, q.Push(queue.Request{ID: "1", Key: key("a"), Deadline: start}))
	require.NoError(t, q.Push(queue.Request{ID: "2", Key: key("a"), Deadline: start.Add(time.Second)}))
	require.NoError(t, q.Push(queue.Request{ID: "3", Key: key("a")}))
	require.Len(t, q.Expire(start), 1)
	require.Equal(t, 2, q.Total())
}

func TestCachedPrefixOvertakesWithinLookahead(t *testing.T) {
	q := queue.New()
	for i := range 8 {
		require.NoError(t, q.Push(queue.Request{ID: fmt.Sprint(i), Key: key("a"), PrefixHash: uint64(i + 1)}))
	}
	prefixCached := func(hash uint64) func(uint64) bool { return func(h uint64) bool { return h == hash } }
	r, _ := q.Pop(key("a"), queue.Target{PrefixCached: prefixCached(4)})
	require.Equal(t, "3", r.ID)
	r, _ = q.Pop(key("a"), queue.Target{PrefixCached: prefixCached(8)})
	require.Equal(t, "0", r.ID, "the request with the cached prefix is beyond the lookahead")
}

func TestSuspectsDoNotRunOnSameEndpoint(t *testing.T) {
	q := queue.New()
	require.NoError(t, q.Push(queue.Request{ID: "1", Key: key("a"), Suspect: true}))
	_, ok := q.Pop(key("a"), queue.Target{Endpoint: "m0", Suspects: 1})
	require.False(t, ok)
	_, ok = q.Pop(key("a"), queue.Target{Endpoint: "m0", Suspects: 1})
	require.True(t, ok, "a request takes a slot after maxDeclined declined slots")
}
