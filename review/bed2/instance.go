package bed2

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Instance is one process of the fleet. Exported fields are set before Start.
type Instance struct {
	Binary, Dir, Name, Zone, Store string
	Front, Ready, Control          string
	Seeds                          []string
	MemoryMB, GraceS               int

	internal int
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// Ports of instances are below those that the kernel gives to connections, so that none is taken before its use.
const (
	firstPort = 20000
	ports     = 12000
)

var lastPort = os.Getpid() * 97

// FreeAddress returns a loopback address on which nothing listens, a different one at each call. It is not safe for
// concurrent use.
func FreeAddress() (string, error) {
	for range ports {
		lastPort++
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+lastPort%ports))
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// NewInstances returns n instances in two zones that know each other.
func NewInstances(n int, binary, dir, store string) ([]*Instance, error) {
	list, seeds := make([]*Instance, n), []string{}
	for k := range list {
		i := &Instance{Binary: binary, Dir: dir, Name: fmt.Sprintf("front-%d", k+1), Zone: []string{"tartu", "viljandi"}[k%2], Store: store, MemoryMB: 544, GraceS: 8}
		for _, a := range []*string{&i.Front, &i.Ready, &i.Control} {
			address, err := FreeAddress()
			if err != nil {
				return nil, err
			}
			*a = address
		}
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		_, port, _ := net.SplitHostPort(address) // an address of a listener
		i.internal, _ = strconv.Atoi(port)
		list[k], seeds = i, append(seeds, i.Control)
	}
	for _, i := range list {
		i.Seeds = seeds
	}
	return list, nil
}

func (i *Instance) settingsFile() string { return filepath.Join(i.Dir, i.Name+".json") }

// WriteSettings writes the settings file in one step.
func (i *Instance) WriteSettings() error {
	text := Fill(Wire.Settings, map[string]any{
		"name": i.Name, "zone": i.Zone, "front": i.Front, "ready": i.Ready, "control": i.Control, "internal": i.internal,
		"seeds": `"` + strings.Join(i.Seeds, `","`) + `"`, "memory": i.MemoryMB, "grace": i.GraceS, "store": i.Store,
	})
	if err := os.WriteFile(i.settingsFile()+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(i.settingsFile()+".new", i.settingsFile())
}

// Start writes the settings and starts the process with the command of the deploy file.
func (i *Instance) Start() error {
	if err := i.WriteSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.Dir, i.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(i.Binary, "serve")
	cmd.Env = append(os.Environ(), Wire.SettingsVariable+"="+i.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait() // only that it ended matters
		_ = log.Close()
		close(done)
	}()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cmd, i.done = cmd, done
	return nil
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s) // it may have ended
	}
}

// Done returns a channel that is closed when the process has ended.
func (i *Instance) Done() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.done
}

// Kill ends the process and waits for its end.
func (i *Instance) Kill() {
	if i.Done() == nil {
		return
	}
	i.Signal(syscall.SIGCONT)
	i.Signal(syscall.SIGKILL)
	<-i.Done()
}

// IsReady asks the process whether it is ready.
func (i *Instance) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.Ready + Wire.Paths["ready"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the process is ready.
func (i *Instance) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.Name, limit)
}

// MemoryUse returns the memory that the process takes, in MB.
func (i *Instance) MemoryUse() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0]) // written by the kernel
			return kb >> 10
		}
	}
	return 0
}
