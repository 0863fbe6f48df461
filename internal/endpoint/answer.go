package endpoint

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/greengagestep/greengagestep/internal/quiet"
)

const (
	// HeaderLeaving is the header with which an endpoint says in its answers that it
	// leaves. It speaks to the instance that reads it and is not forwarded.
	HeaderLeaving = "Server-Leaving"
	leavingValue  = "1"
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
	a.Quiet = quiet.Time(resp.Header, now)
	return a
}

// headerTokens states the tokens of a response that is not an event stream.
const headerTokens = "Tokens"

// maxTokens is the largest number of tokens that one response can state. A customer is charged for them: a figure
// without a bound would keep its requests from being served.
const maxTokens = 1 << 30

// ReportedTokens returns the number of tokens that an endpoint states for a response that is not an event
// stream, zero if it states none. A figure that no response can have is an error.
func ReportedTokens(h http.Header) (float64, error) {
	text := h.Get(headerTokens)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= 0 && n <= maxTokens) {
		return 0, fmt.Errorf("header %s: %.40q is no number of tokens", headerTokens, text)
	}
	return n, nil
}

// elements returns the values of a header line, which a proxy may have joined.
func elements(line string) []string {
	all := strings.Split(line, ",")
	for i := range all {
		all[i] = strings.TrimSpace(all[i])
	}
	return all
}
