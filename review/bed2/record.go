package bed2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, with the time since the start. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates a record.
func NewRecord(name string) (*Record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// Print writes a line and shows it.
func (r *Record) Print(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Add(format, args...)
}

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// Trouble reports whether the disruption is played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
