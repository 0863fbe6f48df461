// Package logclient holds the clients of the platform's log service and of its instance
// list, which use HTTP with JSON.
package logclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// maxResponseBytes limits how many bytes of a response of the platform are read.
const maxResponseBytes = 16 << 20

// Error reports a failed call to the platform. The call may have taken effect
// nevertheless.
type Error struct {
	Call   string // method and URL
	Status int    // HTTP status, 0 if no response was received
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	// Operators get the prefix "logbook" in responses, so it stays.
	if e.Cause != nil {
		return fmt.Sprintf("logbook: %s: %v", e.Call, e.Cause)
	}
	return fmt.Sprintf("logbook: %s: status %d", e.Call, e.Status)
}

// Unwrap returns the cause, nil if the platform responded with an error status.
func (e *Error) Unwrap() error { return e.Cause }

// Log is the client of the log service. It is safe for concurrent use.
type Log struct {
	// URL is the base URL, such as http://127.0.0.1:7300.
	URL string
	// Client makes the calls; nil means http.DefaultClient.
	Client *http.Client
}

// Append implements fleet.Log. All errors are of type *Error.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var response struct {
		Offset int64 `json:"offset"`
	}
	err := call(ctx, l.Client, http.MethodPost, l.URL+"/streams/"+url.PathEscape(stream), data, &response)
	return response.Offset, err
}

// Read implements fleet.Log. Errors other than fleet.ErrTrimmed are of type *Error.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int) (fleet.Page, error) {
	q := url.Values{"from": {strconv.FormatInt(from, 10)}, "limit": {strconv.Itoa(limit)}}
	var page fleet.Page
	err := call(ctx, l.Client, http.MethodGet, l.URL+"/streams/"+url.PathEscape(stream)+"?"+q.Encode(), nil, &page)
	if err != nil {
		return page, err
	}
	if from < page.First {
		return page, fleet.ErrTrimmed
	}
	return page, nil
}

// List is the client of the instance list. It is safe for concurrent use.
type List struct {
	// URL is the base URL.
	URL string
	// Client makes the calls; nil means http.DefaultClient.
	Client *http.Client
}

// Instances implements fleet.InstanceList. All errors are of type *Error.
func (l *List) Instances(ctx context.Context) ([]fleet.Instance, error) {
	var list []fleet.Instance
	err := call(ctx, l.Client, http.MethodGet, l.URL+"/instances", nil, &list)
	return list, err
}

func call(ctx context.Context, client *http.Client, method, target string, body []byte, response any) error {
	callName := method + " " + target
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return &Error{Call: callName, Cause: err}
	}
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return &Error{Call: callName, Cause: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &Error{Call: callName, Status: resp.StatusCode, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return &Error{Call: callName, Status: resp.StatusCode}
	}
	if err := json.Unmarshal(data, response); err != nil {
		return &Error{Call: callName, Status: resp.StatusCode, Cause: err}
	}
	return nil
}
