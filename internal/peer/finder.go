package peer

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// discoverInterval is the pause between two reads of the directory. Only the
	// live instance of rank 0 reads it: the others learn of the members from
	// its messages.
	discoverInterval = 10 * time.Second
	// directoryRetryInterval is the pause after a failed call to the directory.
	directoryRetryInterval = time.Second
	// registerInterval is how often an instance rewrites its entry, and
	// entryTTL is how long an entry that is not rewritten stays valid.
	registerInterval = time.Minute
	entryTTL         = 150 * time.Second
	// directoryTimeout bounds a call to the directory.
	directoryTimeout = time.Second
)

// Finder registers an instance in the directory and discovers the others there, in
// case no instance can be reached at the addresses in its settings. Exported fields
// are set before Serve.
type Finder struct {
	Directory fleet.KeyValueStore
	Exchange  *Exchange
	Logger    *zap.Logger

	lost    atomic.Bool // the instance's entry may be gone
	writes  int
	entries map[string]readEntry // by key
}

// readEntry is an entry as it was last read, and when it was first read so. Clocks of instances
// differ: its age is what this instance observed.
type readEntry struct {
	data  string
	since time.Time
}

// wireEntry is an instance's entry in the directory.
type wireEntry struct {
	Member
	// At is when the entry was written, in Unix seconds, by the clock of its instance.
	At int64 `json:"t"`
	// Writes counts the entries that this start of the instance has written: each differs from
	// the one before, whatever the clock shows.
	Writes int `json:"w"`
}

// String returns the name of the service in the supervisor's events.
func (f *Finder) String() string { return "finder" }

// Serve implements suture.Service.
func (f *Finder) Serve(ctx context.Context) error {
	var registeredAt, discoveredAt time.Time
	failing := false
	logResult := func(err error) bool {
		switch {
		case err != nil && !failing:
			f.Logger.Warn(event.DependencyLost, zap.String("feed", "directory"), zap.Error(err))
		case err == nil && failing:
			f.Logger.Info(event.DependencyRecovered, zap.String("feed", "directory"))
		}
		failing = err != nil
		return err == nil
	}
	for ctx.Err() == nil {
		now := time.Now()
		pause := discoverInterval
		if f.lost.Swap(false) {
			registeredAt = time.Time{}
		}
		if now.Sub(registeredAt) > registerInterval {
			if logResult(f.register(ctx, now)) {
				registeredAt = now
			} else {
				pause = directoryRetryInterval
			}
		}
		if f.Exchange.Rank(now) == 0 && now.Sub(discoveredAt) >= discoverInterval {
			if logResult(f.discover(ctx, now)) {
				discoveredAt = now
			} else {
				pause = directoryRetryInterval
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// Reregister makes the instance rewrite its entry within discoverInterval: the platform was restored
// from an older copy. Instances do so at different times, as they started.
func (f *Finder) Reregister() { f.lost.Store(true) }

func (f *Finder) register(ctx context.Context, now time.Time) error {
	self := f.Exchange.Self
	f.writes++
	data, err := json.Marshal(wireEntry{Member: self, At: now.Unix(), Writes: f.writes})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	return f.Directory.Put(ctx, self.Name, data)
}

func (f *Finder) discover(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	entries, err := f.Directory.List(ctx)
	if err != nil {
		return err
	}
	f.observe(entries, now)
	for key, data := range entries {
		if now.Sub(f.entries[key].since) >= entryTTL {
			continue
		}
		var e wireEntry
		if err := json.Unmarshal(data, &e); err != nil {
			f.Logger.Warn(event.InvalidData, zap.String("key", key), zap.Error(err))
			continue
		}
		f.Exchange.AddPeer(e.Member, now)
	}
	return nil
}

// observe records which entries have changed since they were last read.
func (f *Finder) observe(entries map[string][]byte, now time.Time) {
	read := make(map[string]readEntry, len(entries))
	for key, data := range entries {
		e, known := f.entries[key]
		if !known || e.data != string(data) {
			e = readEntry{string(data), now}
		}
		read[key] = e
	}
	f.entries = read
}
