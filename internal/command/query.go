package command

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"github.com/greengagestep/greengagestep/internal/setting"
	"github.com/greengagestep/greengagestep/pkg/fleet"
	"github.com/greengagestep/greengagestep/pkg/operator"
)

// instanceFlags holds the flags of commands that call an instance, and the transport for
// the calls.
type instanceFlags struct {
	address   string
	json      bool
	transport http.RoundTripper
}

// callTimeout is the time limit of a call to an instance.
const callTimeout = 30 * time.Second

func (c *instanceFlags) addFlags(cmd *cobra.Command) {
	address := os.Getenv(setting.EnvPrefix + "OPERATORS")
	if address == "" {
		address = "127.0.0.1:7002"
	}
	cmd.Flags().StringVar(&c.address, "operators", address, "operators' address of an instance, IP:port (environment: "+setting.EnvPrefix+"OPERATORS)")
	cmd.Flags().BoolVar(&c.json, "json", false, "print JSON")
}

func (c *instanceFlags) client() (*operator.Client, error) {
	secret := os.Getenv(setting.EnvPrefix + "SECRET")
	if secret == "" {
		return nil, withExitCode(exitUsage, errNoSecret)
	}
	return &operator.Client{Address: c.address, Secret: secret, HTTP: &http.Client{Timeout: callTimeout, Transport: c.transport}}, nil
}

// wrapCallError wraps the error of a failed call with the matching exit code: exitFailed if
// the instance refused the call with a status below 500, exitUnavailable otherwise.
func wrapCallError(err error) error {
	var refusal *operator.Refusal
	if errors.As(err, &refusal) && refusal.Status < http.StatusInternalServerError {
		return withExitCode(exitFailed, err)
	}
	return withExitCode(exitUnavailable, err)
}

func (c *instanceFlags) print(w io.Writer, v any, printPlain func(w io.Writer)) error {
	if c.json {
		return printJSON(w, v)
	}
	printPlain(w)
	return nil
}

// printTable prints the tab-separated columns that f writes, aligned.
func printTable(w io.Writer, f func(w io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	f(t)
	_ = t.Flush()
}

// query describes a command that makes one call to an instance and prints the result.
type query struct {
	use   string
	short string
	args  cobra.PositionalArgs
	// run makes the call. It returns the result, which is printed as JSON if
	// the user asks for that, and a function that prints it as plain text.
	run func(ctx context.Context, client *operator.Client, args []string) (any, func(w io.Writer), error)
}

func (p *Program) newQuery(q query) *cobra.Command {
	c := &instanceFlags{transport: p.Transport}
	cmd := &cobra.Command{Use: q.use, Short: q.short, Args: q.args}
	c.addFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		result, printPlain, err := q.run(cmd.Context(), client, args)
		if err != nil {
			return wrapCallError(err)
		}
		return c.print(cmd.OutOrStdout(), result, printPlain)
	}
	return cmd
}

func (p *Program) newStatus() *cobra.Command {
	return p.newQuery(query{
		use: "status", short: "Print what an instance knows about itself, its peers and the endpoints", args: cobra.NoArgs,
		run: func(ctx context.Context, client *operator.Client, _ []string) (any, func(io.Writer), error) {
			st, err := client.Status(ctx)
			return st, func(w io.Writer) { printStatus(w, st) }, err
		},
	})
}

func (p *Program) newAudit() *cobra.Command {
	return p.newQuery(query{
		use: "audit", short: "Print the newest changes that an instance made or saw, with cause and actor", args: cobra.NoArgs,
		run: func(ctx context.Context, client *operator.Client, _ []string) (any, func(io.Writer), error) {
			entries, err := client.Audit(ctx)
			return entries, func(w io.Writer) { printAudit(w, entries) }, err
		},
	})
}

func (p *Program) newExplain() *cobra.Command {
	explainQuery := query{
		use: "explain ID", short: "Print the way of a request across the fleet", args: cobra.ExactArgs(1),
		run: func(ctx context.Context, client *operator.Client, args []string) (any, func(io.Writer), error) {
			e, err := client.Explain(ctx, args[0])
			return e, func(w io.Writer) { printExplanation(w, e) }, err
		},
	}
	cmd := p.newQuery(explainQuery)
	runOnInstance := cmd.RunE
	logs := &logQuery{}
	cmd.Use = "explain [ID] [LOG...]"
	cmd.Args = cobra.ArbitraryArgs
	cmd.Long = `Print the way of a request across the fleet.

With log files, or - for standard input, the answer comes from them. With
--instance and --at they are asked what an instance believed at a time instead
of for a request. Exit code 1 means that the logs say nothing of it.`
	logs.addFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if logs.requested(args) {
			return logs.run(cmd, args)
		}
		if len(args) != 1 {
			return withExitCode(exitUsage, errors.New("explain requires the ID of a request"))
		}
		return runOnInstance(cmd, args)
	}
	return cmd
}

func (p *Program) newShow() *cobra.Command {
	return p.newQuery(query{
		use: "show", short: "Print the configuration text in force, ready to be edited and published", args: cobra.NoArgs,
		run: func(ctx context.Context, client *operator.Client, _ []string) (any, func(io.Writer), error) {
			conf, err := client.Configuration(ctx)
			return conf, func(w io.Writer) { printText(w, conf) }, err
		},
	})
}

func printText(w io.Writer, conf operator.Configuration) {
	data, err := yaml.Marshal(conf.Text)
	if err != nil {
		// The configuration contains only strings, numbers and lists, which
		// always encode.
		panic(fmt.Sprintf("command: configuration cannot be encoded: %v", err))
	}
	fmt.Fprintf(w, "# version: %d\n%s", conf.Version, data)
}

func printAudit(w io.Writer, entries []operator.AuditEntry) {
	printTable(w, func(w io.Writer) {
		for _, e := range entries {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.At.Format(time.RFC3339Nano), e.Type, e.Subject, e.Change, e.Actor, e.Cause)
		}
	})
}

func printStatus(w io.Writer, st operator.Status) {
	fmt.Fprintf(w, "%s in %s: configuration version %d, leader %s, %d waiting, %d running, %d slots held\n",
		st.Name, st.Domain, st.Version, st.Leader, st.Waiting, st.Running, st.HeldSlots)
	for _, domain := range st.Evacuated {
		fmt.Fprintf(w, "failure domain %s is evacuated\n", domain)
	}
	printTable(w, func(w io.Writer) {
		for _, m := range st.Members {
			fmt.Fprintf(w, "instance\t%s\t%s\t%s\tversion %d\n", m.Name, m.Domain, m.State, m.Version)
		}
		for _, e := range st.Endpoints {
			fmt.Fprintf(w, "endpoint\t%s\t%s\t%s\t%s\t%d slots\t%s\n", e.Name, e.Domain, cmp.Or(e.Region, "-"), e.Service, e.Slots, endpointState(e))
		}
		for _, a := range st.CustomerAccounts {
			fmt.Fprintf(w, "customer\t%s\t%s\tlag %.0f\t%d waiting\t%d running\n", a.Customer, a.Service, a.Lag, a.Waiting, a.Running)
		}
		for service, need := range st.WaitsFor {
			fmt.Fprintf(w, "service\t%s\twaits for %s\n", service, need)
		}
	})
}

// endpointState returns why an endpoint gets no requests, or "open", and beside that whether it is in
// an emptied failure domain and whether it is cold.
func endpointState(e operator.Endpoint) string {
	state := cmp.Or(e.ClosedReason, "open")
	if e.Evacuated && state != string(fleet.ReasonEvacuated) {
		state += ", evacuated"
	}
	if e.Cold {
		state += ", cold"
	}
	return state
}

func printExplanation(w io.Writer, e operator.Explanation) {
	fmt.Fprintf(w, "request %s\n", e.Request)
	if e.Note != "" {
		fmt.Fprintln(w, e.Note)
	}
	printTable(w, func(w io.Writer) {
		for _, s := range e.Steps {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", s.At.Format(time.RFC3339Nano), s.Instance, s.Step, s.Detail)
		}
	})
}
