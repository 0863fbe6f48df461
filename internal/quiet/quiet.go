// Package quiet reads for how long an endpoint that refuses a request wants no further ones.
package quiet

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxTime bounds the time for which an endpoint gets no requests because it asked for that: one that
// states an absurdly long time is tried again after it.
const MaxTime = 5 * time.Minute

// Time returns for how long the endpoint that sent a header at now wants no requests: the longest of
// the times in its Retry-After lines, at most MaxTime. Values that are neither a number of seconds nor a
// date say nothing, nor do times that are not in the future. A date refers to the Date of the same
// header, if there is one.
func Time(h http.Header, now time.Time) time.Duration {
	if at, err := http.ParseTime(h.Get("Date")); err == nil {
		now = at
	}
	longest := time.Duration(0)
	for _, line := range h.Values("Retry-After") {
		if at, err := http.ParseTime(strings.TrimSpace(line)); err == nil {
			longest = max(longest, min(at.Sub(now), MaxTime))
			continue
		}
		// A proxy may have joined several lines.
		for value := range strings.SplitSeq(line, ",") {
			longest = max(longest, parseSeconds(strings.TrimSpace(value)))
		}
	}
	return longest
}

// parseSeconds parses a decimal number of seconds, without sign or exponent. It returns zero if
// the text is none, and at most MaxTime.
func parseSeconds(text string) time.Duration {
	if strings.Trim(text, "0123456789.") != "" { // ParseFloat accepts "inf" and "0x1p9" as well
		return 0
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	return time.Duration(min(seconds, MaxTime.Seconds()) * float64(time.Second))
}
