package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"
)

// names are the names of the platform's wire, from names.json.
type names struct {
	SettingsVariable string `json:"settingsVariable"`
	ReadyPath        string `json:"readyPath"`
	AppendPath       string `json:"appendPath"`
	ReadPath         string `json:"readPath"`
	NewestPath       string `json:"newestPath"`
	OperatorTopic    string `json:"operatorTopic"`
	ServersTopic     string `json:"serversTopic"`
	KeyedPrefix      string `json:"keyedPrefix"`
	ConfigKey        string `json:"configKey"`
	EraHeader        string `json:"eraHeader"`
	RequestHeader    string `json:"requestHeader"`
	SealHeader       string `json:"sealHeader"`
	DeadlineHeader   string `json:"deadlineHeader"`
	ExpectHeader     string `json:"expectHeader"`
	TenantHeader     string `json:"tenantHeader"`
	NotRunHeader     string `json:"notRunHeader"`
	LoadHeader       string `json:"loadHeader"`
	PrefixHeader     string `json:"prefixHeader"`
	UsageHeader      string `json:"usageHeader"`
	ModelHeader      string `json:"modelHeader"`
}

// bed is one run: the processes of the system and the stand-ins beside them.
type bed struct {
	names   names
	data    string // directory of the data files
	dir     string // temporary directory
	record  *os.File
	start   time.Time
	store   *store
	address string // of the store
	fronts  []*front
	servers []*server
	nextID  atomic.Int64
	work    time.Duration // of a server on a request

	mu     sync.Mutex
	runs   map[string][]string // services that ran a request, by its ID
	failed error               // why the case could not run as it should
}

// fail records that the case cannot run as it should.
func (b *bed) fail(err error) {
	b.log("%v", err)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed = err
}

// log writes a line to the record.
func (b *bed) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f ", time.Since(b.start).Seconds())
	fmt.Fprintf(b.record, format+"\n", args...)
}

// failure returns why the case could not run as it should, nil if it could.
func (b *bed) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failed
}

// newBed reads the data files and starts the store.
func newBed(data, record string) (*bed, error) {
	b := &bed{data: data, start: time.Now(), runs: map[string][]string{}, work: 15 * time.Millisecond}
	text, err := os.ReadFile(filepath.Join(data, "names.json"))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &b.names); err != nil {
		return nil, err
	}
	if b.dir, err = os.MkdirTemp("", "bed3-"); err != nil {
		return nil, err
	}
	if b.record, err = os.Create(record); err != nil {
		return nil, err
	}
	b.store = newStore(b.names)
	b.address, err = serve(b.store)
	return b, err
}

// serve serves a handler on a free port.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// close ends all processes.
func (b *bed) close() {
	for _, f := range b.fronts {
		f.kill()
	}
	_ = os.RemoveAll(b.dir)
	_ = b.record.Close()
}

// fill fills in a template of the data files.
func (b *bed) fill(name string, values any) (string, error) {
	t, err := template.ParseFiles(filepath.Join(b.data, name))
	if err != nil {
		return "", err
	}
	var text bytes.Buffer
	err = t.Execute(&text, values)
	return text.String(), err
}

// front is one process of the system.
type front struct {
	bed                               *bed
	Name, Zone, Front, Ready, Control string
	Internal                          int
	Seeds                             []string
	Bootstrap                         bool
	Store                             string
	process                           *exec.Cmd
	done                              chan struct{}
}

// freePort returns a port on which nothing listens, below the range from which the system takes ports
// for connections.
func freePort() (int, error) {
	for range 1000 {
		port := 20000 + int(nextPort.Add(1)+int64(os.Getpid())*37)%12000
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err == nil {
			return port, l.Close()
		}
	}
	return 0, fmt.Errorf("no port is free")
}

var nextPort atomic.Int64

// addFronts prepares the processes, one for each zone that is named.
func (b *bed) addFronts(zones ...string) error {
	var seeds []string
	for n, zone := range zones {
		var ports [4]int
		for i := range ports {
			port, err := freePort()
			if err != nil {
				return err
			}
			ports[i] = port
		}
		at := func(i int) string { return "127.0.0.1:" + strconv.Itoa(ports[i]) }
		b.fronts = append(b.fronts, &front{
			bed: b, Name: fmt.Sprintf("front-%s-%d", zone, n+1), Zone: zone, Front: at(0), Ready: at(1), Control: at(2), Internal: ports[3],
			Bootstrap: true, Store: b.address,
		})
		if len(seeds) < 3 {
			seeds = append(seeds, at(2))
		}
	}
	for _, f := range b.fronts {
		f.Seeds = seeds
		text, err := b.fill("settings.tmpl", f)
		if err != nil {
			return err
		}
		if err := os.WriteFile(f.settings(), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (f *front) settings() string { return filepath.Join(f.bed.dir, f.Name+".json") }

// run starts the process with the command of the deploy file.
func (f *front) run() error {
	out, err := os.OpenFile(filepath.Join(f.bed.dir, f.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/greengagestep", "serve")
	cmd.Env = append(os.Environ(), f.bed.names.SettingsVariable+"="+f.settings())
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	f.process, f.done = cmd, done
	return nil
}

func (f *front) signal(s syscall.Signal) {
	if f.process != nil {
		_ = f.process.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (f *front) kill() {
	if f.process == nil {
		return
	}
	f.signal(syscall.SIGCONT)
	f.signal(syscall.SIGKILL)
	<-f.done
	f.process = nil
}

// isReady asks as the platform does.
func (f *front) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + f.Ready + f.bed.names.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startFronts starts all processes and waits until they are ready.
func (b *bed) startFronts() error {
	for _, f := range b.fronts {
		if err := f.run(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; {
		ready := 0
		for _, f := range b.fronts {
			if f.isReady() {
				ready++
			}
		}
		if ready == len(b.fronts) {
			b.log("all %d processes are ready", ready)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d processes are ready", ready, len(b.fronts))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// server is a sound server.
type server struct {
	bed                        *bed
	ID, Service, Address, Zone string
	State                      string
	Born                       int64

	mu       sync.Mutex
	sequence int
	running  int
}

// Sequence counts the server's records.
func (s *server) Sequence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return s.sequence
}

func (b *bed) addServer(id, service, zone string) error {
	s := &server{bed: b, ID: id, Service: service, Zone: zone, State: "ready", Born: time.Now().UnixMilli()}
	var err error
	if s.Address, err = serve(s); err != nil {
		return err
	}
	b.servers = append(b.servers, s)
	return nil
}

// beat writes the server's record; it writes it again until the store takes it.
func (s *server) beat(ctx context.Context) error {
	text, err := s.bed.fill("server.tmpl", s)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if _, err := s.bed.store.put(s.bed.names.ServersTopic, s.ID, text); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return ctx.Err()
}

// beats writes the server's record every 1.2 s.
func (s *server) beats(ctx context.Context) {
	for ctx.Err() == nil {
		_ = s.beat(ctx)
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := s.bed.names
	id := r.Header.Get(n.RequestHeader)
	w.Header().Set(n.RequestHeader, id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get(n.ExpectHeader); expected != "" && expected != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.running++
	running := s.running
	s.mu.Unlock()
	s.bed.mu.Lock()
	s.bed.runs[id] = append(s.bed.runs[id], s.Service)
	s.bed.mu.Unlock()
	time.Sleep(s.bed.work)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	w.Header().Set(n.LoadHeader, fmt.Sprintf("%d,0,6", running))
	w.Header().Set(n.SealHeader, "seal."+s.ID)
	_, _ = io.WriteString(w, strings.Repeat("x", 800))
}

// answer is what a client gets.
type answer struct {
	id     string
	status int
	sealed bool
	err    error
	ranAt  []string
}

// book sends a booking to a process, over a connection of its own.
func (b *bed) book(f *front, path, key string) answer {
	a := answer{id: fmt.Sprintf("%016x", b.nextID.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.Front+path, strings.NewReader("cord"))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "portal.example"
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(b.names.RequestHeader, a.id)
	req.Header.Set(b.names.DeadlineHeader, "1000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
	} else {
		_, a.err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		a.status, a.sealed = resp.StatusCode, resp.Header.Get(b.names.SealHeader) != ""
	}
	b.mu.Lock()
	a.ranAt = b.runs[a.id]
	b.mu.Unlock()
	return a
}
