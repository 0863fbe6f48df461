package peer

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// findInterval is the pause between two looks at the directory. Only the
	// first of the instances that hear each other looks: it tells the others.
	findInterval = 10 * time.Second
	// findRetry is the pause after a call that failed.
	findRetry = time.Second
	// enterInterval is how often an instance writes its entry anew, and
	// entryTerm how long an entry counts.
	enterInterval = time.Minute
	entryTerm     = 150 * time.Second
	// findTimeout bounds a call to the directory.
	findTimeout = time.Second
)

// Finder writes an instance into the directory and finds the others there, for when
// the addresses in its settings lead to nobody. Exported fields are set before Serve.
type Finder struct {
	Directory fleet.Directory
	Exchange  *Exchange
	Logger    *zap.Logger
}

// wireEntry is an instance's entry.
type wireEntry struct {
	Member
	// At is when the entry was written, in Unix seconds.
	At int64 `json:"t"`
}

// String names the service in the supervisor's events.
func (f *Finder) String() string { return "finder" }

// Serve implements suture.Service.
func (f *Finder) Serve(ctx context.Context) error {
	var entered, found time.Time
	away := false
	note := func(err error) bool {
		switch {
		case err != nil && !away:
			f.Logger.Warn(event.Lost, zap.String("feed", "directory"), zap.Error(err))
		case err == nil && away:
			f.Logger.Info(event.Regained, zap.String("feed", "directory"))
		}
		away = err != nil
		return err == nil
	}
	for ctx.Err() == nil {
		now := time.Now()
		pause := findInterval
		if now.Sub(entered) > enterInterval {
			if note(f.enter(ctx, now)) {
				entered = now
			} else {
				pause = findRetry
			}
		}
		if f.Exchange.Rank(now) == 0 && now.Sub(found) >= findInterval {
			if note(f.find(ctx, now)) {
				found = now
			} else {
				pause = findRetry
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (f *Finder) enter(ctx context.Context, now time.Time) error {
	self := f.Exchange.Self
	data, err := json.Marshal(wireEntry{Member: self, At: now.Unix()})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	return f.Directory.Put(ctx, self.Name, data)
}

func (f *Finder) find(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	entries, err := f.Directory.List(ctx)
	if err != nil {
		return err
	}
	for key, data := range entries {
		var e wireEntry
		if err := json.Unmarshal(data, &e); err != nil {
			f.Logger.Warn(event.Odd, zap.String("key", key), zap.Error(err))
			continue
		}
		if now.Sub(time.Unix(e.At, 0)) < entryTerm {
			f.Exchange.Meet(e.Member, now)
		}
	}
	return nil
}
