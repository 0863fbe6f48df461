package arrangement

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// checker collects the faults of a configuration.
type checker struct {
	config    Config
	positions positionFinder
	faults    Faults
}

func check(config Config, positions positionFinder) Faults {
	c := &checker{config: config, positions: positions}
	c.services()
	c.cycles()
	c.customers()
	c.kinds()
	c.models()
	c.routes()
	c.limits()
	c.domains()
	c.evacuated()
	slices.SortStableFunc(c.faults, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return c.faults
}

func (c *checker) report(path, format string, args ...any) {
	c.faults = append(c.faults, c.positions.newFault(path, format, args...))
}

// checkName checks that a name is well-formed and not in seen, and adds it to seen. path
// is the YAML path of the name.
func (c *checker) checkName(path, section, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		c.report(path, "%s name %q must be 1 to 63 of a-z, 0-9, '.', '_' and '-'", section, name)
	}
	if seen[name] {
		c.report(path, "%s %q is listed twice", section, name)
	}
	seen[name] = true
}

func (c *checker) services() {
	names := map[string]bool{}
	paths := map[string]string{}
	for i, s := range c.config.Services {
		at := fmt.Sprintf("$.services[%d]", i)
		c.checkName(at+".name", "service", s.Name, names)
		c.service(at, s)
		route := s.Host + s.Path
		if route == "" {
			route = "/" + s.Name
		}
		if other, ok := paths[route]; ok && other != s.Name {
			c.report(at, "services %q and %q have the same route %q", other, s.Name, route)
		}
		paths[route] = s.Name
	}
	for i, s := range c.config.Services {
		for j, need := range s.Needs {
			if !names[need] {
				c.report(fmt.Sprintf("$.services[%d].needs[%d]", i, j), "service %q needs %q, which does not exist", s.Name, need)
			}
		}
	}
}

func (c *checker) service(at string, s Service) {
	if s.Path != "" && !strings.HasPrefix(s.Path, "/") {
		c.report(at+".path", "path %q of service %q must begin with /", s.Path, s.Name)
	}
	if s.Unit != "" && s.Unit != fleet.UnitTokens && s.Unit != fleet.UnitTime {
		c.report(at+".unit", "unit %q of service %q must be %q or %q", s.Unit, s.Name, fleet.UnitTokens, fleet.UnitTime)
	}
	if s.Slots < 0 {
		c.report(at+".slots", "slots of service %q must not be negative", s.Name)
	}
	if s.Rate < 0 {
		c.report(at+".rate", "rate of service %q must not be negative", s.Name)
	}
	if s.StartupRate < 0 {
		c.report(at+".starts", "starts of service %q must not be negative", s.Name)
	}
	if s.StartupSeconds < 0 || s.StartupSeconds > maxStartupSeconds {
		c.report(at+".startup", "startup of service %q must be 0 to %d seconds", s.Name, maxStartupSeconds)
	}
	if s.StartupRate > 0 && s.StartupSeconds == 0 {
		c.report(at+".starts", "service %q limits starts, but states no startup time", s.Name)
	}
	if s.MaxBodyBytes < 0 {
		c.report(at+".body", "body of service %q must not be negative", s.Name)
	}
	if s.Model == "" {
		return
	}
	if _, ok := c.config.Model(s.Model); !ok {
		c.report(at+".model", "service %q names model %q, which does not exist", s.Name, s.Model)
	}
}

// cycles reports each service that depends on itself, directly or through others.
func (c *checker) cycles() {
	const (
		visiting = 1
		done     = 2
	)
	index := map[string]int{}
	for i, s := range c.config.Services {
		if _, duplicate := index[s.Name]; !duplicate {
			index[s.Name] = i
		}
	}
	state := map[string]int{}
	var visit func(name string, chain []string)
	visit = func(name string, chain []string) {
		i, ok := index[name]
		if !ok || state[name] == done {
			return
		}
		chain = append(chain, name)
		if state[name] == visiting {
			c.report(fmt.Sprintf("$.services[%d].needs", i), "services need each other in a cycle: %s", strings.Join(chain, " -> "))
			return
		}
		state[name] = visiting
		for _, need := range c.config.Services[i].Needs {
			visit(need, chain)
		}
		state[name] = done
	}
	for _, s := range c.config.Services {
		visit(s.Name, nil)
	}
}

func (c *checker) customers() {
	names := map[string]bool{}
	keys := map[string]string{}
	for i, customer := range c.config.Customers {
		at := fmt.Sprintf("$.customers[%d]", i)
		c.checkName(at+".name", "customer", customer.Name, names)
		if customer.Weight < 0 {
			c.report(at+".weight", "weight %v of customer %q must not be negative", customer.Weight, customer.Name)
		}
		if len(customer.Keys) == 0 {
			c.report(at, "customer %q has no keys", customer.Name)
		}
		c.regions(at, "customer", customer.Name, customer.Regions)
		for j, key := range customer.Keys {
			keyAt := fmt.Sprintf("%s.keys[%d]", at, j)
			if key == "" {
				c.report(keyAt, "customer %q has an empty key", customer.Name)
			}
			if other, ok := keys[key]; ok {
				c.report(keyAt, "customers %q and %q have the same key", other, customer.Name)
			}
			keys[key] = customer.Name
		}
	}
}

// regions checks the names of the regions of a customer or route at a YAML path.
func (c *checker) regions(at, section, name string, regions []string) {
	for i, region := range regions {
		if region == "" {
			c.report(fmt.Sprintf("%s.regions[%d]", at, i), "%s %q has an empty region", section, name)
		}
		if slices.Contains(regions[:i], region) {
			c.report(fmt.Sprintf("%s.regions[%d]", at, i), "%s %q lists region %q twice", section, name, region)
		}
		inRegion := func(d Domain) bool { return d.Region == region }
		if region != "" && len(c.config.Domains) > 0 && !slices.ContainsFunc(c.config.Domains, inRegion) {
			c.report(fmt.Sprintf("%s.regions[%d]", at, i), "%s %q names region %q, which no failure domain is in", section, name, region)
		}
	}
}

func (c *checker) domains() {
	names := map[string]bool{}
	for i, d := range c.config.Domains {
		at := fmt.Sprintf("$.domains[%d]", i)
		switch {
		case d.Name == "":
			c.report(at, "a failure domain has no name")
		case names[d.Name]:
			c.report(at+".name", "failure domain %q is listed twice", d.Name)
		}
		if d.Region == "" {
			c.report(at, "failure domain %q states no region", d.Name)
		}
		names[d.Name] = true
	}
}

func (c *checker) evacuated() {
	for i, domain := range c.config.Evacuated {
		at := fmt.Sprintf("$.evacuated[%d]", i)
		if domain == "" {
			c.report(at, "an evacuated failure domain has no name")
		}
		if slices.Contains(c.config.Evacuated[:i], domain) {
			c.report(at, "failure domain %q is listed as evacuated twice", domain)
		}
	}
}

func (c *checker) kinds() {
	names := map[string]bool{}
	for i, k := range c.config.Kinds {
		at := fmt.Sprintf("$.kinds[%d]", i)
		c.checkName(at+".name", "kind", k.Name, names)
		if k.Urgency < 0 || k.Urgency > maxUrgency {
			c.report(at+".urgency", "urgency %d of kind %q must be 0 to %d", k.Urgency, k.Name, maxUrgency)
		}
		if k.MaxWaiting < 0 {
			c.report(at+".limit", "limit of kind %q must not be negative", k.Name)
		}
	}
}

func (c *checker) models() {
	names := map[string]bool{}
	for i, m := range c.config.Models {
		at := fmt.Sprintf("$.models[%d]", i)
		c.checkName(at+".name", "model", m.Name, names)
		if m.Version == "" {
			c.report(at, "model %q has no version", m.Name)
		}
	}
}

func (c *checker) routes() {
	services := map[string]bool{}
	for _, s := range c.config.Services {
		services[s.Name] = true
	}
	names := map[string]bool{}
	prefixes := map[string]string{}
	for i, r := range c.config.Routes {
		at := fmt.Sprintf("$.routes[%d]", i)
		c.checkName(at+".name", "route", r.Name, names)
		prefix := r.Host + r.Path
		if other, ok := prefixes[prefix]; ok {
			c.report(at, "routes %q and %q have the same host and path %q", other, r.Name, prefix)
		}
		prefixes[prefix] = r.Name
		c.route(at, r)
		c.regions(at, "route", r.Name, r.Regions)
		c.targets(at, r, services)
	}
}

func (c *checker) route(at string, r Route) {
	if !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/") {
		c.report(at, "path %q of route %q must begin and end with /", r.Path, r.Name)
	}
	switch r.Repeat {
	case "", RepeatAny, RepeatNever:
	case RepeatResume:
		if !r.Stream {
			c.report(at+".repeat", "route %q resumes, but its answers are no streams", r.Name)
		}
	default:
		c.report(at+".repeat", "repeat %q of route %q must be %q, %q or %q", r.Repeat, r.Name, RepeatAny, RepeatNever, RepeatResume)
	}
	for _, v := range []struct {
		name  string
		value int
	}{{"timeout", r.TimeoutMillis}, {"aim", r.TargetLatencyMillis}, {"pause", r.MaxEventGapMillis}, {"attempts", r.Attempts}, {"rank", r.Rank}} {
		if v.value < 0 {
			c.report(at+"."+v.name, "%s of route %q must not be negative", v.name, r.Name)
		}
	}
	if r.TimeoutMillis > 0 && r.TargetLatencyMillis > r.TimeoutMillis {
		c.report(at+".aim", "aim of route %q is over its timeout of %d ms", r.Name, r.TimeoutMillis)
	}
}

func (c *checker) targets(at string, r Route, services map[string]bool) {
	if len(r.Targets) == 0 {
		c.report(at, "route %q leads to no service", r.Name)
	}
	for j, t := range r.Targets {
		targetPath := fmt.Sprintf("%s.to[%d]", at, j)
		if !services[t.Service] {
			c.report(targetPath+".service", "route %q leads to service %q, which does not exist", r.Name, t.Service)
		}
		if t.Weight < 0 {
			c.report(targetPath+".weight", "weight %v of route %q must not be negative", t.Weight, r.Name)
		}
	}
}

func (c *checker) limits() {
	l := c.config.Limits
	if l.MaxBodyBytes < 0 || l.IdleTimeoutMillis < 0 || l.Rate < 0 {
		c.report("$.limits", "limits must not be negative")
	}
}
