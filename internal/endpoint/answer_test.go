package endpoint_test

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/endpoint"
)

func head(status int, header http.Header) *http.Response {
	return &http.Response{StatusCode: status, Header: header}
}

func TestLeavingIsReadFromEveryStatus(t *testing.T) {
	for _, status := range []int{200, 204, 404, 429, 500, 503} {
		require.True(t, endpoint.ReadAnswer(head(status, http.Header{"Server-Leaving": {"1"}}), start).Leaving, status)
	}
	for value, leaving := range map[string]bool{"1": true, " 1 ": true, "0": false, "": false, "true": false, "11": false, "0, 1": true, "0, 11": false} {
		require.Equal(t, leaving, endpoint.ReadAnswer(head(200, http.Header{"Server-Leaving": {value}}), start).Leaving, value)
	}
	require.True(t, endpoint.ReadAnswer(head(200, http.Header{"Server-Leaving": {"0", "1"}}), start).Leaving)
	require.False(t, endpoint.ReadAnswer(head(200, http.Header{}), start).Leaving)
}

func TestRetryAfterIsRead(t *testing.T) {
	const longest = 5 * time.Minute
	date := func(d time.Duration) string { return start.Add(d).UTC().Format(http.TimeFormat) }
	for _, c := range []struct {
		values []string
		want   time.Duration
	}{
		{nil, 0},
		{[]string{""}, 0},
		{[]string{"0"}, 0},
		{[]string{"0.000"}, 0},
		{[]string{"2"}, 2 * time.Second},
		{[]string{" 2 "}, 2 * time.Second},
		{[]string{"0.25"}, 250 * time.Millisecond},
		{[]string{"1.5"}, 1500 * time.Millisecond},
		{[]string{".5"}, 500 * time.Millisecond},
		{[]string{"-1"}, 0},
		{[]string{"+1"}, 0},
		{[]string{"soon"}, 0},
		{[]string{"NaN"}, 0},
		{[]string{"inf"}, 0},
		{[]string{"1e9"}, 0},
		{[]string{"0x10"}, 0},
		{[]string{"1.2.3"}, 0},
		{[]string{"1, 2"}, 2 * time.Second},
		{[]string{"1, soon"}, time.Second},
		{[]string{"300"}, longest},
		{[]string{"301"}, longest},
		{[]string{"99999999999999999999"}, longest},
		{[]string{strings.Repeat("9", 400)}, longest},
		{[]string{date(3 * time.Second)}, 3 * time.Second},
		{[]string{date(-3 * time.Second)}, 0},
		{[]string{date(time.Hour)}, longest},
		{[]string{"1", "3", "2"}, 3 * time.Second},
		{[]string{"soon", "3"}, 3 * time.Second},
		{[]string{"-5", date(2 * time.Second)}, 2 * time.Second},
	} {
		require.Equal(t, c.want, endpoint.ReadAnswer(head(503, http.Header{"Retry-After": c.values}), start).Quiet, c.values)
	}
	require.Zero(t, endpoint.ReadAnswer(head(429, http.Header{"Retry-After": {"2"}}), start).Quiet, "only 503 turns a request away")
	// The clock of the endpoint is an hour ahead.
	ahead := http.Header{"Date": {date(time.Hour)}, "Retry-After": {date(time.Hour + 4*time.Second)}}
	require.Equal(t, 4*time.Second, endpoint.ReadAnswer(head(503, ahead), start).Quiet)
}

func FuzzReadAnswer(f *testing.F) {
	for _, seed := range []string{"1", "0.5", "-1", "1e400", "Wed, 21 Oct 2026 07:28:00 GMT", "NaN", "9999999999999999999", "1 2", "\x00"} {
		f.Add(503, "1", seed, seed)
	}
	f.Fuzz(func(t *testing.T, status int, leaving, first, second string) {
		a := endpoint.ReadAnswer(head(status, http.Header{"Server-Leaving": {leaving}, "Retry-After": {first, second}}), start)
		if strings.TrimSpace(leaving) == "1" || a.Leaving {
			require.True(t, a.Leaving)
			require.Contains(t, leaving, "1")
		}
		require.GreaterOrEqual(t, a.Quiet, time.Duration(0))
		require.LessOrEqual(t, a.Quiet, 5*time.Minute)
		if status != http.StatusServiceUnavailable {
			require.Zero(t, a.Quiet)
			return
		}
		for _, v := range []string{first, second} {
			seconds, err := strconv.Atoi(strings.TrimSpace(v))
			if err == nil && seconds > 0 && !strings.ContainsAny(v, "+_") {
				least := time.Duration(math.Min(float64(seconds), 300) * float64(time.Second))
				require.GreaterOrEqual(t, a.Quiet, least)
			}
		}
	})
}

// One response that stated an infinite number of tokens kept the requests of its customer from being served.
func TestReportedTokensAreBounded(t *testing.T) {
	for text, want := range map[string]float64{"": 0, "0": 0, "5": 5, "2.5": 2.5, "1e6": 1e6} {
		got, err := endpoint.ReportedTokens(http.Header{"Tokens": {text}})
		require.NoError(t, err, text)
		require.Equal(t, want, got, text)
	}
	for _, text := range []string{"Inf", "+Inf", "1e300", "1e10", "NaN", "-1", "-Inf", "many"} {
		got, err := endpoint.ReportedTokens(http.Header{"Tokens": {text}})
		require.Error(t, err, text)
		require.Zero(t, got, text)
	}
}
