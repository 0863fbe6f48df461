// Package setting reads and checks the settings of a router process. Every setting
// is a flag and an environment variable of the same name.
package setting

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/pflag"
)

// EnvPrefix begins the names of the environment variables.
const EnvPrefix = "GREENGAGESTEP_"

// Settings are the settings of one router process.
type Settings struct {
	// Name is the instance's name in the instance list.
	Name   string
	Domain string
	// Callers, Peers and Operators are the listen addresses, host:port with an
	// IP number.
	Callers   string
	Peers     string
	Operators string
	// Advertise is the peers' address that other instances use; empty means
	// Peers.
	Advertise string
	// Log and List are the base URLs of the platform's services.
	Log  string
	List string
	// Secret authenticates peers and operators.
	Secret string
	// Drain bounds a planned stop.
	Drain time.Duration
	// Retention is how long the log service keeps records.
	Retention time.Duration
	// Memory bounds the bytes of waiting requests.
	Memory int64
}

const (
	defaultDrain     = 10 * time.Minute
	defaultRetention = 24 * time.Hour
	defaultMemory    = 64 << 20 // bytes
	minSecret        = 16       // bytes
)

// Bind adds all settings to a flag set. The secret is read from the environment
// only, so that it does not show in process lists.
func (s *Settings) Bind(f *pflag.FlagSet) {
	f.StringVar(&s.Name, "name", "", "name of this instance, unique in the fleet")
	f.StringVar(&s.Domain, "domain", "", "failure domain of this instance")
	f.StringVar(&s.Callers, "callers", "127.0.0.1:7000", "listen address for callers, IP:port")
	f.StringVar(&s.Peers, "peers", "127.0.0.1:7001", "listen address for other instances, IP:port")
	f.StringVar(&s.Operators, "operators", "127.0.0.1:7002", "listen address for operators, IP:port")
	f.StringVar(&s.Advertise, "advertise", "", "peers' address told to other instances, IP:port; empty means the listen address")
	f.StringVar(&s.Log, "log", "", "base URL of the log service")
	f.StringVar(&s.List, "list", "", "base URL of the instance list")
	f.DurationVar(&s.Drain, "drain", defaultDrain, "longest time that a planned stop waits for requests")
	f.DurationVar(&s.Retention, "retention", defaultRetention, "how long the log service keeps records")
	f.Int64Var(&s.Memory, "memory", defaultMemory, "bytes that waiting requests may hold")
	f.VisitAll(func(flag *pflag.Flag) { flag.Usage += " (environment: " + envName(flag.Name) + ")" })
}

func envName(name string) string { return EnvPrefix + strings.ToUpper(name) }

// Load fills in the environment for flags that were not given and checks
// everything together. It returns all faults, each with the setting's name.
func (s *Settings) Load(f *pflag.FlagSet) error {
	var faults []error
	f.VisitAll(func(flag *pflag.Flag) {
		v, ok := os.LookupEnv(envName(flag.Name))
		if !ok || flag.Changed {
			return
		}
		if err := f.Set(flag.Name, v); err != nil {
			faults = append(faults, fmt.Errorf("%s: %q cannot be read: %w", envName(flag.Name), v, err))
		}
	})
	s.Secret = os.Getenv(envName("secret"))
	faults = append(faults, s.Check()...)
	return errors.Join(faults...)
}

// Check returns every fault of the settings.
func (s *Settings) Check() []error {
	var faults []error
	add := func(name, format string, args ...any) {
		faults = append(faults, fmt.Errorf("%s: %s", name, fmt.Sprintf(format, args...)))
	}
	if s.Name == "" {
		add("name", "must be set")
	}
	if s.Domain == "" {
		add("domain", "must be set")
	}
	for _, a := range [][2]string{{"callers", s.Callers}, {"peers", s.Peers}, {"operators", s.Operators}} {
		if err := checkAddress(a[1]); err != nil {
			add(a[0], "%v", err)
		}
	}
	if s.Advertise != "" {
		if err := checkAddress(s.Advertise); err != nil {
			add("advertise", "%v", err)
		}
	}
	for _, u := range [][2]string{{"log", s.Log}, {"list", s.List}} {
		if err := checkURL(u[1]); err != nil {
			add(u[0], "%v", err)
		}
	}
	if len(s.Secret) < minSecret {
		add(envName("secret"), "must be set in the environment and have at least %d bytes", minSecret)
	}
	if s.Drain <= 0 {
		add("drain", "must be above 0, is %s", s.Drain)
	}
	if s.Retention < time.Minute {
		add("retention", "must be at least 1m, is %s", s.Retention)
	}
	if s.Memory < 1<<20 {
		add("memory", "must be at least 1048576 bytes, is %d", s.Memory)
	}
	return faults
}

func checkAddress(a string) error {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return fmt.Errorf("address %q is not IP:port: %w", a, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("address %q must have an IP number, not the name %q", a, host)
	}
	if port == "" {
		return fmt.Errorf("address %q has no port", a)
	}
	return nil
}

func checkURL(u string) error {
	parsed, err := url.Parse(u)
	if err != nil {
		return fmt.Errorf("URL %q cannot be read: %w", u, err)
	}
	if parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return fmt.Errorf("URL %q must be like http://IP:port", u)
	}
	return nil
}
