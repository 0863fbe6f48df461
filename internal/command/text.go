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

var rfc3339 = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)

// versionLine is the first line of a text that show prints. It names the version
// that an edited text was made from.
var versionLine = regexp.MustCompile(`^# version: (\d+)\s*$`)

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
			return fail(exitUsage, err)
		}
		text, err := arrangement.Parse(data)
		if err != nil {
			return printFaults(cmd.OutOrStdout(), args[0], err, asJSON)
		}
		if asJSON {
			return printJSON(cmd.OutOrStdout(), map[string]any{"faults": []arrangement.Fault{}})
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: valid: %d services, %d customers, %d kinds, %d models\n",
			args[0], len(text.Services), len(text.Customers), len(text.Kinds), len(text.Models))
		return nil
	}
	return cmd
}

func printFaults(w io.Writer, file string, err error, asJSON bool) error {
	var faults arrangement.Faults
	if !errors.As(err, &faults) {
		return fail(exitFailed, err)
	}
	if asJSON {
		if err := printJSON(w, map[string]any{"faults": faults}); err != nil {
			return err
		}
		return fail(exitFailed, fmt.Errorf("%s has %d faults", file, len(faults)))
	}
	for _, f := range faults {
		fmt.Fprintf(w, "%s:%s\n", file, f.Error())
	}
	return fail(exitFailed, fmt.Errorf("%s has %d faults", file, len(faults)))
}

func (p *Program) newPublish() *cobra.Command {
	c := &connection{transport: p.Transport}
	var edits int64
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
	c.bind(cmd)
	cmd.Flags().Int64Var(&edits, "edits", -1, "version that the text was made from; -1 means as its first line says")
	cmd.Flags().StringVar(&actor, "actor", "", "who publishes, for the audit trail; empty means the user's name")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		data, err := os.ReadFile(args[0])
		if err != nil {
			return fail(exitUsage, err)
		}
		if _, err := arrangement.Parse(data); err != nil {
			return printFaults(cmd.OutOrStdout(), args[0], err, c.json)
		}
		if edits < 0 {
			edits = namedVersion(data)
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		proposal := operator.Proposal{Actor: actorName(actor), BaseVersion: edits, Text: string(data)}
		published, err := client.Publish(cmd.Context(), proposal)
		if err != nil {
			return callFailed(err)
		}
		return c.print(cmd.OutOrStdout(), published, func(w io.Writer) { printPublished(w, published) })
	}
	return cmd
}

// namedVersion returns the version that the first line of a text names, or 0.
func namedVersion(data []byte) int64 {
	line, _ := bufio.NewReader(bytes.NewReader(data)).ReadString('\n')
	m := versionLine.FindStringSubmatch(line)
	if m == nil {
		return 0
	}
	version, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return 0
	}
	return version
}

func actorName(given string) string {
	if given != "" {
		return given
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
