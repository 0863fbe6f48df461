package router_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
)

// Requests of one instance waited without end while the same customers were served at others, which
// went on using their slots for requests of their own.
func TestNoInstanceStarvesWhileOthersServeTheSameCustomers(t *testing.T) {
	for _, domains := range []int{1, 3} {
		t.Run("domains="+strconv.Itoa(domains), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { longestWaitBounded(t, domains) })
		})
	}
}

// longestWaitBounded sends requests of four customers to each of five instances before one plain
// service with four slots, so that a call takes 100 ms if all get equal shares.
func longestWaitBounded(t *testing.T, domains int) {
	const limit, span = 10 * time.Second, 30 * time.Second
	site := &demo.Site{Network: &standin.MemoryNetwork{}, InstanceCount: 5, DomainCount: domains, EngineCount: 1, PlainCount: 1}
	require.NoError(t, site.Start())
	defer func() { require.NoError(t, site.Close()) }()
	_, err := site.Publish(t.Context(), demo.ConfigText(), 0)
	require.NoError(t, err)
	client := &http.Client{Transport: &http.Transport{DialContext: site.Network.Dial, MaxIdleConnsPerHost: 32}}
	defer client.CloseIdleConnections()
	var (
		callers sync.WaitGroup
		mu      sync.Mutex
		longest = map[string]time.Duration{}
		other   []string
	)
	end := time.Now().Add(span)
	for _, node := range site.Nodes {
		for customer := range 4 {
			callers.Go(func() {
				for time.Now().Before(end) {
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+node.CallerAddress+"/portal/orders", strings.NewReader("an order"))
					if err != nil {
						return
					}
					req.Header.Set("Authorization", "Bearer key-"+strconv.Itoa(customer))
					sent := time.Now()
					resp, err := client.Do(req)
					if err != nil {
						mu.Lock()
						defer mu.Unlock()
						other = append(other, err.Error())
						return
					}
					body, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					mu.Lock()
					longest[node.Name] = max(longest[node.Name], time.Since(sent))
					if err != nil || resp.StatusCode != http.StatusOK {
						// Repeated without a pause, a refusal would stop the fake time.
						defer mu.Unlock()
						other = append(other, fmt.Sprintf("status %d at %s: %s", resp.StatusCode, node.Name, body))
						return
					}
					mu.Unlock()
				}
			})
		}
	}
	callers.Wait()
	require.Empty(t, other, "requests that were not served")
	for name, d := range longest {
		require.Less(t, d, limit, "longest wait at %s: %v", name, longest)
	}
}
