package caller

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// routes finds the parties of a request. It is built anew for each configuration.
type routes struct {
	services  []arrangement.Service // longest path first
	customers map[string]string     // by key
	kinds     map[string]bool
	methods   map[string]map[string]bool // idempotent methods by service
}

func newRoutes(text arrangement.Config) *routes {
	r := &routes{
		services:  slices.Clone(text.Services),
		customers: map[string]string{},
		kinds:     map[string]bool{},
		methods:   map[string]map[string]bool{},
	}
	slices.SortStableFunc(r.services, func(a, b arrangement.Service) int { return len(b.Path) - len(a.Path) })
	for _, s := range text.Services {
		r.methods[s.Name] = map[string]bool{}
		for _, m := range s.IdempotentMethods {
			r.methods[s.Name][m] = true
		}
	}
	for _, c := range text.Customers {
		for _, key := range c.Keys {
			r.customers[key] = c.Name
		}
	}
	for _, k := range text.Kinds {
		r.kinds[k.Name] = true
	}
	return r
}

// service returns the service of a request and the path that its endpoints see.
func (r *routes) service(req *http.Request) (arrangement.Service, string, bool) {
	host, _, err := net.SplitHostPort(req.Host)
	if err != nil {
		host = req.Host
	}
	for _, s := range r.services {
		if s.Host != "" && s.Host != host {
			continue
		}
		if rest, ok := below(req.URL.Path, s.Path); ok {
			return s, rest, true
		}
	}
	return arrangement.Service{}, "", false
}

// below returns the part of a path under a prefix that ends at a slash.
func below(path, prefix string) (string, bool) {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	if !ok {
		return "", false
	}
	if rest == "" {
		return "/", true
	}
	return rest, rest[0] == '/'
}

// customer returns the customer whose key the caller shows as a bearer token.
func (r *routes) customer(req *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	name, ok := r.customers[key]
	return name, ok
}

// kind returns the kind of a request. No header means the kind without a name.
func (r *routes) kind(name string) (string, bool) {
	if name == "" {
		return "", true
	}
	return name, r.kinds[name]
}

func (r *routes) repeats(s arrangement.Service, method string) bool {
	return r.methods[s.Name][method]
}
