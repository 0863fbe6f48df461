// Package operator implements a client of the HTTP API for operators that every instance
// serves on its operators' address, and the types of its requests and responses.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// Status is the state of an instance, and its view of the rest of the fleet.
type Status struct {
	Name          string   `json:"name"`
	Domain        string   `json:"domain"`
	Incarnation   uint32   `json:"incarnation"`
	Version       int64    `json:"version"`
	Stopping      bool     `json:"stopping"`
	Leader        string   `json:"leader"`
	Waiting       int      `json:"waiting"`
	Running       int      `json:"running"`
	HeldSlots     int      `json:"held"`
	HomeEndpoints []string `json:"homed"`
	// UnsettledEndpoints counts the endpoints in HomeEndpoints whose slots the
	// instance does not grant yet.
	UnsettledEndpoints int               `json:"unsettled"`
	Members            []Member          `json:"members"`
	Endpoints          []Endpoint        `json:"endpoints"`
	CustomerAccounts   []Account         `json:"accounts"`
	WaitsFor           map[string]string `json:"waits,omitempty"`
	// Evacuated lists the failure domains whose endpoints get no new requests.
	Evacuated []string `json:"evacuated,omitempty"`
	// SentBytes is the number of bytes that the instance has sent to its peers
	// since its start, and UptimeSeconds the time since its start.
	SentBytes     int64   `json:"sent"`
	UptimeSeconds float64 `json:"uptime"`
}

// Member is another entry instance, as the reporting instance sees it.
type Member struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	State   string `json:"state"`
	Leaving bool   `json:"leaving"`
	Version int64  `json:"version"`
}

// Endpoint is an endpoint as the reporting instance sees it. ClosedReason is the reason
// why the endpoint gets no new requests; empty means that it gets them.
type Endpoint struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Region is empty if the failure domain is in none.
	Region string `json:"region,omitempty"`
	Slots  int    `json:"slots"`
	Ready  bool   `json:"ready"`
	// Cold is set if the endpoint is cold after its start, or may be, so that its home grants
	// each request a start.
	Cold bool `json:"cold,omitempty"`
	// Evacuated is set if operators have emptied the failure domain.
	Evacuated    bool   `json:"evacuated,omitempty"`
	ClosedReason string `json:"closed,omitempty"`
}

// Account is the fair-queueing state of a customer at a service. Lag is how much more
// weighted service the customer has received than the customer with the least among those
// with waiting requests, in units of the service's cost.
type Account struct {
	Service  string  `json:"service"`
	Customer string  `json:"customer"`
	Lag      float64 `json:"lag"`
	Waiting  int     `json:"waiting"`
	Running  int     `json:"running"`
}

// Configuration is the configuration in force and its version.
type Configuration struct {
	Version int64              `json:"version"`
	Text    arrangement.Config `json:"text"`
}

// Proposal is a configuration text to publish. BaseVersion is the version that the text
// was edited from.
type Proposal struct {
	Actor       string `json:"actor"`
	BaseVersion int64  `json:"edits"`
	Text        string `json:"text"`
}

// PublishResult contains the version that a published text became, and for each instance
// whether that version is in force.
type PublishResult struct {
	Version   int64            `json:"version"`
	Instances []InstanceResult `json:"instances"`
}

// InstanceResult reports whether a published version is in force at an instance. Millis is
// the time from the call until the instance's report, in milliseconds.
type InstanceResult struct {
	Instance string `json:"instance"`
	InForce  bool   `json:"inforce"`
	Millis   int64  `json:"millis"`
}

// Explanation is the trace of a request through the fleet.
type Explanation struct {
	Request string `json:"request"`
	Steps   []Step `json:"steps"`
	// Note describes what the log service has on the request if no instance
	// knows it.
	Note string `json:"note,omitempty"`
}

// Step is one event in the trace of a request.
type Step struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Step     string    `json:"step"`
	Detail   string    `json:"detail,omitempty"`
}

// AuditEntry is one entry of the audit log of an instance.
type AuditEntry struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Type     string    `json:"what"`
	Subject  string    `json:"subject"`
	Change   string    `json:"change"`
	Cause    string    `json:"cause,omitempty"`
	Actor    string    `json:"actor"`
}

// Refusal is the error of a call to which the instance responded with a status other than
// 200. Faults lists the errors in the published text, if any.
type Refusal struct {
	Status  int                 `json:"-"`
	Message string              `json:"message"`
	Faults  []arrangement.Fault `json:"faults,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// Client calls the operators' API of one instance. It is safe for concurrent use.
// Exported fields must be set before the first call.
type Client struct {
	// Address is host:port.
	Address string
	Secret  string
	// HTTP is the client that sends the requests; nil means
	// http.DefaultClient.
	HTTP *http.Client
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.call(ctx, http.MethodGet, "/status", nil, &s)
}

// Audit returns the newest entries of the instance's audit log.
func (c *Client) Audit(ctx context.Context) ([]AuditEntry, error) {
	var entries []AuditEntry
	return entries, c.call(ctx, http.MethodGet, "/audit", nil, &entries)
}

// Explain returns the trace of the request with the given ID.
func (c *Client) Explain(ctx context.Context, id string) (Explanation, error) {
	var e Explanation
	return e, c.call(ctx, http.MethodGet, "/explain/"+id, nil, &e)
}

// Configuration returns the configuration in force at the instance.
func (c *Client) Configuration(ctx context.Context) (Configuration, error) {
	var conf Configuration
	return conf, c.call(ctx, http.MethodGet, "/configuration", nil, &conf)
}

// Publish publishes a configuration text. It returns a *Refusal if the text is invalid, if
// another version was published concurrently or if the log service is unavailable.
func (c *Client) Publish(ctx context.Context, p Proposal) (PublishResult, error) {
	var result PublishResult
	return result, c.call(ctx, http.MethodPost, "/configuration", p, &result)
}

// Evacuate publishes the configuration in force with a failure domain emptied or, if emptied is not
// set, taken back. It returns a *Refusal if another version was published meanwhile. A domain that
// is as it should be is published again.
func (c *Client) Evacuate(ctx context.Context, actor, domain string, emptied bool) (PublishResult, error) {
	conf, err := c.Configuration(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	conf.Text.Evacuated = slices.DeleteFunc(conf.Text.Evacuated, func(d string) bool { return d == domain })
	if emptied {
		conf.Text.Evacuated = append(conf.Text.Evacuated, domain)
	}
	text, err := yaml.Marshal(conf.Text)
	if err != nil {
		return PublishResult{}, fmt.Errorf("operator: configuration cannot be encoded: %w", err)
	}
	return c.Publish(ctx, Proposal{Actor: actor, BaseVersion: conf.Version, Text: string(text)})
}

func (c *Client) call(ctx context.Context, method, path string, requestBody, responseBody any) error {
	var body io.Reader
	if requestBody != nil {
		data, err := json.Marshal(requestBody)
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
		return decodeRefusal(resp)
	}
	if err := json.NewDecoder(resp.Body).Decode(responseBody); err != nil {
		return fmt.Errorf("operator: cannot decode the response to %s: %w", path, err)
	}
	return nil
}

func decodeRefusal(resp *http.Response) error {
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
