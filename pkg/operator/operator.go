// Package operator is the client of the operators' address of an instance, and
// the structs that it answers with.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// Status is what an instance knows about itself and the fleet.
type Status struct {
	Name        string   `json:"name"`
	Domain      string   `json:"domain"`
	Incarnation uint32   `json:"incarnation"`
	Version     int64    `json:"version"`
	Stopping    bool     `json:"stopping"`
	Leader      string   `json:"leader"`
	Waiting     int      `json:"waiting"`
	Running     int      `json:"running"`
	Held        int      `json:"held"`
	Homed       []string `json:"homed"`
	// Unsettled counts the homed endpoints whose slots are not granted yet.
	Unsettled int               `json:"unsettled"`
	Members   []Member          `json:"members"`
	Endpoints []Endpoint        `json:"endpoints"`
	Accounts  []Account         `json:"accounts"`
	Waits     map[string]string `json:"waits,omitempty"`
	// Sent is what the instance sent to its peers since its start, in bytes;
	// Uptime is the time since then, in seconds.
	Sent   int64   `json:"sent"`
	Uptime float64 `json:"uptime"`
}

// Member is another entry instance.
type Member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
	Leaving bool   `json:"leaving"`
	Version int64  `json:"version"`
}

// Endpoint is an endpoint as the instance sees it. Closed says why it gets no new
// work; empty means that it does.
type Endpoint struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Slots   int    `json:"slots"`
	Ready   bool   `json:"ready"`
	Closed  string `json:"closed,omitempty"`
}

// Account is a customer's standing at a service. Lag is the weighted service that
// the customer is ahead of the lowest waiting one, in units.
type Account struct {
	Service  string  `json:"service"`
	Customer string  `json:"customer"`
	Lag      float64 `json:"lag"`
	Waiting  int     `json:"waiting"`
	Running  int     `json:"running"`
}

// Configuration is the text in force.
type Configuration struct {
	Version int64              `json:"version"`
	Text    arrangement.Config `json:"text"`
}

// Proposal is a text to publish.
type Proposal struct {
	Actor string `json:"actor"`
	Edits int64  `json:"edits"`
	Text  string `json:"text"`
}

// Published says which version a text became and where it is in force.
type Published struct {
	Version   int64     `json:"version"`
	Instances []InForce `json:"instances"`
}

// InForce is one instance's report of a version. Millis is the time from the call
// until the report.
type InForce struct {
	Instance string `json:"instance"`
	InForce  bool   `json:"inforce"`
	Millis   int64  `json:"millis"`
}

// Explanation is the way of a request.
type Explanation struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	// Note says what the log tells when no instance knows the request.
	Note string `json:"note,omitempty"`
}

// Step is one event on the way of a request.
type Step struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Step     string    `json:"step"`
	Detail   string    `json:"detail,omitempty"`
}

// Entry is one entry of the audit trail.
type Entry struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	What     string    `json:"what"`
	Subject  string    `json:"subject"`
	Change   string    `json:"change"`
	Cause    string    `json:"cause,omitempty"`
	Actor    string    `json:"actor"`
}

// Refusal is the error of a call that the instance answered with a refusal.
type Refusal struct {
	Status  int                 `json:"-"`
	Message string              `json:"message"`
	Faults  []arrangement.Fault `json:"faults,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// Client calls the operators' address of one instance. It is safe for concurrent
// use. Exported fields are set before the first call.
type Client struct {
	// Address is host:port.
	Address string
	Secret  string
	// HTTP makes the calls; nil means http.DefaultClient.
	HTTP *http.Client
}

// Status returns what the instance knows.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, "/status", nil, &s)
}

// Audit returns the newest entries of the instance's audit trail.
func (c *Client) Audit(ctx context.Context) ([]Entry, error) {
	var entries []Entry
	return entries, c.call(ctx, http.MethodGet, "/audit", nil, &entries)
}

// Explain returns the way of a request.
func (c *Client) Explain(ctx context.Context, id string) (Explanation, error) {
	var e Explanation
	return e, c.call(ctx, http.MethodGet, "/explain/"+id, nil, &e)
}

// Configuration returns the text in force at the instance.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var conf Configuration
	return conf, c.call(ctx, http.MethodGet, "/configuration", nil, &conf)
}

// Publish publishes a text. It returns a *Refusal if the text is invalid, lost a
// race or the log service is unavailable.
func (c *Client) Publish(ctx context.Context, p Proposal) (Published, error) {
	var published Published
	return published, c.call(ctx, http.MethodPost, "/configuration", p, &published)
}

func (c *Client) call(ctx context.Context, method, path string, question, answer any) error {
	var body io.Reader
	if question != nil {
		data, err := json.Marshal(question)
		if err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, body)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Secret)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return fmt.Errorf("operator: unreadable answer to %s: %w", path, err)
	}
	return nil
}

func readRefusal(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	refusal := &Refusal{Status: resp.StatusCode}
	if json.Unmarshal(data, refusal) != nil || refusal.Message == "" {
		refusal.Message = fmt.Sprintf("status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	}
	return refusal
}
