package demo_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// A planned stop lasted as long as callers repeated what it refused: a refusal counted as a request in
// progress, and with enough callers there was one at each check.
func TestPlannedStopEndsBesideRefusedCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := &demo.Site{
			Network: &standin.MemoryNetwork{}, InstanceCount: 2, DomainCount: 1, EngineCount: 1, PlainCount: 1,
			DrainTimeout: 20 * time.Second,
		}
		require.NoError(t, site.Start())
		_, err := site.Publish(t.Context(), demo.ConfigText(), 0)
		require.NoError(t, err)
		var callers sync.WaitGroup
		stop := make(chan struct{})
		defer func() {
			close(stop)
			callers.Wait()
			_ = site.Close()
		}()
		for n := range 4 {
			callers.Go(func() {
				time.Sleep(time.Duration(n) * 15 * time.Millisecond)
				for {
					select {
					case <-stop:
						return
					default:
						callSlowly(t, site)
					}
				}
			})
		}
		time.Sleep(time.Second)
		started := time.Now()
		require.NoError(t, site.Nodes[0].Stop())
		require.Less(t, time.Since(started), 3*time.Second)
	})
}

// callSlowly makes a call to the first instance, whose body takes 60 ms.
func callSlowly(t *testing.T, site *demo.Site) {
	body, sender := io.Pipe()
	go func() {
		for range 3 {
			time.Sleep(20 * time.Millisecond)
			if _, err := sender.Write([]byte("order ")); err != nil {
				return
			}
		}
		_ = sender.Close()
	}()
	defer body.Close()
	req, err := http.NewRequest(http.MethodPost, "http://"+site.Nodes[0].CallerAddress+"/portal/orders", body)
	if err != nil {
		t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer key-0")
	resp, err := site.Client().Do(req)
	if err != nil {
		time.Sleep(20 * time.Millisecond) // the instance is down
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	time.Sleep(time.Millisecond)
}
