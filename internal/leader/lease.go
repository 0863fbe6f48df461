// Package leader elects one leader for each failure domain through the log service
// and decides which orders it gives to endpoints: what to load, and in which order
// services come back.
//
// A leadership is a chain of records in a stream of the log. The first record of an
// epoch wins it; its holder renews it with further records. The offset of the
// holder's newest record is the fencing number of its orders.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// leaseTerm is how long a record makes its holder leader, counted from
	// before it was appended.
	leaseTerm = 10 * time.Second
	// renewAfter is the age at which the holder appends a new record.
	renewAfter = 3 * time.Second
	// takeoverMargin is added to the term, counted from when the record was
	// read, before another instance takes over. It covers clocks that run at
	// different speeds.
	takeoverMargin = 2 * time.Second
	// orderMargin is how much of its lease a leader must have left to give an
	// order.
	orderMargin = 3 * time.Second
	// pageSize is how many records are read at a time.
	pageSize = 256
)

// Stream returns the log stream of a failure domain's leadership.
func Stream(domain string) string { return "leader-" + domain }

// wireLease is one record of the stream.
type wireLease struct {
	Epoch       int64  `json:"e"`
	Holder      string `json:"h"`
	Incarnation uint32 `json:"i"`
	// Renewal is set by a holder that has read that it won the epoch.
	Renewal bool `json:"r,omitempty"`
}

// Lease is one instance's view of the leadership. It is not safe for concurrent
// use. Exported fields are set before the first call.
type Lease struct {
	Self        string
	Incarnation uint32
	Domain      string
	Log         fleet.Log

	next     int64
	holder   wireLease
	known    bool
	seen     time.Time // when the holder's newest record was read
	fence    int64
	held     time.Time // when the own newest record was about to be appended
	pending  time.Time
	started  time.Time
	followed bool
}

// ErrUnavailable is returned when the log service could not be used.
var ErrUnavailable = errors.New("leader: log service unavailable")

// Leads reports whether this instance may give an order now, and under which
// fencing number. It must be asked right before each order.
func (l *Lease) Leads(now time.Time) (int64, bool) {
	if !l.mine() || now.Sub(l.held) > leaseTerm-orderMargin {
		return 0, false
	}
	return l.fence, true
}

// Settled reports whether the earlier leader's last order must have ended, so that
// endpoints which ignore fencing numbers can be given orders too.
func (l *Lease) Settled(now time.Time) bool { return now.Sub(l.started) > orderMargin }

func (l *Lease) mine() bool {
	return l.known && l.holder.Holder == l.Self && l.holder.Incarnation == l.Incarnation
}

// Holder returns the name of the leader as last read, empty if there is none.
func (l *Lease) Holder() string { return l.holder.Holder }

// Advance reads the stream and, if this instance is the candidate, takes the
// leadership over once it has lapsed or renews it. It returns ErrUnavailable if
// the log cannot be used; an own lease runs on until its term.
func (l *Lease) Advance(ctx context.Context, candidate bool, now func() time.Time) error {
	if err := l.read(ctx, now); err != nil {
		return err
	}
	switch {
	case l.mine() && candidate && now().Sub(l.held) > renewAfter:
		return l.append(ctx, wireLease{Epoch: l.holder.Epoch, Holder: l.Self, Incarnation: l.Incarnation, Renewal: true}, now)
	case !l.mine() && candidate && l.lapsed(now()):
		return l.append(ctx, wireLease{Epoch: l.holder.Epoch + 1, Holder: l.Self, Incarnation: l.Incarnation}, now)
	}
	return nil
}

func (l *Lease) lapsed(now time.Time) bool {
	return !l.known || now.Sub(l.seen) > leaseTerm+takeoverMargin
}

func (l *Lease) append(ctx context.Context, w wireLease, now func() time.Time) error {
	data, err := json.Marshal(w)
	if err != nil {
		return fmt.Errorf("leader: %w", err)
	}
	l.pending = now()
	if _, err := l.Log.Append(ctx, Stream(l.Domain), data); err != nil {
		return ErrUnavailable
	}
	return l.read(ctx, now)
}

// read takes in the records that follow the ones already read.
func (l *Lease) read(ctx context.Context, now func() time.Time) error {
	for {
		page, err := l.Log.Read(ctx, Stream(l.Domain), l.next, pageSize)
		if errors.Is(err, fleet.ErrTrimmed) {
			l.next = page.First
			continue
		}
		if err != nil {
			return ErrUnavailable
		}
		for _, r := range page.Records {
			l.next = r.Offset + 1
			var w wireLease
			if json.Unmarshal(r.Data, &w) == nil && w.Holder != "" {
				l.apply(r, w, now())
			}
		}
		if len(page.Records) < pageSize {
			l.followed = true
			return nil
		}
	}
}

// apply decides alike at every reader: a new epoch goes to its first record, and a
// renewal proves that its holder won.
func (l *Lease) apply(r fleet.Record, w wireLease, now time.Time) {
	current := l.known && w.Epoch == l.holder.Epoch && w.Holder == l.holder.Holder && w.Incarnation == l.holder.Incarnation
	proves := l.known && w.Epoch == l.holder.Epoch && w.Renewal
	newer := !l.known || w.Epoch > l.holder.Epoch
	if !current && !proves && !newer {
		return
	}
	if !current {
		l.started = now
	}
	l.holder = w
	l.known = true
	l.seen = now.Add(-r.Age)
	l.fence = r.Offset
	if l.mine() {
		l.held = l.pending
	}
}
