package standin

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// List is the instance list. The default (zero) value is empty and does not lag. It
// is safe for concurrent use.
type List struct {
	mu   sync.Mutex
	lag  time.Duration
	past []version
	down bool
}

type version struct {
	at   time.Time
	list []fleet.Instance
}

// Set replaces the list.
func (l *List) Set(list []fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.past = append(l.past, version{time.Now(), slices.Clone(list)})
}

// SetLag sets how old the answers are.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Down switches an outage.
func (l *List) Down(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Instances implements fleet.InstanceList.
func (l *List) Instances(context.Context) ([]fleet.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.New("standin: the instance list is down")
	}
	var list []fleet.Instance
	for _, v := range l.past {
		if time.Since(v.at) >= l.lag || list == nil {
			list = v.list
		}
	}
	return list, nil
}

// ServeHTTP serves the list to other processes.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var list []fleet.Instance
		if readJSON(w, r, &list) {
			l.Set(list)
			writeJSON(w, list)
		}
		return
	}
	list, err := l.Instances(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, list)
}
