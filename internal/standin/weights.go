package standin

import (
	"sync"

	"golang.org/x/time/rate"
)

// Weights is the weight store. It serves a limited number of loads a second and
// refuses the rest. It is safe for concurrent use.
type Weights struct {
	// Limit is the loads a second; zero means one.
	Limit rate.Limit
	// Burst is how many loads may come at once; zero means one.
	Burst int

	once    sync.Once
	limiter *rate.Limiter
	mu      sync.Mutex
	taken   int
	refused int
}

// Take asks for a load and reports whether it is served.
func (s *Weights) Take() bool {
	s.once.Do(func() {
		limit := s.Limit
		if limit == 0 {
			limit = 1
		}
		s.limiter = rate.NewLimiter(limit, max(1, s.Burst))
	})
	ok := s.limiter.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.taken++
	} else {
		s.refused++
	}
	return ok
}

// Counts returns the loads that were served and refused.
func (s *Weights) Counts() (taken, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.taken, s.refused
}
