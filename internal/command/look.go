package command

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

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

func (p *Program) newStatus() *cobra.Command {
	c := &connection{transport: p.Transport}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print what an instance knows about itself, its peers and the endpoints",
		Args:  cobra.NoArgs,
	}
	c.bind(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		st, err := client.Status(cmd.Context())
		if err != nil {
			return callFailed(err)
		}
		return c.print(cmd.OutOrStdout(), st, func(w io.Writer) { printStatus(w, st) })
	}
	return cmd
}

func printStatus(w io.Writer, st operator.Status) {
	fmt.Fprintf(w, "%s in %s: configuration version %d, leader %s, %d waiting, %d running, %d slots held\n",
		st.Name, st.Domain, st.Version, st.Leader, st.Waiting, st.Running, st.Held)
	table(w, func(w io.Writer) {
		for _, m := range st.Members {
			fmt.Fprintf(w, "instance\t%s\t%s\t%s\tversion %d\n", m.Name, m.Domain, m.State, m.Version)
		}
		for _, e := range st.Endpoints {
			state := "open"
			if e.Closed != "" {
				state = e.Closed
			}
			fmt.Fprintf(w, "endpoint\t%s\t%s\t%s\t%d slots\t%s\n", e.Name, e.Domain, e.Service, e.Slots, state)
		}
		for _, a := range st.Accounts {
			fmt.Fprintf(w, "customer\t%s\t%s\tlag %.0f\t%d waiting\t%d running\n", a.Customer, a.Service, a.Lag, a.Waiting, a.Running)
		}
		for service, need := range st.Waits {
			fmt.Fprintf(w, "service\t%s\twaits for %s\n", service, need)
		}
	})
}

func (p *Program) newAudit() *cobra.Command {
	c := &connection{transport: p.Transport}
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Print the newest changes that an instance made or saw, with cause and actor",
		Args:  cobra.NoArgs,
	}
	c.bind(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		entries, err := client.Audit(cmd.Context())
		if err != nil {
			return callFailed(err)
		}
		return c.print(cmd.OutOrStdout(), entries, func(w io.Writer) {
			table(w, func(w io.Writer) {
				for _, e := range entries {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.At.Format(time.RFC3339Nano), e.What, e.Subject, e.Change, e.Actor, e.Cause)
				}
			})
		})
	}
	return cmd
}

func (p *Program) newExplain() *cobra.Command {
	c := &connection{transport: p.Transport}
	cmd := &cobra.Command{
		Use:   "explain ID",
		Short: "Print the way of a request across the fleet",
		Args:  cobra.ExactArgs(1),
	}
	c.bind(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		e, err := client.Explain(cmd.Context(), args[0])
		if err != nil {
			return callFailed(err)
		}
		return c.print(cmd.OutOrStdout(), e, func(w io.Writer) { printExplanation(w, e) })
	}
	return cmd
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
