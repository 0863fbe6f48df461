package watch

import (
	"context"
	"time"
)

// Step makes one read.
func (f *Follower[T]) Step(ctx context.Context) error { return f.step(ctx) }

// NewEncoded returns a value that is encoded once.
func NewEncoded[T any](value *T) *Encoded[T] { return &Encoded[T]{value: value} }

// Unlocked reports whether nobody holds the follower's lock.
func (f *Follower[T]) Unlocked() bool {
	if !f.mu.TryLock() {
		return false
	}
	f.mu.Unlock()
	return true
}

// Failed notes a read that failed.
func (f *Follower[T]) Failed(err error, now time.Time) { f.failed(err, now) }
