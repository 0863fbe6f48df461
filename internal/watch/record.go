package watch

import (
	"encoding/json"
	"sync"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Encoded is a value that is encoded once, however many instances are told. It is safe
// for concurrent use once made.
type Encoded[T any] struct {
	value *T

	once sync.Once
	data []byte
	err  error
}

// MarshalJSON implements json.Marshaler.
func (e *Encoded[T]) MarshalJSON() ([]byte, error) {
	e.once.Do(func() { e.data, e.err = json.Marshal(e.value) })
	return e.data, e.err
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *Encoded[T]) UnmarshalJSON(data []byte) error {
	e.value = new(T)
	return json.Unmarshal(data, e.value)
}

// size returns about how long records are when told, in bytes.
func size[T any](records []Record[T]) int {
	n := 0
	for _, r := range records {
		n += len(r.Key)
		if r.Value != nil {
			data, _ := r.Value.MarshalJSON() // an error shows when it is told
			n += len(data)
		}
	}
	return n
}

// keyed returns a record as a feed would bring it.
func (r Record[T]) keyed() fleet.Keyed[T] {
	k := fleet.Keyed[T]{Key: r.Key}
	if r.Value != nil {
		k.Value = r.Value.value
	}
	return k
}
