package watch

import (
	"context"
	"time"
)

// ReadOnce makes one read.
func (f *Follower[T]) ReadOnce(ctx context.Context) error { return f.readOnce(ctx) }

// NewEncoded returns a value that is encoded once.
func NewEncoded[T any](value *T) *Encoded[T] { return &Encoded[T]{value: value} }

// Unlocked reports whether no goroutine holds the follower's lock.
func (f *Follower[T]) Unlocked() bool {
	if !f.mu.TryLock() {
		return false
	}
	f.mu.Unlock()
	return true
}

// ReadFailed records a failed read.
func (f *Follower[T]) ReadFailed(err error, now time.Time) { f.readFailed(err, now, now) }
