package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// rawServer is an incarnation of a server at a given address. It runs one request at a time on a
// connection, and may send the copy of an answer late: at the point where the next answer on
// the connection is expected.
type rawServer struct {
	id     string
	record *record
	copies *copies

	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

// copies counts the answers of a server, over its incarnations, and those that it sent a second
// time. It is safe for concurrent use.
type copies struct {
	// perHundred is how many of its answers it may send a second time, in hundredths of all.
	perHundred int64

	answers, copied atomic.Int64
}

// accept serves all connections of a listener until it is closed.
func (v *rawServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		if v.conns == nil {
			v.conns = map[net.Conn]bool{}
		}
		v.conns[c] = true
		ended := v.ended
		v.mu.Unlock()
		if ended {
			_ = c.Close() // the incarnation is gone in any case
			continue
		}
		go v.handle(c)
	}
}

// end ends the incarnation at once, with all its connections.
func (v *rawServer) end(l net.Listener) {
	_ = l.Close() // the incarnation is gone in any case
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ended = true
	for c := range v.conns {
		_ = c.Close()
	}
	v.record.note("server %s has ended", v.id)
}

// handle serves one connection until it ends.
func (v *rawServer) handle(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	lastID, last := "", ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(names.RequestHeader)
		if last != "" && id == lastID && v.copies.take() {
			v.record.note("server %s sends its last answer on the connection again, a rejection of %s", v.id, lastID)
			if _, err := io.WriteString(c, last); err != nil {
				return
			}
		}
		answer := ""
		if expected := r.Header.Get(names.ExpectHeader); expected != "" && expected != v.id {
			v.record.note("server %s rejects %s, which is for %s", v.id, id, expected)
			answer = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.RequestHeader, id, names.InstanceHeader, v.id)
			lastID, last = id, answer
		} else {
			v.record.note("server %s runs %s", v.id, id)
			time.Sleep(callTime)
			body := callBody(id)
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", names.RequestHeader, id, names.SealHeader, sealOf(id), len(body), body)
			v.record.note("server %s ends %s", v.id, id)
			lastID, last = "", ""
		}
		v.copies.answers.Add(1)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// take reports whether one more answer may be sent a second time, and counts it.
func (c *copies) take() bool {
	if 100*(c.copied.Load()+1) > c.perHundred*c.answers.Load() {
		return false
	}
	c.copied.Add(1)
	return true
}
