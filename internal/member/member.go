// Package member keeps one instance's membership table of the entry instances. The
// instance list seeds the table; messages received directly from a member decide whether
// it is live.
package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// failureTimeout is the time without a message after which a member counts as failed. It
// takes four lost heartbeats in a row, so that one slow exchange does not reassign any
// task.
const failureTimeout = 2 * time.Second

// State is the state of a member in the table.
type State string

// The states of a member.
const (
	// StateSeeded members are in the instance list but have never sent a message.
	StateSeeded State = "seeded"
	// StateLive members sent a message within the last two seconds.
	StateLive State = "live"
	// StateGone members have sent no message for more than two seconds.
	StateGone State = "gone"
)

// Member is one entry instance in the table.
type Member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Incarnation is chosen at random on each start of the process. It
	// distinguishes a restart from a pause.
	Incarnation uint32 `json:"incarnation"`
	State       State  `json:"state"`
	// Leaving members finish the requests that they hold. Tasks are assigned to them
	// only if no other live member is eligible.
	Leaving       bool      `json:"leaving"`
	LastHeartbeat time.Time `json:"heard"`
}

// Change is a state transition in the table, for the audit trail.
type Change struct {
	Member Member
	From   State
	To     State
	// Restarted is set when the incarnation changed.
	Restarted bool
}

// Table is the membership table of one instance. It is not safe for concurrent use.
type Table struct {
	// Self is the instance itself, which is always live.
	Self Member
	// OnChange is called for every transition. It may be nil.
	OnChange func(Change)

	members map[string]*Member
	// replaced holds earlier incarnations, whose late messages are ignored.
	replaced map[uint32]bool
	// liveCache is the result of Live until a member changes; nil means stale.
	liveCache []Member
}

// New returns a table that holds only the instance itself.
func New(self Member) *Table {
	self.State = StateLive
	return &Table{
		Self:     self,
		members:  map[string]*Member{},
		replaced: map[uint32]bool{},
	}
}

// Seed adds the entry instances of the platform's instance list. Members that are no
// longer listed are removed unless they are live. A listed member becomes live only with
// its first message, and a member that sends messages stays live even if it is not listed.
func (t *Table) Seed(list []fleet.Instance) {
	listed := map[string]bool{}
	for _, in := range list {
		if in.Role != fleet.RoleEntry || in.Name == t.Self.Name {
			continue
		}
		listed[in.Name] = true
		m := t.members[in.Name]
		if m == nil {
			t.members[in.Name] = &Member{Name: in.Name, Domain: in.Domain, Address: in.Address, State: StateSeeded}
			continue
		}
		m.Address = in.Address
	}
	for name, m := range t.members {
		if !listed[name] && m.State != StateLive {
			delete(t.members, name)
		}
	}
}

// RecordMessage records that a message of a member arrived. It returns false for a message
// of a replaced incarnation or of the instance itself, which must be discarded.
func (t *Table) RecordMessage(from Member, now time.Time) bool {
	if t.replaced[from.Incarnation] || from.Name == t.Self.Name {
		return false
	}
	m := t.members[from.Name]
	if m == nil {
		m = &Member{Name: from.Name, Domain: from.Domain, Address: from.Address, State: StateSeeded}
		t.members[from.Name] = m
	}
	restarted := m.Incarnation != 0 && m.Incarnation != from.Incarnation
	if restarted {
		t.replaced[m.Incarnation] = true
	}
	before := m.State
	m.Domain, m.Address = from.Domain, from.Address
	m.Incarnation = from.Incarnation
	if before != StateLive || restarted || m.Leaving != from.Leaving {
		t.liveCache = nil
	}
	m.Leaving = from.Leaving
	m.LastHeartbeat = now
	m.State = StateLive
	if before != StateLive || restarted {
		t.notifyChange(*m, before, restarted)
	}
	return true
}

// Tick marks members without a message for longer than failureTimeout as gone.
func (t *Table) Tick(now time.Time) {
	for _, m := range t.members {
		if m.State == StateLive && now.Sub(m.LastHeartbeat) > failureTimeout {
			m.State = StateGone
			t.liveCache = nil
			t.notifyChange(*m, StateLive, false)
		}
	}
}

func (t *Table) notifyChange(m Member, from State, restarted bool) {
	if t.OnChange != nil {
		t.OnChange(Change{Member: m, From: from, To: m.State, Restarted: restarted})
	}
}

// Get returns the member with the given name, and false if there is none.
func (t *Table) Get(name string) (Member, bool) {
	if name == t.Self.Name {
		return t.Self, true
	}
	m := t.members[name]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// Peers returns all other members, live or not, ordered by name.
func (t *Table) Peers() []Member {
	all := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, byName)
	return all
}

// Live returns the live members including this instance, ordered by name. The result must
// not be modified; the times in it may be out of date.
func (t *Table) Live() []Member {
	if t.liveCache != nil {
		return t.liveCache
	}
	live := []Member{t.Self}
	for _, m := range t.members {
		if m.State == StateLive {
			live = append(live, *m)
		}
	}
	slices.SortFunc(live, byName)
	t.liveCache = live
	return live
}

func byName(a, b Member) int {
	if a.Name < b.Name {
		return -1
	}
	if a.Name > b.Name {
		return 1
	}
	return 0
}

// Leave marks this instance as leaving.
func (t *Table) Leave() {
	t.Self.Leaving = true
	t.liveCache = nil
}

// Owner assigns a task to a member by rendezvous hashing over the live members of a failure
// domain that are not leaving; an empty domain means the whole fleet. If there is no such
// member, leaving members are considered, and if there are none either, it returns the empty
// name.
func (t *Table) Owner(task, domain string) string {
	live := t.Live()
	if name := rendezvous(task, domain, live, false); name != "" {
		return name
	}
	return rendezvous(task, domain, live, true)
}

func rendezvous(task, domain string, live []Member, leaving bool) string {
	best, bestScore := "", uint64(0)
	for _, m := range live {
		if domain != "" && m.Domain != domain {
			continue
		}
		if m.Leaving != leaving {
			continue
		}
		score := xxhash.Sum64String(task + "\x00" + m.Name)
		if best == "" || score > bestScore {
			best, bestScore = m.Name, score
		}
	}
	return best
}

// Rank returns how many live members of a failure domain come before this instance in the
// rendezvous order of a task that several members perform.
func (t *Table) Rank(task, domain string) int {
	own := xxhash.Sum64String(task + "\x00" + t.Self.Name)
	rank := 0
	for _, m := range t.Live() {
		if m.Domain == domain && xxhash.Sum64String(task+"\x00"+m.Name) > own {
			rank++
		}
	}
	return rank
}

// Expected returns this instance and the members that are live or that have not sent a
// message since this instance started, ordered by name.
func (t *Table) Expected() []Member {
	expected := []Member{t.Self}
	for _, m := range t.members {
		if m.State != StateGone {
			expected = append(expected, *m)
		}
	}
	slices.SortFunc(expected, byName)
	return expected
}
