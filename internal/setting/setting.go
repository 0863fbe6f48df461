// Package setting reads and validates the settings of a router process. Every setting but
// the secret is both a flag and an environment variable; the variable is named EnvPrefix
// followed by the name of the flag in upper case.
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

// EnvPrefix is the prefix of the names of the environment variables.
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
	// Advertise is the address under which other instances reach the peers'
	// address; empty means Peers.
	Advertise string
	// LogURL and InstanceListURL are the base URLs of the log service and of the
	// instance list.
	LogURL          string
	InstanceListURL string
	// Secret is shared by the instances and operators to authenticate each
	// other.
	Secret string
	// DrainTimeout is the longest time that a graceful stop waits for requests.
	DrainTimeout time.Duration
	// Retention is how long the log service keeps records.
	Retention time.Duration
	// MaxWaitingBytes is the limit on the memory that waiting requests hold.
	MaxWaitingBytes int64
}

const (
	defaultDrainTimeout    = 10 * time.Minute
	defaultRetention       = 24 * time.Hour
	defaultMaxWaitingBytes = 64 << 20 // bytes
	minSecretBytes         = 16       // bytes
)

// AddFlags defines the flags of all settings in a flag set. The secret has no flag: it is
// read from the environment only, so that it does not show in process lists.
func (s *Settings) AddFlags(f *pflag.FlagSet) {
	f.StringVar(&s.Name, "name", "", "name of this instance, unique in the fleet")
	f.StringVar(&s.Domain, "domain", "", "failure domain of this instance")
	f.StringVar(&s.Callers, "callers", "127.0.0.1:7000", "listen address for callers, IP:port")
	f.StringVar(&s.Peers, "peers", "127.0.0.1:7001", "listen address for other instances, IP:port")
	f.StringVar(&s.Operators, "operators", "127.0.0.1:7002", "listen address for operators, IP:port")
	f.StringVar(&s.Advertise, "advertise", "", "peers' address told to other instances, IP:port; empty means the listen address")
	f.StringVar(&s.LogURL, "log", "", "base URL of the log service")
	f.StringVar(&s.InstanceListURL, "list", "", "base URL of the instance list")
	f.DurationVar(&s.DrainTimeout, "drain", defaultDrainTimeout, "longest time that a planned stop waits for requests")
	f.DurationVar(&s.Retention, "retention", defaultRetention, "how long the log service keeps records")
	f.Int64Var(&s.MaxWaitingBytes, "memory", defaultMaxWaitingBytes, "bytes that waiting requests may hold")
	f.VisitAll(func(flag *pflag.Flag) { flag.Usage += " (environment: " + envVariable(flag.Name) + ")" })
}

func envVariable(name string) string { return EnvPrefix + strings.ToUpper(name) }

// Load sets the flags that were not given from the environment, and validates all
// settings. It returns all errors joined, each with the name of its setting.
func (s *Settings) Load(f *pflag.FlagSet) error {
	var faults []error
	f.VisitAll(func(flag *pflag.Flag) {
		v, ok := os.LookupEnv(envVariable(flag.Name))
		if !ok || flag.Changed {
			return
		}
		if err := f.Set(flag.Name, v); err != nil {
			faults = append(faults, fmt.Errorf("%s: %q cannot be read: %w", envVariable(flag.Name), v, err))
		}
	})
	s.Secret = os.Getenv(envVariable("secret"))
	faults = append(faults, s.Check()...)
	return errors.Join(faults...)
}

// Check validates the settings. It returns all errors, or nil if there are none.
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
	for _, u := range [][2]string{{"log", s.LogURL}, {"list", s.InstanceListURL}} {
		if err := checkURL(u[1]); err != nil {
			add(u[0], "%v", err)
		}
	}
	if len(s.Secret) < minSecretBytes {
		add(envVariable("secret"), "must be set in the environment and have at least %d bytes", minSecretBytes)
	}
	if s.DrainTimeout <= 0 {
		add("drain", "must be above 0, is %s", s.DrainTimeout)
	}
	if s.Retention < time.Minute {
		add("retention", "must be at least 1m, is %s", s.Retention)
	}
	if s.MaxWaitingBytes < 1<<20 {
		add("memory", "must be at least 1048576 bytes, is %d", s.MaxWaitingBytes)
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
