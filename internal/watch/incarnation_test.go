package watch_test

import (
	"bufio"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// recordScript plays a script of the records of endpoints at one instance.
type recordScript struct {
	t        *testing.T
	tracker  *watch.EndpointTracker
	balancer *placement.Balancer
	dataAt   time.Time // until when all records are read during an outage; zero without one
}

// newRecordScript returns a script player. Records are written every 1.2 s.
func newRecordScript(t *testing.T) *recordScript {
	b := &placement.Balancer{}
	return &recordScript{t: t, balancer: b, tracker: &watch.EndpointTracker{Balancer: b, DisputeTime: 2400 * time.Millisecond}}
}

func parseRecord(t *testing.T, words []string) fleet.KeyedRecord[fleet.EndpointInfo] {
	e := endpointInfo(words[0] + ":80")
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "born":
			e.Born = n
		case "sequence":
			e.Sequence = n
		case "leaving":
			e.Leaving = true
		default:
			require.FailNow(t, "unknown field", word)
		}
	}
	return fleet.KeyedRecord[fleet.EndpointInfo]{Key: words[0], Value: e}
}

func (s *recordScript) usable(id string) bool {
	for _, e := range s.balancer.Endpoints() {
		if e.ID == id {
			_, ok := s.balancer.Choose(placement.Request{Service: e.Service}, time.Now())
			return ok
		}
	}
	return false
}

// run executes one line of a script:
//
//	write ENDPOINT [born=N] [sequence=N] [leaving]   the platform's log gets a record
//	remove ENDPOINT      the record is removed
//	spoil ENDPOINT       another writer writes a record that cannot be used
//	snapshot ENDPOINT [born=N] [sequence=N] [leaving]   all records are read at once; this is the only one
//	answer ENDPOINT      the endpoint says in an answer that it leaves
//	outage, recover      the log cannot be read; it can be again
//	wait DURATION
//	usable ENDPOINT, unusable ENDPOINT   whether the endpoint gets requests
//	lacks ENDPOINT       the endpoint is not listed
func (s *recordScript) run(line string) {
	words := strings.Fields(line)
	args, now := words[1:], time.Now()
	switch words[0] {
	case "write":
		apply(s.tracker, now, false, parseRecord(s.t, args))
	case "spoil":
		apply(s.tracker, now, false, fleet.KeyedRecord[fleet.EndpointInfo]{Key: args[0], Err: errors.New("fields are missing")})
	case "remove":
		apply(s.tracker, now, false, fleet.KeyedRecord[fleet.EndpointInfo]{Key: args[0]})
	case "snapshot":
		apply(s.tracker, now, true, parseRecord(s.t, args))
	case "answer":
		request := placement.Request{Service: endpointInfo("").Service}
		c, ok := s.balancer.Choose(request, now)
		require.True(s.t, ok, line)
		require.Equal(s.t, args[0], c.Endpoint.ID, line)
		run, reason := s.balancer.Begin(c, request, now)
		require.Empty(s.t, reason, line)
		run.RecordHead(fleet.ResponseAttrs{Leaving: true}, now)
		run.End(placement.ResultAnswered, now)
	case "outage":
		s.dataAt = now
	case "recover":
		s.dataAt = time.Time{}
	case "wait":
		d, err := time.ParseDuration(args[0])
		require.NoError(s.t, err)
		s.wait(d)
	case "usable", "unusable":
		require.Equal(s.t, words[0] == "usable", s.usable(args[0]), line)
	case "lacks":
		for _, e := range s.balancer.Endpoints() {
			require.NotEqual(s.t, args[0], e.ID, line)
		}
	default:
		require.FailNow(s.t, "unknown command", line)
	}
}

// wait lets time pass, with the periodic calls that the instance makes.
func (s *recordScript) wait(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		dataAt := time.Now()
		if !s.dataAt.IsZero() {
			dataAt = s.dataAt
		}
		s.tracker.RemoveExpired(time.Now(), dataAt)
		s.tracker.ResolveDisputes(dataAt)
	}
}

// A record that the platform stored late took the place of a newer one: an endpoint that had said
// that it leaves got requests again.
func TestLateRecordChangesNothing(t *testing.T) {
	scripts, err := filepath.Glob("testdata/record/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, scripts)
	for _, path := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				file, err := os.Open(path)
				require.NoError(t, err)
				defer file.Close()
				s := newRecordScript(t)
				lines := bufio.NewScanner(file)
				for lines.Scan() {
					line, _, _ := strings.Cut(lines.Text(), "#")
					if strings.TrimSpace(line) != "" {
						s.run(line)
					}
				}
				require.NoError(t, lines.Err())
			})
		})
	}
}

// IDs without records are forgotten in time, so that the memory for late records stays bounded.
func TestForgottenEndpointMayReturnWithAnyStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRecordScript(t)
		s.run("write e born=200 sequence=4")
		s.run("remove e")
		s.wait(11 * time.Minute)
		for n := range 3000 {
			s.run("write f" + strconv.Itoa(n) + " born=1")
		}
		s.run("write e born=200 sequence=3")
		require.Contains(t, endpointIDs(s.balancer), "e")
	})
}

func endpointIDs(b *placement.Balancer) (ids []string) {
	for _, e := range b.Endpoints() {
		ids = append(ids, e.ID)
	}
	return ids
}
