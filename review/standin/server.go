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
	store             *store

	mu       sync.Mutex
	http     *http.Server
	done     chan struct{} // closed when the incarnation has ended
	born     int64
	sequence int
	state    string
	// silentUntil is when a server that has fallen silent goes on.
	silentUntil time.Time
}

const (
	// callTime is how long a call takes, eventInterval the pause between events.
	callTime      = 15 * time.Millisecond
	eventInterval = 100 * time.Millisecond
	// heartbeatInterval is how often servers write their entries.
	heartbeatInterval = 1200 * time.Millisecond
)

// newServer returns a server with an address of its own, which is not started.
func newServer(s *store, r *record, id, service, zone string) (*server, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return &server{id: id, service: service, zone: zone, address: address, record: r, store: s, state: "ready"}, nil
}

// start starts an incarnation, which writes its entry until it ends.
func (v *server) start() error {
	l, err := net.Listen("tcp", v.address)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.http, v.done, v.born, v.sequence = &http.Server{Handler: v}, make(chan struct{}), time.Now().UnixMilli(), 0
	server, done := v.http, v.done
	v.mu.Unlock()
	go func() { _ = server.Serve(l) }() // it ends with end
	v.beat()
	go func() {
		for {
			select {
			case <-time.After(heartbeatInterval):
				v.beat()
			case <-done:
				return
			}
		}
	}()
	return nil
}

// end ends the incarnation at once, with all its connections.
func (v *server) end() {
	v.silence()
	v.endServing()
	v.record.note("server %s has ended", v.id)
}

// silence ends the heartbeats.
func (v *server) silence() { close(v.done) }

// endServing closes the listener and all connections.
func (v *server) endServing() {
	_ = v.http.Close() // its connections are gone in any case
}

// lapse lets the store remove the entry, as it does after three heartbeat intervals of silence.
func (v *server) lapse() {
	v.store.put(names.ServerTopic, v.id, nil)
	v.record.note("the store removes the entry of %s", v.id)
}

// entry returns the entry that the server writes next.
func (v *server) entry() []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sequence++
	entry := maps.Clone(names.ServerEntry)
	entry["service"], entry["address"], entry["zone"], entry["state"] = v.service, v.address, v.zone, v.state
	entry["sequence"], entry["born"] = v.sequence, v.born
	data, _ := json.Marshal(entry) // strings and numbers can always be encoded
	return data
}

func (v *server) beat() { v.store.put(names.ServerTopic, v.id, v.entry()) }

// leave lets the server say in all its answers that it leaves. Its entry says so from the next
// heartbeat on.
func (v *server) leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.state = "draining"
	v.record.note("server %s leaves, and says so in its answers", v.id)
}

// fallSilent lets the server send nothing for a while.
func (v *server) fallSilent(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.silentUntil = time.Now().Add(d)
	v.record.note("server %s sends nothing for %v", v.id, d)
}

// awaitSpeech waits until the server goes on, if it is silent.
func (v *server) awaitSpeech() {
	v.mu.Lock()
	until := v.silentUntil
	v.mu.Unlock()
	time.Sleep(time.Until(until))
}

// sayLeaving adds to an answer that has not begun that the server leaves, if it does.
func (v *server) sayLeaving(w http.ResponseWriter) {
	if v.leaving() {
		w.Header().Set(names.LeavingHeader, "1")
	}
}

func (v *server) leaving() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state == "draining"
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
		v.awaitSpeech()
		v.sayLeaving(w)
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
		v.sayLeaving(w)
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
