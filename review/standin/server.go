package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of a server: it runs each request that is addressed to it and answers
// with a seal. Streams have as many events as their path says, at even intervals.
type server struct {
	id, service, zone string
	address           string
	record            *record
	born              int64

	mu       sync.Mutex
	sequence int
}

const (
	// callTime is how long a call takes, eventInterval the pause between events.
	callTime      = 15 * time.Millisecond
	eventInterval = 100 * time.Millisecond
	// heartbeatInterval is how often servers write their entries.
	heartbeatInterval = 1200 * time.Millisecond
)

// startServer starts a server and writes its entry, again and again, until the program ends.
func startServer(s *store, r *record, id, service, zone string) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &server{id: id, service: service, zone: zone, address: l.Addr().String(), record: r, born: time.Now().UnixMilli()}
	go func() { _ = http.Serve(l, v) }()
	v.beat(s)
	go func() {
		for range time.Tick(heartbeatInterval) {
			v.beat(s)
		}
	}()
	return v, nil
}

func (v *server) beat(s *store) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sequence++
	entry := maps.Clone(names.ServerEntry)
	entry["service"], entry["address"], entry["zone"] = v.service, v.address, v.zone
	entry["sequence"], entry["born"] = v.sequence, v.born
	data, _ := json.Marshal(entry) // strings and numbers can always be encoded
	s.put(names.ServerTopic, v.id, data)
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestHeader)
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.Header().Set(names.RequestHeader, id)
	if r.URL.Path == "/health" {
		w.Header().Set(names.InstanceHeader, v.id)
		return
	}
	if expected := r.Header.Get(names.ExpectHeader); expected != "" && expected != v.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	v.record.note("server %s runs %s", v.id, id)
	w.Header().Set(names.SealHeader, sealOf(id))
	if !strings.HasPrefix(r.URL.Path, "/stream/") && !strings.HasPrefix(r.URL.Path, "/resume/") {
		time.Sleep(callTime)
		_, _ = io.WriteString(w, callBody(id))
		v.record.note("server %s ends %s", v.id, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	count := eventCount(r.URL.Path)
	after, _ := strconv.Atoi(r.Header.Get(names.LastEventHeader)) // zero without the header
	for n := after + 1; n <= count; n++ {
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			v.record.note("server %s is left by the caller of %s after event %d of %d", v.id, id, n-1, count)
			return
		}
		_, _ = io.WriteString(w, event(id, n))
		_ = http.NewResponseController(w).Flush()
	}
	v.record.note("server %s ends %s", v.id, id)
}

func sealOf(id string) string { return "seal-" + id }

func callBody(id string) string { return strings.Repeat("answer to "+id+"\n", 40) }

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }

// eventCount returns how many events a stream has: the last part of its path.
func eventCount(path string) int {
	n, _ := strconv.Atoi(path[strings.LastIndex(path, "/")+1:])
	return n
}

// wholeAnswer returns the body of the server's whole answer.
func wholeAnswer(id, path string) string {
	if !strings.HasPrefix(path, "/stream/") && !strings.HasPrefix(path, "/resume/") {
		return callBody(id)
	}
	var b strings.Builder
	for n := range eventCount(path) {
		b.WriteString(event(id, n+1))
	}
	return b.String()
}
