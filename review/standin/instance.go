package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// instance is a process of the project, started with the command of the deploy file.
type instance struct {
	name, zone            string
	front, ready, control string
	metricsPort           int
	dir                   string
	record                *record

	mu      sync.Mutex
	process *os.Process   // nil until it is started
	exited  chan struct{} // closed when the process has exited
}

// Ports are taken below those that the kernel gives to connections.
const firstPort, lastPort = 20000, 32000

var portCount atomic.Int64

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + (int64(os.Getpid())*613+portCount.Add(1))%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		return l.Addr().String(), l.Close()
	}
	return "", errNoPort
}

var errNoPort = errors.New("no free port")

// newInstances returns instances that are not started, one for each zone.
func newInstances(dir string, r *record, zones ...string) ([]*instance, error) {
	var list []*instance
	for n, zone := range zones {
		i := &instance{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, dir: dir, record: r}
		var metrics string
		for _, address := range []*string{&i.front, &i.ready, &i.control, &metrics} {
			free, err := freeAddress()
			if err != nil {
				return nil, err
			}
			*address = free
		}
		_, port, _ := net.SplitHostPort(metrics) // the address of a listener always has a port
		i.metricsPort, _ = strconv.Atoi(port)
		list = append(list, i)
	}
	return list, nil
}

func (i *instance) settingsFile() string { return filepath.Join(i.dir, i.name+".json") }

// writeSettings writes the settings file in one step.
func (i *instance) writeSettings(storeAddress string, seeds []string, bootstrap bool) error {
	s := maps.Clone(names.Settings)
	s["nodeName"], s["zone"], s["seeds"], s["bootstrap"] = i.name, i.zone, seeds, bootstrap
	s["listen"] = map[string]string{"front": i.front, "readyAddr": i.ready, "control": i.control}
	s["internalPorts"] = []int{i.metricsPort, i.metricsPort}
	platform := maps.Clone(s["platform"].(map[string]any))
	platform["address"] = storeAddress
	s["platform"] = platform
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	if err := os.WriteFile(i.settingsFile()+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(i.settingsFile()+".new", i.settingsFile())
}

func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(names.Serve[0], names.Serve[1:]...)
	cmd.Env = append(os.Environ(), names.SettingsVariable+"="+i.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.process, i.exited = cmd.Process, exited
	i.mu.Unlock()
	i.record.note("%s starts as process %d", i.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait() // how it exited stands in its state
		_ = log.Close()
		i.record.note("%s has exited: %s", i.name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

// kill ends the process if it was started and still runs.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process == nil {
		return
	}
	_ = i.process.Kill() // it may have exited already
	<-i.exited
}

// signal sends a signal to the process, which was started.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.record.note("%s is sent %s", i.name, sig)
	_ = i.process.Signal(sig) // it may have exited already
}

// isReady reports whether the instance says that it is ready.
func (i *instance) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.ready + names.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pid returns the ID of the process, which was started.
func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process.Pid
}

// awaitReady waits until the instance says that it is ready.
func (i *instance) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if i.isReady() {
			i.record.note("%s is ready", i.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.name, limit)
}
