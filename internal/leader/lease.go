// Package leader elects one leader for each failure domain through the log service
// and plans the orders that the leader sends to endpoints: which model to load, and in
// which sequence services are started again.
//
// The lease of a leader is a sequence of records in a stream of the log. The first
// record of an epoch wins the epoch; its holder renews the lease with further records.
// The offset of the holder's newest record is the fencing token of its orders, which is
// called the fencing number.
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
	// leaseTerm is how long a record makes its holder the leader. The holder counts
	// it from just before it appended the record.
	leaseTerm = 10 * time.Second
	// renewAfter is the age of its newest record at which the holder renews the
	// lease.
	renewAfter = 3 * time.Second
	// takeoverMargin is how much longer than leaseTerm another instance waits
	// before it takes over. The wait counts from when that instance read the
	// record, less the age that the log reported for the record. The margin allows
	// for clocks that run at different speeds.
	takeoverMargin = 2 * time.Second
	// orderMargin is how much of its lease a leader must have left to send an
	// order.
	orderMargin = 3 * time.Second
	// pageSize is how many records are read at a time.
	pageSize = 256
)

// Stream returns the name of the log stream that holds the leases of a failure domain.
func Stream(domain string) string { return "leader-" + domain }

// wireLease is one record of the stream.
type wireLease struct {
	Epoch       int64  `json:"e"`
	Holder      string `json:"h"`
	Incarnation uint32 `json:"i"`
	// Renewal is set by a holder that has read in the stream that it won the epoch.
	Renewal bool `json:"r,omitempty"`
}

// Lease is the lease of a failure domain's leader as one instance sees it. It is not
// safe for concurrent use. Exported fields are set before the first call.
type Lease struct {
	Self        string
	Incarnation uint32
	Domain      string
	Log         fleet.Log

	nextOffset   int64     // offset of the first record that has not been read
	current      wireLease // newest record of the holder
	known        bool      // whether current is set
	lastRecordAt time.Time // when current was appended, from its age when it was read
	fence        int64     // offset of current
	renewedAt    time.Time // just before this instance appended current, if it is the holder
	appendBegan  time.Time // just before the last append of this instance
	holderSince  time.Time // when this instance read that the holder changed
	caughtUp     bool      // whether the stream has been read to its end
}

// ErrUnavailable is returned if the log service could not be used.
var ErrUnavailable = errors.New("leader: log service unavailable")

// Leads reports whether this instance may send an order now, and with which fencing
// number. It must be called right before each order.
func (l *Lease) Leads(now time.Time) (int64, bool) {
	if !l.isHolder() || now.Sub(l.renewedAt) > leaseTerm-orderMargin {
		return 0, false
	}
	return l.fence, true
}

// SafeWithoutFencing reports whether enough time has passed since the holder changed for
// the last order of the earlier leader to have ended. Only then may orders be sent to
// endpoints that ignore fencing numbers.
func (l *Lease) SafeWithoutFencing(now time.Time) bool { return now.Sub(l.holderSince) > orderMargin }

func (l *Lease) isHolder() bool {
	return l.known && l.current.Holder == l.Self && l.current.Incarnation == l.Incarnation
}

// Holder returns the instance that held the lease when the stream was last read, or an
// empty string if there is none.
func (l *Lease) Holder() string { return l.current.Holder }

// Advance reads the stream and, if this instance is the candidate, renews its own lease
// or takes over one that has expired. It returns ErrUnavailable if the log cannot be
// used; a lease that this instance holds stays valid until its term ends.
func (l *Lease) Advance(ctx context.Context, candidate bool, now func() time.Time) error {
	if err := l.read(ctx, now); err != nil {
		return err
	}
	switch {
	case l.isHolder() && candidate && now().Sub(l.renewedAt) > renewAfter:
		return l.append(ctx, wireLease{Epoch: l.current.Epoch, Holder: l.Self, Incarnation: l.Incarnation, Renewal: true}, now)
	case !l.isHolder() && candidate && l.expired(now()):
		return l.append(ctx, wireLease{Epoch: l.current.Epoch + 1, Holder: l.Self, Incarnation: l.Incarnation}, now)
	}
	return nil
}

func (l *Lease) expired(now time.Time) bool {
	return !l.known || now.Sub(l.lastRecordAt) > leaseTerm+takeoverMargin
}

func (l *Lease) append(ctx context.Context, w wireLease, now func() time.Time) error {
	data, err := json.Marshal(w)
	if err != nil {
		return fmt.Errorf("leader: %w", err)
	}
	l.appendBegan = now()
	if _, err := l.Log.Append(ctx, Stream(l.Domain), data); err != nil {
		return ErrUnavailable
	}
	return l.read(ctx, now)
}

// read reads the stream to its end and applies the records that are new.
func (l *Lease) read(ctx context.Context, now func() time.Time) error {
	for {
		page, err := l.Log.Read(ctx, Stream(l.Domain), l.nextOffset, pageSize)
		if errors.Is(err, fleet.ErrTrimmed) {
			l.nextOffset = page.First
			continue
		}
		if err != nil {
			return ErrUnavailable
		}
		for _, r := range page.Records {
			l.nextOffset = r.Offset + 1
			var w wireLease
			if json.Unmarshal(r.Data, &w) == nil && w.Holder != "" {
				l.apply(r, w, now())
			}
		}
		if len(page.Records) < pageSize {
			l.caughtUp = true
			return nil
		}
	}
}

// apply applies a record. All readers apply the same rule: a new epoch goes to its first
// record, and a renewal proves that its holder won the epoch.
func (l *Lease) apply(r fleet.Record, w wireLease, now time.Time) {
	sameHolder := l.known && w.Epoch == l.current.Epoch && w.Holder == l.current.Holder && w.Incarnation == l.current.Incarnation
	provesWin := l.known && w.Epoch == l.current.Epoch && w.Renewal
	newEpoch := !l.known || w.Epoch > l.current.Epoch
	if !sameHolder && !provesWin && !newEpoch {
		return
	}
	if !sameHolder {
		l.holderSince = now
	}
	l.current = w
	l.known = true
	l.lastRecordAt = now.Add(-r.Age)
	l.fence = r.Offset
	if l.isHolder() {
		l.renewedAt = l.appendBegan
	}
}
