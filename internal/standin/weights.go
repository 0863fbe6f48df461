package standin

import (
	"sync"

	"golang.org/x/time/rate"
)

// WeightStore simulates the store of model weights. It serves a limited rate of model
// loads and refuses the rest. Exported fields are set before first use; the methods
// are safe for concurrent use.
type WeightStore struct {
	// Limit is the rate of loads per second; zero means one.
	Limit rate.Limit
	// Burst is the number of loads that may start at the same moment; zero means one.
	Burst int

	once    sync.Once
	limiter *rate.Limiter
	mu      sync.Mutex
	served  int
	refused int
}

// Allow requests a model load and reports whether the rate limit admits it.
func (w *WeightStore) Allow() bool {
	w.once.Do(func() {
		limit := w.Limit
		if limit == 0 {
			limit = 1
		}
		w.limiter = rate.NewLimiter(limit, max(1, w.Burst))
	})
	ok := w.limiter.Allow()
	w.mu.Lock()
	defer w.mu.Unlock()
	if ok {
		w.served++
	} else {
		w.refused++
	}
	return ok
}

// Counts returns the number of loads that were served and refused.
func (w *WeightStore) Counts() (served, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.served, w.refused
}
