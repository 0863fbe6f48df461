// Package publication brings published configurations into force. Publications
// are records in a stream of the log service. Every instance reads the stream in
// order and applies the same rule, so all accept the same records: a change is
// accepted only if it edits the version in force and the result is valid. A
// version never goes down.
package publication

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// Stream is the log stream that holds the publications.
const Stream = "configuration"

// recordType tells the records of the stream apart.
type recordType string

const (
	recordChange   recordType = "change"
	recordSnapshot recordType = "snapshot"
)

// wireRecord is one record of the stream.
type wireRecord struct {
	Type recordType `json:"type"`
	// ID makes a change idempotent; Actor published it.
	ID    string `json:"id,omitempty"`
	Actor string `json:"actor,omitempty"`
	// Edits is the version that a change was made from.
	Edits int64 `json:"edits"`
	// Sections holds the changed sections of a change, or all of a snapshot.
	Sections map[string]json.RawMessage `json:"sections,omitempty"`
	// Snapshot is set in a snapshot only.
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Snapshot is the whole state after a prefix of the stream.
type Snapshot struct {
	Version int64 `json:"version"`
	// Covers is the offset of the first record that is not contained.
	Covers   int64                      `json:"covers"`
	Sections map[string]json.RawMessage `json:"sections"`
	// Accepted maps the newest publication IDs to their versions.
	Accepted map[string]int64 `json:"accepted"`
	// Actors names who published each of the accepted.
	Actors map[string]string `json:"actors"`
}

// maxAccepted is how many publication IDs are remembered, so that repeating a
// publication is answered with its version.
const maxAccepted = 256

// Race reports that a publication lost against another one.
type Race struct {
	Edits   int64  // version that the loser edited
	Version int64  // version in force
	Actor   string // who published the version in force
}

// Error implements error.
func (r *Race) Error() string {
	return fmt.Sprintf("publication: the text edits version %d, but version %d by %s is in force", r.Edits, r.Version, r.Actor)
}

// Invalid reports a text that cannot be accepted.
type Invalid struct {
	Cause error
}

// Error implements error.
func (i *Invalid) Error() string { return fmt.Sprintf("publication: invalid text: %v", i.Cause) }

// Unwrap returns the faults.
func (i *Invalid) Unwrap() error { return i.Cause }

// state is what one reader of the stream has accepted. It is advanced by apply
// and adopt only, which decide alike at every instance.
type state struct {
	snapshot Snapshot
	text     arrangement.Config
	// based is set once the state follows from the beginning of the stream or
	// from a snapshot. Before, no change can be judged.
	based bool
}

// apply takes in the record at an offset. It returns the verdict on a change.
func (s *state) apply(offset int64, w wireRecord) error {
	if offset < s.snapshot.Covers {
		return nil
	}
	if offset == 0 {
		s.based = true
	}
	s.snapshot.Covers = offset + 1
	if w.Type != recordChange || !s.based {
		return nil
	}
	if _, ok := s.snapshot.Accepted[w.ID]; ok {
		return nil
	}
	if w.Edits != s.snapshot.Version {
		return &Race{Edits: w.Edits, Version: s.snapshot.Version, Actor: s.actor()}
	}
	sections := maps.Clone(s.snapshot.Sections)
	if sections == nil {
		sections = map[string]json.RawMessage{}
	}
	maps.Copy(sections, w.Sections)
	text, err := assemble(sections)
	if err != nil {
		return &Invalid{Cause: err}
	}
	s.text = text
	s.snapshot.Sections = sections
	s.snapshot.Version++
	s.remember(w)
	return nil
}

func (s *state) actor() string {
	for id, version := range s.snapshot.Accepted {
		if version == s.snapshot.Version {
			return s.snapshot.Actors[id]
		}
	}
	return "nobody"
}

func (s *state) remember(w wireRecord) {
	accepted, actors := maps.Clone(s.snapshot.Accepted), maps.Clone(s.snapshot.Actors)
	if accepted == nil {
		accepted, actors = map[string]int64{}, map[string]string{}
	}
	accepted[w.ID] = s.snapshot.Version
	actors[w.ID] = w.Actor
	for id, version := range accepted {
		if version <= s.snapshot.Version-maxAccepted {
			delete(accepted, id)
			delete(actors, id)
		}
	}
	s.snapshot.Accepted, s.snapshot.Actors = accepted, actors
}

// adopt replaces the state by a snapshot that is further. It returns false if the
// snapshot is not further or cannot be used.
func (s *state) adopt(snap Snapshot) bool {
	if s.based && snap.Version <= s.snapshot.Version {
		return false
	}
	text, err := assemble(snap.Sections)
	if err != nil {
		return false
	}
	s.snapshot = snap
	s.text = text
	s.based = true
	return true
}

// assemble builds a valid text from its sections.
func assemble(sections map[string]json.RawMessage) (arrangement.Config, error) {
	data, err := json.Marshal(sections)
	if err != nil {
		return arrangement.Config{}, err
	}
	var text arrangement.Config
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&text); err != nil {
		return text, err
	}
	if err := arrangement.Check(text); err != nil {
		return text, err
	}
	return text.WithDefaults(), nil
}

// sections splits a text into the parts that are published on their own.
func sections(text arrangement.Config) (map[string]json.RawMessage, error) {
	data, err := json.Marshal(text)
	if err != nil {
		return nil, err
	}
	parts := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &parts); err != nil {
		return nil, err
	}
	for _, name := range []string{"services", "customers", "kinds", "models", "routes"} {
		if parts[name] == nil {
			parts[name] = json.RawMessage("[]")
		}
	}
	if parts["limits"] == nil {
		parts["limits"] = json.RawMessage("{}")
	}
	return parts, nil
}

// changed returns the sections that differ from the ones in force.
func changed(parts, inForce map[string]json.RawMessage) map[string]json.RawMessage {
	diff := map[string]json.RawMessage{}
	for name, part := range parts {
		if !bytes.Equal(part, inForce[name]) {
			diff[name] = part
		}
	}
	return diff
}
