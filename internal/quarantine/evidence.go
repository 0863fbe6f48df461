package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// crashSpread is how far apart broken connections of the same crash are noticed: a
	// host that went silent shows only after unacknowledged bytes.
	crashSpread = 2 * time.Second
	// recoveryWindow is how long an endpoint may still be down after a crash. A request
	// sent within that time that got no response may have reached no endpoint at all.
	recoveryWindow = 30 * time.Second
	// maxCrashes bounds the crashes that are remembered, maxSuspects the suspects of each.
	maxCrashes  = 64
	maxSuspects = 32
	// maxCrashSignatures bounds the signatures of the suspects of a crash, and
	// maxEvidenceSignatures those of all crashes. Any signature of a suspect may be the cause,
	// so a suspect is kept with all of them or not at all.
	maxCrashSignatures    = 1 << 15
	maxEvidenceSignatures = 1 << 18
)

// crash is one crash of an endpoint.
type crash struct {
	endpoint string
	at       time.Time // when the first connection broke
	suspects []suspect
	// counts holds, for each signature, how many of the suspects have it.
	counts map[uint64]int
	// restored is set while its times are known from the storage only.
	restored bool
	// cause is what the suspects that a rule matches have in common; nil while no rule
	// explains the crash.
	cause *fleet.Suspect
}

// suspect is a suspect of a crash.
type suspect struct {
	fleet.Suspect
	// digest identifies the signatures.
	digest uint64
	// uncleared holds the signatures, sorted, with which no request was known to be answered since
	// the crash when this was last checked.
	uncleared []uint64
}

// distinct returns the signatures without repetitions, sorted.
func distinct(signatures []uint64) []uint64 {
	return slices.Compact(slices.Sorted(slices.Values(signatures)))
}

// digestOf returns a digest of signatures and their order.
func digestOf(signatures []uint64) uint64 {
	d := xxhash.New()
	var b [8]byte
	for _, s := range signatures {
		binary.LittleEndian.PutUint64(b[:], s)
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// evidence holds the crashes that are remembered. It reads no clock.
type evidence struct {
	crashes []*crash // oldest first
	// answers holds the time of the last answer to a request with the signature, zero for
	// none, for each signature of a suspect.
	answers map[uint64]time.Time
}

// addition is what a suspect added to the evidence.
type addition struct {
	added bool
	first bool // it is the first suspect of its crash
	// earlier is set if it showed that the crash was earlier than its restored time; that alone adds
	// nothing to tell others.
	earlier bool
	// cleared are its signatures, new to the crash, with which requests had been answered since the crash
	// when it was noticed, and clearedAt is the earliest of these answers.
	cleared   []uint64
	clearedAt time.Time
}

// add adds a suspect to the crash of its endpoint. lastAnswer returns when a request with a
// signature was last answered, zero for never.
func (e *evidence) add(s fleet.Suspect, from source, lastAnswer func(signature uint64) time.Time, now time.Time) addition {
	if now.Sub(s.Broken) > crashRetention || e.sentAfterCrash(s) {
		return addition{}
	}
	first, earlier := false, false
	c := e.find(s, from)
	if c == nil {
		first = true
		c = &crash{endpoint: s.Endpoint, at: s.Broken, counts: map[uint64]int{}, restored: from == sourceStorage}
		e.crashes = append(e.crashes, c)
	}
	if c.restored && from != sourceStorage {
		c.restored = false
		if by := c.at.Sub(s.Broken); by > crashSpread {
			earlier = true
			c.shift(-by)
			e.sort()
		}
	}
	digest := digestOf(s.Signatures)
	if slices.ContainsFunc(c.suspects, func(other suspect) bool { return other.Request == s.Request && other.digest == digest }) {
		return addition{earlier: earlier}
	}
	if !c.add(suspect{Suspect: s, digest: digest, uncleared: distinct(s.Signatures)}) {
		return addition{earlier: earlier}
	}
	if s.Broken.Before(c.at) {
		c.at = s.Broken
	}
	if e.answers == nil {
		e.answers = map[uint64]time.Time{}
	}
	for _, signature := range s.Signatures {
		if _, known := e.answers[signature]; !known {
			e.answers[signature] = lastAnswer(signature)
		}
	}
	a := addition{added: true, first: first, earlier: earlier}
	for _, signature := range s.Signatures {
		at := e.answers[signature]
		if at.Before(c.at) || c.counts[signature] > 1 {
			continue
		}
		a.cleared = append(a.cleared, signature)
		if a.clearedAt.IsZero() || at.Before(a.clearedAt) {
			a.clearedAt = at
		}
	}
	e.sort()
	for len(e.crashes) > maxCrashes || len(e.crashes) > 1 && e.size() > maxEvidenceSignatures {
		e.evict()
	}
	return a
}

// size returns the number of signatures of all suspects.
func (e *evidence) size() int {
	n := 0
	for _, c := range e.crashes {
		n += c.size()
	}
	return n
}

// size returns the number of signatures of the suspects.
func (c *crash) size() int {
	n := 0
	for _, s := range c.suspects {
		n += len(s.Signatures)
	}
	return n
}

// add adds a suspect. It reports whether it was kept: if there are too many, the least suspect
// requests are forgotten.
func (c *crash) add(s suspect) bool {
	c.suspects = append(c.suspects, s)
	for _, signature := range distinct(s.Signatures) {
		c.counts[signature]++
	}
	slices.SortStableFunc(c.suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(suspicion[b.Progress], suspicion[a.Progress]), a.Sent.Compare(b.Sent))
	})
	for len(c.suspects) > maxSuspects || len(c.suspects) > 1 && c.size() > maxCrashSignatures {
		last := len(c.suspects) - 1
		least := c.suspects[last]
		c.suspects = slices.Delete(c.suspects, last, last+1)
		for _, signature := range distinct(least.Signatures) {
			if c.counts[signature]--; c.counts[signature] == 0 {
				delete(c.counts, signature)
			}
		}
		if least.Request == s.Request && least.digest == s.digest {
			return false
		}
	}
	return true
}

// sort orders the crashes by their times.
func (e *evidence) sort() {
	slices.SortStableFunc(e.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
}

// evict removes the oldest crash, rather one that no rule explains.
func (e *evidence) evict() {
	oldest := max(slices.IndexFunc(e.crashes, func(c *crash) bool { return c.cause == nil }), 0)
	e.crashes = slices.Delete(e.crashes, oldest, oldest+1)
	e.forgetAnswers()
}

// suspicion orders suspects. Endpoints crash when they begin to respond, and process requests
// in the order of arrival.
var suspicion = map[fleet.Progress]int{fleet.ProgressBegun: 2, fleet.ProgressWaiting: 1, fleet.ProgressRunning: 0}

// find returns the crash that a suspect belongs to, nil if there is none: one of its endpoint at about
// the same time or, if the time of either was restored from the storage, one with the same request.
func (e *evidence) find(s fleet.Suspect, from source) *crash {
	for _, c := range e.crashes {
		if c.endpoint != s.Endpoint {
			continue
		}
		if c.at.Sub(s.Broken).Abs() <= crashSpread || (c.restored || from == sourceStorage) && c.has(s) {
			return c
		}
	}
	return nil
}

// shift moves a crash and its suspects in time.
func (c *crash) shift(by time.Duration) {
	c.at = c.at.Add(by)
	for i := range c.suspects {
		s := &c.suspects[i]
		s.Sent, s.Broken = s.Sent.Add(by), s.Broken.Add(by)
	}
}

// has reports whether the crash has a suspect of the same request.
func (c *crash) has(s fleet.Suspect) bool {
	return s.Request != "" && slices.ContainsFunc(c.suspects, func(other suspect) bool { return other.Request == s.Request })
}

// sentAfterCrash reports whether the endpoint had already crashed when it was sent the
// request, so that the request is not the cause.
func (e *evidence) sentAfterCrash(s fleet.Suspect) bool {
	return s.Progress == fleet.ProgressWaiting && slices.ContainsFunc(e.crashes, func(c *crash) bool {
		return c.endpoint == s.Endpoint && s.Sent.After(c.at) && s.Sent.Sub(c.at) < recoveryWindow
	})
}

// answer records that a request with a signature was answered. It reports whether that clears
// the signature of a crash.
func (e *evidence) answer(signature uint64, at time.Time) bool {
	before, suspected := e.answers[signature]
	if !suspected || !at.After(before) {
		return false
	}
	e.answers[signature] = at
	return slices.ContainsFunc(e.crashes, func(c *crash) bool {
		return before.Before(c.at) && !at.Before(c.at) && c.counts[signature] > 0
	})
}

// expire removes crashes that are too old.
func (e *evidence) expire(now time.Time) {
	before := len(e.crashes)
	e.crashes = slices.DeleteFunc(e.crashes, func(c *crash) bool { return now.Sub(c.at) > crashRetention })
	if len(e.crashes) < before {
		e.forgetAnswers()
	}
}

// forgetAnswers removes the answers of signatures that no suspect has.
func (e *evidence) forgetAnswers() {
	answers := map[uint64]time.Time{}
	for _, c := range e.crashes {
		for signature := range c.counts {
			answers[signature] = e.answers[signature]
		}
	}
	e.answers = answers
}
