package fleet

import (
	"context"
	"time"
)

// KeyedRecord is one update of a key in a feed.
type KeyedRecord[T any] struct {
	Key string
	// Value is nil if the key was deleted or the value could not be decoded.
	Value *T
	// Err is the error from decoding the value. If it is not nil, Value is nil.
	Err error
}

// Cursor is a place in a feed. The zero value means that nothing has been read.
type Cursor struct {
	// Epoch counts how often the platform was restored from an older copy of its records. The
	// same offset names different records in different epochs. Zero means not known.
	Epoch int64
	// Offset is that of the first record that has not been read.
	Offset int64
}

// Before reports whether less has been read up to c than up to other.
func (c Cursor) Before(other Cursor) bool {
	return c.Epoch < other.Epoch || c.Epoch == other.Epoch && c.Offset < other.Offset
}

// Feed is a stream of keyed records that others write and the fleet subscribes to.
// Implementations are safe for concurrent use. All methods return an error if the
// platform is unreachable.
type Feed[T any] interface {
	// Newest returns the newest record of each key, and the place from which
	// Changes returns the later records.
	Newest(ctx context.Context) (records []KeyedRecord[T], next Cursor, err error)
	// Changes returns the records from a place on. It waits up to wait for a
	// record. It returns ErrTrimmed if the offset is no longer retained. The epoch of next
	// is the one in which the platform responded, also with ErrTrimmed. If it is not that
	// of from, the records do not follow those before from.
	Changes(ctx context.Context, from Cursor, wait time.Duration) (records []KeyedRecord[T], next Cursor, err error)
}

// EndpointInfo is the record that an endpoint publishes about itself. Instances relay it
// to each other as JSON under these field names.
type EndpointInfo struct {
	Service string
	// Address is IP:port.
	Address string
	Domain  string
	Slots   int
	// Leaving is set when the endpoint is draining and must get no new requests.
	Leaving bool
	// Cold is the remaining warm-up time when the record was written, in which the
	// endpoint is still slow and gets requests at a limited rate.
	Cold time.Duration
	// Born identifies the start of the endpoint process: it differs between
	// starts. Zero means unknown.
	Born int64
	// Sequence grows with each record that the endpoint writes after one start. Zero means
	// unknown.
	Sequence int64
}
