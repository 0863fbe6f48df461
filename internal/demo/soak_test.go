package demo_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
)

var (
	soakSteps = flag.Int("soak.steps", 150, "faults injected per soak run")
	soakSeeds = flag.Int("soak.seeds", 3, "number of seeds, one soak run each")
	soakFirst = flag.Uint64("soak.first", 1, "first seed")
)

// TestSoak injects random faults while callers send requests, and checks only what
// callers and endpoints recorded: no answer is incorrect, no idempotency key is executed
// twice, and refused requests were not executed. Longer runs:
//
//	go test ./internal/demo -run Soak -soak.steps 2000 -soak.seeds 20
func TestSoak(t *testing.T) { soakSeedsOf(t, soakFaults) }

// TestSoakWithSignals is TestSoak with endpoints that ask for quiet, fall silent for a moment, spoil
// events of streams and fail the rest of broken ones.
func TestSoakWithSignals(t *testing.T) { soakSeedsOf(t, soakSignals) }

// TestSoakWithPlaces is TestSoak with endpoints that return cold and failure domains that are emptied, beside
// kills of instances, endpoints that pause and an unavailable platform. Instances are not frozen and
// domains not cut off: a write that waits for the end of a freeze has been decided on before. Beside
// the checks of TestSoak, no cold endpoint gets more than the limit of its rate in any second from when
// its callers can know of it, and none in an emptied domain gets a request of an instance that has the
// configuration in force.
func TestSoakWithPlaces(t *testing.T) { soakSeedsOf(t, soakPlaces) }

// soakRegressions lists the seeds that have failed and run always.
//
//	places, 7: a home that held a cold endpoint for warm granted a slot for demand that was gone, and the
//	   holder returned it, without end.
var soakRegressions = map[soakMode][]uint64{soakPlaces: {7}}

// soakMode is what a soak run does beside its random faults.
type soakMode string

const (
	soakFaults  soakMode = "faults"
	soakSignals soakMode = "signals"
	soakPlaces  soakMode = "places"
)

func soakSeedsOf(t *testing.T, mode soakMode) {
	var seeds []uint64
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range soakRegressions[mode] {
		if !slices.Contains(seeds, seed) {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { soak(t, seed, *soakSteps, mode) })
		})
	}
}

// soakRun is the state of the soak run of one seed.
type soakRun struct {
	scenario
	rng        *rand.Rand
	job        *job
	mode       soakMode
	down       map[string]bool
	faultTrace []string
}

func soak(t *testing.T, seed uint64, steps int, mode soakMode) {
	modeRNG := rand.New(rand.NewPCG(seed, 9))
	s := &soakRun{rng: rand.New(rand.NewPCG(seed, 5)), job: newJob(), down: map[string]bool{}, mode: mode}
	s.site = &demo.Site{
		Network: &standin.MemoryNetwork{}, InstanceCount: 5, DomainCount: 3, EngineCount: 4, PlainCount: 4,
		CallTime: 30 * time.Millisecond, DrainTimeout: 30 * time.Second, Retention: time.Hour,
	}
	require.NoError(t, s.site.Start())
	text := demo.ConfigText()
	if mode == soakPlaces {
		text = strings.ReplaceAll(text, "    slots: 4\n", fmt.Sprintf("    slots: 4\n    starts: %d\n    startup: %.0f\n", soakRate, soakStartup.Seconds()))
	}
	_, err := s.site.Publish(t.Context(), text, 0)
	require.NoError(t, err)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { s.sendRequests(stop) })
	for range steps {
		time.Sleep(time.Duration(s.rng.IntN(1500)) * time.Millisecond)
		s.injectFault(t)
		switch mode {
		case soakSignals:
			s.signal(modeRNG)
		case soakPlaces:
			s.changePlaces(t, modeRNG)
		}
	}
	s.clearFaults(t)
	s.checkPlaces(t)
	close(stop)
	callers.Wait()
	s.job.wg.Wait()
	require.Zero(t, s.job.counts["wrong"], "%v", s.faultTrace)
	require.Zero(t, s.duplicatedKeys(s.job), "%v", s.faultTrace)
	require.Positive(t, s.job.counts["ran"])
	time.Sleep(15 * time.Second)
	s.checkRecovery(t)
	t.Logf("seed %d: %v %v", seed, s.job.counts, s.job.reasons)
	require.NoError(t, s.site.Close())
}

// sendRequests sends requests until stop is closed. Some of them reuse the idempotency
// key of an earlier one.
func (s *soakRun) sendRequests(stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 6))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		}
		r := s.newRandomRequest(rng, i)
		s.job.wg.Go(func() { s.job.send(s.site.Client(), r) })
	}
}

func (s *soakRun) newRandomRequest(rng *rand.Rand, i int) preparedRequest {
	s.mu.Lock()
	node := s.site.Nodes[rng.IntN(len(s.site.Nodes))]
	address := node.CallerAddress
	s.mu.Unlock()
	r := preparedRequest{address: address, method: "POST", path: "/portal/orders", header: map[string]string{
		"Authorization": fmt.Sprintf("Bearer key-%d", rng.IntN(4)), "Request-Timeout": "30",
	}}
	if rng.IntN(3) == 0 {
		r.path = "/model/generate"
		r.prompt = &standin.Prompt{Prompt: fmt.Sprint("question ", i), Tokens: 20 + rng.IntN(200)}
		r.body = fmt.Sprintf(`{"prompt":%q,"tokens":%d}`, r.prompt.Prompt, r.prompt.Tokens)
		return r
	}
	// Reuses recent keys of the same customer: the offset is 0 to 3.
	n := i - rng.IntN(5)%4
	r.key = fmt.Sprint("key-", n)
	r.header["Authorization"] = "Bearer key-0"
	r.body = "order " + r.key
	return r
}

// injectFault starts or ends one random fault.
func (s *soakRun) injectFault(t *testing.T) {
	domain := fmt.Sprintf("d%d", s.rng.IntN(3))
	other := fmt.Sprintf("d%d", s.rng.IntN(3))
	node := s.site.Nodes[s.rng.IntN(len(s.site.Nodes))]
	fault := s.rng.IntN(13)
	if s.mode == soakPlaces && (fault >= 2 && fault <= 6 || fault == 8) {
		return
	}
	s.faultTrace = append(s.faultTrace, fmt.Sprintf("%d:%s:%s", fault, domain, node.Name))
	switch fault {
	case 0, 1:
		s.killOrStart(t, node)
	case 2:
		s.site.SetPartitioned(domain, true)
	case 3, 4:
		s.site.SetPartitioned(domain, false)
	case 5:
		s.site.SetBlocked(domain, other, true)
	case 6:
		s.site.SetBlocked(domain, other, false)
	case 7:
		s.site.Log.Set(standin.LogFaults{Down: s.rng.IntN(2) == 0, Lose: s.rng.IntN(4), Delay: time.Duration(s.rng.IntN(500)) * time.Millisecond})
	case 8:
		node.Freeze(true)
	case 9:
		node.Freeze(false)
	case 10:
		s.site.PlainServices[s.rng.IntN(4)].Set(standin.PlainFaults{Lose: s.rng.IntN(3), Down: s.rng.IntN(3) == 0})
	case 11:
		s.site.ModelEngines[s.rng.IntN(4)].Set(standin.EngineFaults{Break: s.rng.IntN(3), Down: s.rng.IntN(3) == 0})
	case 12:
		s.site.List.SetDown(s.rng.IntN(2) == 0)
	}
}

// signal lets a random endpoint ask for quiet, fall silent, spoil streams or fail resumed ones.
func (s *soakRun) signal(rng *rand.Rand) {
	engine, plain := s.site.ModelEngines[rng.IntN(4)], s.site.PlainServices[rng.IntN(4)]
	signals := []*standin.Signals{&engine.Signals, &plain.Signals}[rng.IntN(2)]
	signal := rng.IntN(4)
	s.faultTrace = append(s.faultTrace, fmt.Sprintf("signal %d", signal))
	switch signal {
	case 0:
		signals.AskForQuiet(time.Duration(300+rng.IntN(3000)) * time.Millisecond)
	case 1:
		signals.FallSilent(time.Duration(300+rng.IntN(1200)) * time.Millisecond)
	case 2:
		kinds := standin.SpoilKinds()
		kind := kinds[rng.IntN(len(kinds))]
		s.faultTrace = append(s.faultTrace, string(kind))
		engine.Set(standin.EngineFaults{Break: rng.IntN(3), Spoil: rng.IntN(4), SpoilKind: kind})
	case 3:
		engine.Set(standin.EngineFaults{Break: rng.IntN(3), FailResumed: rng.IntN(4)})
	}
}

// killOrStart starts an instance that is down, or kills it unless two others are down.
func (s *soakRun) killOrStart(t *testing.T, node *demo.Node) {
	down := 0
	for _, n := range s.site.Nodes {
		if s.down[n.Name] {
			down++
		}
	}
	switch {
	case s.down[node.Name]:
		s.startNode(t, node)
	case down < 2:
		node.Kill()
		s.down[node.Name] = true
	}
}

func (s *soakRun) startNode(t *testing.T, n *demo.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	require.NoError(t, n.Start())
	s.down[n.Name] = false
}

// clearFaults ends all faults and starts the instances that are down.
func (s *soakRun) clearFaults(t *testing.T) {
	s.site.Log.Set(standin.LogFaults{})
	s.site.List.SetDown(false)
	for i := range 3 {
		s.site.SetPartitioned(fmt.Sprintf("d%d", i), false)
		for j := range 3 {
			s.site.SetBlocked(fmt.Sprintf("d%d", i), fmt.Sprintf("d%d", j), false)
		}
	}
	for _, p := range s.site.PlainServices {
		p.Set(standin.PlainFaults{})
	}
	for _, e := range s.site.ModelEngines {
		e.Set(standin.EngineFaults{})
	}
	for _, n := range s.site.Nodes {
		n.Freeze(false)
		if s.down[n.Name] {
			s.startNode(t, n)
		}
	}
}

// checkRecovery checks that the fleet has recovered: every instance answers keyed calls
// and prompts.
func (s *soakRun) checkRecovery(t *testing.T) {
	for i, n := range s.site.Nodes {
		j := newJob()
		for k := range 4 {
			key := fmt.Sprintf("after-%d-%d", i, k)
			j.send(s.site.Client(), preparedRequest{
				address: n.CallerAddress, method: "POST", path: "/portal/orders", key: key, body: key,
				header: map[string]string{"Authorization": "Bearer key-1"},
			})
		}
		j.send(s.site.Client(), preparedRequest{
			address: n.CallerAddress, method: "POST", path: "/model/generate", body: `{"prompt":"after","tokens":30}`,
			header: map[string]string{"Authorization": "Bearer key-1"}, prompt: &standin.Prompt{Prompt: "after", Tokens: 30},
		})
		require.Equal(t, 5, j.counts["ran"], "instance %s: %v %v %s", n.Name, j.counts, j.reasons, bytes.TrimSpace([]byte(fmt.Sprint(j.bodies))))
	}
}
