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

func customerOrder(ledger *share.Ledger, customer string) float64 {
	first, _ := ledger.Order(key(customer), 0, 0)
	return first
}

func TestIdleCustomerAccumulatesNoCredit(t *testing.T) {
	ledger := share.New()
	ledger.Advance(start)
	ledger.SetLocalCounts(key("busy"), 5, 0)
	ledger.Charge(key("busy"), 1000)
	ledger.SetLocalCounts(key("idle"), 1, 0)
	require.InDelta(t, customerOrder(ledger, "busy"), customerOrder(ledger, "idle"), 1e-9)
}

func TestWeightDividesTheCharge(t *testing.T) {
	ledger := share.New()
	ledger.Weight = func(customer string) float64 { return map[string]float64{"large": 4, "small": 1}[customer] }
	ledger.Advance(start)
	ledger.SetLocalCounts(key("large"), 1, 0)
	ledger.SetLocalCounts(key("small"), 1, 0)
	ledger.Charge(key("large"), 400)
	ledger.Charge(key("small"), 100)
	require.InDelta(t, customerOrder(ledger, "small"), customerOrder(ledger, "large"), 1e-9)
}

func TestNegativeAndZeroChargesChangeNothing(t *testing.T) {
	ledger := share.New()
	ledger.Advance(start)
	ledger.Charge(key("a"), 100)
	before := customerOrder(ledger, "a")
	ledger.Charge(key("a"), -50)
	ledger.Charge(key("a"), 0)
	require.Equal(t, before, customerOrder(ledger, "a"))
}

func TestKindsShareWithinCustomer(t *testing.T) {
	ledger := share.New()
	ledger.Bonus = func(_, kind string) float64 { return map[string]float64{"urgent": 100}[kind] }
	ledger.Advance(start)
	urgent := share.Key{Service: "model", Customer: "a", Kind: "urgent"}
	other := share.Key{Service: "model", Customer: "a", Kind: "other"}
	ledger.SetLocalCounts(urgent, 9, 0)
	ledger.SetLocalCounts(other, 9, 0)
	second := func(k share.Key) float64 {
		_, v := ledger.Order(k, 0, 0)
		return v
	}
	require.Less(t, second(urgent), second(other))
	ledger.Charge(urgent, 101)
	require.Greater(t, second(urgent), second(other), "the bonus of an urgent kind is bounded")
}

func TestLagIsBounded(t *testing.T) {
	ledger := share.New()
	ledger.Policy = func(string) share.Policy { return share.Policy{MaxLag: 500} }
	ledger.Advance(start)
	ledger.SetLocalCounts(key("ahead"), 1, 0)
	ledger.SetLocalCounts(key("behind"), 1, 0)
	ledger.Charge(key("ahead"), 10_000)
	ledger.BoundLags()
	require.InDelta(t, 500, customerOrder(ledger, "ahead")-customerOrder(ledger, "behind"), 1e-9)
}

// regularReport encodes a regular report without leads.
func regularReport(ledger *share.Ledger, sent *share.SentState) json.RawMessage {
	return ledger.Report(sent, true, false)
}

func TestDeliveriesDuringPartitionAreNotCharged(t *testing.T) {
	for _, chargeAfterPartition := range []bool{false, true} {
		t.Run(fmt.Sprintf("payback=%v", chargeAfterPartition), func(t *testing.T) {
			sender, receiver := share.New(), share.New()
			receiver.ChargeAfterPartition = chargeAfterPartition
			sent := &share.SentState{}
			sender.SetLocalCounts(key("a"), 1, 0)
			_, err := receiver.Merge("e1", 7, regularReport(sender, sent), start)
			require.NoError(t, err)
			before := customerOrder(receiver, "a")
			sender.Charge(key("a"), 5000)
			_, err = receiver.Merge("e1", 7, regularReport(sender, sent), start.Add(time.Minute))
			require.NoError(t, err)
			want := 0.0
			if chargeAfterPartition {
				want = 5000
			}
			require.InDelta(t, want, customerOrder(receiver, "a")-before, 1e-9)
		})
	}
}

// TestCompleteReportClearsUnlistedAccounts guards against an endless exchange of
// messages that the soak test found: a request was cancelled before it got any service
// while the link was down. The next complete report left its account out, so the
// request stayed waiting at the peer for ever.
func TestCompleteReportClearsUnlistedAccounts(t *testing.T) {
	sender, receiver := share.New(), share.New()
	sent := &share.SentState{}
	sender.SetLocalCounts(key("a"), 1, 0)
	_, err := receiver.Merge("e1", 7, sender.Report(sent, true, false), start)
	require.NoError(t, err)
	require.True(t, receiver.PeerWaits("e1", "model"))
	sender.SetLocalCounts(key("a"), 0, 0)
	sent.Reset()
	rows, err := receiver.Merge("e1", 7, sender.Report(sent, true, false), start)
	require.NoError(t, err)
	require.Equal(t, []share.Row{{Key: key("a")}}, rows)
	require.False(t, receiver.PeerWaits("e1", "model"))
}

func TestRestartedPeerIsChargedFromZero(t *testing.T) {
	receiver := share.New()
	first, restarted := share.New(), share.New()
	first.Charge(key("a"), 1000)
	_, err := receiver.Merge("e1", 1, regularReport(first, &share.SentState{}), start)
	require.NoError(t, err)
	before := customerOrder(receiver, "a")
	restarted.Charge(key("a"), 30)
	_, err = receiver.Merge("e1", 2, regularReport(restarted, &share.SentState{}), start.Add(time.Second))
	require.NoError(t, err)
	require.InDelta(t, 30, customerOrder(receiver, "a")-before, 1e-9)
}

// TestReportsMergeByMaximum checks that the same service is charged in whatever order
// and however often reports arrive.
func TestReportsMergeByMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender := share.New()
		var reports []json.RawMessage
		total := 0.0
		// Complete reports, as sent after a failed exchange, can be reordered.
		for range rapid.IntRange(1, 6).Draw(t, "reports") {
			units := float64(rapid.IntRange(1, 500).Draw(t, "units"))
			total += units
			sender.Charge(key("a"), units)
			reports = append(reports, regularReport(sender, &share.SentState{}))
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
		require.InDelta(t, total, customerOrder(receiver, "a"), 1e-6)
	})
}

// TestLedgersConverge checks that instances that exchange reports converge on the same
// leads of waiting customers, whatever their leads were before.
func TestLedgersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := share.New(), share.New()
		a.SetLocalCounts(key("x"), 1, 0)
		a.SetLocalCounts(key("y"), 1, 0)
		b.SetLocalCounts(key("x"), 1, 0)
		b.SetLocalCounts(key("y"), 1, 0)
		a.Charge(key("x"), float64(rapid.IntRange(0, 5000).Draw(t, "a")))
		b.Charge(key("y"), float64(rapid.IntRange(0, 5000).Draw(t, "b")))
		toA, toB := &share.SentState{}, &share.SentState{}
		for i := range 40 {
			at := start.Add(time.Duration(i) * 500 * time.Millisecond)
			a.Advance(at)
			b.Advance(at)
			_, err := b.Merge("a", 1, a.Report(toB, true, true), at)
			require.NoError(t, err)
			_, err = a.Merge("b", 1, b.Report(toA, true, false), at)
			require.NoError(t, err)
		}
		lead := func(l *share.Ledger) float64 { return customerOrder(l, "x") - customerOrder(l, "y") }
		require.Less(t, math.Abs(lead(a)-lead(b)), 20.0)
	})
}

func FuzzMerge(f *testing.F) {
	sender := share.New()
	sender.SetLocalCounts(key("a"), 3, 1)
	sender.Charge(key("a"), 100)
	f.Add([]byte(sender.Report(&share.SentState{}, true, true)))
	f.Add([]byte(`{"r":[[0,1e308,-1,1e300]]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ledger := share.New()
		ledger.SetLocalCounts(key("a"), 1, 0)
		rows, err := ledger.Merge("e1", 1, data, start)
		if err != nil {
			var messageErr *share.MessageError
			require.ErrorAs(t, err, &messageErr)
			return
		}
		for _, row := range rows {
			require.GreaterOrEqual(t, row.Waiting, 0)
			require.GreaterOrEqual(t, row.Running, 0)
		}
	})
}
