// Package backlog accounts for the bytes that an instance holds for its callers: bodies of requests and
// parts of responses that wait to be read. It decides which body is refused, which response has to wait
// and which caller is given up. It reads no clock and does no I/O.
package backlog

import (
	"math"
	"sync"
	"time"
)

const (
	// ReadTimeout is how long a caller may read nothing while a part of its response waits.
	ReadTimeout = 10 * time.Second
	// minWindowBytes is what each caller may leave unread while the account has room.
	minWindowBytes = 64 << 10
	// unboundedWindowBytes is what each caller may leave unread if the account has no bound.
	unboundedWindowBytes = 4 << 20
	// windowShare is the fraction of the free bytes that one caller may leave unread. The share of
	// the free bytes shrinks as callers fall behind, so that many of them leave room for the next.
	windowShare = 1.0 / 8
	// customerShare is the fraction of all bytes that one customer may take while others hold any.
	// Requests without a customer count as those of one.
	customerShare = 1.0 / 2
	// largeBodyBytes is the size from which a body is large: large ones leave a part of the room
	// for bodies to the others.
	largeBodyBytes = 256 << 10
	// largeBodyShare is the fraction of the room for bodies that large ones may take.
	largeBodyShare = 2.0 / 3
	// speedTime is the time over which the reading speed of a caller is averaged.
	speedTime = 2 * time.Second
	// minSpeed is the reading speed, in bytes a second, that a caller without any is counted with.
	minSpeed = 1 << 10
)

// Reason is the reason why a caller is given up.
type Reason string

const (
	// ReasonStalled means that the caller read nothing for ReadTimeout.
	ReasonStalled Reason = "stalled"
	// ReasonFull means that the account is full.
	ReasonFull Reason = "full"
	// ReasonCustomer means that the callers of its customer hold too much.
	ReasonCustomer Reason = "customer"
)

// Account is the account of one instance. Exported fields are set before the first call. The zero value
// has no bound. It is safe for concurrent use.
type Account struct {
	// MaxBytes bounds the bytes of bodies and unread responses together; zero means no bound.
	MaxBytes int64
	// MaxBodyBytes bounds the bytes of bodies. They find this much room whatever callers leave
	// unread. Zero means MaxBytes.
	MaxBodyBytes int64

	mu        sync.Mutex
	bodies    int64 // bytes of bodies
	large     int64 // of these, of large bodies
	unread    int64 // bytes of unread responses
	customers map[string]int64
	readers   map[*Reader]struct{} // that hold bytes
}

// Reader is the caller at the other end of one connection. The zero value holds nothing. Its fields
// belong to the account.
type Reader struct {
	// GiveUp closes the connection. Whoever gets the reader as a victim calls it, on a goroutine of its
	// own. It is set before the first call.
	GiveUp func(Reason)

	customer string
	held     int64
	speed    float64 // bytes a second at measured
	measured time.Time
}

// Victim is a reader that has to be given up. It holds nothing any more.
type Victim struct {
	Reader *Reader
	Reason Reason
}

// Bodies returns the number of bytes that bodies take.
func (a *Account) Bodies() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bodies
}

// Unread returns the number of bytes that wait to be read by callers.
func (a *Account) Unread() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unread
}

// ReserveBody takes n more bytes for a body of a customer that takes held already. It reports false, and
// takes none, if there are too few. The victims have to be given up: what their callers leave unread takes
// room of the bodies.
func (a *Account) ReserveBody(customer string, held, n int64, now time.Time) (ok bool, victims []Victim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	large := largeBytes(held+n) - largeBytes(held)
	if a.MaxBytes > 0 {
		limit := a.bodyLimit()
		if a.bodies+n > limit || large > 0 && float64(a.large+large) > largeBodyShare*float64(limit) || a.exceedsShare(customer, n) {
			return false, nil
		}
	}
	a.bodies += n
	a.large += large
	a.charge(customer, n)
	for a.MaxBytes > 0 && a.bodies+a.unread > a.MaxBytes {
		v, reason := a.overdrawn(customer, now)
		victims = append(victims, Victim{v, reason})
		a.drop(v)
	}
	return true, victims
}

// ReleaseBody gives back the bytes of a body.
func (a *Account) ReleaseBody(customer string, held int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bodies -= held
	a.large -= largeBytes(held)
	a.charge(customer, -held)
}

func (a *Account) bodyLimit() int64 {
	if a.MaxBodyBytes > 0 {
		return min(a.MaxBodyBytes, a.MaxBytes)
	}
	return a.MaxBytes
}

// largeBytes returns how many bytes of a body count as those of a large one.
func largeBytes(n int64) int64 {
	if n < largeBodyBytes {
		return 0
	}
	return n
}

// Assign sets the customer on whose behalf a reader holds bytes from now on.
func (a *Account) Assign(r *Reader, customer string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.charge(r.customer, -r.held)
	r.customer = customer
	a.charge(r.customer, r.held)
}

// Hold takes n more bytes of a response that its reader has no room for. If it reports false, it took
// none: the reader is among the victims, or it has to read before the rest of the response is taken. The
// victims have to be given up either way.
func (a *Account) Hold(r *Reader, n int64, now time.Time) (ok bool, victims []Victim) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.held+n > a.window() {
		return false, nil
	}
	if r.held == 0 {
		r.speed, r.measured = 0, now
	}
	if a.readers == nil {
		a.readers = map[*Reader]struct{}{}
	}
	a.readers[r] = struct{}{}
	r.held += n
	a.unread += n
	a.charge(r.customer, n)
	for {
		v, reason := a.overdrawn(r.customer, now)
		if v == nil {
			return true, victims
		}
		victims = append(victims, Victim{v, reason})
		a.drop(v)
		if v == r {
			return false, victims
		}
	}
}

// Read records that a reader has read n bytes and that held of its bytes are free again.
func (a *Account) Read(r *Reader, n, held int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.readers[r]; !ok {
		return
	}
	r.speed = r.speedAt(now) + float64(n)/speedTime.Seconds()
	r.measured = now
	r.held -= held
	a.unread -= held
	a.charge(r.customer, -held)
	if r.held == 0 {
		delete(a.readers, r)
	}
}

// Drop records that all bytes of a reader are free again. Further calls do nothing.
func (a *Account) Drop(r *Reader) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop(r)
}

func (a *Account) drop(r *Reader) {
	a.unread -= r.held
	a.charge(r.customer, -r.held)
	r.held = 0
	delete(a.readers, r)
}

// window returns how many bytes one caller may leave unread.
func (a *Account) window() int64 {
	if a.MaxBytes == 0 {
		return unboundedWindowBytes
	}
	return max(int64(windowShare*float64(a.MaxBytes-a.bodies-a.unread)), minWindowBytes)
}

// overdrawn returns the reader that has to be given up, after the bytes of a customer grew, and why. It
// returns nil if none has to.
func (a *Account) overdrawn(customer string, now time.Time) (*Reader, Reason) {
	switch {
	case a.MaxBytes == 0:
		return nil, ""
	case a.bodies+a.unread > a.MaxBytes:
		return a.worst(now, func(*Reader) bool { return true }), ReasonFull
	case a.exceedsShare(customer, 0):
		return a.worst(now, func(r *Reader) bool { return r.customer == customer }), ReasonCustomer
	}
	return nil, ""
}

// exceedsShare reports whether a customer would take more than its share with n more bytes, while
// others hold any.
func (a *Account) exceedsShare(customer string, n int64) bool {
	taken := a.customers[customer]
	return a.bodies+a.unread > taken && float64(taken+n) > customerShare*float64(a.MaxBytes)
}

// worst returns the reader among those included that holds most and reads least: the one that needs the
// longest to read what it holds. It returns nil if there is none.
func (a *Account) worst(now time.Time, included func(*Reader) bool) *Reader {
	var worst *Reader
	longest := -1.0
	for r := range a.readers {
		if !included(r) {
			continue
		}
		if t := float64(r.held) / (r.speedAt(now) + minSpeed); t > longest {
			worst, longest = r, t
		}
	}
	return worst
}

// speedAt returns the decayed speed of a reader.
func (r *Reader) speedAt(now time.Time) float64 {
	return r.speed * math.Exp(-max(now.Sub(r.measured), 0).Seconds()/speedTime.Seconds())
}

// charge adds n to the bytes of a customer.
func (a *Account) charge(customer string, n int64) {
	if n == 0 {
		return
	}
	if a.customers == nil {
		a.customers = map[string]int64{}
	}
	a.customers[customer] += n
	if a.customers[customer] == 0 {
		delete(a.customers, customer)
	}
}
