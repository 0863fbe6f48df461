package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// crashesKey is the key of the only record in the storage.
	crashesKey = "crashes"
	// maxWriterRank is the highest rank of the instances that write the record: more than
	// one, because some of them may not reach the platform.
	maxWriterRank = 2
	// storeTimeout bounds a call to the platform.
	storeTimeout = 800 * time.Millisecond
	// storeRefreshInterval is how often the record is written while it holds crashes, so that their
	// ages in it are out of date by no more.
	storeRefreshInterval = time.Minute
	// storeRetryInterval is the pause after a failed call, storeInterval the shortest one
	// between two writes.
	storeRetryInterval = 300 * time.Millisecond
	storeInterval      = 100 * time.Millisecond
	// rankInterval is how often an instance that does not write checks its rank.
	rankInterval = 2 * time.Second
	// maxRecordSignatures bounds the signatures in the record, of up to 20 digits each: the
	// platform takes records of 256 KiB.
	maxRecordSignatures = 1 << 13
)

// Store keeps the crashes that the rules of a quarantine explain on the platform, so that the
// rules outlive a restart of all instances. Exported fields are set before Serve. It
// implements suture.Service.
type Store struct {
	List    *List
	Storage fleet.KeyValueStore
	// Rank returns the position of this instance among those that reach each other. The
	// first ones write.
	Rank   func() int
	Logger *zap.Logger

	reload  atomic.Bool // the record has to be read again
	loaded  bool
	saved   []fleet.Suspect // that the record has, as far as this instance knows
	savedAt time.Time       // when it was read or last written
}

// wireRecord is the record in the storage.
type wireRecord struct {
	// Written is when the record was written, in Unix milliseconds. Only earlier versions read it:
	// the clocks of writer and reader may differ by any time.
	Written int64 `json:"written"`
	// Crashes have the ages that they had when the record was written.
	Crashes []wireReport `json:"crashes"`
}

// String returns the name of the service in the supervisor's events.
func (s *Store) String() string { return "quarantine store" }

// Reload makes the record be read again and, if it is out of date, written: the platform was restored
// from an older copy. Only the instances that write the record do so.
func (s *Store) Reload() {
	s.reload.Store(true)
	select {
	case s.List.updated <- struct{}{}:
	default:
	}
}

// Serve implements suture.Service. It reads the record once and then writes it whenever the
// crashes that the rules explain have changed.
func (s *Store) Serve(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		err := s.synchronize(ctx)
		switch {
		case err != nil && !failing:
			s.Logger.Warn(event.DependencyLost, zap.String("feed", "quarantine"), zap.Error(err))
		case err == nil && failing:
			s.Logger.Info(event.DependencyRecovered, zap.String("feed", "quarantine"))
		}
		failing = err != nil
		if failing {
			sleep(ctx, storeRetryInterval)
			continue
		}
		sleep(ctx, storeInterval)
		select {
		case <-s.List.updated:
		case <-time.After(rankInterval):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// synchronize reads the record if it has not been read, and writes it if it is out of date.
func (s *Store) synchronize(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if s.Rank() <= maxWriterRank && s.reload.CompareAndSwap(true, false) {
		s.loaded = false
	}
	if !s.loaded {
		values, err := s.Storage.List(ctx)
		if err != nil {
			return err
		}
		s.loaded, s.saved, s.savedAt = true, nil, time.Now()
		if data := values[crashesKey]; data != nil {
			if s.saved, err = s.List.restore(data); err != nil {
				s.Logger.Warn(event.InvalidData, zap.String("key", crashesKey), zap.Error(err))
			}
		}
	}
	causes := s.List.causes()
	now := time.Now()
	upToDate := slices.EqualFunc(causes, s.saved, sameCause) && (len(causes) == 0 || now.Sub(s.savedAt) < storeRefreshInterval)
	if upToDate || s.Rank() > maxWriterRank {
		return nil
	}
	if err := s.Storage.Put(ctx, crashesKey, encodeRecord(causes, now)); err != nil {
		return err
	}
	s.saved, s.savedAt = causes, now
	return nil
}

func sameCause(a, b fleet.Suspect) bool {
	return a.Endpoint == b.Endpoint && a.Request == b.Request && slices.Equal(a.Signatures, b.Signatures)
}

// encodeRecord encodes the newest causes, as many as a record can hold.
func encodeRecord(causes []fleet.Suspect, now time.Time) []byte {
	record := wireRecord{Written: now.UnixMilli(), Crashes: []wireReport{}}
	first, size := len(causes), 0
	for first > 0 && size+len(causes[first-1].Signatures) <= maxRecordSignatures {
		first--
		size += len(causes[first].Signatures)
	}
	for _, c := range causes[first:] {
		record.Crashes = append(record.Crashes, report{suspect: c, at: c.Broken}.encode(now))
	}
	data, err := json.Marshal(record)
	if err != nil {
		panic(err) // strings, numbers and durations can be encoded
	}
	return data
}

// restore adds the crashes of a record, as old as they were when it was written, and returns them. It
// returns an error if the record cannot be decoded.
func (l *List) restore(data []byte) ([]fleet.Suspect, error) {
	var record wireRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, fmt.Errorf("quarantine: unreadable record: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var restored []fleet.Suspect
	for _, r := range record.Crashes {
		if r.Endpoint != "" && r.valid() {
			s := r.suspect(now)
			l.addSuspect(s, sourceStorage, now)
			restored = append(restored, s)
		}
	}
	l.review(now)
	return restored, nil
}

// causes returns, for each crash that a rule explains, what the requests that may have caused
// it have in common.
func (l *List) causes() []fleet.Suspect {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.review(time.Now())
	var causes []fleet.Suspect
	for _, c := range l.evidence.crashes {
		if c.cause != nil {
			causes = append(causes, *c.cause)
		}
	}
	return causes
}
