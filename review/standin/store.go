package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: keyed topics of one partition. It answers at
// once and loses nothing.
type store struct {
	mu     sync.Mutex
	topics map[string]*storeTopic
}

type storeTopic struct {
	keys     []string
	values   [][]byte
	appended chan struct{} // closed when the next record is appended
}

func (s *store) topic(name string) *storeTopic {
	if s.topics == nil {
		s.topics = map[string]*storeTopic{}
	}
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *storeTopic) add(key string, value []byte) {
	t.keys = append(t.keys, key)
	t.values = append(t.values, value)
	close(t.appended)
	t.appended = make(chan struct{})
}

// put writes a record in place of the operator or a server.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add(key, value)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case names.NewestPath:
		s.newest(w, q)
	case names.ReadPath:
		s.read(r.Context(), w, q)
	case names.AppendPath:
		s.append(w, body, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// append adds the records of a call, each with a length of four bytes, all or nothing.
func (s *store) append(w http.ResponseWriter, body []byte, q url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := q.Get("topic")
	if name == names.OperatorTopic || name == names.ServerTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	t := s.topic(name)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(t.keys)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int{"end": len(t.keys)})
		return
	}
	offset := len(t.keys)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+n]
		body = body[4+n:]
		k := 1 + int(record[0])
		t.add(string(record[1:k]), slices.Clone(record[k:]))
	}
	writeJSON(w, map[string]int{"offset": offset, "end": len(t.keys)})
}

func (s *store) newest(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	last := map[string]int{}
	for i, k := range t.keys {
		last[k] = i
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for i, k := range t.keys {
		if last[k] == i && len(t.values[i]) > 0 {
			items = append(items, item{k, base64.StdEncoding.EncodeToString(t.values[i]), i})
		}
	}
	writeJSON(w, map[string]any{"items": items, "more": false, "end": len(t.keys)})
}

func (s *store) read(ctx context.Context, w http.ResponseWriter, q url.Values) {
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	appended, empty := t.appended, from >= len(t.keys)
	s.mu.Unlock()
	if empty && wait > 0 {
		select {
		case <-appended:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var b bytes.Buffer
	b.Write(binary.BigEndian.AppendUint64(nil, uint64(len(t.keys))))
	b.Write(binary.BigEndian.AppendUint64(nil, 0))
	for i := from; i < len(t.keys); i++ {
		b.Write(binary.BigEndian.AppendUint32(nil, uint32(1+len(t.keys[i])+len(t.values[i]))))
		b.WriteByte(byte(len(t.keys[i])))
		b.WriteString(t.keys[i])
		b.Write(t.values[i])
	}
	_, _ = w.Write(b.Bytes())
}

func writeJSON(w http.ResponseWriter, v any) {
	// The stand-in's values can always be encoded.
	_ = json.NewEncoder(w).Encode(v)
}
