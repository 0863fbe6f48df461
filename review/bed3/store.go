package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: topics of one partition.
type store struct {
	names names

	mu      sync.Mutex
	topics  map[string]*topic
	era     int
	away    chan struct{} // closed while the store is away; nil while it is not
	changed chan struct{} // closed when a record is appended
}

type topic struct{ records []record }

type record struct {
	data []byte
	at   time.Time
}

// errAway means that the store is away and that nothing was done.
type errAway struct{}

func (errAway) Error() string { return "the store is away" }

func newStore(n names) *store {
	return &store{names: n, topics: map[string]*topic{}, era: 1, changed: make(chan struct{})}
}

// put writes a record of a key; it returns its offset.
func (s *store) put(topicName, key, value string) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away != nil {
		return 0, errAway{}
	}
	data := append([]byte{byte(len(key))}, key...)
	return s.append(topicName, append(data, value...)), nil
}

// append adds a record and returns its offset. The caller holds the lock.
func (s *store) append(topicName string, data []byte) int {
	t := s.topics[topicName]
	if t == nil {
		t = &topic{}
		s.topics[topicName] = t
	}
	t.records = append(t.records, record{data, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
	return len(t.records) - 1
}

// leave makes the store go away: calls, and reads that wait, end without an answer.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = make(chan struct{})
	close(s.away)
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack ends that. With a copy, all that was written since then is gone; it returns how many
// records of the operator's topic are.
func (s *store) comeBack(copyAt time.Time) (lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = nil
	if copyAt.IsZero() {
		return 0
	}
	s.era++
	for name, t := range s.topics {
		n := len(t.records)
		for n > 0 && t.records[n-1].at.After(copyAt) {
			n--
		}
		if name == s.names.OperatorTopic {
			lost = len(t.records) - n
		}
		t.records = t.records[:n:n]
	}
	return lost
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away != nil
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.isAway() {
		reset(w)
		return
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	w.Header().Set(s.names.EraHeader, strconv.Itoa(s.era))
	s.mu.Unlock()
	switch r.URL.Path {
	case s.names.AppendPath:
		s.serveAppend(w, r, body)
	case s.names.ReadPath:
		s.serveRead(w, r)
	case s.names.NewestPath:
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reset ends a connection without an answer.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	name := q.Get("topic")
	if name == s.names.OperatorTopic || name == s.names.ServersTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var list [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		list = append(list, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := 0
	if t := s.topics[name]; t != nil {
		end = len(t.records)
	}
	if at := q.Get("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": end})
		return
	}
	for _, data := range list {
		s.append(name, bytes.Clone(data))
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": end, "end": end + len(list)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed, away := s.topics[name], s.changed, s.away != nil
		if away {
			s.mu.Unlock()
			reset(w)
			return
		}
		if t == nil {
			s.mu.Unlock()
			w.WriteHeader(http.StatusNotFound)
			return
		}
		records := t.records
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first": 0})
			return
		}
		if from == len(records) && wait > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
		}
		var b bytes.Buffer
		_ = binary.Write(&b, binary.BigEndian, int64(len(records)))
		_ = binary.Write(&b, binary.BigEndian, int64(0))
		for _, rec := range records[from:] {
			_ = binary.Write(&b, binary.BigEndian, uint32(len(rec.data)))
			b.Write(rec.data)
		}
		_, _ = w.Write(b.Bytes())
		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	if !strings.HasPrefix(name, s.names.KeyedPrefix) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest, order := map[string]item{}, []string{}
	for n, rec := range t.records {
		key := string(rec.data[1 : 1+int(rec.data[0])])
		if _, known := newest[key]; !known {
			order = append(order, key)
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(rec.data[1+len(key):]), n}
	}
	items := []item{}
	for _, key := range order {
		if newest[key].Value != "" {
			items = append(items, newest[key])
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(t.records)})
}
