package publication_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/publication"
	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/pkg/arrangement"
)

// checkedFollower is a follower that fails the test if its version does not increase.
type checkedFollower struct {
	*publication.Follower
	lastVersion int64
}

func newFollower(t *testing.T, log *standin.Log, name string) *checkedFollower {
	f := &checkedFollower{}
	f.Follower = &publication.Follower{Log: log, Trail: &audit.Trail{Instance: name}}
	f.OnAccept = func(_ arrangement.Config, o publication.Origin) {
		require.Greater(t, o.Version, f.lastVersion, "the version of the configuration did not increase")
		f.lastVersion = o.Version
	}
	return f
}

func configurationText(i int) string {
	return fmt.Sprintf("services:\n  - name: portal\ncustomers:\n  - name: c%d\n    keys: [key-%d]\n", i, i)
}

func publish(f *checkedFollower, actor string, baseVersion int64, i int) (int64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.Publish(ctx, publication.Proposal{Actor: actor, BaseVersion: baseVersion, Text: configurationText(i)})
}

func TestPublicationBasedOnOldVersionConflicts(t *testing.T) {
	log := &standin.Log{}
	a, b := newFollower(t, log, "a"), newFollower(t, log, "b")
	version, err := publish(a, "ana", 0, 1)
	require.NoError(t, err)
	require.Equal(t, int64(1), version)
	_, err = publish(b, "bo", 0, 2)
	var conflict *publication.Conflict
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, "ana", conflict.Actor)
}

// TestConcurrentPublicationsHaveOneWinner delays the log so that both operators append
// before either has read the record of the other.
func TestConcurrentPublicationsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{}
		log.Set(standin.LogFaults{Delay: 500 * time.Millisecond})
		followers := []*checkedFollower{newFollower(t, log, "a"), newFollower(t, log, "b")}
		errs := make([]error, 2)
		var wg sync.WaitGroup
		for i, f := range followers {
			wg.Go(func() { _, errs[i] = publish(f, fmt.Sprint("operator-", i), 0, i) })
		}
		wg.Wait()
		require.Equal(t, int64(2), log.Appends())
		if errs[0] == nil {
			errs[0], errs[1] = errs[1], errs[0]
		}
		var conflict *publication.Conflict
		require.ErrorAs(t, errs[0], &conflict)
		require.NoError(t, errs[1])
	})
}

func TestRepeatedPublicationKeepsItsVersion(t *testing.T) {
	log := &standin.Log{}
	a := newFollower(t, log, "a")
	_, err := publish(a, "ana", 0, 1)
	require.NoError(t, err)
	_, err = publish(a, "ana", 1, 2)
	require.NoError(t, err)
	version, err := publish(a, "ana", 0, 1)
	require.NoError(t, err)
	require.Equal(t, int64(1), version)
}

func TestInvalidConfigurationIsNotAppended(t *testing.T) {
	log := &standin.Log{}
	a := newFollower(t, log, "a")
	_, err := a.Publish(t.Context(), publication.Proposal{Text: "services:\n  - name: A B\n"})
	var invalid *publication.Invalid
	require.ErrorAs(t, err, &invalid)
	require.Zero(t, log.Appends())
}

func TestOnlyChangedSectionsAreAppended(t *testing.T) {
	log := &standin.Log{}
	a := newFollower(t, log, "a")
	_, err := publish(a, "ana", 0, 1)
	require.NoError(t, err)
	_, err = publish(a, "ana", 1, 2)
	require.NoError(t, err)
	page, err := log.Read(t.Context(), publication.Stream, 1, 1)
	require.NoError(t, err)
	require.NotContains(t, string(page.Records[0].Data), `"services"`)
	require.Contains(t, string(page.Records[0].Data), `"customers"`)
}

func TestChangeIsNotAcceptedIfEarlierRecordsAreTrimmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &standin.Log{Retention: time.Minute}
		a := newFollower(t, log, "a")
		_, err := publish(a, "ana", 0, 1)
		require.NoError(t, err)
		_, err = publish(a, "ana", 1, 2)
		require.NoError(t, err)
		time.Sleep(2 * time.Minute)
		// The only record that the log still keeps is based on version 0.
		_, err = log.Append(t.Context(), publication.Stream, []byte(`{"type":"change","id":"late","edits":0,"sections":{"services":[]}}`))
		require.NoError(t, err)
		fresh := newFollower(t, log, "b")
		require.Error(t, fresh.Poll(t.Context()))
		_, version := fresh.Config()
		require.Zero(t, version)
		require.NoError(t, a.AppendSnapshotIfOlder(t.Context(), time.Second))
		require.NoError(t, fresh.Poll(t.Context()))
		_, version = fresh.Config()
		require.Equal(t, int64(2), version)
	})
}

// TestFollowersAgree publishes through several followers at random under random faults.
// Followers are replaced by new ones, and the log trims old records.
func TestFollowersAgree(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { followersAgree(t, seed) })
		})
	}
}

func followersAgree(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	log := &standin.Log{Retention: 2 * time.Minute}
	followers := []*checkedFollower{newFollower(t, log, "a"), newFollower(t, log, "b"), newFollower(t, log, "c")}
	accepted := map[int64]string{}
	for i := range 150 {
		time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
		if rng.IntN(10) == 0 {
			log.Set(standin.LogFaults{Down: rng.IntN(4) == 0, Lose: rng.IntN(3)})
		}
		f := followers[rng.IntN(3)]
		_, version := f.Config()
		actor := fmt.Sprintf("operator-%d", i)
		if version, err := publish(f, actor, version, i); err == nil {
			require.Empty(t, accepted[version], "two publications became version %d", version)
			accepted[version] = actor
		}
		_ = f.AppendSnapshotIfOlder(t.Context(), 30*time.Second)
		if rng.IntN(15) == 0 {
			n := rng.IntN(3)
			fresh := newFollower(t, log, "new")
			fresh.Adopt(followers[(n+1)%3].Snapshot(), "peer")
			followers[n] = fresh
		}
	}
	log.Set(standin.LogFaults{})
	var configs []arrangement.Config
	for _, f := range followers {
		require.NoError(t, f.Poll(t.Context()))
		config, _ := f.Config()
		configs = append(configs, config)
	}
	require.Equal(t, configs[0], configs[1])
	require.Equal(t, configs[0], configs[2])
	require.NotEmpty(t, accepted)
}
