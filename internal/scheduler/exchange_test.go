package scheduler_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/queue"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// recorder is a port that only records the decisions.
type recorder struct {
	started []scheduler.Run
	woken   map[string]int
}

func (r *recorder) Start(run scheduler.Run)            { r.started = append(r.started, run) }
func (r *recorder) Refuse(queue.Request, fleet.Reason) {}
func (r *recorder) Wake(peer string)                   { r.woken[peer]++ }

func instance(name string, incarnation uint32) (*scheduler.Scheduler, *recorder) {
	domain := map[string]string{"e0": "d0", "e1": "d1"}[name]
	s := scheduler.New(member.Member{Name: name, Domain: domain, Address: name, Incarnation: incarnation}, epoch)
	port := &recorder{woken: map[string]int{}}
	s.Port = port
	return s, port
}

// TestReorderedMessageIsDropped guards against a message storm that the soak test
// found: a message of a paused instance that arrived late restored demand that no
// longer existed, and the home granted slots for it without end.
func TestReorderedMessageIsDropped(t *testing.T) {
	entry, _ := instance("e1", 11)
	home, _ := instance("e0", 10)
	peers := []fleet.Instance{{Name: "e0", Role: fleet.RoleEntry, Domain: "d0"}, {Name: "e1", Role: fleet.RoleEntry, Domain: "d1"}}
	entry.Table.Seed(peers)
	home.Table.Seed(peers)
	home.SetEndpoints([]scheduler.Endpoint{{Name: "m0", Service: "model", Domain: "d0", Slots: 1}}, epoch)
	_, _, err := entry.Receive(home.Compose("e1", nil, epoch), epoch)
	require.NoError(t, err)
	now := epoch.Add(time.Millisecond)
	require.NoError(t, entry.Arrive(queue.Request{ID: "r", Key: share.Key{Service: "model", Customer: "a"}}, now))
	delayed := entry.Compose("e0", nil, now)
	entry.Sent("e0", false)
	entry.Cancel("r")
	_, _, err = home.Receive(entry.Compose("e0", nil, now), now)
	require.NoError(t, err)
	require.Zero(t, home.Status().Recovering)
	_, _, err = home.Receive(delayed, now)
	require.NoError(t, err)
	require.Zero(t, home.Granted())
}

// A message says that an endpoint has opened and grants a slot of it. The instance declined the slot, since it
// applied the grant first, and its home granted it none there for a second.
func TestGrantWaitsForThePartsOfItsMessage(t *testing.T) {
	for name, opens := range map[string]bool{"endpoint opens": true, "endpoint stays closed": false} {
		t.Run(name, func(t *testing.T) {
			entry, port := instance("e1", 11)
			home, _ := instance("e0", 10)
			peers := []fleet.Instance{{Name: "e0", Role: fleet.RoleEntry, Domain: "d0"}, {Name: "e1", Role: fleet.RoleEntry, Domain: "d1"}}
			entry.Table.Seed(peers)
			home.Table.Seed(peers)
			open := []scheduler.Endpoint{{Name: "m0", Service: "model", Domain: "d0", Slots: 1}}
			closed := []scheduler.Endpoint{{Name: "m0", Service: "model", Domain: "d0", Slots: 1, Closed: true}}
			now := epoch
			deliver := func(to, from *scheduler.Scheduler, parts map[string]json.RawMessage) {
				now = now.Add(10 * time.Millisecond)
				_, _, err := to.Receive(from.Compose(to.Table.Self.Name, parts, now), now)
				require.NoError(t, err)
				from.Sent(to.Table.Self.Name, true)
			}
			home.SetEndpoints(closed, now)
			entry.SetEndpoints(closed, now)
			for range 3 {
				deliver(entry, home, nil)
				deliver(home, entry, nil)
			}
			require.NoError(t, entry.Arrive(queue.Request{ID: "r", Key: share.Key{Service: "model", Customer: "a"}}, now))
			deliver(home, entry, nil)
			home.SetEndpoints(open, now)
			require.Equal(t, 1, home.Granted())

			deliver(entry, home, map[string]json.RawMessage{"part": json.RawMessage("1")})
			require.Empty(t, port.started)
			require.Equal(t, 1, entry.Status().HeldSlots)
			if opens {
				entry.SetEndpoints(open, now)
			}
			entry.UseGrants("e0", now)
			entry.UseGrants("e0", now)
			deliver(home, entry, nil)
			if opens {
				require.Len(t, port.started, 1)
				require.Equal(t, 1, home.Granted())
				return
			}
			require.Empty(t, port.started)
			require.Zero(t, entry.Status().HeldSlots)
			require.Zero(t, home.Granted())
		})
	}
}

func FuzzReceive(f *testing.F) {
	entry, _ := instance("e1", 11)
	_ = entry.Arrive(queue.Request{ID: "r", Key: share.Key{Service: "model", Customer: "a"}}, epoch)
	f.Add(entry.Compose("e0", nil, epoch))
	f.Add([]byte(`{"n":"e1","i":1,"m":1,"h":{"g":[{"n":1,"e":"m0","s":"model","c":"a"}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, _ := instance("e0", 10)
		s.SetEndpoints([]scheduler.Endpoint{{Name: "m0", Service: "model", Domain: "d0", Slots: 1}}, epoch)
		_, _, err := s.Receive(data, epoch)
		if err != nil {
			var messageError *scheduler.MessageError
			require.ErrorAs(t, err, &messageError)
		}
		s.Tick(epoch.Add(time.Second))
	})
}
