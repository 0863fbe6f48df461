// Package publication replicates published configurations to all instances.
// Publications are records in a stream of the log service. Every instance reads the
// stream in order and applies the same rule, so all accept the same records: a change
// is accepted only if it is based on the version in force and the result is valid. The
// version in force never decreases.
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

// recordType is the type of a record of the stream.
type recordType string

const (
	recordChange   recordType = "change"
	recordSnapshot recordType = "snapshot"
)

// wireRecord is one record of the stream.
type wireRecord struct {
	Type recordType `json:"type"`
	// ID identifies a change, so that publishing it again has no effect; Actor
	// published it.
	ID    string `json:"id,omitempty"`
	Actor string `json:"actor,omitempty"`
	// BaseVersion is the version that a change was made from.
	BaseVersion int64 `json:"edits"`
	// Sections holds the changed sections of a change, or all of a snapshot.
	Sections map[string]json.RawMessage `json:"sections,omitempty"`
	// Snapshot is set only if Type is recordSnapshot.
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Snapshot is the complete state after the records of a prefix of the stream.
type Snapshot struct {
	Version int64 `json:"version"`
	// NextOffset is the offset of the first record that is not applied in it.
	NextOffset int64                      `json:"covers"`
	Sections   map[string]json.RawMessage `json:"sections"`
	// Accepted maps the newest publication IDs to their versions.
	Accepted map[string]int64 `json:"accepted"`
	// Actors maps the same publication IDs to the actors who published them.
	Actors map[string]string `json:"actors"`
}

// maxAccepted is how many accepted publication IDs are kept, so that publishing the
// same proposal again returns the version that it became.
const maxAccepted = 256

// Conflict is the error for a publication that is not based on the version in force,
// because another one was accepted before it.
type Conflict struct {
	BaseVersion int64  // version that the rejected publication was made from
	Version     int64  // version in force
	Actor       string // who published the version in force
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("publication: the text edits version %d, but version %d by %s is in force", c.BaseVersion, c.Version, c.Actor)
}

// Invalid is the error for a configuration that cannot be accepted, because it cannot
// be parsed or fails a check.
type Invalid struct {
	Cause error
}

// Error implements error.
func (i *Invalid) Error() string { return fmt.Sprintf("publication: invalid text: %v", i.Cause) }

// Unwrap returns the cause, such as the faults that the check found.
func (i *Invalid) Unwrap() error { return i.Cause }

// state is the configuration that one reader of the stream has accepted. Only apply and
// adopt change it. They are deterministic, so every instance accepts the same records.
type state struct {
	snapshot Snapshot
	config   arrangement.Config
	// initialized is set once the state is derived from the beginning of the
	// stream or from a snapshot. Before that, changes cannot be checked and are
	// skipped.
	initialized bool
}

// apply applies the record at an offset. It returns a *Conflict or an *Invalid if a
// change is rejected. Records that are already applied are ignored.
func (s *state) apply(offset int64, w wireRecord) error {
	if offset < s.snapshot.NextOffset {
		return nil
	}
	if offset == 0 {
		s.initialized = true
	}
	s.snapshot.NextOffset = offset + 1
	if w.Type != recordChange || !s.initialized {
		return nil
	}
	if _, ok := s.snapshot.Accepted[w.ID]; ok {
		return nil
	}
	if w.BaseVersion != s.snapshot.Version {
		return &Conflict{BaseVersion: w.BaseVersion, Version: s.snapshot.Version, Actor: s.currentActor()}
	}
	sections := maps.Clone(s.snapshot.Sections)
	if sections == nil {
		sections = map[string]json.RawMessage{}
	}
	maps.Copy(sections, w.Sections)
	config, err := assemble(sections)
	if err != nil {
		return &Invalid{Cause: err}
	}
	s.config = config
	s.snapshot.Sections = sections
	s.snapshot.Version++
	s.recordAccepted(w)
	return nil
}

func (s *state) currentActor() string {
	for id, version := range s.snapshot.Accepted {
		if version == s.snapshot.Version {
			return s.snapshot.Actors[id]
		}
	}
	return "nobody"
}

func (s *state) recordAccepted(w wireRecord) {
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

// adopt replaces the state with a snapshot of a higher version. It returns false if
// the version is not higher or the snapshot is invalid. A state that is not
// initialized adopts a valid snapshot of any version.
func (s *state) adopt(snap Snapshot) bool {
	if s.initialized && snap.Version <= s.snapshot.Version {
		return false
	}
	config, err := assemble(snap.Sections)
	if err != nil {
		return false
	}
	s.snapshot = snap
	s.config = config
	s.initialized = true
	return true
}

// assemble builds a configuration from its sections, checks it and sets its defaults.
func assemble(sections map[string]json.RawMessage) (arrangement.Config, error) {
	data, err := json.Marshal(sections)
	if err != nil {
		return arrangement.Config{}, err
	}
	var config arrangement.Config
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&config); err != nil {
		return config, err
	}
	if err := arrangement.Check(config); err != nil {
		return config, err
	}
	return config.WithDefaults(), nil
}

// splitSections returns the JSON of each section of a configuration. Sections are
// published separately. Empty sections are included.
func splitSections(config arrangement.Config) (map[string]json.RawMessage, error) {
	data, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	sections := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &sections); err != nil {
		return nil, err
	}
	for _, name := range []string{"services", "customers", "kinds", "models", "routes", "evacuated"} {
		if sections[name] == nil {
			sections[name] = json.RawMessage("[]")
		}
	}
	if sections["limits"] == nil {
		sections["limits"] = json.RawMessage("{}")
	}
	return sections, nil
}

// changedSections returns the sections that differ from the ones in force.
func changedSections(sections, inForce map[string]json.RawMessage) map[string]json.RawMessage {
	diff := map[string]json.RawMessage{}
	for name, section := range sections {
		if !bytes.Equal(section, inForce[name]) {
			diff[name] = section
		}
	}
	return diff
}
