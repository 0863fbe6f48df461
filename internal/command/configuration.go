package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"regexp"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap/zapcore"

	"github.com/greengagestep/greengagestep/pkg/arrangement"
	"github.com/greengagestep/greengagestep/pkg/operator"
)

var encodeTimeRFC3339 = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)

// versionLinePattern matches the first line of a configuration text as the show command
// prints it. The line contains the version that an edited text is based on.
var versionLinePattern = regexp.MustCompile(`^# version: (\d+)\s*$`)

func newCheck() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration text and list every fault with line and column",
		Args:  cobra.ExactArgs(1),
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		data, err := os.ReadFile(args[0])
		if err != nil {
			return withExitCode(exitUsage, err)
		}
		config, err := arrangement.Parse(data)
		if err != nil {
			return printFaults(cmd.OutOrStdout(), args[0], err, asJSON)
		}
		if asJSON {
			return printJSON(cmd.OutOrStdout(), map[string]any{"faults": []arrangement.Fault{}})
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: valid: %d services, %d customers, %d kinds, %d models\n",
			args[0], len(config.Services), len(config.Customers), len(config.Kinds), len(config.Models))
		return nil
	}
	return cmd
}

func printFaults(w io.Writer, file string, err error, asJSON bool) error {
	var faults arrangement.Faults
	if !errors.As(err, &faults) {
		return withExitCode(exitFailed, err)
	}
	if asJSON {
		if err := printJSON(w, map[string]any{"faults": faults}); err != nil {
			return err
		}
		return withExitCode(exitFailed, fmt.Errorf("%s has %d faults", file, len(faults)))
	}
	for _, f := range faults {
		fmt.Fprintf(w, "%s:%s\n", file, f.Error())
	}
	return withExitCode(exitFailed, fmt.Errorf("%s has %d faults", file, len(faults)))
}

func (p *Program) newPublish() *cobra.Command {
	c := &instanceFlags{transport: p.Transport}
	var baseVersionFlag int64
	var actor string
	cmd := &cobra.Command{
		Use:   "publish FILE",
		Short: "Publish a configuration text and wait until it is in force",
		Long: `Publish a configuration text and wait until it is in force.

The version that the text was made from is read from its first line, which show
prints, or from --edits. A publication that lost a race changes nothing. Repeating
one whose answer was lost is safe.`,
		Args: cobra.ExactArgs(1),
	}
	c.addFlags(cmd)
	cmd.Flags().Int64Var(&baseVersionFlag, "edits", -1, "version that the text was made from; -1 means as its first line says")
	cmd.Flags().StringVar(&actor, "actor", "", "who publishes, for the audit trail; empty means the user's name")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		data, err := os.ReadFile(args[0])
		if err != nil {
			return withExitCode(exitUsage, err)
		}
		if _, err := arrangement.Parse(data); err != nil {
			return printFaults(cmd.OutOrStdout(), args[0], err, c.json)
		}
		if baseVersionFlag < 0 {
			baseVersionFlag = baseVersion(data)
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		proposal := operator.Proposal{Actor: actorOrUser(actor), BaseVersion: baseVersionFlag, Text: string(data)}
		published, err := client.Publish(cmd.Context(), proposal)
		if err != nil {
			return wrapCallError(err)
		}
		return c.print(cmd.OutOrStdout(), published, func(w io.Writer) { printPublished(w, published) })
	}
	return cmd
}

// baseVersion returns the version in the first line of a configuration text, or 0 if the
// line contains none.
func baseVersion(data []byte) int64 {
	line, _ := bufio.NewReader(bytes.NewReader(data)).ReadString('\n')
	m := versionLinePattern.FindStringSubmatch(line)
	if m == nil {
		return 0
	}
	version, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return 0
	}
	return version
}

func actorOrUser(actor string) string {
	if actor != "" {
		return actor
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

func printPublished(w io.Writer, p operator.PublishResult) {
	fmt.Fprintf(w, "version %d accepted\n", p.Version)
	for _, in := range p.Instances {
		if in.InForce {
			fmt.Fprintf(w, "  %s: in force after %d ms\n", in.Instance, in.Millis)
			continue
		}
		fmt.Fprintf(w, "  %s: not reported in force yet\n", in.Instance)
	}
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
