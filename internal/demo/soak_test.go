package demo_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
)

var (
	soakSteps = flag.Int("soak.steps", 150, "faults of one soak")
	soakSeeds = flag.Int("soak.seeds", 3, "seeds of the soak")
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak")
)

// TestSoak brings about random faults from the brief's list while callers send
// requests, and checks only what callers and endpoints recorded: no answer is wrong,
// no key runs twice, and what was refused did not run. Longer soaks:
//
//	go test ./internal/demo -run Soak -soak.steps 2000 -soak.seeds 20
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { soak(t, seed, *soakSteps) })
		})
	}
}

// soaker is one soak.
type soaker struct {
	stage
	rng   *rand.Rand
	job   *job
	down  map[string]bool
	trace []string
}

func soak(t *testing.T, seed uint64, steps int) {
	s := &soaker{rng: rand.New(rand.NewPCG(seed, 5)), job: newJob(), down: map[string]bool{}}
	s.site = &demo.Site{
		Network: &standin.Memory{}, Instances: 5, Domains: 3, Engines: 4, Plains: 4,
		CallTime: 30 * time.Millisecond, Drain: 30 * time.Second, Retention: time.Hour,
	}
	require.NoError(t, s.site.Start())
	_, err := s.site.Publish(t.Context(), demo.Text(), 0)
	require.NoError(t, err)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { s.call(stop) })
	for range steps {
		time.Sleep(time.Duration(s.rng.IntN(1500)) * time.Millisecond)
		s.fault(t)
	}
	s.mend(t)
	close(stop)
	callers.Wait()
	s.job.wg.Wait()
	require.Zero(t, s.job.counts["wrong"], "%v", s.trace)
	require.Zero(t, s.doubled(s.job), "%v", s.trace)
	require.Positive(t, s.job.counts["ran"])
	time.Sleep(15 * time.Second)
	s.after(t)
	t.Logf("seed %d: %v %v", seed, s.job.counts, s.job.reasons)
	require.NoError(t, s.site.Close())
}

// call sends requests until stop is closed. Keys are used again by later callers.
func (s *soaker) call(stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 6))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		}
		r := s.prepare(rng, i)
		s.job.wg.Go(func() { s.job.send(s.site.Client(), r) })
	}
}

func (s *soaker) prepare(rng *rand.Rand, i int) prepared {
	s.mu.Lock()
	node := s.site.Nodes[rng.IntN(len(s.site.Nodes))]
	address := node.Callers
	s.mu.Unlock()
	r := prepared{address: address, method: "POST", path: "/portal/orders", header: map[string]string{
		"Authorization": fmt.Sprintf("Bearer key-%d", rng.IntN(4)), "Request-Timeout": "30",
	}}
	if rng.IntN(3) == 0 {
		r.path = "/model/generate"
		r.prompt = &standin.Prompt{Prompt: fmt.Sprint("question ", i), Tokens: 20 + rng.IntN(200)}
		r.body = fmt.Sprintf(`{"prompt":%q,"tokens":%d}`, r.prompt.Prompt, r.prompt.Tokens)
		return r
	}
	// Every fifth key was used shortly before, by the same customer.
	n := i - rng.IntN(5)%4
	r.key = fmt.Sprint("key-", n)
	r.header["Authorization"] = "Bearer key-0"
	r.body = "order " + r.key
	return r
}

// fault brings one fault about or ends one.
func (s *soaker) fault(t *testing.T) {
	domain := fmt.Sprintf("d%d", s.rng.IntN(3))
	other := fmt.Sprintf("d%d", s.rng.IntN(3))
	node := s.site.Nodes[s.rng.IntN(len(s.site.Nodes))]
	what := s.rng.IntN(13)
	s.trace = append(s.trace, fmt.Sprintf("%d:%s:%s", what, domain, node.Name))
	switch what {
	case 0, 1:
		s.killOrStart(t, node)
	case 2:
		s.site.Cut(domain, true)
	case 3, 4:
		s.site.Cut(domain, false)
	case 5:
		s.site.Block(domain, other, true)
	case 6:
		s.site.Block(domain, other, false)
	case 7:
		s.site.Log.Set(standin.LogFaults{Down: s.rng.IntN(2) == 0, Lose: s.rng.IntN(4), Delay: time.Duration(s.rng.IntN(500)) * time.Millisecond})
	case 8:
		node.Freeze(true)
	case 9:
		node.Freeze(false)
	case 10:
		s.site.Plain[s.rng.IntN(4)].Set(standin.PlainFaults{Lose: s.rng.IntN(3), Down: s.rng.IntN(3) == 0})
	case 11:
		s.site.Model[s.rng.IntN(4)].Set(standin.EngineFaults{Break: s.rng.IntN(3), Down: s.rng.IntN(3) == 0})
	case 12:
		s.site.List.Down(s.rng.IntN(2) == 0)
	}
}

// killOrStart kills an instance, or starts one that is down; two may be down at a time.
func (s *soaker) killOrStart(t *testing.T, node *demo.Node) {
	down := 0
	for _, n := range s.site.Nodes {
		if s.down[n.Name] {
			down++
		}
	}
	switch {
	case s.down[node.Name]:
		s.start(t, node)
	case down < 2:
		node.Kill()
		s.down[node.Name] = true
	}
}

func (s *soaker) start(t *testing.T, n *demo.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	require.NoError(t, n.Start())
	s.down[n.Name] = false
}

// mend ends all faults.
func (s *soaker) mend(t *testing.T) {
	s.site.Log.Set(standin.LogFaults{})
	s.site.List.Down(false)
	for i := range 3 {
		s.site.Cut(fmt.Sprintf("d%d", i), false)
		for j := range 3 {
			s.site.Block(fmt.Sprintf("d%d", i), fmt.Sprintf("d%d", j), false)
		}
	}
	for _, p := range s.site.Plain {
		p.Set(standin.PlainFaults{})
	}
	for _, e := range s.site.Model {
		e.Set(standin.EngineFaults{})
	}
	for _, n := range s.site.Nodes {
		n.Freeze(false)
		if s.down[n.Name] {
			s.start(t, n)
		}
	}
}

// after checks that the fleet has repaired itself: every instance answers every kind
// of request.
func (s *soaker) after(t *testing.T) {
	for i, n := range s.site.Nodes {
		j := newJob()
		for k := range 4 {
			key := fmt.Sprintf("after-%d-%d", i, k)
			j.send(s.site.Client(), prepared{
				address: n.Callers, method: "POST", path: "/portal/orders", key: key, body: key,
				header: map[string]string{"Authorization": "Bearer key-1"},
			})
		}
		j.send(s.site.Client(), prepared{
			address: n.Callers, method: "POST", path: "/model/generate", body: `{"prompt":"after","tokens":30}`,
			header: map[string]string{"Authorization": "Bearer key-1"}, prompt: &standin.Prompt{Prompt: "after", Tokens: 30},
		})
		require.Equal(t, 5, j.counts["ran"], "instance %s: %v %v %s", n.Name, j.counts, j.reasons, bytes.TrimSpace([]byte(fmt.Sprint(j.bodies))))
	}
}
