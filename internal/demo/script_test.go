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

// TestScript runs the scenarios in testdata/script. Each runs a whole fleet over a
// network in memory and in fake time, so its verdict does not depend on the machine.
func TestScript(t *testing.T) {
	files, err := filepath.Glob("testdata/script/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				testscript.RunT(&bubble{t}, testscript.Params{
					Files: []string{file}, Cmds: commands(), Setup: setup, UpdateScripts: *update,
				})
			})
		})
	}
}

// bubble runs scripts in the goroutine of their test, since subtests cannot be
// started with fake time.
type bubble struct {
	t *testing.T
}

func (b *bubble) Skip(args ...any)                     { b.t.Skip(args...) }
func (b *bubble) Fatal(args ...any)                    { b.t.Fatal(args...) }
func (b *bubble) Parallel()                            {}
func (b *bubble) Log(args ...any)                      { b.t.Log(args...) }
func (b *bubble) FailNow()                             { b.t.FailNow() }
func (b *bubble) Verbose() bool                        { return testing.Verbose() }
func (b *bubble) Run(_ string, f func(t testscript.T)) { f(b) }

func setup(env *testscript.Env) error {
	s := &stage{jobs: map[string]*job{}}
	env.Values[stageKey{}] = s
	env.Defer(s.close)
	return nil
}
