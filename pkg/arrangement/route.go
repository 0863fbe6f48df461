package arrangement

import (
	"slices"
	"strings"
	"time"
)

// Repeat is the rule for running the requests of a route more than once.
type Repeat string

// The rules for repeating requests.
const (
	// RepeatAny requests may run more than once.
	RepeatAny Repeat = "any"
	// RepeatNever requests run once at most. It is the default.
	RepeatNever Repeat = "never"
	// RepeatResume requests may run again; the stream then continues after the
	// last event that the caller received.
	RepeatResume Repeat = "resume"
)

// Route maps requests to services. In a configuration without routes, requests under a
// service's own path go to that service.
type Route struct {
	// Name is unique among the routes.
	Name string `yaml:"name" json:"name"`
	// Host is the value of the Host header to match; empty means any.
	Host string `yaml:"host,omitempty" json:"host,omitempty"`
	// Path is the prefix of the request paths to match; it begins and ends
	// with "/".
	Path string `yaml:"path" json:"path"`
	// Targets lists the services among which the requests are split.
	Targets []Target `yaml:"to" json:"to"`
	// Repeat is RepeatNever if empty.
	Repeat Repeat `yaml:"repeat,omitempty" json:"repeat,omitempty"`
	// Stream is set when responses are event streams.
	Stream bool `yaml:"stream,omitempty" json:"stream,omitempty"`
	// TimeoutMillis is the time limit for the final response, in milliseconds.
	// The default (zero) value means no limit.
	TimeoutMillis int `yaml:"timeout,omitempty" json:"timeout,omitempty"`
	// TargetLatencyMillis is the time within which a response, or the first
	// event of a stream, has its full value to the caller, in milliseconds.
	// Zero means that no target is set.
	TargetLatencyMillis int `yaml:"aim,omitempty" json:"aim,omitempty"`
	// MaxEventGapMillis is the longest time between two events of a stream that
	// counts as on time, in milliseconds. Zero means that none is set.
	MaxEventGapMillis int `yaml:"pause,omitempty" json:"pause,omitempty"`
	// Attempts is the maximum number of endpoints that may run one request of a
	// caller. The default (zero) value is 1.
	Attempts int `yaml:"attempts,omitempty" json:"attempts,omitempty"`
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank int `yaml:"rank,omitempty" json:"rank,omitempty"`
	// Public is set when requests need no API key of a customer.
	Public bool `yaml:"public,omitempty" json:"public,omitempty"`
	// HasPromptParts is set when requests list the parts of their prompts.
	HasPromptParts bool `yaml:"prompts,omitempty" json:"prompts,omitempty"`
	// Regions lists the regions whose endpoints may run the requests; empty means all.
	// Those of the customer bind as well.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
}

// Target is one of the services that a route splits its requests among.
type Target struct {
	Service string `yaml:"service" json:"service"`
	// Weight is the service's share of the requests relative to the other
	// targets. The default (zero) value is 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
}

func (r *Route) applyDefaults() {
	if r.Repeat == "" {
		r.Repeat = RepeatNever
	}
	if r.Attempts == 0 {
		r.Attempts = 1
	}
	r.Targets = slices.Clone(r.Targets)
	for i := range r.Targets {
		if r.Targets[i].Weight == 0 {
			r.Targets[i].Weight = 1
		}
	}
}

// TimeoutDuration returns the time limit for the final response; zero means no limit.
func (r Route) TimeoutDuration() time.Duration {
	return time.Duration(r.TimeoutMillis) * time.Millisecond
}

// TargetLatency returns the time within which a response, or the first event of a
// stream, has its full value to the caller; zero means that no target is set.
func (r Route) TargetLatency() time.Duration {
	return time.Duration(r.TargetLatencyMillis) * time.Millisecond
}

// Routes finds the route of a request. It is immutable and safe for concurrent use.
type Routes struct {
	hosts map[string][]Route // by host, longest path first
}

// NewRoutes returns the lookup table for a list of routes.
func NewRoutes(list []Route) *Routes {
	r := &Routes{hosts: map[string][]Route{}}
	for _, route := range list {
		r.hosts[route.Host] = append(r.hosts[route.Host], route)
	}
	for _, routes := range r.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Path) - len(a.Path) })
	}
	return r
}

// Find returns the route with the longest prefix of path among the routes of host. If
// none of them matches, it searches the routes that match any host. It reports whether
// it found a route.
func (r *Routes) Find(host, path string) (Route, bool) {
	for _, h := range []string{host, ""} {
		for _, route := range r.hosts[h] {
			if strings.HasPrefix(path, route.Path) {
				return route, true
			}
		}
		if h == "" {
			break
		}
	}
	return Route{}, false
}
