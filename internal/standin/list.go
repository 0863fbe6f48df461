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

// InstanceList simulates the platform's instance list. The zero value is empty and
// returns current entries. It is safe for concurrent use.
type InstanceList struct {
	mu      sync.Mutex
	lag     time.Duration
	history []listVersion
	down    bool
}

type listVersion struct {
	at   time.Time
	list []fleet.Instance
}

// Set replaces the entries of the list.
func (l *InstanceList) Set(list []fleet.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, listVersion{time.Now(), slices.Clone(list)})
}

// SetLag sets the age of the entries that are returned, as if updates propagated
// with this delay.
func (l *InstanceList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetDown starts or ends a simulated outage in which every read fails.
func (l *InstanceList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Instances implements fleet.InstanceList. It fails during a simulated outage.
func (l *InstanceList) Instances(context.Context) ([]fleet.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, errors.New("standin: the instance list is down")
	}
	var list []fleet.Instance
	for _, v := range l.history {
		if time.Since(v.at) >= l.lag || list == nil {
			list = v.list
		}
	}
	return list, nil
}

// ServeHTTP serves the list to other processes: POST replaces the entries, and any
// other method returns them.
func (l *InstanceList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
