package endpoint

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// HeaderLeaving is the header with which an endpoint says in its answers that it
	// leaves. It speaks to the instance that reads it and is not forwarded.
	HeaderLeaving = "Server-Leaving"
	// headerRetryAfter states, in a 503, for how long the endpoint wants no requests.
	headerRetryAfter = "Retry-After"
	leavingValue     = "1"
	// maxQuiet bounds the time for which an endpoint can ask for quiet, so that an
	// absurd value does not keep it out of service.
	maxQuiet = 5 * time.Minute
)

// Answer is what the head of a response says about the endpoint itself, whatever it says
// about the request.
type Answer struct {
	// Leaving is set if the endpoint leaves.
	Leaving bool
	// Quiet is the time for which the endpoint wants no requests from this instance;
	// zero if it did not ask. An endpoint that asks has not run the request.
	Quiet time.Duration
}

// ReadAnswer reads the head of a response that arrived at now.
func ReadAnswer(resp *http.Response, now time.Time) Answer {
	a := Answer{}
	for _, v := range resp.Header.Values(HeaderLeaving) {
		a.Leaving = a.Leaving || slices.Contains(elements(v), leavingValue)
	}
	if resp.StatusCode != http.StatusServiceUnavailable {
		return a
	}
	// A date is relative to the clock of the endpoint.
	if sent, err := http.ParseTime(resp.Header.Get("Date")); err == nil {
		now = sent
	}
	for _, v := range resp.Header.Values(headerRetryAfter) {
		if at, err := http.ParseTime(strings.TrimSpace(v)); err == nil {
			a.Quiet = max(a.Quiet, min(at.Sub(now), maxQuiet))
			continue
		}
		for _, element := range elements(v) {
			a.Quiet = max(a.Quiet, seconds(element))
		}
	}
	return a
}

// elements returns the values of a header line, which a proxy may have joined.
func elements(line string) []string {
	all := strings.Split(line, ",")
	for i := range all {
		all[i] = strings.TrimSpace(all[i])
	}
	return all
}

// seconds parses a number of seconds without sign or exponent, which may have a fraction.
// It returns zero for anything else, and at most maxQuiet.
func seconds(v string) time.Duration {
	if strings.Trim(v, "0123456789.") != "" { // ParseFloat accepts "inf" and "0x1p9" as well
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if n >= maxQuiet.Seconds() {
		return maxQuiet
	}
	if err != nil {
		return 0
	}
	return time.Duration(n * float64(time.Second))
}
