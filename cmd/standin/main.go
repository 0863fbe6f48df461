// Command standin runs a simulator of one external system: the log service, the
// instance list, a model engine or a plain HTTP service. It is meant for tests and
// experiments, not for production.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/time/rate"

	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

func main() {
	root := &cobra.Command{Use: "standin", Short: "Simulate one external system of the fleet"}
	root.AddCommand(newLog(), newList(), newEngine(), newPlain())
	if err := root.Execute(); err != nil {
		os.Exit(2)
	}
}

// command returns a subcommand that serves the result of handler on the address given
// by --listen. It calls handler after the flags are parsed.
func command(name, short string, handler func() (http.Handler, error)) *cobra.Command {
	var listen string
	cmd := &cobra.Command{Use: name, Short: short, Args: cobra.NoArgs}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7300", "listen address, IP:port")
	cmd.RunE = func(*cobra.Command, []string) error {
		h, err := handler()
		if err != nil {
			return err
		}
		fmt.Println("listening on", listen)
		return http.ListenAndServe(listen, h)
	}
	return cmd
}

func newLog() *cobra.Command {
	l := &standin.Log{}
	var limit float64
	cmd := command("log", "Simulate the log service", func() (http.Handler, error) {
		l.Limit = rate.Limit(limit)
		return l, nil
	})
	cmd.Flags().DurationVar(&l.Retention, "retention", 0, "how long records are kept; 0 means without limit")
	cmd.Flags().Float64Var(&limit, "limit", 300, "maximum appends per second; 0 means no limit")
	return cmd
}

func newList() *cobra.Command {
	l := &standin.InstanceList{}
	var file string
	var lag time.Duration
	cmd := command("list", "Simulate the instance list", func() (http.Handler, error) {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var list []fleet.Instance
		if err := json.Unmarshal(data, &list); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		l.Set(list)
		l.SetLag(lag)
		return l, nil
	})
	cmd.Flags().StringVar(&file, "file", "instances.json", "JSON list of instances")
	cmd.Flags().DurationVar(&lag, "lag", 0, "age of the returned entries")
	return cmd
}

func newEngine() *cobra.Command {
	e := &standin.Engine{}
	cmd := command("engine", "Simulate a model engine", func() (http.Handler, error) { return e, nil })
	cmd.Flags().StringVar(&e.Name, "name", "m0", "name of the endpoint")
	cmd.Flags().IntVar(&e.Slots, "slots", 16, "maximum number of requests in a batch")
	cmd.Flags().Float64Var(&e.Rate, "rate", 40, "tokens per second of a stream that runs alone")
	cmd.Flags().Float64Var(&e.Slowdown, "slowdown", 0.3, "fraction of the rate that each stream loses in a full batch")
	cmd.Flags().BoolVar(&e.Fencing, "fencing", true, "refuse orders with an outdated fencing number")
	cmd.Flags().DurationVar(&e.ReportAge, "lag", time.Second, "maximum age of the load report")
	return cmd
}

func newPlain() *cobra.Command {
	p := &standin.PlainService{}
	cmd := command("plain", "Simulate a plain HTTP service", func() (http.Handler, error) { return p, nil })
	cmd.Flags().StringVar(&p.Name, "name", "p0", "name of the endpoint")
	cmd.Flags().IntVar(&p.Slots, "slots", 8, "concurrency limit in the load report")
	cmd.Flags().DurationVar(&p.Latency, "latency", 20*time.Millisecond, "duration of a call")
	return cmd
}
