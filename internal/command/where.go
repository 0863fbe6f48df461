package command

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/greengagestep/greengagestep/internal/gateway"
)

// maxExplanationBytes bounds what is read of an explanation: some thousand candidates.
const maxExplanationBytes = 16 << 20

// where is the command that asks where a request would go.
type where struct {
	metrics string
	host    string
	headers []string
	json    bool
	client  *http.Client
}

func (p *Program) newWhere() *cobra.Command {
	q := &where{client: &http.Client{Timeout: callTimeout, Transport: p.Transport}}
	cmd := &cobra.Command{
		Use:   "where PATH",
		Short: "Print where a request would go now, and why, without sending it",
		Long: `Print where a request would go now, and why, without sending it.

It asks an instance of serve at its address for metrics. Headers are given as callers
send them, such as the key and the parts of the prompt. Exit code 1 means that
no route or customer fits.`,
		Args: cobra.ExactArgs(1),
	}
	cmd.Flags().StringVar(&q.metrics, "metrics", "127.0.0.1:7400", "address of an instance for metrics, IP:port")
	cmd.Flags().StringVar(&q.host, "host", "", "host of the request")
	cmd.Flags().StringArrayVar(&q.headers, "header", nil, "header of the request, 'NAME: VALUE'; may be repeated")
	cmd.Flags().BoolVar(&q.json, "json", false, "print JSON")
	cmd.RunE = func(cmd *cobra.Command, args []string) error { return q.run(cmd, args[0]) }
	return cmd
}

func (q *where) run(cmd *cobra.Command, path string) error {
	target := url.URL{Scheme: "http", Host: q.metrics, Path: "/explain", RawQuery: url.Values{"host": {q.host}, "path": {path}}.Encode()}
	req, err := http.NewRequestWithContext(cmd.Context(), http.MethodGet, target.String(), nil)
	if err != nil {
		return withExitCode(exitUsage, err)
	}
	for _, h := range q.headers {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return withExitCode(exitUsage, fmt.Errorf("header %q has no colon", h))
		}
		req.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	resp, err := q.client.Do(req)
	if err != nil {
		return withExitCode(exitUnavailable, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	switch {
	case err != nil:
		return withExitCode(exitUnavailable, err)
	case resp.StatusCode >= http.StatusInternalServerError:
		return withExitCode(exitUnavailable, errors.New(string(bytes.TrimSpace(data))))
	case resp.StatusCode != http.StatusOK:
		return withExitCode(exitFailed, errors.New(string(bytes.TrimSpace(data))))
	}
	var e gateway.Explanation
	if err := json.Unmarshal(data, &e); err != nil {
		return withExitCode(exitUnavailable, fmt.Errorf("explanation cannot be decoded: %w", err))
	}
	if q.json {
		return printJSON(cmd.OutOrStdout(), e)
	}
	printWhere(cmd.OutOrStdout(), e)
	return nil
}

func printWhere(w io.Writer, e gateway.Explanation) {
	fmt.Fprintf(w, "route %s, customer %s, configuration version %d\n", e.Route, cmp.Or(e.Customer, "none"), e.Version)
	if e.Regions != nil {
		fmt.Fprintf(w, "only endpoints in: %s\n", cmp.Or(strings.Join(e.Regions, ", "), "no region"))
	}
	if e.Overload > 0 {
		fmt.Fprintf(w, "the processor cannot keep up: %.0f %% of the work is refused, late and costly requests first\n", 100*e.Overload)
	}
	for _, t := range e.Targets {
		fmt.Fprintf(w, "service %s, %.0f %% of the requests: %s\n", t.Service, 100*t.Share, outcomeOf(t))
		printTable(w, func(w io.Writer) {
			fmt.Fprintln(w, "  endpoint\tdomain\tregion\tcost\texpected\twait\tmissing\truns\tslots\trecord age\treport age\tchance\tcold\texcluded")
			for _, c := range t.Candidates {
				fmt.Fprintf(w, "  %s\t%s\t%s\t%.1f ms\t%.0f ms\t%.0f ms\t%d\t%.1f\t%d\t%s\t%s\t%.2f\t%t\t%s\n", c.Endpoint, c.Domain, cmp.Or(c.Region, "-"),
					c.Cost, c.Expected, c.Wait, c.Missing, c.Runs, c.Slots, formatAge(c.Listed), formatAge(c.Reported), c.Chance, c.Cold, cmp.Or(c.Excluded, "-"))
			}
		})
	}
}

func outcomeOf(t gateway.Target) string {
	limit := "without a limit on the wait"
	if t.Limit >= 0 {
		limit = fmt.Sprintf("with a wait of at most %.0f ms", t.Limit)
	}
	switch {
	case t.Refused != "":
		return fmt.Sprintf("refused, %s; admitted %s", t.Refused, limit)
	case t.Asks:
		return fmt.Sprintf("%s (%s), after a grant of its home; admitted %s", t.Endpoint, t.Weighing, limit)
	}
	return fmt.Sprintf("%s (%s); admitted %s", t.Endpoint, t.Weighing, limit)
}

// formatAge formats an age in milliseconds; a negative one means that there is none.
func formatAge(ms float64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%.0f ms", ms)
}
