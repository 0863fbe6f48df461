package watch

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Relay is the part of a Follower that the exchange between instances uses.
type Relay interface {
	// Position returns how far the feed has been read.
	Position(now time.Time) Position
	// Unreachable reports whether the platform does not respond.
	Unreachable() bool
	// OutOfDate reports whether the platform is known to have been restored since the feed was
	// read.
	OutOfDate() bool
	// EncodeUpdate encodes the records that are missing in an instance that has read
	// up to a cursor. Relay is set if records that have just come from another
	// instance are passed on at once.
	EncodeUpdate(from fleet.Cursor, relay bool, now time.Time) (json.RawMessage, error)
	// EncodeSnapshot encodes the newest record of every key.
	EncodeSnapshot(now time.Time) (json.RawMessage, error)
	// Receive decodes and applies an update from another instance, and returns the
	// position of that instance. Relay is set if records reach this instance along a
	// chain of others. The update was on its way for transit at most; zero means that
	// this is not known, or not longer than usual.
	Receive(data json.RawMessage, relay bool, now time.Time, transit time.Duration) (Position, error)
}

// EncodeUpdate implements Relay.
func (f *Follower[T]) EncodeUpdate(from fleet.Cursor, relay bool, now time.Time) (json.RawMessage, error) {
	return json.Marshal(f.UpdateFrom(from, relay, now))
}

// EncodeSnapshot implements Relay.
func (f *Follower[T]) EncodeSnapshot(now time.Time) (json.RawMessage, error) {
	return json.Marshal(f.Snapshot(now))
}

// Receive implements Relay. A follower that has been behind for longer than aheadTimeout
// reads the feed at once.
func (f *Follower[T]) Receive(data json.RawMessage, relay bool, now time.Time, transit time.Duration) (Position, error) {
	var u Update[T]
	if err := json.Unmarshal(data, &u); err != nil {
		return Position{}, fmt.Errorf("watch: update of feed %s cannot be decoded: %w", f.Name, err)
	}
	timeout := aheadTimeout
	if relay {
		timeout = relayedAheadTimeout
	}
	if f.Apply(u, now, transit) && f.behindTooLong(u.Cursor(), timeout, now) {
		f.ReadNow()
	}
	return u.Position, nil
}

// behindTooLong reports whether another instance has been ahead for longer than a
// timeout. The records that it has read usually follow with its next message.
func (f *Follower[T]) behindTooLong(next fleet.Cursor, timeout time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.aheadSince.IsZero() || !f.cursor.Before(f.ahead) {
		f.aheadSince, f.ahead = now, next
		return false
	}
	return now.Sub(f.aheadSince) > timeout
}

// aheadTimeout is how long a follower waits for records that another instance has read
// before it reads the feed itself.
const aheadTimeout = 400 * time.Millisecond

// relayedAheadTimeout takes its place where records pass several instances on their way.
const relayedAheadTimeout = 1500 * time.Millisecond
