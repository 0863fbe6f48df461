// Command standin runs one stand-in for an outside system: the log service, the
// instance list, a model engine or a plain service. It is for trials only.
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
	root := &cobra.Command{Use: "standin", Short: "Run one stand-in for an outside system"}
	root.AddCommand(newLog(), newList(), newEngine(), newPlain())
	if err := root.Execute(); err != nil {
		os.Exit(2)
	}
}

// command returns a subcommand that serves a handler on a --listen address.
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
	cmd := command("log", "Run the log service", func() (http.Handler, error) {
		l.Limit = rate.Limit(limit)
		return l, nil
	})
	cmd.Flags().DurationVar(&l.Retention, "retention", 0, "how long records are kept; 0 means for ever")
	cmd.Flags().Float64Var(&limit, "limit", 300, "appends a second; 0 means no limit")
	return cmd
}

func newList() *cobra.Command {
	l := &standin.List{}
	var file string
	var lag time.Duration
	cmd := command("list", "Run the instance list", func() (http.Handler, error) {
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
	cmd.Flags().DurationVar(&lag, "lag", 0, "how old the answers are")
	return cmd
}

func newEngine() *cobra.Command {
	e := &standin.Engine{}
	cmd := command("engine", "Run a model engine", func() (http.Handler, error) { return e, nil })
	cmd.Flags().StringVar(&e.Name, "name", "m0", "name of the endpoint")
	cmd.Flags().IntVar(&e.Slots, "slots", 16, "requests in a batch")
	cmd.Flags().Float64Var(&e.Rate, "rate", 40, "tokens a second of a stream that runs alone")
	cmd.Flags().Float64Var(&e.Slowdown, "slowdown", 0.3, "part of the rate that a stream loses in a full batch")
	cmd.Flags().BoolVar(&e.Fencing, "fencing", true, "refuse orders with an old fencing number")
	cmd.Flags().DurationVar(&e.Lag, "lag", time.Second, "how old the load report is")
	return cmd
}

func newPlain() *cobra.Command {
	p := &standin.Plain{}
	cmd := command("plain", "Run a plain service", func() (http.Handler, error) { return p, nil })
	cmd.Flags().StringVar(&p.Name, "name", "p0", "name of the endpoint")
	cmd.Flags().IntVar(&p.Slots, "slots", 8, "calls at a time")
	cmd.Flags().DurationVar(&p.Latency, "latency", 20*time.Millisecond, "time of a call")
	return cmd
}
