// Package gauge holds the counters, latency histograms and gauges of an instance and
// writes them in the Prometheus text format.
package gauge

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha are the reservoir size and the decay factor of the
	// library's exponentially decaying sample: the last five minutes weigh most.
	sampleSize  = 1028
	sampleAlpha = 0.015
	// namePrefix is the prefix of every metric name.
	namePrefix = "greengagestep_"
)

// quantiles are the quantiles that are written for each histogram.
var quantiles = []float64{0.5, 0.9, 0.95, 0.99}

// Set holds the metrics of one instance. The zero value is ready to use. It is safe for
// concurrent use.
type Set struct {
	// Gauges returns the current values of gauges by their full names, as Name
	// builds them. It is called at every scrape and must be set before the first one;
	// nil means no gauges.
	Gauges func() map[string]float64

	mu         sync.Mutex
	counters   map[string]metrics.Counter
	histograms map[string]metrics.Histogram
}

// Name returns a metric's full name: the name followed by its labels, which are given
// as pairs of key and value.
func Name(name string, labels ...string) string {
	if len(labels) == 0 {
		return name
	}
	var buf [128]byte
	full := append(buf[:0], name...)
	for i := 0; i+1 < len(labels); i += 2 {
		full = append(full, "{,"[min(i, 1)])
		full = append(append(full, labels[i]...), '=')
		full = strconv.AppendQuote(full, labels[i+1])
	}
	return string(append(full, '}'))
}

// Count adds one to the counter of the given full name, which it creates if necessary.
func (s *Set) Count(name string) {
	s.mu.Lock()
	c := s.counters[name]
	if c == nil {
		if s.counters == nil {
			s.counters = map[string]metrics.Counter{}
		}
		c = metrics.NewCounter()
		s.counters[name] = c
	}
	s.mu.Unlock()
	c.Inc(1)
}

// Time records a duration, in milliseconds, in the histogram of the given full name,
// which it creates if necessary.
func (s *Set) Time(name string, d time.Duration) {
	s.mu.Lock()
	h := s.histograms[name]
	if h == nil {
		if s.histograms == nil {
			s.histograms = map[string]metrics.Histogram{}
		}
		h = metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
		s.histograms[name] = h
	}
	s.mu.Unlock()
	h.Update(d.Milliseconds())
}

// ServeHTTP responds with all metrics as text.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.Write(w)
}

// Write writes all metrics as text: counters, histograms, then gauges, each ordered by
// name. Errors of w are ignored.
func (s *Set) Write(w io.Writer) {
	s.mu.Lock()
	counters, histograms := maps.Clone(s.counters), maps.Clone(s.histograms)
	s.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(counters)) {
		fmt.Fprintf(w, "%s%s %d\n", namePrefix, name, counters[name].Count())
	}
	for _, name := range slices.Sorted(maps.Keys(histograms)) {
		h := histograms[name].Snapshot()
		for i, v := range h.Percentiles(quantiles) {
			fmt.Fprintf(w, "%s%s %g\n", namePrefix, withLabel(name, "quantile", fmt.Sprint(quantiles[i])), v)
		}
		fmt.Fprintf(w, "%s%s %d\n", namePrefix, withSuffix(name, "_count"), h.Count())
	}
	if s.Gauges == nil {
		return
	}
	gauges := s.Gauges()
	for _, name := range slices.Sorted(maps.Keys(gauges)) {
		fmt.Fprintf(w, "%s%s %g\n", namePrefix, name, gauges[name])
	}
}

// withLabel appends a label to a full name.
func withLabel(name, key, value string) string {
	label := fmt.Sprintf("%s=%q", key, value)
	if open, ok := strings.CutSuffix(name, "}"); ok {
		return open + "," + label + "}"
	}
	return name + "{" + label + "}"
}

// withSuffix appends a suffix to the metric's name, before its labels.
func withSuffix(name, suffix string) string {
	if i := strings.IndexByte(name, '{'); i >= 0 {
		return name[:i] + suffix + name[i:]
	}
	return name + suffix
}
