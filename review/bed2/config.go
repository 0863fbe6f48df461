package bed2

import "strings"

// Route is a route of the configuration.
type Route struct {
	Name, Path, Type, Service string
	TimeoutMS, TargetMS       int
	Attempts                  int
	Sticky, Resumable         bool
}

// Service is a service of the configuration; Slots is set for model servers.
type Service struct {
	Name  string
	Conns int
	Slots int
}

// Host is the host of all routes.
const Host = "ficu95.example"

// Config is a configuration with one tenant.
type Config struct {
	Version  int
	Routes   []Route
	Services []Service
	Tenant   string
	Keys     []string
}

// String returns the configuration as it is stored.
func (c Config) String() string {
	var routes, services []string
	for _, r := range c.Routes {
		routes = append(routes, Fill(Wire.Route, map[string]any{
			"name": r.Name, "host": Host, "path": r.Path, "type": r.Type, "timeout": r.TimeoutMS, "target": r.TargetMS,
			"service": r.Service, "attempts": max(r.Attempts, 1), "sticky": r.Sticky, "resumable": r.Resumable,
		}))
	}
	for _, s := range c.Services {
		engine := ""
		if s.Slots > 0 {
			engine = Fill(Wire.Engine, map[string]any{"slots": s.Slots})
		}
		services = append(services, Fill(Wire.Service, map[string]any{"name": s.Name, "conns": s.Conns, "engine": engine}))
	}
	return Fill(Wire.Config, map[string]any{
		"version": c.Version, "routes": strings.Join(routes, ","), "services": strings.Join(services, ","),
		"tenant": c.Tenant, "keys": `"` + strings.Join(c.Keys, `","`) + `"`,
	})
}
