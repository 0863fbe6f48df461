package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerLeaving    = "Server-Leaving"
	headerRetryAfter = "Retry-After"
	headerRequestID  = "Request-Id"
	// quietDelay is how long after a request for quiet further requests may still arrive.
	quietDelay = 500 * time.Millisecond
)

// Signals is what a simulated endpoint tells the instances that call it: that it leaves,
// that it wants no requests for some time, or nothing at all for a while. It counts the
// requests that arrive although their sender was told. The zero value signals nothing. It
// is safe for concurrent use.
type Signals struct {
	// Refusal adds headers to an answer that asks for quiet; nil adds none.
	Refusal func(h http.Header)

	mu          sync.Mutex
	leaving     bool
	quietUntil  time.Time
	silentUntil time.Time
	told        map[string]time.Time // when each sender was first told that the endpoint leaves
	quiet       []*quietPeriod
	late        []LateRequest
	coldUntil   time.Time
	coldFrom    time.Time            // from when arrivals are counted
	emptied     map[string]time.Time // since when each sender must send nothing
	against     []LateRequest
	coldRecent  []time.Time // arrivals of the last second while the endpoint is cold
	coldPeak    int
	coldTotal   int
}

// quietPeriod is the time in which a sender was asked to send nothing.
type quietPeriod struct {
	sender      string
	from, until time.Time
	requests    int
}

// LateRequest is a request that arrived from a sender that had been told that the
// endpoint leaves.
type LateRequest struct {
	Sender string `json:"sender"`
	// After is the time since the sender was first told.
	After time.Duration `json:"after"`
	Path  string        `json:"path"`
}

// SignalCounts are the requests that arrived against the signals of an endpoint.
type SignalCounts struct {
	// Late are the requests of senders that knew that the endpoint leaves.
	Late []LateRequest `json:"late"`
	// Quiet is, by sender, the largest number of requests that arrived in the time of
	// one request for quiet: from half a second after the answer to its end.
	Quiet map[string]int `json:"quiet"`
	// Told are the senders that were told that the endpoint leaves, AskedForQuiet the
	// number of answers that asked for quiet.
	Told          []string `json:"told"`
	AskedForQuiet int      `json:"asked"`
}

// AnnounceLeaving makes the endpoint state in every answer that it is leaving.
func (s *Signals) AnnounceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// AskForQuiet makes the endpoint refuse requests for a time, with the remainder of it in
// every answer.
func (s *Signals) AskForQuiet(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quietUntil = time.Now().Add(d)
}

// FallSilent makes the endpoint send nothing for a time. It accepts connections and
// requests meanwhile, and goes on with all of them afterwards.
func (s *Signals) FallSilent(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
}

// TurnCold makes the endpoint cold for a time, as after a start, and say so in its load reports. Arrivals
// are counted once its callers have had some time to learn of it.
func (s *Signals) TurnCold(d, learning time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil, s.coldFrom, s.coldRecent = time.Now().Add(d), time.Now().Add(learning), nil
}

// Empty says which senders know from some time ahead that the failure domain of the endpoint is emptied;
// an empty list ends that.
func (s *Signals) Empty(senders []string, ahead time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.emptied = map[string]time.Time{}
	for _, sender := range senders {
		s.emptied[sender] = time.Now().Add(ahead)
	}
}

// Against returns the requests of senders that knew that the failure domain was emptied.
func (s *Signals) Against() []LateRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]LateRequest(nil), s.against...)
}

// ColdArrivals returns the largest number of requests of all senders that arrived in one second while the
// endpoint was cold, and the number of all.
func (s *Signals) ColdArrivals() (peak, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldPeak, s.coldTotal
}

// cold returns for how many milliseconds the endpoint is cold, nil if it was never set to be.
func (s *Signals) cold() *int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coldUntil.IsZero() {
		return nil
	}
	ms := max(time.Until(s.coldUntil).Milliseconds(), 0)
	return &ms
}

// Restart ends all signals, as a new incarnation of the endpoint does. The counts stay.
func (s *Signals) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.quietUntil, s.silentUntil, s.told = false, time.Time{}, time.Time{}, nil
	for _, q := range s.quiet {
		if time.Now().Before(q.until) {
			q.until = time.Now()
		}
	}
}

// SignalCounts returns the requests that arrived against the signals so far.
func (s *Signals) SignalCounts() SignalCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := SignalCounts{Late: append([]LateRequest(nil), s.late...), Quiet: map[string]int{}, AskedForQuiet: len(s.quiet)}
	for _, q := range s.quiet {
		if q.requests > 0 {
			c.Quiet[q.sender] = max(c.Quiet[q.sender], q.requests)
		}
	}
	for sender := range s.told {
		c.Told = append(c.Told, sender)
	}
	return c
}

func (s *Signals) serve(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if r.URL.Path == "/signals" {
		s.serveSignals(w, r)
		return
	}
	s.Serve(senderOf(r), w, r, next)
}

// Serve passes the request of a sender to next under the signals.
func (s *Signals) Serve(sender string, w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	s.arrive(sender, r.URL.Path)
	sw := &signalWriter{ResponseWriter: w, signals: s, sender: sender}
	if s.AwaitSpeech(r.Context()) != nil {
		return
	}
	if d := s.quietFor(sender); d > 0 {
		if s.Refusal != nil {
			s.Refusal(sw.Header())
		}
		sw.Header().Set(headerRetryAfter, strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
		http.Error(sw, "quiet, please", http.StatusServiceUnavailable)
		return
	}
	next(sw, r)
	if !sw.begun {
		sw.WriteHeader(http.StatusOK)
	}
}

// senderOf returns the instance that sent a request: the first part of the request's ID.
func senderOf(r *http.Request) string {
	if name, ok := SenderOf(r.Header.Get(headerRequestID)); ok {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// SenderOf returns the first part of a request's ID, up to a dot, and false if there is no
// dot.
func SenderOf(requestID string) (string, bool) {
	name, _, ok := strings.Cut(requestID, ".")
	return name, ok
}

// arrive counts a request that arrives against a signal.
func (s *Signals) arrive(sender, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if since, ok := s.emptied[sender]; ok && path != "/load" && now.After(since) {
		s.against = append(s.against, LateRequest{Sender: sender, After: now.Sub(since), Path: path})
	}
	if now.Before(s.coldUntil) && !now.Before(s.coldFrom) && path != "/load" {
		s.coldTotal++
		s.coldRecent = append(s.coldRecent, now)
		for now.Sub(s.coldRecent[0]) > time.Second {
			s.coldRecent = s.coldRecent[1:]
		}
		s.coldPeak = max(s.coldPeak, len(s.coldRecent))
	}
	if told, ok := s.told[sender]; ok {
		s.late = append(s.late, LateRequest{Sender: sender, After: now.Sub(told), Path: path})
	}
	for _, q := range s.quiet {
		if q.sender == sender && !now.Before(q.from) && now.Before(q.until) {
			q.requests++
		}
	}
}

// quietFor returns how long the endpoint wants quiet, zero if it does not, and records
// that the sender is asked for it.
func (s *Signals) quietFor(sender string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	d := s.quietUntil.Sub(now).Round(time.Millisecond)
	if d <= 0 {
		return 0
	}
	s.quiet = append(s.quiet, &quietPeriod{sender: sender, from: now.Add(quietDelay), until: now.Add(d)})
	return d
}

// AwaitSpeech returns once the endpoint is not silent, or with the error of ctx.
func (s *Signals) AwaitSpeech(ctx context.Context) error {
	s.mu.Lock()
	d := time.Until(s.silentUntil)
	s.mu.Unlock()
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tell records that a sender is told that the endpoint leaves, and reports whether it
// does.
func (s *Signals) tell(sender string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		return false
	}
	if s.told == nil {
		s.told = map[string]time.Time{}
	}
	if _, ok := s.told[sender]; !ok {
		s.told[sender] = time.Now()
	}
	return true
}

// signalRequest is the JSON body of POST /signals. Times are in seconds.
type signalRequest struct {
	Leaving bool    `json:"leaving"`
	Quiet   float64 `json:"quiet"`
	Silent  float64 `json:"silent"`
	Restart bool    `json:"restart"`
}

// serveSignals changes the signals and returns the counts.
func (s *Signals) serveSignals(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var c signalRequest
		if !readJSON(w, r, &c) {
			return
		}
		if c.Restart {
			s.Restart()
		}
		if c.Leaving {
			s.AnnounceLeaving()
		}
		if c.Quiet > 0 {
			s.AskForQuiet(time.Duration(c.Quiet * float64(time.Second)))
		}
		if c.Silent > 0 {
			s.FallSilent(time.Duration(c.Silent * float64(time.Second)))
		}
	}
	writeJSON(w, s.SignalCounts())
}

// String describes the counts in one line.
func (c SignalCounts) String() string {
	data, err := json.Marshal(c.Quiet) // keys are sorted
	if err != nil {
		return err.Error()
	}
	last := time.Duration(0)
	for _, l := range c.Late {
		last = max(last, l.After)
	}
	return fmt.Sprintf("late %d last %v quiet %s", len(c.Late), last, data)
}

// signalWriter adds the signals to the head of an answer.
type signalWriter struct {
	http.ResponseWriter
	signals *Signals
	sender  string
	begun   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *signalWriter) WriteHeader(status int) {
	if !w.begun && w.signals.tell(w.sender) {
		w.Header().Set(headerLeaving, "1")
	}
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *signalWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *signalWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
