// Package arrangement defines the configuration format of the fleet: one YAML text that
// lists the services with their dependencies, the customers, the kinds of work, the
// models and the routes. Operators edit and publish it; every instance applies it.
package arrangement

import (
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// Config is the whole configuration of the fleet, as decoded from a text.
type Config struct {
	Services  []Service  `yaml:"services" json:"services"`
	Customers []Customer `yaml:"customers" json:"customers"`
	Kinds     []Kind     `yaml:"kinds" json:"kinds"`
	Models    []Model    `yaml:"models,omitempty" json:"models,omitempty"`
	Routes    []Route    `yaml:"routes,omitempty" json:"routes,omitempty"`
	Limits    Limits     `yaml:"limits,omitempty" json:"limits,omitzero"`
	// Domains says in which region each failure domain is; one that is not listed is in none.
	// The instances of `greengagestep serve` have that from their settings instead.
	Domains []Domain `yaml:"domains,omitempty" json:"domains,omitempty"`
	// Evacuated lists the failure domains whose endpoints get no new requests.
	Evacuated []string `yaml:"evacuated,omitempty" json:"evacuated,omitempty"`
}

// Domain is a failure domain and its region.
type Domain struct {
	// Name is unique among the domains.
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
}

// Limits holds limits on what callers may send, and the total rate of the endpoints.
type Limits struct {
	// MaxBodyBytes is the size limit of a request body. The default (zero) value
	// is 8 MiB.
	MaxBodyBytes int64 `yaml:"body,omitempty" json:"body,omitempty"`
	// IdleTimeoutMillis is how long a caller's connection may stay idle, in
	// milliseconds. The default (zero) value is 60,000.
	IdleTimeoutMillis int `yaml:"idle,omitempty" json:"idle,omitempty"`
	// Rate is the approximate throughput of all endpoints together, in tokens
	// per second, where each prompt token counts once and each generated token
	// twice. The default (zero) value means that it is unknown.
	Rate float64 `yaml:"rate,omitempty" json:"rate,omitempty"`
}

// Service is a function that endpoints provide and callers request.
type Service struct {
	// Name is unique among the services.
	Name string `yaml:"name" json:"name"`
	// Path is the prefix of the request paths that belong to the service. The
	// default (zero) value is "/" followed by the name, or no path if Host is
	// set.
	Path string `yaml:"path,omitempty" json:"path,omitempty"`
	// Host is the value of the Host header to route by; empty means that
	// requests are routed by path only.
	Host string `yaml:"host,omitempty" json:"host,omitempty"`
	// Needs lists the names of the services that this one depends on: they must
	// be ready before it.
	Needs []string `yaml:"needs,omitempty" json:"needs,omitempty"`
	// Unit is the unit of cost. The default (zero) value is tokens.
	Unit fleet.Unit `yaml:"unit,omitempty" json:"unit,omitempty"`
	// Slots is how many requests an endpoint runs concurrently, until the
	// endpoint reports its own number. The default (zero) value is 1.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty"`
	// Rate is the usual throughput of a slot, in units per second. The default
	// (zero) value is 40 for tokens and 1000 for time.
	Rate float64 `yaml:"rate,omitempty" json:"rate,omitempty"`
	// Fencing is set when the endpoints reject orders with an outdated fencing
	// number.
	Fencing bool `yaml:"fencing,omitempty" json:"fencing,omitempty"`
	// Resume is set when the endpoints can resume an interrupted stream.
	Resume bool `yaml:"resume,omitempty" json:"resume,omitempty"`
	// IdempotentMethods lists the HTTP methods whose requests may be repeated.
	// The default (nil) value is GET, HEAD, OPTIONS, PUT and DELETE.
	IdempotentMethods []string `yaml:"repeat,omitempty" json:"repeat,omitempty"`
	// Model is the name of the model that the endpoints must have loaded; empty
	// means a service without a model.
	Model string `yaml:"model,omitempty" json:"model,omitempty"`
	// MaxBodyBytes is the size limit of a request body. The default (zero) value
	// is 8 MiB.
	MaxBodyBytes int64 `yaml:"body,omitempty" json:"body,omitempty"`
	// MaxConns is how many connections an endpoint accepts from all instances
	// together. The default (zero) value means no limit.
	MaxConns int `yaml:"conns,omitempty" json:"conns,omitempty"`
	// HealthPath is the URL path of the endpoints' health check; empty means
	// that there is none.
	HealthPath string `yaml:"health,omitempty" json:"health,omitempty"`
	// MemoryTokens is the memory of an endpoint, in tokens, for running requests
	// and cached prompts together. The default (zero) value means a service
	// without a model.
	MemoryTokens int `yaml:"memory,omitempty" json:"memory,omitempty"`
	// StartupRate is how many requests per second an endpoint gets from all instances
	// together while it is cold after its start. The default (zero) value means that its
	// start makes no difference.
	StartupRate float64 `yaml:"starts,omitempty" json:"starts,omitempty"`
	// StartupSeconds is how long an endpoint is cold after its start, in seconds. It must be
	// set if StartupRate is.
	StartupSeconds float64 `yaml:"startup,omitempty" json:"startup,omitempty"`
	// TokensPerEvent is how many tokens one event of a stream contains. The
	// default (zero) value is 1.
	TokensPerEvent int `yaml:"stride,omitempty" json:"stride,omitempty"`
}

// StartupTime returns how long an endpoint of the service is cold after its start.
func (s Service) StartupTime() time.Duration {
	return time.Duration(s.StartupSeconds * float64(time.Second))
}

// Customer is one of the parties that share the capacity of the endpoints.
type Customer struct {
	Name string `yaml:"name" json:"name"`
	// Weight is the customer's share of the capacity relative to the other
	// customers. The default (zero) value is 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty"`
	// Keys lists the API keys that identify the customer's callers.
	Keys []string `yaml:"keys" json:"keys"`
	// Regions lists the regions whose endpoints may run the customer's requests; empty
	// means all. Those of the route bind as well.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
}

// Kind is a kind of work. Within a customer, all kinds have equal shares.
type Kind struct {
	Name string `yaml:"name" json:"name"`
	// Urgency, from 0 to 9, gives the kind a limited priority over other kinds.
	Urgency int `yaml:"urgency,omitempty" json:"urgency,omitempty"`
	// MaxWaiting is how many requests of the kind a customer may have queued at
	// one instance. The default (zero) value is 1000.
	MaxWaiting int `yaml:"limit,omitempty" json:"limit,omitempty"`
}

// Model describes a model and the adapters that endpoints must have loaded.
type Model struct {
	Name     string   `yaml:"name" json:"name"`
	Version  string   `yaml:"version" json:"version"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	// Role is the role of the endpoints that run the model, such as prefill or
	// decode; empty means any.
	Role string `yaml:"role,omitempty" json:"role,omitempty"`
}

// Defaults and bounds of configuration values.
const (
	defaultSlots        = 1
	defaultTokenRate    = 40   // tokens per second
	defaultTimeRate     = 1000 // milliseconds per second
	defaultMaxBodyBytes = 8 << 20
	defaultMaxWaiting   = 1000
	maxUrgency          = 9
	maxStartupSeconds   = 3600
)

var defaultIdempotentMethods = []string{"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}

// WithDefaults returns a copy in which unset values are replaced by their defaults.
func (c Config) WithDefaults() Config {
	c.Services = slices.Clone(c.Services)
	for i := range c.Services {
		c.Services[i].applyDefaults()
	}
	c.Customers = slices.Clone(c.Customers)
	for i := range c.Customers {
		if c.Customers[i].Weight == 0 {
			c.Customers[i].Weight = 1
		}
	}
	c.Kinds = slices.Clone(c.Kinds)
	for i := range c.Kinds {
		if c.Kinds[i].MaxWaiting == 0 {
			c.Kinds[i].MaxWaiting = defaultMaxWaiting
		}
	}
	c.Routes = slices.Clone(c.Routes)
	for i := range c.Routes {
		c.Routes[i].applyDefaults()
	}
	return c
}

func (s *Service) applyDefaults() {
	if s.Path == "" && s.Host == "" {
		s.Path = "/" + s.Name
	}
	if s.Unit == "" {
		s.Unit = fleet.UnitTokens
	}
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Rate == 0 && s.Unit == fleet.UnitTime {
		s.Rate = defaultTimeRate
	}
	if s.Rate == 0 {
		s.Rate = defaultTokenRate
	}
	if s.IdempotentMethods == nil {
		s.IdempotentMethods = defaultIdempotentMethods
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBodyBytes
	}
}

// Service returns the service with the given name, and whether it exists.
func (c Config) Service(name string) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// Region returns the region of a failure domain; empty means that it is in none.
func (c Config) Region(domain string) string {
	for _, d := range c.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

// Model returns the model with the given name, and whether it exists.
func (c Config) Model(name string) (Model, bool) {
	i := slices.IndexFunc(c.Models, func(m Model) bool { return m.Name == name })
	if i < 0 {
		return Model{}, false
	}
	return c.Models[i], true
}
