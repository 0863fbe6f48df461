package peer_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	herdMembers = 25
	herdKilled  = 14 // over half of the fleet
	herdPrompts = 60
)

func prompt(n int) placement.Request {
	parts := []fleet.PromptPart{{ID: 1, Tokens: 500}, {ID: uint64(100 + n), Tokens: 4500}}
	return placement.Request{Service: "m", Stream: true, Shared: parts, Tokens: 6000, Events: 10, TargetLatency: 600 * time.Millisecond}
}

func putEndpoints(x *peer.Exchange, born int64) {
	for i := range 20 {
		x.Balancer.Put(placement.Endpoint{ID: fmt.Sprintf("i-%d", i), EndpointInfo: fleet.EndpointInfo{
			Service: "m", Address: fmt.Sprintf("e%d", i), Domain: "1", Slots: 16, Born: born, Sequence: 1,
		}})
	}
}

// send sends the request of a prompt, whose first event takes 100 ms, and returns how many tokens of
// shared parts are read again for it.
func send(x *peer.Exchange, n int) int {
	r := prompt(n)
	c, _ := x.Balancer.Choose(r, time.Now())
	run, reason := x.Balancer.Begin(c, r, time.Now())
	if reason != "" {
		return c.MissingTokens
	}
	time.Sleep(100 * time.Millisecond)
	run.RecordFirst(time.Now())
	run.End(placement.ResultAnswered, time.Now())
	return c.MissingTokens
}

// Over half of the fleet is killed at once and starts again, while callers go on with prompts that endpoints
// have cached for requests of the killed instances.
func TestHerdLearnsWhatSurvivorsKnow(t *testing.T) {
	for name, test := range map[string]struct {
		born  int64 // of the endpoints when the herd returns
		lost  int   // messages and responses that are lost then
		old   int   // survivors that do not know the path
		known bool
	}{
		"all respond":         {born: 1, known: true},
		"messages are lost":   {born: 1, lost: 6 * herdKilled, known: true},
		"old survivors":       {born: 1, old: 2, known: true},
		"endpoints restarted": {born: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleetInMemory(t, herdMembers)
				defer f.stopAll()
				for _, x := range f.members {
					putEndpoints(x, 1)
				}
				time.Sleep(3 * time.Second)
				for n := range herdPrompts {
					// Instances that are killed send two of three.
					send(f.members[(n%3+1)%3*herdKilled/2], n)
				}
				time.Sleep(time.Second)
				survivor := f.members[herdMembers-1]
				for i := range herdKilled {
					f.kill(i)
				}
				time.Sleep(2 * time.Second)
				f.mu.Lock()
				f.lose = test.lost
				for _, x := range f.members[herdKilled:][:test.old] {
					mux := http.NewServeMux()
					mux.Handle("POST "+peer.Path, x)
					f.handlers[x.Self.Address] = mux
				}
				f.mu.Unlock()
				for i := range herdKilled {
					f.set(i, time.Now().UnixNano())
					for _, seed := range f.members[herdKilled:][:3] {
						f.members[i].AddPeer(peer.Member{Address: seed.Self.Address}, time.Now())
					}
					f.serve(t, i)
				}
				for _, x := range f.members {
					putEndpoints(x, test.born)
				}
				time.Sleep(1500 * time.Millisecond)
				missing := 0
				for n := range herdPrompts {
					c, ok := f.members[n%herdKilled].Balancer.Choose(prompt(n), time.Now())
					require.True(t, ok)
					missing += c.MissingTokens
				}
				if !test.known {
					require.Equal(t, herdPrompts*5000, missing)
					return
				}
				require.Zero(t, missing)
				expected, _ := survivor.Balancer.Choose(prompt(0), time.Now())
				c, _ := f.members[0].Balancer.Choose(prompt(0), time.Now())
				require.InEpsilon(t, expected.Expected, c.Expected, 0.1)
			})
		})
	}
}
