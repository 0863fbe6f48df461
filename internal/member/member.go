// Package member keeps the view of the live entry instances: the instance list
// seeds it, direct heartbeats decide.
package member

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// suspectAfter is the silence after which a member counts as gone. Four
// heartbeats must be lost in a row, so that one slow exchange does not move
// any duty.
const suspectAfter = 2 * time.Second

// State is what the view holds about one member.
type State string

// The states of a member.
const (
	// StateSeeded members are in the instance list but were never heard.
	StateSeeded State = "seeded"
	// StateLive members were heard within the last two seconds.
	StateLive State = "live"
	// StateGone members fell silent.
	StateGone State = "gone"
)

// Member is one entry instance in the view.
type Member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	// Incarnation is random for each start of the process. It tells a
	// restart from a pause.
	Incarnation uint32 `json:"incarnation"`
	State       State  `json:"state"`
	// Leaving members serve what they hold but take no duty.
	Leaving       bool      `json:"leaving"`
	LastHeartbeat time.Time `json:"heard"`
}

// Change is a transition in the view, for the audit trail.
type Change struct {
	Member Member
	From   State
	To     State
	// Restarted is set when the incarnation changed.
	Restarted bool
}

// Table is the view of one instance. It is not safe for concurrent use.
type Table struct {
	// Self is always live.
	Self Member
	// OnChange is called for every transition. Nil is allowed.
	OnChange func(Change)

	members map[string]*Member
	// gone holds replaced incarnations, whose late messages are ignored.
	gone map[uint32]bool
	// live is the answer of Live until a state changes.
	live []Member
}

// New returns a view that holds only the instance itself.
func New(self Member) *Table {
	self.State = StateLive
	return &Table{
		Self:    self,
		members: map[string]*Member{},
		gone:    map[uint32]bool{},
	}
}

// Seed adds the entry instances of the platform's list. Members that left the
// list are dropped once they are silent; a listed one is not live before it
// was heard, and one that is heard stays live whatever the list says.
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

// RecordMessage records a message of a member. It returns false for a message of a
// replaced incarnation, which must be dropped.
func (t *Table) RecordMessage(from Member, now time.Time) bool {
	if t.gone[from.Incarnation] || from.Name == t.Self.Name {
		return false
	}
	m := t.members[from.Name]
	if m == nil {
		m = &Member{Name: from.Name, Domain: from.Domain, Address: from.Address, State: StateSeeded}
		t.members[from.Name] = m
	}
	restarted := m.Incarnation != 0 && m.Incarnation != from.Incarnation
	if restarted {
		t.gone[m.Incarnation] = true
	}
	before := m.State
	m.Domain, m.Address = from.Domain, from.Address
	m.Incarnation = from.Incarnation
	if before != StateLive || restarted || m.Leaving != from.Leaving {
		t.live = nil
	}
	m.Leaving = from.Leaving
	m.LastHeartbeat = now
	m.State = StateLive
	if before != StateLive || restarted {
		t.changed(*m, before, restarted)
	}
	return true
}

// Tick marks silent members as gone.
func (t *Table) Tick(now time.Time) {
	for _, m := range t.members {
		if m.State == StateLive && now.Sub(m.LastHeartbeat) > suspectAfter {
			m.State = StateGone
			t.live = nil
			t.changed(*m, StateLive, false)
		}
	}
}

func (t *Table) changed(m Member, from State, restarted bool) {
	if t.OnChange != nil {
		t.OnChange(Change{Member: m, From: from, To: m.State, Restarted: restarted})
	}
}

// Get returns the member with a name.
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

// Live returns the live members with this instance itself, ordered by name. The
// result must not be changed; the times in it may be old.
func (t *Table) Live() []Member {
	if t.live != nil {
		return t.live
	}
	live := []Member{t.Self}
	for _, m := range t.members {
		if m.State == StateLive {
			live = append(live, *m)
		}
	}
	slices.SortFunc(live, byName)
	t.live = live
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

// Leave marks this instance itself as leaving.
func (t *Table) Leave() {
	t.Self.Leaving = true
	t.live = nil
}

// Owner assigns a duty by rendezvous hashing over the live members of a failure
// domain that are not leaving; an empty domain means the whole fleet. If no such
// member exists, leaving members are taken, and then the empty name is returned.
func (t *Table) Owner(duty, domain string) string {
	live := t.Live()
	if name := rendezvous(duty, domain, live, false); name != "" {
		return name
	}
	return rendezvous(duty, domain, live, true)
}

func rendezvous(duty, domain string, live []Member, leaving bool) string {
	best, bestScore := "", uint64(0)
	for _, m := range live {
		if domain != "" && m.Domain != domain {
			continue
		}
		if m.Leaving != leaving {
			continue
		}
		score := xxhash.Sum64String(duty + "\x00" + m.Name)
		if best == "" || score > bestScore {
			best, bestScore = m.Name, score
		}
	}
	return best
}

// Rank returns how many live members of a failure domain go before this instance
// for a duty that several carry out.
func (t *Table) Rank(duty, domain string) int {
	own := xxhash.Sum64String(duty + "\x00" + t.Self.Name)
	rank := 0
	for _, m := range t.Live() {
		if m.Domain == domain && xxhash.Sum64String(duty+"\x00"+m.Name) > own {
			rank++
		}
	}
	return rank
}

// Expected returns this instance and the members that are live or have not been
// heard yet since the start, ordered by name.
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
