package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/greengagestep/greengagestep/internal/history"
)

// logQuery is a query of log files: for the trace of a request, or for the state that an
// instance saw at a time.
type logQuery struct {
	instance string
	at       string
}

func (q *logQuery) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&q.instance, "instance", "", "ask the logs what this instance believed")
	cmd.Flags().StringVar(&q.at, "at", "", "at this time, like 2026-07-01T10:00:00.5Z")
}

// requested reports whether the arguments and flags ask for log files to be read.
func (q *logQuery) requested(args []string) bool { return q.instance != "" || len(args) > 1 }

var errUnknownRequest = errors.New("the logs contain no line about this request")

func (q *logQuery) run(cmd *cobra.Command, args []string) error {
	id, files := "", args
	if q.instance == "" {
		id, files = args[0], args[1:]
	}
	log, err := readLogs(cmd.InOrStdin(), files)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	asJSON, _ := cmd.Flags().GetBool("json")
	if q.instance != "" {
		at, err := time.Parse(time.RFC3339Nano, q.at)
		if err != nil {
			return withExitCode(exitUsage, fmt.Errorf("--at %q is not a valid time: %w", q.at, err))
		}
		state := log.StateAt(q.instance, at)
		if asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(state)
		}
		state.Print(cmd.OutOrStdout())
		return nil
	}
	trace := log.RequestLines(id)
	if len(trace) == 0 {
		return withExitCode(exitFailed, fmt.Errorf("%w (%d lines were dropped by instances)", errUnknownRequest, log.Dropped))
	}
	if asJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(trace)
	}
	printTrace(cmd.OutOrStdout(), log, trace)
	return nil
}

// printTrace prints the lines of a request's trace. For each line with the same event as
// the last one, it also prints the state that the line's instance saw at that time.
func printTrace(w io.Writer, log *history.Log, trace []history.Line) {
	for _, line := range trace {
		fmt.Fprintln(w, line)
	}
	for _, line := range trace {
		if line.Event == trace[len(trace)-1].Event {
			log.StateAt(line.Instance, line.At).Print(w)
		}
	}
}

func readLogs(stdin io.Reader, files []string) (*history.Log, error) {
	log := &history.Log{}
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		if name == "-" {
			if err := log.Read(stdin); err != nil {
				return nil, err
			}
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = log.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return log, nil
}
