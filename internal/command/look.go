package command

import (
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
	"github.com/greengagestep/greengagestep/pkg/operator"
)

// connection holds the flags of commands that call an instance.
type connection struct {
	address   string
	json      bool
	transport http.RoundTripper
}

// callTimeout bounds a call to an instance.
const callTimeout = 30 * time.Second

func (c *connection) bind(cmd *cobra.Command) {
	address := os.Getenv(setting.EnvPrefix + "OPERATORS")
	if address == "" {
		address = "127.0.0.1:7002"
	}
	cmd.Flags().StringVar(&c.address, "operators", address, "operators' address of an instance, IP:port (environment: "+setting.EnvPrefix+"OPERATORS)")
	cmd.Flags().BoolVar(&c.json, "json", false, "print JSON")
}

func (c *connection) client() (*operator.Client, error) {
	secret := os.Getenv(setting.EnvPrefix + "SECRET")
	if secret == "" {
		return nil, fail(exitUsage, errNoSecret)
	}
	return &operator.Client{Address: c.address, Secret: secret, HTTP: &http.Client{Timeout: callTimeout, Transport: c.transport}}, nil
}

// callFailed gives the exit code of a failed call.
func callFailed(err error) error {
	var refusal *operator.Refusal
	if errors.As(err, &refusal) && refusal.Status < http.StatusInternalServerError {
		return fail(exitFailed, err)
	}
	return fail(exitUnavailable, err)
}

func (c *connection) print(w io.Writer, v any, human func(w io.Writer)) error {
	if c.json {
		return printJSON(w, v)
	}
	human(w)
	return nil
}

// table prints aligned columns.
func table(w io.Writer, f func(w io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	f(t)
	_ = t.Flush()
}

// look is a command that asks an instance one question and prints the answer.
type look struct {
	use   string
	short string
	args  cobra.PositionalArgs
	// ask returns the answer as it is printed in JSON, and how to print it
	// for people.
	ask func(ctx context.Context, client *operator.Client, args []string) (any, func(w io.Writer), error)
}

func (p *Program) newLook(l look) *cobra.Command {
	c := &connection{transport: p.Transport}
	cmd := &cobra.Command{Use: l.use, Short: l.short, Args: l.args}
	c.bind(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		answer, human, err := l.ask(cmd.Context(), client, args)
		if err != nil {
			return callFailed(err)
		}
		return c.print(cmd.OutOrStdout(), answer, human)
	}
	return cmd
}

func (p *Program) newStatus() *cobra.Command {
	return p.newLook(look{
		use: "status", short: "Print what an instance knows about itself, its peers and the endpoints", args: cobra.NoArgs,
		ask: func(ctx context.Context, client *operator.Client, _ []string) (any, func(io.Writer), error) {
			st, err := client.Status(ctx)
			return st, func(w io.Writer) { printStatus(w, st) }, err
		},
	})
}

func (p *Program) newAudit() *cobra.Command {
	return p.newLook(look{
		use: "audit", short: "Print the newest changes that an instance made or saw, with cause and actor", args: cobra.NoArgs,
		ask: func(ctx context.Context, client *operator.Client, _ []string) (any, func(io.Writer), error) {
			entries, err := client.Audit(ctx)
			return entries, func(w io.Writer) { printAudit(w, entries) }, err
		},
	})
}

func (p *Program) newExplain() *cobra.Command {
	ask := look{
		use: "explain ID", short: "Print the way of a request across the fleet", args: cobra.ExactArgs(1),
		ask: func(ctx context.Context, client *operator.Client, args []string) (any, func(io.Writer), error) {
			e, err := client.Explain(ctx, args[0])
			return e, func(w io.Writer) { printExplanation(w, e) }, err
		},
	}
	cmd := p.newLook(ask)
	fromInstance := cmd.RunE
	logs := &logQuestion{}
	cmd.Use = "explain [ID] [LOG...]"
	cmd.Args = cobra.ArbitraryArgs
	cmd.Long = `Print the way of a request across the fleet.

With log files, or - for standard input, the answer comes from them. With
--instance and --at they are asked what an instance believed at a time instead
of for a request. Exit code 1 means that the logs say nothing of it.`
	logs.bind(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if logs.asked(args) {
			return logs.run(cmd, args)
		}
		if len(args) != 1 {
			return fail(exitUsage, errors.New("explain needs the ID of a request"))
		}
		return fromInstance(cmd, args)
	}
	return cmd
}

func (p *Program) newShow() *cobra.Command {
	return p.newLook(look{
		use: "show", short: "Print the configuration text in force, ready to be edited and published", args: cobra.NoArgs,
		ask: func(ctx context.Context, client *operator.Client, _ []string) (any, func(io.Writer), error) {
			conf, err := client.Configuration(ctx)
			return conf, func(w io.Writer) { printText(w, conf) }, err
		},
	})
}

func printText(w io.Writer, conf operator.Configuration) {
	data, err := yaml.Marshal(conf.Text)
	if err != nil {
		// Only strings, numbers and lists are in it.
		panic(fmt.Sprintf("command: text does not encode: %v", err))
	}
	fmt.Fprintf(w, "# version: %d\n%s", conf.Version, data)
}

func printAudit(w io.Writer, entries []operator.AuditEntry) {
	table(w, func(w io.Writer) {
		for _, e := range entries {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.At.Format(time.RFC3339Nano), e.Type, e.Subject, e.Change, e.Actor, e.Cause)
		}
	})
}

func printStatus(w io.Writer, st operator.Status) {
	fmt.Fprintf(w, "%s in %s: configuration version %d, leader %s, %d waiting, %d running, %d slots held\n",
		st.Name, st.Domain, st.Version, st.Leader, st.Waiting, st.Running, st.HeldSlots)
	table(w, func(w io.Writer) {
		for _, m := range st.Members {
			fmt.Fprintf(w, "instance\t%s\t%s\t%s\tversion %d\n", m.Name, m.Domain, m.State, m.Version)
		}
		for _, e := range st.Endpoints {
			state := "open"
			if e.ClosedReason != "" {
				state = e.ClosedReason
			}
			fmt.Fprintf(w, "endpoint\t%s\t%s\t%s\t%d slots\t%s\n", e.Name, e.Domain, e.Service, e.Slots, state)
		}
		for _, a := range st.CustomerAccounts {
			fmt.Fprintf(w, "customer\t%s\t%s\tlag %.0f\t%d waiting\t%d running\n", a.Customer, a.Service, a.Lag, a.Waiting, a.Running)
		}
		for service, need := range st.WaitsFor {
			fmt.Fprintf(w, "service\t%s\twaits for %s\n", service, need)
		}
	})
}

func printExplanation(w io.Writer, e operator.Explanation) {
	fmt.Fprintf(w, "request %s\n", e.Request)
	if e.Note != "" {
		fmt.Fprintln(w, e.Note)
	}
	table(w, func(w io.Writer) {
		for _, s := range e.Steps {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", s.At.Format(time.RFC3339Nano), s.Instance, s.Step, s.Detail)
		}
	})
}
