package gateway

import (
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

const (
	// defaultMaxBodyBytes is the size limit of a request body if the configuration
	// sets none.
	defaultMaxBodyBytes = 8 << 20
	// defaultIdleTimeout is how long a caller's connection may stay idle if the
	// configuration sets no limit.
	defaultIdleTimeout = time.Minute
)

// activeConfig is the applied configuration, indexed for lookups. It is immutable once
// stored.
type activeConfig struct {
	version         int64
	routes          *arrangement.Routes
	customers       map[string]string   // customer names by API key
	regions         map[string][]string // regions of customers that have some, by customer name
	noAuth          bool                // no customers are configured: requests need no key
	limits          arrangement.Limits
	targetLatencies map[string]time.Duration // shortest target latency of the routes to each service
	tokensPerEvent  map[string]int           // tokens in one stream event, by service
}

// eventCount returns the approximate number of stream events that carry the given
// number of tokens of a service.
func (cfg *activeConfig) eventCount(service string, tokens int) float64 {
	return float64(tokens) / float64(max(cfg.tokensPerEvent[service], 1))
}

// allowedRegions returns the regions whose endpoints may get a customer's request on a route, as
// in placement.Request. Those of the route and of the customer both bind.
func (cfg *activeConfig) allowedRegions(route arrangement.Route, customer string) []string {
	ofCustomer := cfg.regions[customer]
	switch {
	case len(route.Regions) == 0:
		return ofCustomer
	case len(ofCustomer) == 0:
		return route.Regions
	}
	both := []string{}
	for _, r := range route.Regions {
		if slices.Contains(ofCustomer, r) {
			both = append(both, r)
		}
	}
	return both
}

// Use applies a configuration and reports whether it did: a version that is not newer
// than the current one is ignored. It is safe for concurrent use.
func (h *Handler) Use(config arrangement.Config, version int64) bool {
	cfg := &activeConfig{version: version, routes: arrangement.NewRoutes(config.Routes), customers: map[string]string{}, regions: map[string][]string{}, limits: config.Limits}
	for _, c := range config.Customers {
		if len(c.Regions) > 0 {
			cfg.regions[c.Name] = c.Regions
		}
		for _, key := range c.Keys {
			cfg.customers[key] = c.Name
		}
	}
	cfg.noAuth = len(config.Customers) == 0
	cfg.targetLatencies = shortestTargetLatencies(config.Routes)
	cfg.tokensPerEvent = map[string]int{}
	for _, s := range config.Services {
		cfg.tokensPerEvent[s.Name] = s.TokensPerEvent
	}
	if cfg.limits.MaxBodyBytes == 0 {
		cfg.limits.MaxBodyBytes = defaultMaxBodyBytes
	}
	for {
		old := h.config.Load()
		if old != nil && old.version >= version {
			return false
		}
		if h.config.CompareAndSwap(old, cfg) {
			return true
		}
	}
}

// shortestTargetLatencies returns the shortest target latency of the routes to each
// service. Services without one are missing.
func shortestTargetLatencies(routes []arrangement.Route) map[string]time.Duration {
	targets := map[string]time.Duration{}
	for _, r := range routes {
		for _, t := range r.Targets {
			if target := targets[t.Service]; r.TargetLatencyMillis > 0 && (target == 0 || r.TargetLatency() < target) {
				targets[t.Service] = r.TargetLatency()
			}
		}
	}
	return targets
}

// Version returns the version of the current configuration, 0 if there is none.
func (h *Handler) Version() int64 {
	if cfg := h.config.Load(); cfg != nil {
		return cfg.version
	}
	return 0
}

// IdleTimeout returns how long a caller's connection may stay idle.
func (h *Handler) IdleTimeout() time.Duration {
	if cfg := h.config.Load(); cfg != nil && cfg.limits.IdleTimeoutMillis > 0 {
		return time.Duration(cfg.limits.IdleTimeoutMillis) * time.Millisecond
	}
	return defaultIdleTimeout
}

// ShortestTarget returns the shortest target latency of all routes; zero means that none has one.
func (h *Handler) ShortestTarget() time.Duration {
	shortest := time.Duration(0)
	cfg := h.config.Load()
	if cfg == nil {
		return 0
	}
	for _, target := range cfg.targetLatencies {
		if shortest == 0 || target < shortest {
			shortest = target
		}
	}
	return shortest
}
