package fleet

import "context"

// WriteOnceValue is a value in the platform's storage that is written at most once.
// Implementations are safe for concurrent use.
type WriteOnceValue interface {
	// Get returns the value, or nil if none has been written. It returns an
	// error if the platform is unreachable.
	Get(ctx context.Context) ([]byte, error)
	// Create writes the value unless one exists. Neither a nil error nor an
	// error tells whether this value or that of a concurrent writer was stored;
	// call Get to find out.
	Create(ctx context.Context, value []byte) error
}

// KeyValueStore holds the fleet's own key-value pairs in the platform's storage.
// Implementations are safe for concurrent use.
type KeyValueStore interface {
	// Put writes the value of a key. The value may have been written even if Put
	// returns an error.
	Put(ctx context.Context, key string, value []byte) error
	// List returns the values of all keys. It returns an error if the platform
	// is unreachable.
	List(ctx context.Context) (map[string][]byte, error)
}
