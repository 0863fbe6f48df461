package publication

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// pageSize is how many records are read at a time.
const pageSize = 64

// Follower reads the stream of publications and holds the configuration in force.
// Exported fields are set before the first call. It is safe for concurrent use.
type Follower struct {
	Log   fleet.Log
	Trail *audit.Trail
	// OnAccept is called with each configuration that comes into force, in order of
	// versions and with the follower locked; nil is allowed.
	OnAccept func(config arrangement.Config, o Origin)

	mu    sync.Mutex
	state state
	// outcomes maps publication IDs to the error with which the change was
	// rejected, nil if it was accepted.
	outcomes       map[string]error
	lastSnapshotAt time.Time // when the newest snapshot was appended
	readAt         time.Time // when the last Poll that read the stream to its end began
}

// Origin is where a version of the configuration was read.
type Origin struct {
	Version int64
	Cause   string
	// Since is the earliest time at which the version may have been published, as far as
	// this instance knows. It is the time of the call if this instance knew no version before.
	Since time.Time
}

// Unavailable is the error for a log service that could not be used. The publication
// may come into force later; publishing it again is safe.
type Unavailable struct {
	Cause error
}

// Error implements error.
func (u *Unavailable) Error() string {
	return fmt.Sprintf("publication: log service unavailable: %v", u.Cause)
}

// Unwrap returns the cause.
func (u *Unavailable) Unwrap() error { return u.Cause }

// Config returns the configuration in force and its version. The version is 0 if no
// configuration is in force yet.
func (f *Follower) Config() (arrangement.Config, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.config, f.state.snapshot.Version
}

// Snapshot returns the complete state, for peers that cannot reach the log.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.snapshot
}

// Adopt replaces the state with a peer's snapshot if the snapshot has a higher version
// or this follower has no state to compare it with yet. It returns whether the state was
// replaced.
func (f *Follower) Adopt(snap Snapshot, from string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.snapshot.Version
	if !f.state.adopt(snap) {
		return false
	}
	f.notifyAccepted(before, "taken from peer "+from, f.readAt)
	return true
}

// Poll reads the stream to its end and applies the records. It returns an *Unavailable
// if the log cannot be read.
func (f *Follower) Poll(ctx context.Context) error {
	for {
		begun := time.Now()
		more, err := f.readPage(ctx)
		if err != nil {
			return &Unavailable{Cause: err}
		}
		if !more {
			f.mu.Lock()
			f.readAt = begun
			f.mu.Unlock()
			return nil
		}
	}
}

func (f *Follower) readPage(ctx context.Context) (bool, error) {
	f.mu.Lock()
	next := f.state.snapshot.NextOffset
	f.mu.Unlock()
	page, err := f.Log.Read(ctx, Stream, next, pageSize)
	if errors.Is(err, fleet.ErrTrimmed) {
		return f.resync(ctx, page.First)
	}
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range page.Records {
		f.applyRecord(r)
	}
	return len(page.Records) == pageSize, nil
}

// resync adopts the newest snapshot that the log still keeps, because the log has
// trimmed records that this follower has not read. first is the offset of the oldest
// record that the log keeps.
func (f *Follower) resync(ctx context.Context, first int64) (bool, error) {
	var newest *Snapshot
	next := first
	for {
		page, err := f.Log.Read(ctx, Stream, next, pageSize)
		if err != nil {
			return false, err
		}
		for _, r := range page.Records {
			var w wireRecord
			if json.Unmarshal(r.Data, &w) == nil && w.Type == recordSnapshot && w.Snapshot != nil && w.Snapshot.NextOffset >= first {
				newest = w.Snapshot
			}
			next = r.Offset + 1
		}
		if len(page.Records) < pageSize {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if newest == nil {
		return false, fmt.Errorf("the stream begins at offset %d and holds no snapshot", first)
	}
	before := f.state.snapshot.Version
	if f.state.adopt(*newest) {
		f.notifyAccepted(before, "snapshot in the log", f.readAt)
		return true, nil
	}
	f.state.snapshot.NextOffset = max(f.state.snapshot.NextOffset, newest.NextOffset)
	return true, nil
}

// applyRecord applies one record of the stream. The caller holds the lock.
func (f *Follower) applyRecord(r fleet.Record) {
	var w wireRecord
	if err := json.Unmarshal(r.Data, &w); err != nil {
		w = wireRecord{}
		f.Trail.Add(audit.Entry{Type: audit.EventConfiguration, Subject: fmt.Sprintf("offset %d", r.Offset), Change: "ignored", Cause: err.Error()})
	}
	before := f.state.snapshot.Version
	err := f.state.apply(r.Offset, w)
	if w.Type == recordSnapshot {
		f.lastSnapshotAt = time.Now().Add(-r.Age)
		return
	}
	if w.Type != recordChange {
		return
	}
	f.recordOutcome(w.ID, err)
	if err != nil {
		f.Trail.Add(audit.Entry{Type: audit.EventConfiguration, Subject: fmt.Sprintf("publication %s", w.ID), Change: "rejected", Cause: err.Error(), Actor: w.Actor})
		return
	}
	f.notifyAccepted(before, "published by "+w.Actor, time.Now().Add(-r.Age))
}

func (f *Follower) recordOutcome(id string, err error) {
	if f.outcomes == nil || len(f.outcomes) > maxAccepted {
		f.outcomes = map[string]error{}
	}
	f.outcomes[id] = err
}

func (f *Follower) notifyAccepted(before int64, cause string, since time.Time) {
	version := f.state.snapshot.Version
	if version == before {
		return
	}
	f.Trail.Add(audit.Entry{Type: audit.EventConfiguration, Subject: fmt.Sprintf("version %d", version), Change: "in force", Cause: cause})
	if f.OnAccept != nil {
		if before == 0 || since.IsZero() {
			since = time.Now()
		}
		f.OnAccept(f.state.config, Origin{Version: version, Cause: cause, Since: since})
	}
}

// Proposal is a configuration to publish, as YAML text.
type Proposal struct {
	Actor string `json:"actor"`
	// BaseVersion is the version that the configuration was made from.
	BaseVersion int64 `json:"edits"`
	// Text is the YAML text.
	Text string `json:"text"`
}

// id returns the hash of a proposal, so that publishing the same proposal again has no
// effect.
func (p Proposal) id() string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join([]string{p.Actor, fmt.Sprint(p.BaseVersion), p.Text}, "\x00")))
}

// Publish appends a proposal to the stream and waits until it is accepted or rejected.
// It returns the version that it became, or an *Invalid, a *Conflict or an
// *Unavailable.
func (f *Follower) Publish(ctx context.Context, p Proposal) (int64, error) {
	config, err := arrangement.Parse([]byte(p.Text))
	if err != nil {
		return 0, &Invalid{Cause: err}
	}
	sections, err := splitSections(config)
	if err != nil {
		return 0, &Invalid{Cause: err}
	}
	if err := f.Poll(ctx); err != nil {
		return 0, err
	}
	for {
		version, err, known := f.outcome(p)
		if known {
			return version, err
		}
		if err := f.append(ctx, p, sections); err != nil {
			// The log may have stored the record all the same. The next Poll
			// shows whether it has.
			if err := f.waitToRetry(ctx); err != nil {
				return 0, err
			}
		}
		if err := f.Poll(ctx); err != nil {
			return 0, err
		}
	}
}

// outcome returns the version or the error of a proposal, and whether it is known yet.
func (f *Follower) outcome(p Proposal) (int64, error, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version, ok := f.state.snapshot.Accepted[p.id()]; ok {
		return version, nil, true
	}
	if err, ok := f.outcomes[p.id()]; ok && err != nil {
		return 0, err, true
	}
	if p.BaseVersion != f.state.snapshot.Version {
		return 0, &Conflict{BaseVersion: p.BaseVersion, Version: f.state.snapshot.Version, Actor: f.state.currentActor()}, true
	}
	return 0, nil, false
}

func (f *Follower) append(ctx context.Context, p Proposal, sections map[string]json.RawMessage) error {
	f.mu.Lock()
	diff := changedSections(sections, f.state.snapshot.Sections)
	f.mu.Unlock()
	data, err := json.Marshal(wireRecord{Type: recordChange, ID: p.id(), Actor: p.Actor, BaseVersion: p.BaseVersion, Sections: diff})
	if err != nil {
		return err
	}
	_, err = f.Log.Append(ctx, Stream, data)
	return err
}

const publishRetryDelay = 200 * time.Millisecond

func (f *Follower) waitToRetry(ctx context.Context) error {
	select {
	case <-time.After(publishRetryDelay):
		return nil
	case <-ctx.Done():
		return &Unavailable{Cause: ctx.Err()}
	}
}

// AppendSnapshotIfOlder appends a snapshot if the newest one is older than the given
// age. Only the one instance that is responsible for snapshots calls it. It returns an
// *Unavailable if the log cannot be used.
func (f *Follower) AppendSnapshotIfOlder(ctx context.Context, age time.Duration) error {
	f.mu.Lock()
	snap := f.state.snapshot
	due := f.state.initialized && snap.Version > 0 && time.Since(f.lastSnapshotAt) > age
	f.mu.Unlock()
	if !due {
		return nil
	}
	data, err := json.Marshal(wireRecord{Type: recordSnapshot, Snapshot: &snap})
	if err != nil {
		return err
	}
	if _, err := f.Log.Append(ctx, Stream, data); err != nil {
		return &Unavailable{Cause: err}
	}
	f.Trail.Add(audit.Entry{Type: audit.EventConfiguration, Subject: fmt.Sprintf("version %d", snap.Version), Change: "snapshot appended", Cause: fmt.Sprintf("the newest snapshot was older than %s", age)})
	return f.Poll(ctx)
}
