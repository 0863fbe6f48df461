package share_test

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagestep/greengagestep/internal/share"
)

var start = time.Unix(1_700_000_000, 0)

func key(customer string) share.Key {
	return share.Key{Service: "model", Customer: customer, Kind: "plan"}
}

func order(b *share.Book, customer string) float64 {
	first, _ := b.Order(key(customer), 0, 0)
	return first
}

func TestIdleCustomerBanksNothing(t *testing.T) {
	b := share.New()
	b.Advance(start)
	b.SetOwn(key("busy"), 5, 0)
	b.Charge(key("busy"), 1000)
	b.SetOwn(key("idle"), 1, 0)
	require.InDelta(t, order(b, "busy"), order(b, "idle"), 1e-9)
}

func TestWeightDividesTheCharge(t *testing.T) {
	b := share.New()
	b.Weight = func(customer string) float64 { return map[string]float64{"large": 4, "small": 1}[customer] }
	b.Advance(start)
	b.SetOwn(key("large"), 1, 0)
	b.SetOwn(key("small"), 1, 0)
	b.Charge(key("large"), 400)
	b.Charge(key("small"), 100)
	require.InDelta(t, order(b, "small"), order(b, "large"), 1e-9)
}

func TestNegativeAndZeroChargesChangeNothing(t *testing.T) {
	b := share.New()
	b.Advance(start)
	b.Charge(key("a"), 100)
	before := order(b, "a")
	b.Charge(key("a"), -50)
	b.Charge(key("a"), 0)
	require.Equal(t, before, order(b, "a"))
}

func TestKindsShareWithinACustomer(t *testing.T) {
	b := share.New()
	b.Bonus = func(_, kind string) float64 { return map[string]float64{"urgent": 100}[kind] }
	b.Advance(start)
	urgent := share.Key{Service: "model", Customer: "a", Kind: "urgent"}
	other := share.Key{Service: "model", Customer: "a", Kind: "other"}
	b.SetOwn(urgent, 9, 0)
	b.SetOwn(other, 9, 0)
	second := func(k share.Key) float64 {
		_, v := b.Order(k, 0, 0)
		return v
	}
	require.Less(t, second(urgent), second(other))
	b.Charge(urgent, 101)
	require.Greater(t, second(urgent), second(other), "the head start of an urgent kind is bounded")
}

func TestDebtIsBounded(t *testing.T) {
	b := share.New()
	b.Terms = func(string) share.Terms { return share.Terms{Debt: 500} }
	b.Advance(start)
	b.SetOwn(key("ahead"), 1, 0)
	b.SetOwn(key("behind"), 1, 0)
	b.Charge(key("ahead"), 10_000)
	b.Limit()
	require.InDelta(t, 500, order(b, "ahead")-order(b, "behind"), 1e-9)
}

// report encodes what a sender has to say and returns it.
func report(b *share.Book, sent *share.Sent) json.RawMessage { return b.Report(sent, true, false) }

func TestDeliveriesBehindAPartitionAreForgiven(t *testing.T) {
	for _, payBack := range []bool{false, true} {
		t.Run(fmt.Sprintf("payback=%v", payBack), func(t *testing.T) {
			sender, receiver := share.New(), share.New()
			receiver.PayBack = payBack
			sent := &share.Sent{}
			sender.SetOwn(key("a"), 1, 0)
			_, err := receiver.Merge("e1", 7, report(sender, sent), start)
			require.NoError(t, err)
			before := order(receiver, "a")
			sender.Charge(key("a"), 5000)
			_, err = receiver.Merge("e1", 7, report(sender, sent), start.Add(time.Minute))
			require.NoError(t, err)
			want := 0.0
			if payBack {
				want = 5000
			}
			require.InDelta(t, want, order(receiver, "a")-before, 1e-9)
		})
	}
}

// TestCompleteReportEndsOldDemand keeps out a storm of messages that the soak found: a
// request was cancelled before it got any service while the link was down, and the next
// complete report left its account out, so that it waited for ever at the peer.
func TestCompleteReportEndsOldDemand(t *testing.T) {
	sender, receiver := share.New(), share.New()
	sent := &share.Sent{}
	sender.SetOwn(key("a"), 1, 0)
	_, err := receiver.Merge("e1", 7, sender.Report(sent, true, false), start)
	require.NoError(t, err)
	require.True(t, receiver.PeerWaits("e1", "model"))
	sender.SetOwn(key("a"), 0, 0)
	sent.Forget()
	rows, err := receiver.Merge("e1", 7, sender.Report(sent, true, false), start)
	require.NoError(t, err)
	require.Equal(t, []share.Row{{Key: key("a")}}, rows)
	require.False(t, receiver.PeerWaits("e1", "model"))
}

func TestRestartedPeerIsChargedFromZero(t *testing.T) {
	receiver := share.New()
	old, renewed := share.New(), share.New()
	old.Charge(key("a"), 1000)
	_, err := receiver.Merge("e1", 1, report(old, &share.Sent{}), start)
	require.NoError(t, err)
	before := order(receiver, "a")
	renewed.Charge(key("a"), 30)
	_, err = receiver.Merge("e1", 2, report(renewed, &share.Sent{}), start.Add(time.Second))
	require.NoError(t, err)
	require.InDelta(t, 30, order(receiver, "a")-before, 1e-9)
}

// TestReportsMerge checks that reports merge by maximum: in any order, any number
// of times, the same is charged.
func TestReportsMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender := share.New()
		var reports []json.RawMessage
		total := 0.0
		// Complete reports, as after a failed exchange, can be reordered.
		for range rapid.IntRange(1, 6).Draw(t, "reports") {
			units := float64(rapid.IntRange(1, 500).Draw(t, "units"))
			total += units
			sender.Charge(key("a"), units)
			reports = append(reports, report(sender, &share.Sent{}))
		}
		receiver := share.New()
		_, err := receiver.Merge("e1", 1, nil, start)
		require.NoError(t, err)
		_, err = receiver.Merge("e1", 2, nil, start)
		require.NoError(t, err)
		at := start
		for range rapid.IntRange(0, 20).Draw(t, "repeats") {
			at = at.Add(time.Millisecond)
			_, err := receiver.Merge("e1", 2, rapid.SampledFrom(reports).Draw(t, "report"), at)
			require.NoError(t, err)
		}
		_, err = receiver.Merge("e1", 2, reports[len(reports)-1], at)
		require.NoError(t, err)
		require.InDelta(t, total, order(receiver, "a"), 1e-6)
	})
}

// TestBooksAgree checks that instances that see each other's reports come to agree
// on the lags of waiting customers, whatever they disagreed on before.
func TestBooksAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := share.New(), share.New()
		a.SetOwn(key("x"), 1, 0)
		a.SetOwn(key("y"), 1, 0)
		b.SetOwn(key("x"), 1, 0)
		b.SetOwn(key("y"), 1, 0)
		a.Charge(key("x"), float64(rapid.IntRange(0, 5000).Draw(t, "a")))
		b.Charge(key("y"), float64(rapid.IntRange(0, 5000).Draw(t, "b")))
		toA, toB := &share.Sent{}, &share.Sent{}
		for i := range 40 {
			at := start.Add(time.Duration(i) * 500 * time.Millisecond)
			a.Advance(at)
			b.Advance(at)
			_, err := b.Merge("a", 1, a.Report(toB, true, true), at)
			require.NoError(t, err)
			_, err = a.Merge("b", 1, b.Report(toA, true, false), at)
			require.NoError(t, err)
		}
		lag := func(book *share.Book) float64 { return order(book, "x") - order(book, "y") }
		require.Less(t, math.Abs(lag(a)-lag(b)), 20.0)
	})
}

func FuzzMerge(f *testing.F) {
	sender := share.New()
	sender.SetOwn(key("a"), 3, 1)
	sender.Charge(key("a"), 100)
	f.Add([]byte(sender.Report(&share.Sent{}, true, true)))
	f.Add([]byte(`{"r":[[0,1e308,-1,1e300]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := share.New()
		b.SetOwn(key("a"), 1, 0)
		rows, err := b.Merge("e1", 1, data, start)
		if err != nil {
			var unreadable *share.MessageError
			require.ErrorAs(t, err, &unreadable)
			return
		}
		for _, row := range rows {
			require.GreaterOrEqual(t, row.Waiting, 0)
			require.GreaterOrEqual(t, row.Running, 0)
		}
	})
}
