package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"
)

// Options configures a demo run. The default of a field applies if it is zero.
type Options struct {
	// Seed determines the arrivals.
	Seed uint64
	// Length is how long callers send requests; zero means 8 s.
	Length time.Duration
	// Instances and Domains are the numbers of router instances and failure domains;
	// zero means 5 and 3.
	Instances int
	Domains   int
	// Flood names the kind of work that overloads the fleet during the middle half
	// of Length; "any" selects one by the seed, empty means none.
	Flood string
	// Restart restarts the instances gracefully, one after the other.
	Restart bool
	// Cut partitions one failure domain from the network during the middle third of
	// Length.
	Cut bool
}

// Report holds the results of a run as counted at the callers and the endpoints.
type Report struct {
	// Sent requests end as Answered, Refused, Unknown, Lost or Cut. Unknown requests
	// may or may not have been executed.
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
	// Lost is the number of requests with no answer or an incorrect one.
	Lost int `json:"lost"`
	// Doubled is the number of idempotency keys that were executed more than once, or
	// executed although the request was refused.
	Doubled int `json:"doubled"`
	// Cut is the number of answers that ended before they were complete.
	Cut int `json:"cut"`
	// Gap is the largest difference in service between two customers while both
	// had requests waiting, in tokens.
	Gap float64 `json:"gap"`
	// Idle is the fraction of slot time that was unused while requests waited, 0 to 1.
	Idle float64 `json:"idle"`
	// Control is the mean control traffic that an instance sent to its peers, in bytes
	// per second.
	Control float64 `json:"control"`
	// Kept is the service rate of the other kinds of work during the flood, divided
	// by their rate before it; 1 without a flood.
	Kept float64 `json:"kept"`
}

// Bad reports whether any request was lost, executed twice or cut off, none of which
// may ever happen.
func (r Report) Bad() bool { return r.Lost+r.Doubled+r.Cut > 0 }

var kinds = []string{"plan", "summary", "tag"}

const (
	customerCount      = 8
	largeCustomerCount = 2 // customers that send many more requests than the others
	engineCount        = 6
	plainCount         = 2
)

func (o Options) withDefaults() (Options, error) {
	if o.Length == 0 {
		o.Length = 8 * time.Second
	}
	if o.Instances == 0 {
		o.Instances = 5
	}
	if o.Domains == 0 {
		o.Domains = 3
	}
	if o.Instances < o.Domains {
		return o, fmt.Errorf("demo: %d instances cannot cover %d failure domains", o.Instances, o.Domains)
	}
	if o.Flood == "any" {
		o.Flood = kinds[o.Seed%uint64(len(kinds))]
	}
	if o.Flood != "" && !strings.Contains(" "+strings.Join(kinds, " ")+" ", " "+o.Flood+" ") {
		return o, fmt.Errorf("demo: kind %q must be one of %s or any", o.Flood, strings.Join(kinds, ", "))
	}
	return o, nil
}

// ConfigText returns the fleet configuration of a demo as YAML.
func ConfigText() string {
	var b strings.Builder
	b.WriteString(`services:
  - name: portal
    unit: time
    slots: 4
  - name: model
    needs: [portal]
    model: assistant
    slots: 4
    rate: 200
    fencing: true
    resume: true
    repeat: [GET, POST]
customers:
`)
	for i := range customerCount {
		fmt.Fprintf(&b, "  - name: c%d\n    keys: [key-%d]\n", i, i)
	}
	b.WriteString(`kinds:
  - name: plan
    urgency: 2
  - name: summary
  - name: tag
models:
  - name: assistant
    version: "1"
`)
	return b.String()
}

// Run runs the demo and writes its progress to out. It returns an error if the options
// are invalid, the fleet cannot be started or an instance does not stop.
func Run(ctx context.Context, o Options, out io.Writer) (Report, error) {
	o, err := o.withDefaults()
	if err != nil {
		return Report{}, err
	}
	site := &Site{InstanceCount: o.Instances, DomainCount: o.Domains, EngineCount: engineCount, PlainCount: plainCount}
	if err := site.Start(); err != nil {
		return Report{}, err
	}
	published, err := site.Publish(ctx, ConfigText(), 0)
	if err != nil {
		return Report{}, err
	}
	for _, status := range published.Instances {
		fmt.Fprintf(out, "version %d in force at %s after %d ms\n", published.Version, status.Instance, status.Millis)
	}
	l := newLoadGenerator(site, o)
	faults := make(chan error, 1)
	go func() { faults <- l.injectFaults(ctx, out) }()
	l.run(ctx, out)
	if err := <-faults; err != nil {
		return Report{}, err
	}
	report := l.report(ctx)
	return report, site.Close()
}

// injectFaults injects the faults that the options select while the load runs.
func (l *loadGenerator) injectFaults(ctx context.Context, out io.Writer) error {
	if l.options.Cut {
		go l.partitionOnce(out)
	}
	if !l.options.Restart {
		return nil
	}
	time.Sleep(l.options.Length / 8)
	for _, n := range l.site.Nodes {
		fmt.Fprintf(out, "restarting %s\n", n.Name)
		l.balancer.remove(n)
		if err := n.Restart(); err != nil {
			return err
		}
		l.balancer.add(ctx, n)
	}
	return nil
}

func (l *loadGenerator) partitionOnce(out io.Writer) {
	domain := "d0"
	time.Sleep(l.options.Length / 3)
	fmt.Fprintf(out, "cutting %s off\n", domain)
	l.site.SetPartitioned(domain, true)
	time.Sleep(l.options.Length / 3)
	fmt.Fprintf(out, "joining %s again\n", domain)
	l.site.SetPartitioned(domain, false)
}
