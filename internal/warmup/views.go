package warmup

import "time"

// maxViewGap is the longest pause between two calls of Views.Set in which a view counts as unchanged.
const maxViewGap = 500 * time.Millisecond

// Views remembers what an instance took the members of the fleet for during the last Window. An
// instance grants starts only if it was the home by all of these views: one that becomes the home,
// starts, or wakes after a pause grants nothing until the starts of an earlier home have been used or
// have expired. The zero value is ready to use. It is not safe for concurrent use.
type Views[T any] struct {
	list  []view[T] // in order; each holds until the next one
	setAt time.Time // of the last call of Set
}

type view[T any] struct {
	since  time.Time
	digest uint64
	value  T
}

// Set records the view at a time. It has to be called several times in maxViewGap. make is called
// only if the digest differs from that of the last view.
func (v *Views[T]) Set(digest uint64, make func() T, now time.Time) {
	if now.Sub(v.setAt) > maxViewGap {
		v.list = nil
	}
	v.setAt = now
	if n := len(v.list); n == 0 || v.list[n-1].digest != digest {
		v.list = append(v.list, view[T]{now, digest, make()})
	}
	first := 0
	for first+1 < len(v.list) && now.Sub(v.list[first+1].since) >= Window {
		first++
	}
	v.list = append(v.list[:0], v.list[first:]...)
}

// Recent returns all views of the last Window. If they do not cover it, it returns false and the time
// after which they do.
func (v *Views[T]) Recent(now time.Time) (values []T, wait time.Duration, ok bool) {
	if len(v.list) == 0 || now.Sub(v.setAt) > maxViewGap {
		return nil, Window, false
	}
	if wait := Window - now.Sub(v.list[0].since); wait > 0 {
		return nil, wait, false
	}
	for _, w := range v.list {
		values = append(values, w.value)
	}
	return values, 0, true
}
