// Package standin simulates the external systems of a fleet in tests and in the demo:
// the log service, the instance list, the weight store, a model engine, a plain HTTP
// service and the network. Faults are injected by method calls or over HTTP.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// LogFaults selects the faults that the log service simulates. The zero value selects
// none.
type LogFaults struct {
	// Down makes every call fail before it has any effect.
	Down bool `json:"down"`
	// Lose is the number of appends that are applied but whose response is lost.
	Lose int `json:"lose"`
	// Delay is added before every call is executed.
	Delay time.Duration `json:"delay"`
}

// Log simulates the append-only log service. Exported fields are set before first use;
// the methods are safe for concurrent use.
type Log struct {
	// Retention is how long records are kept; zero means without limit.
	Retention time.Duration
	// Limit is the maximum rate of appends per second; zero means no limit.
	Limit rate.Limit

	mu      sync.Mutex
	streams map[string]*stream
	faults  LogFaults
	limiter *rate.Limiter
	appends int64
}

type stream struct {
	first   int64
	records []storedRecord
}

type storedRecord struct {
	at   time.Time
	data []byte
}

var (
	errLogDown      = errors.New("standin: the log service is down")
	errResponseLost = errors.New("standin: the answer was lost")
)

// Set replaces the simulated faults.
func (l *Log) Set(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of records appended so far, including expired ones.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements fleet.Log. With LogFaults.Lose it returns an error although the
// record was appended.
func (l *Log) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := l.applyFaults(ctx, true); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = append(s.records, storedRecord{time.Now(), data})
	l.appends++
	if l.faults.Lose > 0 {
		l.faults.Lose--
		return 0, errResponseLost
	}
	return s.first + int64(len(s.records)) - 1, nil
}

func (l *Log) applyFaults(ctx context.Context, limited bool) error {
	l.mu.Lock()
	faults := l.faults
	if l.limiter == nil && l.Limit > 0 {
		l.limiter = rate.NewLimiter(l.Limit, max(1, int(l.Limit)))
	}
	limiter := l.limiter
	l.mu.Unlock()
	if faults.Down {
		return errLogDown
	}
	if limited && limiter != nil {
		if err := limiter.Wait(ctx); err != nil {
			return err
		}
	}
	if faults.Delay == 0 {
		return nil
	}
	select {
	case <-time.After(faults.Delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = map[string]*stream{}
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	if l.Retention == 0 {
		return s
	}
	oldest := time.Now().Add(-l.Retention)
	for len(s.records) > 0 && s.records[0].at.Before(oldest) {
		s.records = s.records[1:]
		s.first++
	}
	return s
}

// Read implements fleet.Log. It returns fleet.ErrTrimmed, with the offsets in the
// page, if the record at from has expired.
func (l *Log) Read(ctx context.Context, name string, from int64, limit int) (fleet.Page, error) {
	if err := l.applyFaults(ctx, false); err != nil {
		return fleet.Page{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page := fleet.Page{First: s.first, Next: s.first + int64(len(s.records))}
	if from < s.first {
		return page, fleet.ErrTrimmed
	}
	for i := from; i < page.Next && len(page.Records) < limit; i++ {
		r := s.records[i-s.first]
		page.Records = append(page.Records, fleet.Record{Offset: i, Data: r.data, Age: time.Since(r.at)})
	}
	return page, nil
}

// ServeHTTP serves the log service to other processes.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", l.serveAppend)
	mux.HandleFunc("GET /streams/{name}", l.serveRead)
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f LogFaults
		if !readJSON(w, r, &f) {
			return
		}
		l.Set(f)
		writeJSON(w, f)
	})
	mux.ServeHTTP(w, r)
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := l.Append(r.Context(), r.PathValue("name"), data)
	if errors.Is(err, errResponseLost) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string]int64{"offset": offset})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := l.Read(r.Context(), r.PathValue("name"), from, limit)
	if err != nil && !errors.Is(err, fleet.ErrTrimmed) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
