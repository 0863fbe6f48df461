package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/peer"
)

// directory is a fleet.KeyValueStore in memory.
type directory struct {
	mu     sync.Mutex
	values map[string][]byte
}

func (d *directory) Put(_ context.Context, key string, value []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.values[key] = value
	return nil
}

func (d *directory) List(context.Context) (map[string][]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.values), nil
}

// register writes the entry of an instance as its clock shows the time.
func (d *directory) register(t *testing.T, m peer.Member, clock time.Time) {
	data, err := json.Marshal(map[string]any{"n": m.Name, "d": m.Domain, "a": m.Address, "i": m.Start, "t": clock.Unix()})
	require.NoError(t, err)
	require.NoError(t, d.Put(t.Context(), m.Name, data))
}

// unreachable records when messages were last sent to each address, and delivers none.
type unreachable struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (u *unreachable) RoundTrip(r *http.Request) (*http.Response, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.last[r.URL.Host] = time.Now()
	return nil, errors.New("unreachable")
}

func (u *unreachable) sentWithin(address string, d time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.last[address]
	return ok && time.Since(at) <= d
}

// The clocks of two instances differ by minutes or hours, since one of them was set. The entries of
// instances that run were ignored if the reader's clock was ahead, and messages were sent to instances
// that had ended for as long as it was behind.
func TestFinderDoesNotCompareClocks(t *testing.T) {
	for name, ahead := range map[string]time.Duration{"equal": 0, "behind": -3 * time.Hour, "a little behind": -5 * time.Minute, "ahead": 3 * time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, sent := &directory{values: map[string][]byte{}}, &unreachable{last: map[string]time.Time{}}
				running := peer.Member{Name: "front-2", Address: "10.0.0.2:80", Start: 7}
				ended := peer.Member{Name: "front-3", Address: "10.0.0.3:80", Start: 8}
				d.register(t, ended, time.Now().Add(ahead))
				x := newExchange("key")
				x.Transport = sent
				f := &peer.Finder{Directory: d, Exchange: x, Logger: zap.NewNop()}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = x.Serve(ctx) }()
				go func() { _ = f.Serve(ctx) }()
				for range 20 {
					d.register(t, running, time.Now().Add(ahead))
					time.Sleep(time.Minute)
					require.True(t, sent.sentWithin(running.Address, 20*time.Second), "the instance that runs must be found")
				}
				require.False(t, sent.sentWithin(ended.Address, 10*time.Minute), "an instance that has ended gets no messages")
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// The platform was restored from a copy without the entry of an instance that had just started: nobody
// could find it for up to a minute.
func TestEntryIsRewrittenAfterRestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &directory{values: map[string][]byte{}}
		f := &peer.Finder{Directory: d, Exchange: newExchange("key"), Logger: zap.NewNop()}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Serve(ctx) }()
		time.Sleep(5 * time.Second)
		d.mu.Lock()
		require.Len(t, d.values, 1)
		clear(d.values)
		d.mu.Unlock()
		f.Reregister()
		time.Sleep(11 * time.Second)
		list, err := d.List(t.Context())
		require.NoError(t, err)
		require.Len(t, list, 1)
		cancel()
		time.Sleep(time.Minute)
	})
}

// The clock of an instance stands still or is set back again and again: each of its entries must
// differ from the one before, or others take it for ended.
func TestEachEntryDiffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &directory{values: map[string][]byte{}}
		f := &peer.Finder{Directory: d, Exchange: newExchange("key"), Logger: zap.NewNop()}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Serve(ctx) }()
		withoutTime := func() string {
			list, err := d.List(t.Context())
			require.NoError(t, err)
			var entry map[string]any
			require.NoError(t, json.Unmarshal(list["front-1"], &entry))
			delete(entry, "t")
			data, err := json.Marshal(entry)
			require.NoError(t, err)
			return string(data)
		}
		time.Sleep(time.Second)
		first := withoutTime()
		time.Sleep(2 * time.Minute)
		require.NotEqual(t, first, withoutTime())
		cancel()
		time.Sleep(time.Minute)
	})
}
