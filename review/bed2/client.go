package bed2

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"
)

// Client is a stand-in of one client, which keeps its connection. Exported fields are set before the first
// call. It is not safe for concurrent use.
type Client struct {
	Front, Key string

	transport *http.Transport
}

// Request is a request of a client.
type Request struct {
	ID, Method, Path string
	Body             []byte
	DeadlineMS       int
	Usage, Prefix    string // of a prompt; empty for none
}

// Answer is what a client got.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Kept   bool  // the connection had answered another request before
	Err    error // nil if the answer is whole
}

// Do sends a request and reads the answer.
func (c *Client) Do(r Request) Answer {
	if c.transport == nil {
		c.transport = &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	}
	var a Answer
	// Without GetBody the transport does not send the request once more by itself.
	req, err := http.NewRequest(r.Method, "http://"+c.Front+r.Path, io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return Answer{Err: err}
	}
	req.ContentLength, req.Host = int64(len(r.Body)), Host
	if len(r.Body) == 0 {
		req.Body = http.NoBody
	}
	for name, value := range map[string]string{
		Wire.Headers["request"]: r.ID, Wire.Headers["deadline"]: strconv.Itoa(r.DeadlineMS), "Authorization": "Bearer " + c.Key,
		Wire.Headers["usage"]: r.Usage, Wire.Headers["prefix"]: r.Prefix,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { a.Kept = i.Reused },
	}))
	client := http.Client{Transport: c.transport, Timeout: time.Duration(r.DeadlineMS) * time.Millisecond}
	resp, err := client.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, a.Err = io.ReadAll(resp.Body)
	return a
}

// Closed reports whether the connection ended without an answer.
func (a Answer) Closed() bool {
	if a.Err == nil || a.Status != 0 {
		return false
	}
	text := a.Err.Error()
	return errors.Is(a.Err, io.EOF) || strings.Contains(text, "connection reset") || strings.Contains(text, "EOF") || strings.Contains(text, "server closed")
}

// RetryAfter returns when a client that was refused comes back, zero if the answer does not say so.
func (a Answer) RetryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
