package command_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/command"
)

// run runs the program against an instance and returns its exit code, output and errors.
func run(instance http.HandlerFunc, args ...string) (code int, out, errs string) {
	server := httptest.NewServer(instance)
	defer server.Close()
	var stdout, stderr bytes.Buffer
	p := &command.Program{Out: &stdout, Err: &stderr}
	code = p.Main(append(args, "--metrics", strings.TrimPrefix(server.URL, "http://")))
	return code, stdout.String(), stderr.String()
}

func TestWherePrintsExplanation(t *testing.T) {
	explanation, err := os.ReadFile("testdata/where.json")
	require.NoError(t, err)
	want, err := os.ReadFile("testdata/where.golden")
	require.NoError(t, err)
	code, out, errs := run(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "plans.example", r.FormValue("host"))
		require.Equal(t, "/plans/1", r.FormValue("path"))
		require.Equal(t, "Bearer k", r.Header.Get("Authorization"))
		_, _ = w.Write(explanation)
	}, "where", "/plans/1", "--host", "plans.example", "--header", "Authorization: Bearer k")
	require.Zero(t, code, errs)
	require.Equal(t, string(want), out)
}

func TestWhereNamesUnknownRoute(t *testing.T) {
	code, out, errs := run(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "no such route", http.StatusNotFound)
	}, "where", "/x")
	require.Equal(t, 1, code)
	require.Empty(t, out)
	require.Contains(t, errs, "no such route")
}
