package quarantine

import (
	"slices"
	"time"
)

const (
	// trialAfter is how long after the last crash behind a rule one request is sent to see whether it still crashes
	// its endpoint: a rule that is wrong would last for crashRetention, since no answer could disprove it. A right one costs no
	// more crashes than without trials, when it ends after crashRetention and takes two crashes to come back.
	trialAfter = crashRetention / 2
	// trialTime is how long the request of a trial may take until it is sent.
	trialTime = 2 * time.Second
)

// trial is a request that was let through in spite of a rule.
type trial struct {
	rule    rule
	request uint64 // its own signature
	at      time.Time
}

// onTrial reports whether a request that matches a rule is the one by which the rule is tried, and makes it that if one is
// due. The caller holds the lock.
func (l *List) onTrial(signatures []uint64, now time.Time) bool {
	l.trials = slices.DeleteFunc(l.trials, func(t trial) bool { return now.Sub(t.at) >= trialAfter })
	own, begun := signatures[len(signatures)-1], []trial(nil)
	for _, r := range l.rules {
		if !r.matches(signatures) {
			continue
		}
		if now.Sub(r.last) < trialAfter {
			return false
		}
		i := slices.IndexFunc(l.trials, func(t trial) bool { return t.rule.equal(r) })
		if i < 0 {
			begun = append(begun, trial{r, own, now})
		} else if l.trials[i].request != own || now.Sub(l.trials[i].at) >= trialTime {
			return false
		}
	}
	l.trials = append(l.trials, begun...)
	for _, t := range begun {
		l.log(t.rule, "tried", "no crash for a while")
	}
	return true
}
