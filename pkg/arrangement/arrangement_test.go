package arrangement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

const minimalText = `services:
  - name: portal
customers:
  - name: c0
    keys: [key-0]
`

func TestParseAppliesDefaults(t *testing.T) {
	config, err := arrangement.Parse([]byte(minimalText))
	require.NoError(t, err)
	s, ok := config.Service("portal")
	require.True(t, ok)
	require.Equal(t, "/portal", s.Path)
	require.Equal(t, 40.0, s.Rate)
	require.Equal(t, 1.0, config.Customers[0].Weight)
	require.NoError(t, arrangement.Check(config))
}

func TestFaultsHavePositions(t *testing.T) {
	for _, tc := range []struct {
		name, text, want string
	}{
		{"indentation with a tab", "services:\n\t- name: a\n", "2:1"},
		{"an unknown key", "services:\n  - name: a\n    colour: red\n", "3:5: unknown field \"colour\""},
		{"a string instead of a number", "customers:\n  - name: a\n    keys: [k]\n    weight: heavy\n", "4:13"},
		{"a model that does not exist", "services:\n  - name: a\n    model: ghost\n", `3:12: service "a" names model "ghost", which does not exist`},
		{"a customer without keys", "customers:\n  - name: a\n", `2:5: customer "a" has no keys`},
		{"a service that depends on itself", "services:\n  - name: a\n    needs: [a]\n", "3:12: services need each other in a cycle: a -> a"},
		{"a route to a service that does not exist", "services:\n  - name: a\nroutes:\n  - name: r\n    path: /r/\n    to: [{service: b}]\n", `6:20: route "r" leads to service "b", which does not exist`},
		{"a route's path without a trailing slash", "services:\n  - name: a\nroutes:\n  - name: r\n    path: /r\n    to: [{service: a}]\n", `path "/r" of route "r" must begin and end with /`},
		{"a route that resumes without event streams", "services:\n  - name: a\nroutes:\n  - name: r\n    path: /r/\n    repeat: resume\n    to: [{service: a}]\n", `6:13: route "r" resumes, but its answers are no streams`},
		{"two routes with the same host and path", "services:\n  - name: a\nroutes:\n  - {name: r, path: /r/, to: [{service: a}]}\n  - {name: s, path: /r/, to: [{service: a}]}\n", `routes "r" and "s" have the same host and path "/r/"`},
		{"starts without a startup time", "services:\n  - name: a\n    starts: 12\n", `3:13: service "a" limits starts, but states no startup time`},
		{"negative starts", "services:\n  - name: a\n    starts: -1\n", `3:13: starts of service "a" must not be negative`},
		{"an absurd startup time", "services:\n  - name: a\n    startup: 9000\n", `3:14: startup of service "a" must be 0 to 3600 seconds`},
		{"a region that is listed twice", "services:\n  - name: a\nroutes:\n  - name: r\n    path: /r/\n    regions: [n, n]\n    to: [{service: a}]\n", `6:18: route "r" lists region "n" twice`},
		{"a domain that is evacuated twice", "services:\n  - name: a\nevacuated: [d0, d1, d0]\n", `3:21: failure domain "d0" is listed as evacuated twice`},
		{"an empty region", "customers:\n  - name: a\n    keys: [k]\n    regions: ['']\n", `4:15: customer "a" has an empty region`},
		{"a region without a domain", "customers:\n  - name: a\n    keys: [k]\n    regions: [n, s]\ndomains:\n  - {name: d0, region: n}\n", `4:18: customer "a" names region "s", which no failure domain is in`},
		{"a domain that is listed twice", "domains:\n  - {name: d0, region: n}\n  - {name: d0, region: s}\n", `3:12: failure domain "d0" is listed twice`},
		{"a domain without a region", "domains:\n  - name: d0\n", `2:5: failure domain "d0" states no region`},
		{"a target latency above the timeout", "services:\n  - name: a\nroutes:\n  - name: r\n    path: /r/\n    aim: 500\n    timeout: 100\n    to: [{service: a}]\n", `6:10: aim of route "r" is over its timeout of 100 ms`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := arrangement.Parse([]byte(tc.text))
			require.ErrorContains(t, err, tc.want)
		})
	}
}

// The routes of the request's host take precedence over those of any host; among them,
// the route with the longest matching path prefix is found.
func TestFindPrefersHostAndLongestPrefix(t *testing.T) {
	routes := arrangement.NewRoutes([]arrangement.Route{
		{Name: "any", Path: "/a/"}, {Name: "short", Host: "h", Path: "/a/"}, {Name: "long", Host: "h", Path: "/a/b/"},
	})
	for _, tc := range []struct{ host, path, want string }{
		{"h", "/a/b/c", "long"}, {"h", "/a/bc", "short"}, {"h", "/a/", "short"}, {"g", "/a/b/c", "any"}, {"h", "/b/", ""}, {"h", "/a", ""},
	} {
		r, ok := routes.Find(tc.host, tc.path)
		require.Equal(t, tc.want != "", ok)
		require.Equal(t, tc.want, r.Name, tc.host+tc.path)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalText))
	f.Add([]byte("services: [{name: a, needs: [a]}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := arrangement.Parse(data)
		if err == nil {
			require.NoError(t, arrangement.Check(config))
			return
		}
		var faults arrangement.Faults
		require.ErrorAs(t, err, &faults)
		require.NotEmpty(t, faults)
	})
}
