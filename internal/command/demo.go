package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/greengagestep/greengagestep/internal/demo"
)

var errRequestsFailed = errors.New("requests were lost, doubled or cut off")

func newDemo() *cobra.Command {
	o := demo.Options{}
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a fleet with stand-ins for everything around it over loopback and count",
		Long: `Run a fleet with stand-ins for everything around it over loopback and count.

The last line is one JSON object, counted at the callers and the endpoints. The
exit code is 1 if a request was lost, doubled or cut off.`,
		Args: cobra.NoArgs,
	}
	f := cmd.Flags()
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals")
	f.DurationVar(&o.Length, "length", 0, "how long callers send requests (default 8s)")
	f.IntVar(&o.Instances, "instances", 0, "router instances (default 5)")
	f.IntVar(&o.Domains, "domains", 0, "failure domains (default 3)")
	f.StringVar(&o.Flood, "flood", "", "kind of work that floods in: plan, summary, tag or any")
	f.BoolVar(&o.Restart, "restart", false, "restart every instance in turn")
	f.BoolVar(&o.Cut, "cut", false, "cut one failure domain off for a third of the time")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		report, err := demo.Run(cmd.Context(), o, cmd.OutOrStdout())
		if err != nil {
			return withExitCode(exitFailed, err)
		}
		if err := printReport(cmd.OutOrStdout(), report); err != nil {
			return err
		}
		if report.Bad() {
			return withExitCode(exitFailed, errRequestsFailed)
		}
		return nil
	}
	return cmd
}

func printReport(w io.Writer, r demo.Report) error {
	printTable(w, func(w io.Writer) {
		fmt.Fprintf(w, "sent\t%d\tanswered\t%d\trefused\t%d\tunknown\t%d\n", r.Sent, r.Answered, r.Refused, r.Unknown)
		fmt.Fprintf(w, "lost\t%d\tdoubled\t%d\tcut off\t%d\t\t\n", r.Lost, r.Doubled, r.Cut)
		fmt.Fprintf(w, "gap\t%.0f tokens\tidle\t%.2f %%\tcontrol\t%.0f B/s\tkept\t%.2f\n", r.Gap, 100*r.Idle, r.Control, r.Kept)
	})
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}
