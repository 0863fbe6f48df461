package claim

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// appendInterval is the least time between two appends of one shard. With
	// 8 shards it bounds the fleet to 160 appends a second.
	appendInterval = 50 * time.Millisecond
	// appendTimeout bounds one append with the reads that settle it.
	appendTimeout = 10 * time.Second
	// pageSize is how many records are read at a time.
	pageSize = 256
	// maxBatch bounds the claims in one record.
	maxBatch = 512
)

// ErrUnavailable is returned when the log service could not be used, so that no
// claim was decided.
var ErrUnavailable = errors.New("claim: log service unavailable")

// shard batches the claims of one stream and decides them by reading back.
type shard struct {
	log    fleet.Log
	stream string

	mu      sync.Mutex
	index   *index
	waiting []*ask
	busy    bool
	last    time.Time
	appends int
}

// ask is a claim or a release that waits for its record.
type ask struct {
	claim   Claim
	release bool
	done    chan error
}

func newShard(log fleet.Log, number int) *shard {
	return &shard{log: log, stream: Stream(number), index: newIndex()}
}

// decide returns the winner of a claim's key: the claim itself or an earlier one.
// It returns ErrUnavailable if the log could not be used; the claim may be in the
// log all the same.
func (s *shard) decide(ctx context.Context, c Claim) (Claim, error) {
	if w, held := s.holder(ctx, c); held {
		return w, nil
	}
	if err := s.submit(ctx, c, false); err != nil {
		return Claim{}, err
	}
	w, ok := s.winner(c)
	if !ok {
		return Claim{}, ErrUnavailable
	}
	return w, nil
}

// holder returns an earlier claim that holds the key, if one is known. It reads on
// first, in case that one was released; if the log cannot be read, it stands.
func (s *shard) holder(ctx context.Context, c Claim) (Claim, bool) {
	w, held := s.winner(c)
	if !held || w.ID == c.ID {
		return w, held
	}
	_ = s.readAll(ctx)
	return s.winner(c)
}

func (s *shard) winner(c Claim) (Claim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.winner(c.subject())
}

// release makes a key free again after a claim whose request never ran.
func (s *shard) release(ctx context.Context, c Claim) error {
	return s.submit(ctx, c, true)
}

func (s *shard) submit(ctx context.Context, c Claim, release bool) error {
	s.mu.Lock()
	a := &ask{claim: c, release: release, done: make(chan error, 1)}
	s.waiting = append(s.waiting, a)
	if !s.busy {
		s.busy = true
		go s.flush()
	}
	s.mu.Unlock()
	select {
	case err := <-a.done:
		return err
	case <-ctx.Done():
		return ErrUnavailable
	}
}

// flush appends what waits, batch after batch, until nothing does.
func (s *shard) flush() {
	for {
		s.mu.Lock()
		if len(s.waiting) == 0 {
			s.busy = false
			s.mu.Unlock()
			return
		}
		pause := appendInterval - time.Since(s.last)
		s.mu.Unlock()
		if pause > 0 {
			time.Sleep(pause)
		}
		s.mu.Lock()
		batch := s.waiting[:min(len(s.waiting), maxBatch)]
		s.waiting = s.waiting[len(batch):]
		s.last = time.Now()
		s.mu.Unlock()
		err := s.write(batch)
		for _, a := range batch {
			a.done <- err
		}
	}
}

func (s *shard) write(batch []*ask) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	var w wireBatch
	for _, a := range batch {
		if a.release {
			w.Releases = append(w.Releases, a.claim)
		} else {
			w.Claims = append(w.Claims, a.claim)
		}
	}
	data, err := json.Marshal(w)
	if err != nil {
		return err
	}
	offset, err := s.log.Append(ctx, s.stream, data)
	if err != nil {
		return s.settle(ctx, batch)
	}
	s.mu.Lock()
	s.appends++
	if offset == s.index.next && offset > 0 {
		defer s.mu.Unlock()
		return s.index.apply(offset, data)
	}
	s.mu.Unlock()
	return s.readAll(ctx)
}

// settle finds out by reading what became of an append whose answer was lost.
func (s *shard) settle(ctx context.Context, batch []*ask) error {
	if err := s.readAll(ctx); err != nil {
		return ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range batch {
		w, ok := s.index.winner(a.claim.subject())
		if a.release && ok && w.ID == a.claim.ID {
			return ErrUnavailable
		}
		if !a.release && !ok {
			return ErrUnavailable
		}
	}
	return nil
}

// readAll reads the stream to its end.
func (s *shard) readAll(ctx context.Context) error {
	for {
		s.mu.Lock()
		next := s.index.next
		s.mu.Unlock()
		page, err := s.log.Read(ctx, s.stream, next, pageSize)
		if errors.Is(err, fleet.ErrTrimmed) {
			s.mu.Lock()
			s.index.forget(page.First)
			s.mu.Unlock()
			continue
		}
		if err != nil {
			return ErrUnavailable
		}
		s.mu.Lock()
		for _, r := range page.Records {
			// An unreadable record holds no claim for any reader alike.
			_ = s.index.apply(r.Offset, r.Data)
		}
		s.index.forget(page.First)
		s.mu.Unlock()
		if len(page.Records) < pageSize {
			return nil
		}
	}
}
