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

// logQuestion is a question to logs: for a request, or for what an instance believed.
type logQuestion struct {
	instance string
	at       string
}

func (q *logQuestion) bind(cmd *cobra.Command) {
	cmd.Flags().StringVar(&q.instance, "instance", "", "ask the logs what this instance believed")
	cmd.Flags().StringVar(&q.at, "at", "", "at this time, like 2026-07-01T10:00:00.5Z")
}

// asked reports whether logs are to be read.
func (q *logQuestion) asked(args []string) bool { return q.instance != "" || len(args) > 1 }

var errUnknownRequest = errors.New("the logs say nothing of this request")

func (q *logQuestion) run(cmd *cobra.Command, args []string) error {
	id, files := "", args
	if q.instance == "" {
		id, files = args[0], args[1:]
	}
	log, err := readLogs(cmd.InOrStdin(), files)
	if err != nil {
		return fail(exitUsage, err)
	}
	asJSON, _ := cmd.Flags().GetBool("json")
	if q.instance != "" {
		at, err := time.Parse(time.RFC3339Nano, q.at)
		if err != nil {
			return fail(exitUsage, fmt.Errorf("--at %q is no time: %w", q.at, err))
		}
		belief := log.StateAt(q.instance, at)
		if asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(belief)
		}
		belief.Print(cmd.OutOrStdout())
		return nil
	}
	way := log.RequestLines(id)
	if len(way) == 0 {
		return fail(exitFailed, fmt.Errorf("%w (%d lines were dropped by instances)", errUnknownRequest, log.Dropped))
	}
	if asJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(way)
	}
	printWay(cmd.OutOrStdout(), log, way)
	return nil
}

// printWay prints each step and what the instance believed at it.
func printWay(w io.Writer, log *history.Log, way []history.Line) {
	for _, line := range way {
		fmt.Fprintln(w, line)
	}
	for _, line := range way {
		if line.Event == way[len(way)-1].Event {
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
