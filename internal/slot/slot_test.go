package slot_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/internal/slot"
)

var start = time.Unix(1_700_000_000, 0)

func key(customer string) share.Key { return share.Key{Service: "model", Customer: customer} }

// even serves customers in the order of their names.
func even(k share.Key, pendingCustomer, _ int) (float64, float64) {
	return float64(pendingCustomer), 0
}

// pair is a home and one entry instance with a link that can lose messages.
type pair struct {
	home *slot.Home
	held *slot.HeldLeases
	now  time.Time
}

func newPair(slots int) *pair {
	p := &pair{home: slot.NewHome("d0"), held: slot.NewHeldLeases(), now: start}
	p.home.AddEndpoint("m0", "model", slots, start)
	return p
}

func (p *pair) toHome(t require.TestingT) {
	returned := p.held.Unsent("h")
	require.NoError(t, p.home.Receive("e", p.held.Message("h", func(string) bool { return false }), p.now))
	p.held.Acknowledge("h", returned)
}

func (p *pair) toEntry(t require.TestingT) []*slot.Lease {
	leases, _, err := p.held.Receive("h", 1, p.home.Message("e", nil), p.now)
	require.NoError(t, err)
	return leases
}

func (p *pair) used() int {
	used, _ := p.home.Used("m0")
	return used
}

func TestGrantIsRepeatedUntilSeen(t *testing.T) {
	p := newPair(2)
	p.home.SetDemand("e", "d0", key("a"), 5)
	p.home.Decide(even, p.now)
	require.Len(t, p.toEntry(t), 2)
	require.Empty(t, p.toEntry(t), "a grant that was received before is no new lease")
	p.toHome(t)
	require.Empty(t, p.home.Outbox("e"))
	require.Equal(t, 2, p.used())
}

func TestLostReleaseIsFoundByCount(t *testing.T) {
	p := newPair(2)
	p.home.SetDemand("e", "d0", key("a"), 2)
	p.home.Decide(even, p.now)
	leases := p.toEntry(t)
	p.toHome(t)
	p.held.Release(leases[0])
	// The home missed the release: the message was taken for sent.
	p.held.Acknowledge("h", p.held.Unsent("h"))
	p.toHome(t)
	require.Equal(t, 2, p.used())
	p.toEntry(t) // asks for the list
	p.toHome(t)
	require.Equal(t, 1, p.used())
}

func TestSilentEntryLosesItsSlots(t *testing.T) {
	p := newPair(1)
	p.home.SetDemand("e", "d0", key("a"), 1)
	p.home.Decide(even, p.now)
	leases := p.toEntry(t)
	p.toHome(t)
	p.now = p.now.Add(2900 * time.Millisecond)
	require.Empty(t, p.home.Tick(p.now, "h"))
	require.False(t, p.held.Valid(leases[0], "e", p.now), "the holder gives a lease up before its home does")
	p.now = p.now.Add(time.Second)
	require.Equal(t, []string{"e"}, p.home.Tick(p.now, "h"))
	require.Equal(t, 0, p.used())
}

func TestNewHomeCountsForeignSlots(t *testing.T) {
	home := slot.NewHome("d0")
	home.AddEndpoint("m0", "model", 3, start.Add(time.Second))
	home.SetDemand("e", "d0", key("a"), 9)
	require.Empty(t, home.Decide(even, start), "nothing is granted before the reports are in")
	home.SetForeign("e", map[string]int{"m0": 2})
	home.Decide(even, start.Add(time.Second))
	require.Len(t, home.Outbox("e"), 1)
}

func TestExcessHoldsSlotsBack(t *testing.T) {
	home := slot.NewHome("d0")
	home.AddEndpoint("m0", "model", 4, start)
	for range 3 {
		home.ObserveRunning("m0", 3)
	}
	require.Equal(t, 1, home.Free("model", start))
	home.ObserveRunning("m0", 0)
	require.Equal(t, 4, home.Free("model", start), "one report without them frees the slots")
}

func TestUnusedGrantEndsItsDemand(t *testing.T) {
	p := newPair(1)
	p.home.SetDemand("e", "d0", key("a"), 1)
	p.home.Decide(even, p.now)
	p.held.ReleaseUnused(p.toEntry(t)[0])
	p.toHome(t)
	require.Zero(t, p.used())
	require.Empty(t, p.home.Decide(even, p.now), "the demand was wrong")
}

func TestDeclinedEndpointIsNotGrantedAtOnce(t *testing.T) {
	home := slot.NewHome("d0")
	home.AddEndpoint("m0", "model", 1, start)
	home.SetDemand("e", "d0", key("a"), 1)
	home.Decide(even, start)
	number := home.Outbox("e")[0].Number
	home.Renew("e", number, 1, start)
	home.Decline("e", number, start)
	require.Empty(t, home.Decide(even, start))
	require.Equal(t, []string{"e"}, home.Decide(even, start.Add(2*time.Second)))
}

// TestTwoDeclinedEndpointsDoNotAlternate keeps out a storm of messages that the soak
// found: an entry instance to which both endpoints of a home were closed declined
// each in turn, without end.
func TestTwoDeclinedEndpointsDoNotAlternate(t *testing.T) {
	home := slot.NewHome("d0")
	home.AddEndpoint("m0", "model", 1, start)
	home.AddEndpoint("m1", "model", 1, start)
	home.SetDemand("e", "d0", key("a"), 1)
	for declined := 0; ; declined++ {
		require.LessOrEqual(t, declined, 2)
		if len(home.Decide(even, start)) == 0 {
			return
		}
		number := home.Outbox("e")[0].Number
		home.Renew("e", number, 1, start)
		home.Decline("e", number, start)
	}
}

// TestNoSlotTwice drives a home with random events and checks that slots are never
// granted beyond what the endpoint has, and that no work waits beside a free slot.
func TestNoSlotTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		p := newPair(slots)
		var leases []*slot.Lease
		waiting := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			p.now = p.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				customer := fmt.Sprintf("c%d", rapid.IntRange(0, 3).Draw(t, "customer"))
				waiting[customer] = rapid.IntRange(0, 4).Draw(t, "waiting")
				p.home.SetDemand("e", "d0", key(customer), waiting[customer])
			case 1:
				leases = append(leases, p.toEntry(t)...)
			case 2:
				p.toHome(t)
			case 3:
				if len(leases) > 0 {
					p.held.Release(leases[0])
					leases = leases[1:]
				}
			case 4:
				p.home.Decide(even, p.now)
				pending := map[string]int{}
				for _, g := range p.home.Outbox("e") {
					pending[g.Key.Customer]++
				}
				for customer, n := range waiting {
					if n > pending[customer] {
						require.Zero(t, p.home.Free("model", p.now), "work of %s waits beside a free slot", customer)
					}
				}
			}
			require.LessOrEqual(t, p.used(), slots)
			require.LessOrEqual(t, len(leases), slots)
		}
	})
}

func FuzzReceive(f *testing.F) {
	f.Add([]byte(`{"x":[1],"d":[2],"s":3,"h":1,"a":{"1":"m0"},"l":true,"o":{"m0":2}}`))
	f.Add([]byte(`{"g":[{"n":1,"e":"m0","s":"model","c":"a"}],"q":true,"f":{"model":3}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		home := slot.NewHome("d0")
		home.AddEndpoint("m0", "model", 2, start)
		if err := home.Receive("e", data, start); err != nil {
			var unreadable *slot.MessageError
			require.ErrorAs(t, err, &unreadable)
		}
		home.SetDemand("e", "d0", key("a"), 5)
		home.Decide(even, start)
		held := slot.NewHeldLeases()
		_, _, _ = held.Receive("h", 1, data, start)
	})
}
