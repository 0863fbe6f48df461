package bed2

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in of the platform's store: keyed topics of one partition, conditional appends and reads
// that wait. It is safe for concurrent use.
type Store struct {
	Address string

	mu     sync.Mutex
	topics map[string]*topic
	http   *http.Server
}

type topic struct {
	keys    []string
	values  [][]byte
	changed chan struct{} // closed at the next append
}

// StartStore starts a store on a free port.
func StartStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), topics: map[string]*topic{}}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // ends at Close
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.http.Close() }

// Put writes a record; an empty value removes the key. It returns when the store has acknowledged it.
func (s *Store) Put(name, key, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(key, []byte(value))
	return time.Now()
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(key string, value []byte) {
	t.keys, t.values = append(t.keys, key), append(t.values, value)
	close(t.changed)
	t.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case Wire.Paths["newest"]:
		s.newest(w, r.URL.Query())
	case Wire.Paths["read"]:
		s.read(w, r)
	case Wire.Paths["append"]:
		s.append(w, r.URL.Query(), body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const (
	lengthBytes = 4
	pageRecords = 500
)

func (s *Store) append(w http.ResponseWriter, q url.Values, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(t.keys)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"end": len(t.keys)})
		return
	}
	first := len(t.keys)
	for len(body) > lengthBytes {
		n := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		if n < 1 || n > len(body) || 1+int(body[0]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		key := 1 + int(body[0])
		t.add(string(body[1:key]), bytes.Clone(body[key:n]))
		body = body[n:]
	}
	writeJSON(w, map[string]int{"offset": first, "end": len(t.keys)})
}

func (s *Store) newest(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	last := map[string]int{}
	for n, key := range t.keys {
		last[key] = n
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items, more, after := []item{}, false, q.Get("after")
	for n, key := range t.keys {
		if last[key] != n || len(t.values[n]) == 0 || after != "" && n <= last[after] {
			continue
		}
		if len(items) == pageRecords {
			more = true
			break
		}
		items = append(items, item{key, base64.StdEncoding.EncodeToString(t.values[n]), n})
	}
	writeJSON(w, map[string]any{"items": items, "more": more, "end": len(t.keys)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs")) // missing means that it does not wait
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	changed, empty := t.changed, from >= len(t.keys)
	s.mu.Unlock()
	if empty {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data := binary.BigEndian.AppendUint64(nil, uint64(len(t.keys)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for n := min(from, len(t.keys)); n < len(t.keys); n++ {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(t.keys[n])+len(t.values[n])))
		data = append(append(append(data, byte(len(t.keys[n]))), t.keys[n]...), t.values[n]...)
	}
	_, _ = w.Write(data) // the reader repeats a read that failed
}

func writeJSON(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v) // the caller repeats a call that failed
}
