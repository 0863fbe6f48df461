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

// Follower reads the stream and holds the configuration in force. Exported fields
// are set before the first call. It is safe for concurrent use.
type Follower struct {
	Log   fleet.Log
	Trail *audit.Trail
	// OnAccept is called with every text that comes into force, in order; nil
	// is allowed.
	OnAccept func(text arrangement.Config, version int64)

	mu       sync.Mutex
	state    state
	verdicts map[string]error
	kept     time.Time // when the newest snapshot was appended
}

// Unavailable reports that the log service could not be used. The publication may
// come into force later; repeating it is safe.
type Unavailable struct {
	Cause error
}

// Error implements error.
func (u *Unavailable) Error() string {
	return fmt.Sprintf("publication: log service unavailable: %v", u.Cause)
}

// Unwrap returns the cause.
func (u *Unavailable) Unwrap() error { return u.Cause }

// Text returns the text in force and its version, 0 if there is none yet.
func (f *Follower) Text() (arrangement.Config, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.text, f.state.snapshot.Version
}

// Snapshot returns the whole state, for peers that cannot reach the log.
func (f *Follower) Snapshot() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.snapshot
}

// Adopt takes a peer's snapshot if it is further than the own state. It returns
// whether it was taken.
func (f *Follower) Adopt(snap Snapshot, from string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state.snapshot.Version
	if !f.state.adopt(snap) {
		return false
	}
	f.accepted(before, "taken from peer "+from)
	return true
}

// Poll reads the stream to its end. It returns an *Unavailable if the log cannot
// be read.
func (f *Follower) Poll(ctx context.Context) error {
	for {
		more, err := f.step(ctx)
		if err != nil {
			return &Unavailable{Cause: err}
		}
		if !more {
			return nil
		}
	}
}

func (f *Follower) step(ctx context.Context) (bool, error) {
	f.mu.Lock()
	next := f.state.snapshot.Covers
	f.mu.Unlock()
	page, err := f.Log.Read(ctx, Stream, next, pageSize)
	if errors.Is(err, fleet.ErrTrimmed) {
		return f.reset(ctx, page.First)
	}
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range page.Records {
		f.record(r)
	}
	return len(page.Records) == pageSize, nil
}

// reset finds the newest snapshot in what the log still keeps, because the log
// forgot records that this reader has not seen.
func (f *Follower) reset(ctx context.Context, first int64) (bool, error) {
	var newest *Snapshot
	next := first
	for {
		page, err := f.Log.Read(ctx, Stream, next, pageSize)
		if err != nil {
			return false, err
		}
		for _, r := range page.Records {
			var w wireRecord
			if json.Unmarshal(r.Data, &w) == nil && w.Type == recordSnapshot && w.Snapshot != nil && w.Snapshot.Covers >= first {
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
		f.accepted(before, "snapshot in the log")
		return true, nil
	}
	f.state.snapshot.Covers = max(f.state.snapshot.Covers, newest.Covers)
	return true, nil
}

// record takes in one record of the stream.
func (f *Follower) record(r fleet.Record) {
	var w wireRecord
	if err := json.Unmarshal(r.Data, &w); err != nil {
		w = wireRecord{}
		f.Trail.Add(audit.Entry{Type: audit.EventConfiguration, Subject: fmt.Sprintf("offset %d", r.Offset), Change: "ignored", Cause: err.Error()})
	}
	before := f.state.snapshot.Version
	err := f.state.apply(r.Offset, w)
	if w.Type == recordSnapshot {
		f.kept = time.Now().Add(-r.Age)
		return
	}
	if w.Type != recordChange {
		return
	}
	f.verdict(w.ID, err)
	if err != nil {
		f.Trail.Add(audit.Entry{Type: audit.EventConfiguration, Subject: fmt.Sprintf("publication %s", w.ID), Change: "rejected", Cause: err.Error(), Actor: w.Actor})
		return
	}
	f.accepted(before, "published by "+w.Actor)
}

func (f *Follower) verdict(id string, err error) {
	if f.verdicts == nil || len(f.verdicts) > maxAccepted {
		f.verdicts = map[string]error{}
	}
	f.verdicts[id] = err
}

func (f *Follower) accepted(before int64, cause string) {
	version := f.state.snapshot.Version
	if version == before {
		return
	}
	f.Trail.Add(audit.Entry{Type: audit.EventConfiguration, Subject: fmt.Sprintf("version %d", version), Change: "in force", Cause: cause})
	if f.OnAccept != nil {
		f.OnAccept(f.state.text, version)
	}
}

// Proposal is a text to publish.
type Proposal struct {
	Actor string `json:"actor"`
	// Edits is the version that the text was made from.
	Edits int64 `json:"edits"`
	// Text is the YAML text.
	Text string `json:"text"`
}

// id is the same for the same proposal, so that repeating one is harmless.
func (p Proposal) id() string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join([]string{p.Actor, fmt.Sprint(p.Edits), p.Text}, "\x00")))
}

// Publish appends a proposal and waits until its fate is known. It returns the
// version that it became, or an *Invalid, a *Race or an *Unavailable.
func (f *Follower) Publish(ctx context.Context, p Proposal) (int64, error) {
	text, err := arrangement.Parse([]byte(p.Text))
	if err != nil {
		return 0, &Invalid{Cause: err}
	}
	parts, err := sections(text)
	if err != nil {
		return 0, &Invalid{Cause: err}
	}
	if err := f.Poll(ctx); err != nil {
		return 0, err
	}
	for {
		version, err, settled := f.settled(p)
		if settled {
			return version, err
		}
		if err := f.append(ctx, p, parts); err != nil {
			// The record may be in the log all the same: reading tells.
			if err := f.wait(ctx); err != nil {
				return 0, err
			}
		}
		if err := f.Poll(ctx); err != nil {
			return 0, err
		}
	}
}

// settled reports the fate of a proposal if it is known.
func (f *Follower) settled(p Proposal) (int64, error, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version, ok := f.state.snapshot.Accepted[p.id()]; ok {
		return version, nil, true
	}
	if err, ok := f.verdicts[p.id()]; ok && err != nil {
		return 0, err, true
	}
	if p.Edits != f.state.snapshot.Version {
		return 0, &Race{Edits: p.Edits, Version: f.state.snapshot.Version, Actor: f.state.actor()}, true
	}
	return 0, nil, false
}

func (f *Follower) append(ctx context.Context, p Proposal, parts map[string]json.RawMessage) error {
	f.mu.Lock()
	diff := changed(parts, f.state.snapshot.Sections)
	f.mu.Unlock()
	data, err := json.Marshal(wireRecord{Type: recordChange, ID: p.id(), Actor: p.Actor, Edits: p.Edits, Sections: diff})
	if err != nil {
		return err
	}
	_, err = f.Log.Append(ctx, Stream, data)
	return err
}

const publishPause = 200 * time.Millisecond

func (f *Follower) wait(ctx context.Context) error {
	select {
	case <-time.After(publishPause):
		return nil
	case <-ctx.Done():
		return &Unavailable{Cause: ctx.Err()}
	}
}

// Keep appends a snapshot if the newest one is older than the given age. Only
// the instance that is the keeper calls it.
func (f *Follower) Keep(ctx context.Context, age time.Duration) error {
	f.mu.Lock()
	snap := f.state.snapshot
	due := f.state.based && snap.Version > 0 && time.Since(f.kept) > age
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
