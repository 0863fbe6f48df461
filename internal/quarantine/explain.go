package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// crashesToQuarantine is how many crashes a cause must explain.
	crashesToQuarantine = 2
	// crashesDespiteAnswers is the same for a signature of which requests were answered
	// before.
	crashesDespiteAnswers = 4
)

// rule quarantines the requests that have all of its signatures.
type rule struct {
	signatures []uint64  // sorted, at least one
	crashes    int       // that it explains
	first      time.Time // of these crashes
	last       time.Time // of these crashes
	endpoint   string    // that crashed last
	request    string    // ID of a request that it had
}

// matches reports whether a request with the given signatures, which are sorted, is quarantined.
func (r rule) matches(sorted []uint64) bool {
	return !slices.ContainsFunc(r.signatures, func(s uint64) bool {
		_, found := slices.BinarySearch(sorted, s)
		return !found
	})
}

func (r rule) equal(other rule) bool { return slices.Equal(r.signatures, other.signatures) }

// openCrash is a crash that no rule explains yet, with the suspects that may have caused it.
type openCrash struct {
	crash    *crash
	suspects []openSuspect
}

// openSuspect is a suspect with signatures with which no request was answered since the crash.
type openSuspect struct {
	*suspect
	// recurring holds those of them that suspects of several crashes have, sorted. Only these
	// can be in a rule.
	recurring []uint64
}

// has reports whether the suspect has a recurring signature.
func (s openSuspect) has(signature uint64) bool {
	_, found := slices.BinarySearch(s.recurring, signature)
	return found
}

// explain returns the causes of the crashes: again and again the one that explains most of
// those that are left.
func (e *evidence) explain() []rule {
	open := e.openCrashes()
	var rules []rule
	for {
		candidates := e.candidates(open)
		if len(candidates) == 0 {
			return rules
		}
		r := likeliest(candidates, open)
		rules = append(rules, r)
		open = slices.DeleteFunc(open, func(c openCrash) bool {
			c.crash.cause = c.cause(r)
			return c.crash.cause != nil
		})
	}
}

// openCrashes returns the crashes with their suspects.
func (e *evidence) openCrashes() []openCrash {
	var crashes []openCrash
	for _, c := range e.crashes {
		c.cause = nil
		open := openCrash{crash: c}
		for i := range c.suspects {
			s := &c.suspects[i]
			if s.Sent.After(c.at) {
				continue
			}
			// An answer since the crash stays one: later answers replace it, and the time of
			// a crash is corrected to an earlier one only.
			s.uncleared = slices.DeleteFunc(s.uncleared, func(signature uint64) bool {
				return !e.answers[signature].Before(c.at)
			})
			if len(s.uncleared) > 0 {
				open.suspects = append(open.suspects, openSuspect{suspect: s})
			}
		}
		if len(open.suspects) > 0 {
			crashes = append(crashes, open)
		}
	}
	setRecurring(crashes)
	return crashes
}

// setRecurring sets the recurring signatures of all suspects.
func setRecurring(crashes []openCrash) {
	// lastCrash is one more than the index of the last crash with a signature, negative if there
	// are several.
	lastCrash := map[uint64]int{}
	for n, c := range crashes {
		for _, s := range c.suspects {
			for _, signature := range s.uncleared {
				if last := lastCrash[signature]; last == 0 {
					lastCrash[signature] = n + 1
				} else if last != n+1 {
					lastCrash[signature] = -1
				}
			}
		}
	}
	for _, c := range crashes {
		for i := range c.suspects {
			s := &c.suspects[i]
			for _, signature := range s.uncleared {
				if lastCrash[signature] < 0 {
					s.recurring = append(s.recurring, signature)
				}
			}
		}
	}
}

// cause returns what the suspects that a rule matches have in common, as one suspect with the
// progress of the most suspect one; nil if there are none.
func (c openCrash) cause(r rule) *fleet.Suspect {
	var cause *fleet.Suspect
	for _, s := range c.suspects {
		if !r.matches(s.recurring) {
			continue
		}
		if cause == nil {
			first := s.Suspect
			first.Signatures = slices.Clone(s.uncleared)
			first.Broken = c.crash.at
			cause = &first
			continue
		}
		cause.Signatures = intersect(cause.Signatures, s.uncleared)
		if s.Sent.After(cause.Sent) {
			cause.Sent = s.Sent
		}
	}
	return cause
}

// intersect returns the elements of a that are also in b. Both are sorted; a is overwritten.
func intersect(a, b []uint64) []uint64 {
	return slices.DeleteFunc(a, func(s uint64) bool {
		_, found := slices.BinarySearch(b, s)
		return !found
	})
}

// candidate is a signature that may be the cause of crashes.
type candidate struct {
	signature uint64
	crashes   int       // that it explains
	suspicion int       // sum over these crashes
	lastCrash time.Time // of these crashes
	answered  bool      // requests with it were answered before
	// occurrences is a digest of the suspects that have it.
	occurrences uint64
	// worst is the suspicion of the most suspect request with it, and sent when the last one was
	// sent, of the suspects of crash number crash.
	crash, worst int
	sent         time.Time
}

// settle counts the last crash whose suspects have the signature. Requests that were in progress
// at the same time count once: an outage of several endpoints at once says little about what they
// all had.
func (k *candidate) settle(crashes []openCrash) {
	if k.crashes > 0 && k.sent.Before(k.lastCrash) {
		return
	}
	k.crashes++
	k.suspicion += k.worst
	k.lastCrash = crashes[k.crash].crash.at
}

// candidates returns the signatures that explain the most crashes, none if no signature
// explains enough.
func (e *evidence) candidates(crashes []openCrash) []*candidate {
	candidates := map[uint64]*candidate{}
	number := uint64(0)
	for n, c := range crashes {
		for _, s := range c.suspects {
			number++
			digest := mix(number)
			for _, signature := range s.recurring {
				k := candidates[signature]
				switch {
				case k == nil:
					k = &candidate{signature: signature, answered: !e.answers[signature].IsZero(), crash: n}
					candidates[signature] = k
				case k.crash != n:
					k.settle(crashes)
					k.crash, k.worst, k.sent = n, 0, time.Time{}
				}
				k.occurrences += digest
				k.worst = max(k.worst, suspicion[s.Progress])
				if s.Sent.After(k.sent) {
					k.sent = s.Sent
				}
			}
		}
	}
	var most []*candidate
	for _, k := range candidates {
		k.settle(crashes)
		if k.crashes < k.crashesNeeded() || len(most) > 0 && k.crashes < most[0].crashes {
			continue
		}
		if len(most) > 0 && k.crashes > most[0].crashes {
			most = most[:0]
		}
		most = append(most, k)
	}
	return most
}

// mix returns a hash of a number, the finalizer of splitmix64.
func mix(n uint64) uint64 {
	n *= 0x9e3779b97f4a7c15
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

// crashesNeeded returns how many crashes the candidate must explain.
func (k *candidate) crashesNeeded() int {
	if k.answered {
		return crashesDespiteAnswers
	}
	return crashesToQuarantine
}

// likeliest returns the rule for one of the candidates, which explain equally many crashes: the
// one whose requests are the most suspect, and rather one with which no request was ever
// answered. If that rule covers the one for another candidate, which quarantines fewer
// requests, it is the latter.
func likeliest(candidates []*candidate, crashes []openCrash) rule {
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(
			cmp.Compare(b.suspicion, a.suspicion),
			cmp.Compare(a.crashesNeeded(), b.crashesNeeded()),
			cmp.Compare(a.signature, b.signature),
		)
	})
	best := newRule(candidates[0].signature, crashes)
	// Signatures that the same suspects have give the same rule.
	seen := map[uint64]bool{candidates[0].occurrences: true}
	for _, k := range candidates[1:] {
		if seen[k.occurrences] {
			continue
		}
		seen[k.occurrences] = true
		if r := newRule(k.signature, crashes); len(r.signatures) > len(best.signatures) && best.matches(r.signatures) {
			best = r
		}
	}
	return best
}

// newRule returns the rule for the crashes that a signature explains. It has all signatures
// that these suspects share, since any of them may be the cause: a request that lacks one is
// let through, and its answer or its crash tells them apart.
func newRule(signature uint64, crashes []openCrash) rule {
	r := rule{}
	for _, c := range crashes {
		explained := false
		for _, s := range c.suspects {
			if !s.has(signature) {
				continue
			}
			if r.signatures == nil {
				r.signatures = slices.Clone(s.recurring)
				r.first = c.crash.at
			}
			r.signatures = intersect(r.signatures, s.recurring)
			explained = true
			r.last, r.endpoint, r.request = c.crash.at, c.crash.endpoint, s.Request
		}
		if explained {
			r.crashes++
		}
	}
	return r
}

// releaseCause returns why a rule is no longer in force.
func (e *evidence) releaseCause(r rule, now time.Time) string {
	switch {
	case slices.ContainsFunc(r.signatures, func(s uint64) bool { return !e.answers[s].Before(r.last) }):
		return "a request with one of the signatures was answered"
	case now.Sub(r.first) > crashRetention:
		return "the crashes are too old"
	}
	return "other signatures explain the crashes better"
}
