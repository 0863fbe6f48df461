package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

// result is how one attempt of a client ended.
type result struct {
	id, path string
	front    string // the address of the instance
	sent     time.Time
	ended    time.Time
	status   int // zero if the connection ended without the head of an answer
	sealed   bool
	kept     bool // it was sent on a connection that had been used before
	leaving  bool // the answer says that its server leaves
	headAt   time.Time
	body     string
	err      error // that ended the answer early; nil if it came whole
}

// whole reports whether the answer is the server's whole answer.
func (r result) whole() bool {
	return r.err == nil && r.status == http.StatusOK && r.sealed && r.body == wholeAnswer(r.id, r.path)
}

func (r result) String() string {
	return fmt.Sprintf("%s %s: status %d, sealed %v, leaving %v, %d bytes, whole %v, after %v, error %v",
		r.id, r.path, r.status, r.sealed, r.leaving, len(r.body), r.whole(), r.ended.Sub(r.sent).Round(time.Millisecond), r.err)
}

var requestCount atomic.Int64

// client keeps its connections for further requests, as clients of the pages may.
type client struct {
	http   *http.Client
	record *record
}

func newClient(r *record) *client {
	return &client{record: r, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100, IdleConnTimeout: 4 * time.Second}}}
}

// call sends one request and reads the answer until the deadline.
func (c *client) call(front, method, path, body string, deadline time.Duration) result {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprintf("%016x", requestCount.Add(1))
	r := result{id: id, path: path, front: front, sent: time.Now()}
	defer func() { c.record.note("client got %s", r) }()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		r.err, r.ended = err, time.Now()
		return r
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { r.kept = i.Reused }}))
	setHeaders(req, id, path, deadline)
	c.record.note("client sends %s %s %s to %s", id, method, path, front)
	resp, err := c.http.Do(req)
	if err != nil {
		r.err, r.ended = err, time.Now()
		return r
	}
	defer resp.Body.Close()
	r.headAt, r.leaving = time.Now(), resp.Header.Get(names.LeavingHeader) == "1"
	data, err := io.ReadAll(resp.Body)
	r.status, r.sealed, r.body, r.err, r.ended = resp.StatusCode, resp.Header.Get(names.SealHeader) != "", string(data), err, time.Now()
	return r
}

// setHeaders sets what the pages want in a request.
func setHeaders(req *http.Request, id, path string, deadline time.Duration) {
	req.Host = names.Host
	req.Header.Set(names.RequestHeader, id)
	req.Header.Set(names.DeadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+names.Key)
	if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resume/") {
		req.Header.Set(names.ModelHeader, "m")
		req.Header.Set(names.UsageHeader, "1460,280")
		req.Header.Set(names.PrefixHeader, id+":1460")
	}
}
