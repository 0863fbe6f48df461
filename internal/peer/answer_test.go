package peer_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// slowTransport delays the answers of another one and counts the requests.
type slowTransport struct {
	http.RoundTripper
	requests int
	delay    time.Duration
	after    func() // called before the answer; nil is allowed
}

// RoundTrip implements http.RoundTripper.
func (s *slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	s.requests++
	select {
	case <-time.After(s.delay):
	case <-r.Context().Done():
	}
	if s.after != nil {
		s.after()
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return s.RoundTripper.RoundTrip(r)
}

// An instance whose processor is behind spends no reservation whose answer it would read too late, and does
// not take its own lateness for that of the home. A cold endpoint is not started without a grant.
func TestReservationsOnlyWhereAnswersCanBeRead(t *testing.T) {
	const msec = time.Millisecond
	for _, c := range []struct {
		name     string
		lag      time.Duration
		delay    time.Duration // of ten answers before
		pause    time.Duration // after them
		patience time.Duration
		start    bool
		want     fleet.ReservationResult
		requests int
	}{
		{name: "not behind", want: fleet.GrantAccepted, requests: 1},
		{name: "behind by less than half of the timeout", lag: 24 * msec, want: fleet.GrantAccepted, requests: 1},
		{name: "behind by more", lag: 25 * msec, want: fleet.GrantUnasked},
		{name: "behind by more, cold endpoint", lag: 25 * msec, start: true, want: fleet.GrantNoStart},
		{name: "no time until the target", lag: 12 * msec, patience: 5 * msec, want: fleet.GrantUnasked},
		{name: "some time until the target", lag: 12 * msec, patience: 40 * msec, want: fleet.GrantAccepted, requests: 1},
		{name: "the target does not count for starts", lag: 12 * msec, patience: 5 * msec, start: true, want: fleet.GrantNoStart, requests: 1},
		{name: "slow home", delay: 40 * msec, patience: 5 * msec, want: fleet.GrantUnasked},
		{name: "slow home and time left", delay: 40 * msec, want: fleet.GrantAccepted, requests: 1},
		{name: "slow home a while ago", delay: 40 * msec, pause: time.Second, patience: 5 * msec, want: fleet.GrantAccepted, requests: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				slow := &slowTransport{delay: c.delay}
				requester, _ := newPair(t, slow)
				lag := time.Duration(0)
				requester.Lag = func() time.Duration { return lag }
				r := fleet.Reservation{Endpoint: "i-1", MaxWait: time.Hour}
				for range 10 {
					if c.delay > 0 {
						require.Equal(t, fleet.GrantAccepted, requester.Reserve(t.Context(), r))
					}
				}
				time.Sleep(c.pause)
				slow.requests, slow.delay, lag = 0, 0, c.lag
				r.Patience, r.Start = c.patience, c.start
				from := time.Now()
				require.Equal(t, c.want, requester.Reserve(t.Context(), r))
				require.Equal(t, c.requests, slow.requests)
				require.Zero(t, time.Since(from))
			})
		})
	}
}

// A home is asked again at once if an answer was missed by an instance that was behind itself.
func TestOwnLatenessIsNotTheHomes(t *testing.T) {
	for behind, want := range map[time.Duration]fleet.ReservationResult{0: fleet.GrantNoAnswer, 100 * time.Millisecond: fleet.GrantAccepted} {
		synctest.Test(t, func(t *testing.T) {
			lag := time.Duration(0)
			slow := &slowTransport{delay: time.Second, after: func() { lag = behind }}
			requester, _ := newPair(t, slow)
			requester.Lag = func() time.Duration { return lag }
			r := fleet.Reservation{Endpoint: "i-1", MaxWait: time.Hour}
			require.Equal(t, fleet.GrantNoAnswer, requester.Reserve(t.Context(), r))
			slow.delay, slow.after, lag = 0, nil, 0
			require.Equal(t, want, requester.Reserve(t.Context(), r))
		})
	}
}
