package router_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// slowBody is a body that arrives after a delay.
type slowBody struct {
	delay time.Duration
	rest  io.Reader
	sent  atomic.Bool // whether it was read to its end
}

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.delay)
	b.delay = 0
	n, err := b.rest.Read(p)
	if err == io.EOF {
		b.sent.Store(true)
	}
	return n, err
}

// Callers that repeated refused requests at a stopping instance kept it from ending until the limit of
// its stop, though nothing waited or ran there.
func TestRepeatedRefusalsDoNotProlongStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := &demo.Site{
			Network: &standin.MemoryNetwork{}, InstanceCount: 2, DomainCount: 1, EngineCount: 1, PlainCount: 1,
			DrainTimeout: 10 * time.Second,
		}
		require.NoError(t, site.Start())
		defer func() { require.NoError(t, site.Close()) }()
		_, err := site.Publish(t.Context(), demo.ConfigText(), 0)
		require.NoError(t, err)
		node := site.Nodes[0]
		address := node.CallerAddress
		client := &http.Client{Transport: &http.Transport{DialContext: site.Network.Dial, DisableKeepAlives: true}}
		var callers sync.WaitGroup
		statuses := make([]map[int]int, 4)
		for i := range statuses {
			statuses[i] = map[int]int{}
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 17 * time.Millisecond)
				for {
					body := &slowBody{delay: 61 * time.Millisecond, rest: strings.NewReader("an order")}
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/portal/orders", body)
					if err != nil {
						return
					}
					req.Header.Set("Authorization", "Bearer key-0")
					resp, err := client.Do(req)
					if err != nil {
						// A connection that is opened as the listener closes ends unread.
						if body.sent.Load() {
							statuses[i][0]++
						}
						return
					}
					if _, err = io.Copy(io.Discard, resp.Body); err != nil {
						statuses[i][0]++
					}
					_ = resp.Body.Close()
					statuses[i][resp.StatusCode]++
					if resp.StatusCode != http.StatusOK {
						// A refusal that does not wait for the body takes no time.
						time.Sleep(time.Millisecond)
					}
				}
			})
		}
		time.Sleep(time.Second)

		require.NoError(t, node.Stop())
		callers.Wait()
		for _, s := range statuses {
			require.Zero(t, s[0], "whole requests without a complete answer")
			require.Positive(t, s[http.StatusOK])
		}
	})
}
