package arrangement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

const small = `services:
  - name: portal
customers:
  - name: c0
    keys: [key-0]
`

func TestDefaults(t *testing.T) {
	text, err := arrangement.Parse([]byte(small))
	require.NoError(t, err)
	s, ok := text.Service("portal")
	require.True(t, ok)
	require.Equal(t, "/portal", s.Path)
	require.Equal(t, 40.0, s.Rate)
	require.Equal(t, 1.0, text.Customers[0].Weight)
	require.NoError(t, arrangement.Check(text))
}

func TestFaultsNameTheirPlace(t *testing.T) {
	for _, tc := range []struct {
		name, text, want string
	}{
		{"a tab is no indentation", "services:\n\t- name: a\n", "2:1"},
		{"an unknown key", "services:\n  - name: a\n    colour: red\n", "3:5: unknown field \"colour\""},
		{"a word for a number", "customers:\n  - name: a\n    keys: [k]\n    weight: heavy\n", "4:13"},
		{"a model that does not exist", "services:\n  - name: a\n    model: ghost\n", `3:12: service "a" names model "ghost", which does not exist`},
		{"a customer without keys", "customers:\n  - name: a\n", `2:5: customer "a" has no keys`},
		{"a service that needs itself", "services:\n  - name: a\n    needs: [a]\n", "3:12: services need each other in a cycle: a -> a"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := arrangement.Parse([]byte(tc.text))
			require.ErrorContains(t, err, tc.want)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	f.Add([]byte("services: [{name: a, needs: [a]}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		text, err := arrangement.Parse(data)
		if err == nil {
			require.NoError(t, arrangement.Check(text))
			return
		}
		var faults arrangement.Faults
		require.ErrorAs(t, err, &faults)
		require.NotEmpty(t, faults)
	})
}
