package demo_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
)

const (
	soakRate    = 6 // starts a second at a cold endpoint
	soakStartup = 4 * time.Second
	// soakAway is how long endpoints are away before they return cold: their home and its peers notice.
	soakAway = 2500 * time.Millisecond
	// soakLearning is how long instances may take to notice that an endpoint has returned cold.
	soakLearning = 1500 * time.Millisecond
)

// signalsOf returns the signals of all endpoints by name, as in the instance list.
func (s *soakRun) signalsOf() map[string]*standin.Signals {
	all := map[string]*standin.Signals{}
	for _, e := range s.site.ModelEngines {
		all[e.Name] = &e.Signals
	}
	for _, p := range s.site.PlainServices {
		all[p.Name] = &p.Signals
	}
	return all
}

// changePlaces lets endpoints return cold or pause, empties a failure domain or takes it back.
func (s *soakRun) changePlaces(t *testing.T, rng *rand.Rand) {
	i, action := rng.IntN(4), rng.IntN(8)
	domain := fmt.Sprintf("d%d", rng.IntN(3))
	s.faultTrace = append(s.faultTrace, fmt.Sprintf("place %d:%d:%s", action, i, domain))
	switch action {
	case 0, 1:
		s.returnCold(t, i)
	case 2:
		s.site.PlainServices[i].FallSilent(time.Duration(300+rng.IntN(1200)) * time.Millisecond)
	case 3:
		s.evacuate(t, domain, true)
	case 4:
		s.evacuate(t, domain, false)
	}
}

// returnCold ends a plain service and a model engine, which return cold under full load.
func (s *soakRun) returnCold(t *testing.T, i int) {
	plain, engine := s.site.PlainServices[i], s.site.ModelEngines[i]
	plain.Set(standin.PlainFaults{Down: true})
	engine.Set(standin.EngineFaults{Down: true})
	time.Sleep(soakAway)
	for name, signals := range map[string]*standin.Signals{plain.Name: &plain.Signals, engine.Name: &engine.Signals} {
		signals.TurnCold(soakStartup, soakLearning)
		s.site.ReplaceEndpoint(name)
	}
	plain.Set(standin.PlainFaults{})
	engine.Set(standin.EngineFaults{})
}

// evacuate empties a failure domain or takes it back, at the first instance that runs. While the log is
// unavailable, nothing changes or it changes later.
func (s *soakRun) evacuate(t *testing.T, domain string, emptied bool) {
	var node *demo.Node
	for _, n := range s.site.Nodes {
		if !s.down[n.Name] {
			node = n
		}
	}
	signals := s.signalsOf()
	inDomain := func(name string) bool { return s.site.Domain(name) == domain }
	if !emptied {
		for name, sig := range signals {
			if inDomain(name) {
				sig.Empty(nil, 0)
			}
		}
	}
	result, err := node.OperatorClient().Evacuate(t.Context(), "soak", domain, emptied)
	if err != nil || !emptied {
		s.faultTrace = append(s.faultTrace, fmt.Sprintf("evacuate %s %t: %v", domain, emptied, err))
		return
	}
	var knowing []string
	for _, r := range result.Instances {
		if r.InForce {
			knowing = append(knowing, r.Instance)
		}
	}
	for name, sig := range signals {
		if inDomain(name) {
			sig.Empty(knowing, 100*time.Millisecond)
		}
	}
}

// checkPlaces ends the evacuations and checks what arrived at cold endpoints and in emptied domains.
func (s *soakRun) checkPlaces(t *testing.T) {
	if s.mode != soakPlaces {
		return
	}
	time.Sleep(soakStartup)
	started := 0
	for name, sig := range s.signalsOf() {
		peak, total := sig.ColdArrivals()
		started += total
		require.LessOrEqual(t, peak, 2*soakRate+1, "%s got more starts while it was cold, %v", name, s.faultTrace)
		require.Empty(t, sig.Against(), "%s got requests though its domain was emptied, %v", name, s.faultTrace)
	}
	require.Positive(t, started)
	for i := range 3 {
		s.evacuate(t, fmt.Sprintf("d%d", i), false)
	}
}
