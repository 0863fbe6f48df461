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

// byPendingGrants serves customers with fewer pending grants first, ties by name.
func byPendingGrants(k share.Key, pendingCustomer, _ int) (float64, float64) {
	return float64(pendingCustomer), 0
}

// homeAndEntry is a home and one entry instance on a link that can lose messages.
type homeAndEntry struct {
	home       *slot.Home
	heldLeases *slot.HeldLeases
	now        time.Time
}

func newHomeAndEntry(slots int) *homeAndEntry {
	p := &homeAndEntry{home: slot.NewHome("d0"), heldLeases: slot.NewHeldLeases(), now: start}
	p.home.AddEndpoint("m0", "model", slots, start)
	return p
}

func (p *homeAndEntry) sendToHome(t require.TestingT) {
	returned := p.heldLeases.Unacknowledged("h")
	require.NoError(t, p.home.Receive("e", p.heldLeases.Message("h", func(string) bool { return false }), p.now))
	p.heldLeases.Acknowledge("h", returned)
}

func (p *homeAndEntry) sendToEntry(t require.TestingT) []*slot.Lease {
	leases, _, err := p.heldLeases.Receive("h", 1, p.home.Message("e", nil), p.now)
	require.NoError(t, err)
	return leases
}

func (p *homeAndEntry) used() int {
	used, _ := p.home.Used("m0")
	return used
}

func TestGrantIsRepeatedUntilReceived(t *testing.T) {
	p := newHomeAndEntry(2)
	p.home.SetDemand("e", "d0", key("a"), 5)
	p.home.Decide(byPendingGrants, p.now)
	require.Len(t, p.sendToEntry(t), 2)
	require.Empty(t, p.sendToEntry(t), "a grant that was received before does not create a lease")
	p.sendToHome(t)
	require.Empty(t, p.home.Outbox("e"))
	require.Equal(t, 2, p.used())
}

func TestLostReleaseIsDetectedByLeaseCount(t *testing.T) {
	p := newHomeAndEntry(2)
	p.home.SetDemand("e", "d0", key("a"), 2)
	p.home.Decide(byPendingGrants, p.now)
	leases := p.sendToEntry(t)
	p.sendToHome(t)
	p.heldLeases.Release(leases[0])
	// The release is lost: the entry instance counts the message as delivered.
	p.heldLeases.Acknowledge("h", p.heldLeases.Unacknowledged("h"))
	p.sendToHome(t)
	require.Equal(t, 2, p.used())
	p.sendToEntry(t) // requests the full list
	p.sendToHome(t)
	require.Equal(t, 1, p.used())
}

func TestLeasesOfUnresponsiveEntryExpire(t *testing.T) {
	p := newHomeAndEntry(1)
	p.home.SetDemand("e", "d0", key("a"), 1)
	p.home.Decide(byPendingGrants, p.now)
	leases := p.sendToEntry(t)
	p.sendToHome(t)
	p.now = p.now.Add(2900 * time.Millisecond)
	require.Empty(t, p.home.Tick(p.now, "h"))
	require.False(t, p.heldLeases.Valid(leases[0], "e", p.now), "a lease expires at the holder before it expires at the home")
	p.now = p.now.Add(time.Second)
	require.Equal(t, []string{"e"}, p.home.Tick(p.now, "h"))
	require.Equal(t, 0, p.used())
}

func TestNewHomeCountsSlotsOfEarlierHome(t *testing.T) {
	home := slot.NewHome("d0")
	home.AddEndpoint("m0", "model", 3, start.Add(time.Second))
	home.SetDemand("e", "d0", key("a"), 9)
	require.Empty(t, home.Decide(byPendingGrants, start), "nothing is granted before entry instances have reported their leases")
	home.SetForeign("e", map[string]int{"m0": 2})
	home.Decide(byPendingGrants, start.Add(time.Second))
	require.Len(t, home.Outbox("e"), 1)
}

func TestExcessRunningRequestsReduceFreeSlots(t *testing.T) {
	home := slot.NewHome("d0")
	home.AddEndpoint("m0", "model", 4, start)
	for range 3 {
		home.ObserveRunning("m0", 3)
	}
	require.Equal(t, 1, home.Free("model", start))
	home.ObserveRunning("m0", 0)
	require.Equal(t, 4, home.Free("model", start), "one report without excess requests frees the slots")
}

func TestUnusedGrantClearsDemand(t *testing.T) {
	p := newHomeAndEntry(1)
	p.home.SetDemand("e", "d0", key("a"), 1)
	p.home.Decide(byPendingGrants, p.now)
	p.heldLeases.ReleaseUnused(p.sendToEntry(t)[0])
	p.sendToHome(t)
	require.Zero(t, p.used())
	require.Empty(t, p.home.Decide(byPendingGrants, p.now), "the reported demand was wrong")
}

func TestDeclinedEndpointIsNotGrantedImmediately(t *testing.T) {
	home := slot.NewHome("d0")
	home.AddEndpoint("m0", "model", 1, start)
	home.SetDemand("e", "d0", key("a"), 1)
	home.Decide(byPendingGrants, start)
	number := home.Outbox("e")[0].Number
	home.Renew("e", number, 1, start)
	home.Decline("e", number, start)
	require.Empty(t, home.Decide(byPendingGrants, start))
	require.Equal(t, []string{"e"}, home.Decide(byPendingGrants, start.Add(2*time.Second)))
}

// TestDeclinedEndpointsAreNotGrantedInTurn guards against an endless exchange of messages
// that the soak test found: an entry instance that could use neither endpoint of a home
// declined slots of each in turn.
func TestDeclinedEndpointsAreNotGrantedInTurn(t *testing.T) {
	home := slot.NewHome("d0")
	home.AddEndpoint("m0", "model", 1, start)
	home.AddEndpoint("m1", "model", 1, start)
	home.SetDemand("e", "d0", key("a"), 1)
	for declined := 0; ; declined++ {
		require.LessOrEqual(t, declined, 2)
		if len(home.Decide(byPendingGrants, start)) == 0 {
			return
		}
		number := home.Outbox("e")[0].Number
		home.Renew("e", number, 1, start)
		home.Decline("e", number, start)
	}
}

// TestSlotsAreNeverOvercommitted applies random events to a home and checks that it never
// grants more slots than the endpoint has, and that no request waits while a slot is free.
func TestSlotsAreNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		p := newHomeAndEntry(slots)
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
				leases = append(leases, p.sendToEntry(t)...)
			case 2:
				p.sendToHome(t)
			case 3:
				if len(leases) > 0 {
					p.heldLeases.Release(leases[0])
					leases = leases[1:]
				}
			case 4:
				p.home.Decide(byPendingGrants, p.now)
				pending := map[string]int{}
				for _, g := range p.home.Outbox("e") {
					pending[g.Key.Customer]++
				}
				for customer, n := range waiting {
					if n > pending[customer] {
						require.Zero(t, p.home.Free("model", p.now), "a request of %s waits although a slot is free", customer)
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
			var messageErr *slot.MessageError
			require.ErrorAs(t, err, &messageErr)
		}
		home.SetDemand("e", "d0", key("a"), 5)
		home.Decide(byPendingGrants, start)
		heldLeases := slot.NewHeldLeases()
		_, _, _ = heldLeases.Receive("h", 1, data, start)
	})
}
