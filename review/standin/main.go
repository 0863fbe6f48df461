// Command standin plays one case of the review: it starts processes of the project, is the
// store, the servers and the clients of a small deployment for them, and checks one rule by
// what these see. It exits with 1 if the rule was broken, with 0 if it held and with 2 if the
// case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// record is the file in which a case writes what was sent, answered and run. It is safe for
// concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	lines map[string]bool
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	r.lines[line] = true
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.start).Seconds(), line)
}

// has reports whether a line was written.
func (r *record) has(format string, args ...any) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines[fmt.Sprintf(format, args...)]
}

// scene is a small deployment.
type scene struct {
	record       *record
	store        *store
	storeAddress string
	servers      []*server
	instances    []*instance
	trouble      bool
}

// cases are the cases by their names. Each returns what broke the rule, nothing if it held.
var cases = map[string]func(*scene) ([]string, error){}

var errNoCase = errors.New("no such case")

func main() {
	name := flag.String("case", "", "the case to play")
	wire := flag.String("wire", "review/standin/wire.json", "the file with the names of the wire")
	out := flag.String("record", "record.txt", "the file that receives what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *wire, *out))
}

func play(name, wire, out string) int {
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	r := &record{file: file, start: time.Now(), lines: map[string]bool{}}
	broken, err := run(name, wire, r)
	if err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, line := range broken {
		r.note("BROKEN: %s", line)
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}

func run(name, wire string, r *record) ([]string, error) {
	play := cases[name]
	if play == nil {
		return nil, errNoCase
	}
	if err := loadNames(wire); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s := &scene{record: r, store: &store{}, trouble: os.Getenv("TROUBLE") != "0"}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }()
	if err := s.setUp(dir); err != nil {
		return nil, err
	}
	defer s.killAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		s.killAll()
		_ = os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	return play(s)
}

// killAll ends the processes that were started.
func (s *scene) killAll() {
	for _, i := range s.instances {
		i.kill()
	}
}

// zones are the zones of the deployment: one instance each, and servers of each service.
var zones = []string{"tartu", "viljandi", "polva"}

// setUp writes the first configuration and starts the servers. The instances are only
// prepared.
func (s *scene) setUp(dir string) error {
	if err := s.publish(1); err != nil {
		return err
	}
	for _, service := range []string{"model", "portal"} {
		for n, zone := range zones {
			v, err := newServer(s.store, s.record, fmt.Sprintf("i-%s-%d", service, n+1), service, zone)
			if err != nil {
				return err
			}
			if err := v.start(); err != nil {
				return err
			}
			s.servers = append(s.servers, v)
		}
	}
	var err error
	s.instances, err = newInstances(dir, s.record, zones...)
	return err
}

// startAll starts all instances and waits until they are ready.
func (s *scene) startAll() error {
	for _, i := range s.instances {
		if err := i.writeSettings(s.storeAddress, s.seeds(), true); err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range s.instances {
		if err := i.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) seeds() []string {
	var list []string
	for _, i := range s.instances {
		list = append(list, i.control)
	}
	return list
}
