// Package evacuation holds which failure domains operators have emptied: no new request goes to
// the endpoints of such a domain while the operator's record exists.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Record is the record of an operator that empties a failure domain while it exists.
type Record struct {
	Domain string `json:"domain"`
}

// Evacuation is an emptied failure domain.
type Evacuation struct {
	Domain string
	// Since is the earliest time at which the record may have been written, as far as this
	// instance knows.
	Since time.Time
}

// Change is an emptied failure domain, or one that was taken back.
type Change struct {
	Domain  string
	Emptied bool
}

// Set holds the emptied failure domains by the keys of their records. The zero value is ready to
// use. It is safe for concurrent use.
type Set struct {
	mu    sync.Mutex
	byKey map[string]Evacuation
	// missing holds, by key, until when a record that is missing may be written again.
	missing map[string]time.Time
}

// Put adds the record of a key, which replaces an earlier one, and returns what has changed. since
// is the earliest time at which it may have been written.
func (s *Set) Put(key string, r Record, since time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.missing, key)
	if s.byKey[key].Domain == r.Domain {
		return nil
	}
	changes := s.remove(key)
	if !s.contains(r.Domain) {
		changes = append(changes, Change{Domain: r.Domain, Emptied: true})
	}
	if s.byKey == nil {
		s.byKey = map[string]Evacuation{}
	}
	s.byKey[key] = Evacuation{Domain: r.Domain, Since: since}
	return changes
}

// Delete removes the record of a key and returns what has changed. An unknown key is ignored.
func (s *Set) Delete(key string) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remove(key)
}

// Retain removes the records of all keys but the listed ones and returns what has changed.
func (s *Set) Retain(keys map[string]bool) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(s.byKey)) {
		if !keys[key] {
			changes = append(changes, s.remove(key)...)
		}
	}
	return changes
}

// KeepMissing keeps the records of all keys but the listed ones until a time: they are not in the copy
// that the platform was restored from and may be written again.
func (s *Set) KeepMissing(listed map[string]bool, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missing = map[string]time.Time{}
	for key := range s.byKey {
		if !listed[key] {
			s.missing[key] = until
		}
	}
}

// Expire removes records that were not written again in time and returns what has changed. All
// records that were written until dataAt must have been applied.
func (s *Set) Expire(dataAt time.Time) []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(s.missing)) {
		if !dataAt.Before(s.missing[key]) {
			changes = append(changes, s.remove(key)...)
		}
	}
	return changes
}

// remove removes the record of a key. The lock is held.
func (s *Set) remove(key string) []Change {
	delete(s.missing, key)
	old, known := s.byKey[key]
	delete(s.byKey, key)
	if !known || s.contains(old.Domain) {
		return nil
	}
	return []Change{{Domain: old.Domain}}
}

// contains reports whether a record names a domain. The lock is held.
func (s *Set) contains(domain string) bool {
	for _, e := range s.byKey {
		if e.Domain == domain {
			return true
		}
	}
	return false
}

// List returns the emptied domains, ordered by name.
func (s *Set) List() []Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Evacuation, 0, len(s.byKey))
	for _, e := range s.byKey {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Evacuation) int {
		if a.Domain != b.Domain {
			return strings.Compare(a.Domain, b.Domain)
		}
		return a.Since.Compare(b.Since)
	})
	return slices.CompactFunc(list, func(a, b Evacuation) bool { return a.Domain == b.Domain })
}
