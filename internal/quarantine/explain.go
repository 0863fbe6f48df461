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
		for _, s := range c.suspects {
			if s.Sent.After(c.at) {
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

// cause returns what the suspects that a rule matches have in common, as one suspect with the
// progress of the most suspect one; nil if there are none.
func (c openCrash) cause(r rule) *fleet.Suspect {
	var cause *fleet.Suspect
	for _, s := range c.suspects {
		if !r.matches(s.Signatures) {
			continue
		}
		if cause == nil {
			s.Signatures = slices.Clone(s.Signatures)
			s.Broken = c.crash.at
			cause = &s
			continue
		}
		cause.Signatures = slices.DeleteFunc(cause.Signatures, func(other uint64) bool { return !slices.Contains(s.Signatures, other) })
		if s.Sent.After(cause.Sent) {
			cause.Sent = s.Sent
		}
	}
	return cause
}

// candidate is a signature that may be the cause of crashes.
type candidate struct {
	signature uint64
	crashes   int       // that it explains
	suspicion int       // sum over these crashes
	lastCrash time.Time // of these crashes
	answered  bool      // requests with it were answered before
}

// candidates returns the signatures that explain the most crashes, none if no signature
// explains enough.
func (e *evidence) candidates(crashes []openCrash) []*candidate {
	candidates := map[uint64]*candidate{}
	for _, c := range crashes {
		for signature, s := range worstSuspects(c) {
			k := candidates[signature]
			if k == nil {
				k = &candidate{signature: signature, answered: !e.answers[signature].IsZero()}
				candidates[signature] = k
			}
			// Requests that were in progress at the same time count once: an outage of
			// several endpoints at once says little about what they all had.
			if k.crashes == 0 || !s.Sent.Before(k.lastCrash) {
				k.crashes++
				k.suspicion += suspicion[s.Progress]
				k.lastCrash = c.crash.at
			}
		}
	}
	var most []*candidate
	for _, k := range candidates {
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

// crashesNeeded returns how many crashes the candidate must explain.
func (k *candidate) crashesNeeded() int {
	if k.answered {
		return crashesDespiteAnswers
	}
	return crashesToQuarantine
}

// worstSuspects returns, for each signature, the suspect with it that was sent last, with the
// progress of the most suspect one.
func worstSuspects(c openCrash) map[uint64]fleet.Suspect {
	worst := map[uint64]fleet.Suspect{}
	for _, s := range c.suspects {
		for _, signature := range s.Signatures {
			w, known := worst[signature]
			if !known {
				worst[signature] = s
				continue
			}
			if suspicion[s.Progress] > suspicion[w.Progress] {
				w.Progress = s.Progress
			}
			if s.Sent.After(w.Sent) {
				w.Sent = s.Sent
			}
			worst[signature] = w
		}
	}
	return worst
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
	for _, k := range candidates[1:] {
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
