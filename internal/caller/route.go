package caller

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// routeTable determines the service, customer and kind of a request. It is rebuilt for
// each configuration.
type routeTable struct {
	services          []arrangement.Service // longest path first
	customers         map[string]string     // by API key
	kinds             map[string]bool
	idempotentMethods map[string]map[string]bool // by service
}

func newRouteTable(config arrangement.Config) *routeTable {
	r := &routeTable{
		services:          slices.Clone(config.Services),
		customers:         map[string]string{},
		kinds:             map[string]bool{},
		idempotentMethods: map[string]map[string]bool{},
	}
	slices.SortStableFunc(r.services, func(a, b arrangement.Service) int { return len(b.Path) - len(a.Path) })
	for _, s := range config.Services {
		r.idempotentMethods[s.Name] = map[string]bool{}
		for _, m := range s.IdempotentMethods {
			r.idempotentMethods[s.Name][m] = true
		}
	}
	for _, c := range config.Customers {
		for _, key := range c.Keys {
			r.customers[key] = c.Name
		}
	}
	for _, k := range config.Kinds {
		r.kinds[k.Name] = true
	}
	return r
}

// service returns the service of a request and the path that is sent to its
// endpoints.
func (r *routeTable) service(req *http.Request) (arrangement.Service, string, bool) {
	host, _, err := net.SplitHostPort(req.Host)
	if err != nil {
		host = req.Host
	}
	for _, s := range r.services {
		if s.Host != "" && s.Host != host {
			continue
		}
		if rest, ok := trimPathPrefix(req.URL.Path, s.Path); ok {
			return s, rest, true
		}
	}
	return arrangement.Service{}, "", false
}

// trimPathPrefix returns a path without a prefix that consists of whole path
// segments, and false if the path does not begin with it.
func trimPathPrefix(path, prefix string) (string, bool) {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	if !ok {
		return "", false
	}
	if rest == "" {
		return "/", true
	}
	return rest, rest[0] == '/'
}

// customer returns the customer whose key the caller sends as a bearer token.
func (r *routeTable) customer(req *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	name, ok := r.customers[key]
	return name, ok
}

// kind returns the kind of a request. Without a header, it is the unnamed kind.
func (r *routeTable) kind(name string) (string, bool) {
	if name == "" {
		return "", true
	}
	return name, r.kinds[name]
}

func (r *routeTable) isIdempotent(s arrangement.Service, method string) bool {
	return r.idempotentMethods[s.Name][method]
}
