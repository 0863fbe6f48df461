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

func TestBounds(t *testing.T) {
	w := queue.New()
	w.Limits = func(string) queue.Limits {
		return queue.Limits{RequestsPerKey: 2, BytesPerCustomer: 100, TotalBytes: 150}
	}
	push := func(id, customer string, bytes int64) error {
		return w.Push(queue.Request{ID: id, Key: key(customer), Bytes: bytes})
	}
	require.NoError(t, push("1", "a", 10))
	require.NoError(t, push("2", "a", 10))
	var refusal *queue.Refusal
	require.ErrorAs(t, push("3", "a", 10), &refusal)
	require.Equal(t, fleet.ReasonQueueFull, refusal.Reason)
	require.ErrorAs(t, push("4", "b", 101), &refusal, "bytes of a customer")
	require.NoError(t, push("5", "b", 100))
	require.ErrorAs(t, push("6", "c", 50), &refusal, "bytes in all")
	_, ok := w.Pop(key("a"), queue.Target{})
	require.True(t, ok)
	require.NoError(t, push("7", "a", 10))
	require.Equal(t, int64(120), w.Bytes())
}

func TestDeadlineDropsOnlyWhatHasPassed(t *testing.T) {
	w := queue.New()
	require.NoError(t, w.Push(queue.Request{ID: "1", Key: key("a"), Deadline: start}))
	require.NoError(t, w.Push(queue.Request{ID: "2", Key: key("a"), Deadline: start.Add(time.Second)}))
	require.NoError(t, w.Push(queue.Request{ID: "3", Key: key("a")}))
	require.Len(t, w.Expire(start), 1)
	require.Equal(t, 2, w.Total())
}

func TestWarmRequestOvertakesOnlyAFew(t *testing.T) {
	w := queue.New()
	for i := range 8 {
		require.NoError(t, w.Push(queue.Request{ID: fmt.Sprint(i), Key: key("a"), PrefixHash: uint64(i + 1)}))
	}
	warm := func(head uint64) func(uint64) bool { return func(h uint64) bool { return h == head } }
	r, _ := w.Pop(key("a"), queue.Target{PrefixCached: warm(4)})
	require.Equal(t, "3", r.ID)
	r, _ = w.Pop(key("a"), queue.Target{PrefixCached: warm(8)})
	require.Equal(t, "0", r.ID, "the last one is too far behind")
}

func TestSuspectsDoNotRunBesideEachOther(t *testing.T) {
	w := queue.New()
	require.NoError(t, w.Push(queue.Request{ID: "1", Key: key("a"), Suspect: true}))
	_, ok := w.Pop(key("a"), queue.Target{Endpoint: "m0", Suspects: 1})
	require.False(t, ok)
	_, ok = w.Pop(key("a"), queue.Target{Endpoint: "m0", Suspects: 1})
	require.True(t, ok, "a request is not declined for ever")
}
