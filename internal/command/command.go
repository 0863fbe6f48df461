// Package command implements the command line: it reads flags and the environment, calls
// the other packages and prints their results.
package command

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"
)

// Exit codes of all commands.
const (
	exitOK          = 0
	exitFailed      = 1 // the command ran, but its result is a failure
	exitUsage       = 2 // flags, settings or files are invalid
	exitUnavailable = 3 // an instance or the log service is unreachable
)

// withExitCode wraps an error so that the process ends with the given exit code.
func withExitCode(code int, err error) error {
	return merry.Wrap(err, merry.WithHTTPCode(code))
}

// Program is the command line program with its output streams and network transport.
type Program struct {
	Out io.Writer
	Err io.Writer
	// Transport sends the HTTP requests to instances; nil means
	// http.DefaultTransport.
	Transport http.RoundTripper
}

// Main runs the command that args give, without the program's name, and returns the exit
// code.
func (p *Program) Main(args []string) int {
	root := p.newRoot()
	root.SetArgs(args)
	root.SetOut(p.Out)
	root.SetErr(p.Err)
	err := root.Execute()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(p.Err, "greengagestep: "+err.Error())
	if code := merry.HTTPCode(err); code >= exitFailed && code <= exitUnavailable {
		return code
	}
	return exitUsage
}

// Run calls Main with the arguments and output streams of the process.
func Run() int {
	p := &Program{Out: os.Stdout, Err: os.Stderr}
	return p.Main(os.Args[1:])
}

func (p *Program) newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "greengagestep",
		Short: "A router fleet for customers who share capacity fairly",
		Long: `A router fleet for customers who share capacity fairly.

Exit codes: 0 success; 1 the answer is bad (invalid text, lost race, lost
requests); 2 wrong flags, settings or files; 3 an instance or the log service
cannot be reached.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.AddCommand(newRun(), newServe(), newCheck(), p.newPublish(), p.newEvacuate(), p.newShow(), p.newStatus(), p.newAudit(), p.newExplain(), p.newWhere(), newDemo())
	return root
}

var errNoSecret = errors.New("GREENGAGESTEP_SECRET must be set in the environment")
