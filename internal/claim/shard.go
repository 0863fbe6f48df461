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
	// appendInterval is the minimum time between two appends to one shard. With
	// 8 shards it limits the fleet to 160 appends per second.
	appendInterval = 50 * time.Millisecond
	// appendTimeout bounds one append together with the reads that confirm it.
	appendTimeout = 10 * time.Second
	// pageSize is how many records are read at a time.
	pageSize = 256
	// maxBatch bounds the number of claims and releases in one record.
	maxBatch = 512
)

// ErrUnavailable is returned if the log service could not be used, so that the claim
// was not decided.
var ErrUnavailable = errors.New("claim: log service unavailable")

// shard appends claims and releases to one stream in batches and decides the claims by
// reading the stream back.
type shard struct {
	log    fleet.Log
	stream string

	mu      sync.Mutex
	index   *index
	pending []*submission
	// flushing is true while a goroutine runs flush.
	flushing   bool
	lastAppend time.Time
	appends    int
}

// submission is a claim or a release that waits until its record is in the log.
type submission struct {
	claim   Claim
	release bool
	done    chan error
}

func newShard(log fleet.Log, number int) *shard {
	return &shard{log: log, stream: Stream(number), index: newIndex()}
}

// decide returns the claim that wins the key of c: c itself or an earlier claim. It
// returns ErrUnavailable if the log could not be used; c may be in the log even then.
func (s *shard) decide(ctx context.Context, c Claim) (Claim, error) {
	if w, held := s.knownWinner(ctx, c); held {
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

// knownWinner returns the claim that holds the key of c, if one is known. Before it
// returns another claim than c, it reads the stream to its end, because that claim may
// have been released; if the log cannot be read, the claim is taken to hold the key.
func (s *shard) knownWinner(ctx context.Context, c Claim) (Claim, bool) {
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
	return s.index.winner(c.scopedKey())
}

// release frees the key of a claim whose request never ran.
func (s *shard) release(ctx context.Context, c Claim) error {
	return s.submit(ctx, c, true)
}

func (s *shard) submit(ctx context.Context, c Claim, release bool) error {
	s.mu.Lock()
	sub := &submission{claim: c, release: release, done: make(chan error, 1)}
	s.pending = append(s.pending, sub)
	if !s.flushing {
		s.flushing = true
		go s.flush()
	}
	s.mu.Unlock()
	select {
	case err := <-sub.done:
		return err
	case <-ctx.Done():
		return ErrUnavailable
	}
}

// flush appends the pending submissions batch by batch until none is left.
func (s *shard) flush() {
	for {
		s.mu.Lock()
		if len(s.pending) == 0 {
			s.flushing = false
			s.mu.Unlock()
			return
		}
		delay := appendInterval - time.Since(s.lastAppend)
		s.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		s.mu.Lock()
		batch := s.pending[:min(len(s.pending), maxBatch)]
		s.pending = s.pending[len(batch):]
		s.lastAppend = time.Now()
		s.mu.Unlock()
		err := s.appendBatch(batch)
		for _, sub := range batch {
			sub.done <- err
		}
	}
}

func (s *shard) appendBatch(batch []*submission) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	var w wireBatch
	for _, sub := range batch {
		if sub.release {
			w.Releases = append(w.Releases, sub.claim)
		} else {
			w.Claims = append(w.Claims, sub.claim)
		}
	}
	data, err := json.Marshal(w)
	if err != nil {
		return err
	}
	offset, err := s.log.Append(ctx, s.stream, data)
	if err != nil {
		return s.confirm(ctx, batch)
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

// confirm reads the stream after an append that returned an error, because the log may
// have stored the record all the same. It returns ErrUnavailable unless every claim of
// the batch is decided and every release of it is in effect.
func (s *shard) confirm(ctx context.Context, batch []*submission) error {
	if err := s.readAll(ctx); err != nil {
		return ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range batch {
		w, ok := s.index.winner(sub.claim.scopedKey())
		if sub.release && ok && w.ID == sub.claim.ID {
			return ErrUnavailable
		}
		if !sub.release && !ok {
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
			s.index.dropBefore(page.First)
			s.mu.Unlock()
			continue
		}
		if err != nil {
			return ErrUnavailable
		}
		s.mu.Lock()
		for _, r := range page.Records {
			// A record that cannot be decoded is skipped. Every reader skips it, so
			// all still agree on the winners.
			_ = s.index.apply(r.Offset, r.Data)
		}
		s.index.dropBefore(page.First)
		s.mu.Unlock()
		if len(page.Records) < pageSize {
			return nil
		}
	}
}
