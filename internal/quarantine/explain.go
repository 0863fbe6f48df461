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

// matches reports whether a request with the given signatures is quarantined.
func (r rule) matches(signatures []uint64) bool {
	return !slices.ContainsFunc(r.signatures, func(s uint64) bool { return !slices.Contains(signatures, s) })
}

func (r rule) equal(other rule) bool { return slices.Equal(r.signatures, other.signatures) }

// openCrash is a crash that no rule explains yet, with the suspects that may have caused it.
// Their signatures are those with which no request was answered since.
type openCrash struct {
	crash    *crash
	suspects []fleet.Suspect
}

// explain returns the causes of the crashes: again and again the one that explains most of
// those that are left.
func (e *evidence) explain() []rule {
	open := e.openCrashes()
	var rules []rule
	for {
		signature := e.likeliest(open)
		if signature == nil {
			return rules
		}
		r := newRule(*signature, open)
		rules = append(rules, r)
		open = slices.DeleteFunc(open, func(c openCrash) bool {
			c.crash.explained = slices.ContainsFunc(c.suspects, func(s fleet.Suspect) bool { return r.matches(s.Signatures) })
			return c.crash.explained
		})
	}
}

// openCrashes returns the crashes with the suspects that count. An endpoint crashes when it
// begins to respond: if there are requests to which it had begun to respond, the others did
// not cause the crash.
func (e *evidence) openCrashes() []openCrash {
	var crashes []openCrash
	for _, c := range e.crashes {
		c.explained = false
		begun := slices.ContainsFunc(c.suspects, func(s fleet.Suspect) bool { return s.Progress == fleet.ProgressBegun })
		open := openCrash{crash: c}
		for _, s := range c.suspects {
			if begun && s.Progress != fleet.ProgressBegun || s.Sent.After(c.at) {
				continue
			}
			s.Signatures = slices.DeleteFunc(slices.Clone(s.Signatures), func(signature uint64) bool {
				return !e.answers[signature].Before(c.at)
			})
			if len(s.Signatures) > 0 {
				open.suspects = append(open.suspects, s)
			}
		}
		if len(open.suspects) > 0 {
			crashes = append(crashes, open)
		}
	}
	return crashes
}

// likeliest returns the signature that explains the most crashes, nil if none explains
// enough. Of several it is the one whose requests are the most suspect, and rather one with
// which no request was ever answered.
func (e *evidence) likeliest(crashes []openCrash) *uint64 {
	type candidate struct {
		signature uint64
		crashes   int
		suspicion int
		lastCrash time.Time
	}
	candidates := map[uint64]*candidate{}
	for _, c := range crashes {
		for signature, last := range lastSuspects(c) {
			k := candidates[signature]
			if k == nil {
				k = &candidate{signature: signature}
				candidates[signature] = k
			}
			// Requests that were in progress at the same time count once: an outage of
			// several endpoints at once says little about what they all had.
			if k.crashes == 0 || !last.Sent.Before(k.lastCrash) {
				k.crashes++
				k.suspicion += suspicion[last.Progress]
				k.lastCrash = c.crash.at
			}
		}
	}
	var best *candidate
	for _, k := range candidates {
		if k.crashes < e.crashesNeeded(k.signature) {
			continue
		}
		if best == nil || cmp.Or(
			cmp.Compare(k.crashes, best.crashes),
			cmp.Compare(k.suspicion, best.suspicion),
			cmp.Compare(e.crashesNeeded(best.signature), e.crashesNeeded(k.signature)),
			cmp.Compare(best.signature, k.signature),
		) > 0 {
			best = k
		}
	}
	if best == nil {
		return nil
	}
	return &best.signature
}

// lastSuspects returns, by signature, the suspect with it that was sent last.
func lastSuspects(c openCrash) map[uint64]fleet.Suspect {
	last := map[uint64]fleet.Suspect{}
	for _, s := range c.suspects {
		for _, signature := range s.Signatures {
			if s.Sent.After(last[signature].Sent) {
				last[signature] = s
			}
		}
	}
	return last
}

func (e *evidence) crashesNeeded(signature uint64) int {
	if e.answers[signature].IsZero() {
		return crashesToQuarantine
	}
	return crashesDespiteAnswers
}

// newRule returns the rule for the crashes that a signature explains. It has all signatures
// that these suspects share, since any of them may be the cause: a request that lacks one is
// let through, and its answer or its crash tells them apart.
func newRule(signature uint64, crashes []openCrash) rule {
	r := rule{}
	for _, c := range crashes {
		explained := false
		for _, s := range c.suspects {
			if !slices.Contains(s.Signatures, signature) {
				continue
			}
			if r.signatures == nil {
				r.signatures = slices.Clone(s.Signatures)
				r.first = c.crash.at
			}
			r.signatures = slices.DeleteFunc(r.signatures, func(other uint64) bool { return !slices.Contains(s.Signatures, other) })
			explained = true
			r.last, r.endpoint, r.request = c.crash.at, c.crash.endpoint, s.Request
		}
		if explained {
			r.crashes++
		}
	}
	slices.Sort(r.signatures)
	r.signatures = slices.Compact(r.signatures)
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
