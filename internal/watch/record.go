package watch

import (
	"encoding/json"
	"errors"
	"sync"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Encoded is a value that is encoded once, no matter how many instances it is sent to. It
// is safe for concurrent use once made.
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

// encodedSize returns the approximate length of encoded records, in bytes.
func encodedSize[T any](records []Record[T]) int {
	n := 0
	for _, r := range records {
		n += len(r.Key)
		if r.Value != nil {
			data, _ := r.Value.MarshalJSON() // an error is returned again when the update is encoded
			n += len(data)
		}
	}
	return n
}

// errInvalidRecord is the error of a record that another instance could not read.
var errInvalidRecord = errors.New("watch: record that another instance could not read")

// toKeyed returns a record in the form in which a feed returns it.
func (r Record[T]) toKeyed() fleet.KeyedRecord[T] {
	k := fleet.KeyedRecord[T]{Key: r.Key}
	if r.Invalid {
		k.Err = errInvalidRecord
	}
	if r.Value != nil {
		k.Value = r.Value.value
	}
	return k
}
