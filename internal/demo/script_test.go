package demo_test

import (
	"flag"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// update rewrites the golden files in the scripts.
var update = flag.Bool("update", false, "rewrite the golden files in the scripts")

// TestScript runs the scenarios in testdata/script. Each runs a whole fleet over an
// in-memory network in fake time, so its result does not depend on the speed of the
// machine.
func TestScript(t *testing.T) {
	files, err := filepath.Glob("testdata/script/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				testscript.RunT(&inlineT{t}, testscript.Params{
					Files: []string{file}, Cmds: commands(), Setup: setup, UpdateScripts: *update,
				})
			})
		})
	}
}

// inlineT implements testscript.T. It runs a script in the goroutine of its test, since
// subtests cannot be started inside a synctest bubble.
type inlineT struct {
	t *testing.T
}

func (b *inlineT) Skip(args ...any)                     { b.t.Skip(args...) }
func (b *inlineT) Fatal(args ...any)                    { b.t.Fatal(args...) }
func (b *inlineT) Parallel()                            {}
func (b *inlineT) Log(args ...any)                      { b.t.Log(args...) }
func (b *inlineT) FailNow()                             { b.t.FailNow() }
func (b *inlineT) Verbose() bool                        { return testing.Verbose() }
func (b *inlineT) Run(_ string, f func(t testscript.T)) { f(b) }

func setup(env *testscript.Env) error {
	s := &scenario{jobs: map[string]*job{}}
	env.Values[scenarioKey{}] = s
	env.Defer(s.close)
	return nil
}
