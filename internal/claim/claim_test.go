package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/claim"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// cluster is a set of registries that call each other directly.
type cluster struct {
	mu         sync.Mutex
	registries map[string]*claim.Registry
	down       map[string]bool
	// owner returns the instance that self believes to be the owner of a shard.
	owner func(self string, shard int) string
}

func newCluster(log *standin.Log, names ...string) *cluster {
	c := &cluster{registries: map[string]*claim.Registry{}, down: map[string]bool{}}
	c.owner = func(string, int) string { return names[0] }
	for _, name := range names {
		c.start(log, name, 1)
	}
	return c
}

func (c *cluster) start(log *standin.Log, name string, incarnation uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[name] = false
	c.registries[name] = &claim.Registry{
		Self: name, Incarnation: incarnation, Log: log, Peers: clusterPeers{c, name}, Trail: &audit.Trail{Instance: name},
	}
}

func (c *cluster) kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[name] = true
}

func (c *cluster) registry(name string) *claim.Registry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registries[name]
}

// clusterPeers connects one registry to the others.
type clusterPeers struct {
	cluster *cluster
	self    string
}

func (p clusterPeers) Owner(shard int) string { return p.cluster.owner(p.self, shard) }

func (p clusterPeers) Ask(ctx context.Context, peer, path string, args, reply any) error {
	p.cluster.mu.Lock()
	down := p.cluster.down[peer]
	registry := p.cluster.registries[peer]
	p.cluster.mu.Unlock()
	if down {
		return errors.New("unreachable")
	}
	return claim.CallForTest(ctx, registry, path, args, reply)
}

func begin(t *testing.T, reg *claim.Registry, key, fingerprint string) claim.Decision {
	t.Helper()
	decision, err := reg.Begin(t.Context(), "c0", key, fingerprint, "request")
	require.NoError(t, err)
	return decision
}

func TestSecondClaimReturnsResultOfFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(&standin.Log{}, "a", "b")
		first := begin(t, c.registry("a"), "k", "p")
		require.NotNil(t, first.Ticket)
		first.Ticket.Done(&claim.Answer{Status: 201, Complete: true})
		second := begin(t, c.registry("b"), "k", "p")
		require.Nil(t, second.Ticket)
		require.Equal(t, claim.StateDone, second.Result.State)
		require.Equal(t, 201, second.Result.Answer.Status)
		require.True(t, begin(t, c.registry("b"), "k", "other").Mismatch)
	})
}

func TestOneWinnerIfShardHasTwoOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(&standin.Log{}, "a", "b")
		c.owner = func(self string, _ int) string { return self }
		won := 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, name := range []string{"a", "b"} {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				d, err := c.registry(name).Begin(ctx, "c0", "k", "p", "request")
				mu.Lock()
				defer mu.Unlock()
				if err == nil && d.Ticket != nil {
					won++
				}
			})
		}
		wg.Wait()
		require.Equal(t, 1, won)
	})
}

func TestKeyStaysClaimedIfHolderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		c := newCluster(log, "a", "b")
		require.NotNil(t, begin(t, c.registry("b"), "k", "p").Ticket)
		c.kill("b")
		require.Equal(t, claim.StateHolderGone, begin(t, c.registry("a"), "k", "p").Result.State)
		c.start(log, "b", 2)
		d := begin(t, c.registry("b"), "k", "p")
		require.Nil(t, d.Ticket, "a holder that lost its state in a restart must not run the request again")
		require.Equal(t, claim.StateHolderGone, d.Result.State)
	})
}

func TestReleasedKeyCanBeClaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(&standin.Log{}, "a", "b")
		begin(t, c.registry("b"), "k", "p").Ticket.Release()
		time.Sleep(time.Second)
		require.NotNil(t, begin(t, c.registry("a"), "k", "p").Ticket)
	})
}

func TestTimedOutClaimIsReleasedWhenResultIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		c := newCluster(log, "a", "b")
		log.Set(standin.LogFaults{Delay: 2 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.registry("b").Begin(ctx, "c0", "k", "p", "hasty")
		require.ErrorIs(t, err, claim.ErrUnavailable)
		time.Sleep(5 * time.Second)
		log.Set(standin.LogFaults{})
		require.Equal(t, claim.StateReleased, begin(t, c.registry("a"), "k", "p").Result.State)
		time.Sleep(time.Second)
		require.NotNil(t, begin(t, c.registry("a"), "k", "p").Ticket)
	})
}

func TestBeginFailsIfLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		c := newCluster(log, "a")
		log.Set(standin.LogFaults{Down: true})
		_, err := c.registry("a").Begin(t.Context(), "c0", "k", "p", "request")
		require.ErrorIs(t, err, claim.ErrUnavailable)
	})
}

func TestClaimsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{Limit: 300}
		c := newCluster(log, "a", "b", "c")
		var wg sync.WaitGroup
		for i := range 2000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				_, err := c.registry([]string{"a", "b", "c"}[i%3]).Begin(t.Context(), "c0", fmt.Sprint(i), "p", "r")
				require.NoError(t, err)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, log.Appends(), int64(2*160+8), "each of 8 shards appends at most 20 times per second")
	})
}

// TestAtMostOnce claims few keys at several instances under random faults and checks that
// no key is ever granted twice, unless it was released in between.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { atMostOnce(t, seed) })
		})
	}
}

func atMostOnce(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	log := &standin.Log{}
	names := []string{"a", "b", "c"}
	c := newCluster(log, names...)
	// Instances may disagree about the owner throughout the run.
	owners := []int{rng.IntN(3), rng.IntN(3), rng.IntN(3)}
	c.owner = func(self string, _ int) string { return names[owners[self[0]-'a']] }
	var mu sync.Mutex
	running := map[string]int{}
	var wg sync.WaitGroup
	for range 300 {
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		switch rng.IntN(12) {
		case 0:
			log.Set(standin.LogFaults{Down: rng.IntN(2) == 0, Lose: rng.IntN(4), Delay: time.Duration(rng.IntN(300)) * time.Millisecond})
		case 1:
			name := names[rng.IntN(3)]
			c.kill(name)
			c.start(log, name, rng.Uint32()|1)
		}
		key, name, wait := fmt.Sprint(rng.IntN(20)), names[rng.IntN(3)], time.Duration(rng.IntN(900))*time.Millisecond
		release := rng.IntN(4) == 0
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			d, err := c.registry(name).Begin(ctx, "c0", key, "p", "r")
			if err != nil || d.Ticket == nil {
				return
			}
			if release {
				d.Ticket.Release()
				return
			}
			mu.Lock()
			running[key]++
			mu.Unlock()
			d.Ticket.Done(nil)
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	for key, n := range running {
		require.LessOrEqual(t, n, 1, "key %s ran %d times", key, n)
	}
}
