package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/quarantine"
)

// Bounds from the users' rules on prompt parts that crash endpoints.
const (
	stableBound       = 3 * time.Second
	crashesToLearn    = 5
	maxSendsAfterward = 3
)

// framing is how simulated endpoints delimit streams, and how far they come before they crash.
type framing string

const (
	framingChunked       framing = "chunked"
	framingUnframed      framing = "unframed"                 // streams end with their connections
	framingNoHead        framing = "chunked without a head"   // nothing is sent before the crash
	framingUnframedEvent framing = "unframed after one event" // the same; one event is sent before the crash
)

// crashingFleet is a set of simulated endpoints that crash when they begin to respond to a
// request with the part "bad" in its prompt, and break off all other streams then.
type crashingFleet struct {
	g       *testGateway
	framing framing

	mu      sync.Mutex
	down    map[string]chan struct{}
	crashes []time.Time
	reached []time.Time // requests with the part that reached an endpoint
}

func (f *crashingFleet) add(id string) {
	f.down[id] = make(chan struct{})
	f.g.addEndpoint(id, func(r *http.Request, _ string, w io.Writer) bool {
		bad := strings.Contains(r.Header.Get("Parts"), "bad")
		if bad {
			f.mu.Lock()
			f.reached = append(f.reached, time.Now())
			f.mu.Unlock()
		}
		if !f.sleep(id, 80*time.Millisecond) {
			return false
		}
		if !bad || f.framing != framingNoHead {
			f.begin(w, r)
		}
		if bad {
			if f.framing == framingUnframedEvent {
				f.event(w, 1)
				time.Sleep(time.Millisecond)
			}
			f.crash(id)
			return false
		}
		for n := 1; n <= 20; n++ {
			f.event(w, n)
			if !f.sleep(id, 20*time.Millisecond) {
				return false
			}
		}
		if f.chunked() {
			_ = writeChunk(w, "")
		}
		return f.chunked()
	})
}

func (f *crashingFleet) chunked() bool {
	return f.framing == framingChunked || f.framing == framingNoHead
}

func (f *crashingFleet) begin(w io.Writer, r *http.Request) {
	if f.chunked() {
		startStream(w, r)
		return
	}
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Request-Id"))
}

func (f *crashingFleet) event(w io.Writer, n int) {
	event := fmt.Sprintf("id: %d\ndata: b\n\n", n)
	if f.chunked() {
		_ = writeChunk(w, event)
		return
	}
	_, _ = io.WriteString(w, event)
}

// sleep returns false if the endpoint crashes meanwhile.
func (f *crashingFleet) sleep(id string, d time.Duration) bool {
	select {
	case <-f.down[id]:
		return false
	case <-time.After(d):
		return true
	}
}

func (f *crashingFleet) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.down[id]:
		return
	default:
	}
	f.crashes = append(f.crashes, time.Now())
	_ = f.g.listeners[id].Close()
	close(f.down[id])
}

// Requests that differ in customer, target and body but share one part of their prompts crash
// every endpoint that begins to respond to them, and no two are alike: endpoints must not
// crash one after the other until none is left, and requests that share the other parts must
// be served.
func TestPromptPartThatCrashesEndpointsIsQuarantined(t *testing.T) {
	for _, framing := range []framing{framingChunked, framingNoHead, framingUnframed, framingUnframedEvent} {
		t.Run(string(framing), func(t *testing.T) { testDeadlyPart(t, framing) })
	}
}

func testDeadlyPart(t *testing.T, framing framing) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		config := streamConfig()
		config.Routes[0].TargetLatencyMillis = 600
		g := newTestGateway(t, config)
		g.handler.Quarantine = quarantine.New(&audit.Trail{})
		f := &crashingFleet{g: g, framing: framing, down: map[string]chan struct{}{}}
		for n := range 12 {
			f.add(fmt.Sprintf("e%d", n))
		}
		type result struct {
			sent   time.Time
			served bool
		}
		var mu sync.Mutex
		var sound []result
		var wg sync.WaitGroup
		send := func(n int, parts string) bool {
			r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://h/%d", n), strings.NewReader(fmt.Sprint("body ", n)))
			require.NoError(t, err)
			r.Header.Set("Request-Id", fmt.Sprint(n))
			r.Header.Set("Wait", "12000")
			r.Header.Set("Parts", fmt.Sprintf("%s,own%d:100", parts, n))
			resp, err := g.client.Do(r)
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			return err == nil && resp.StatusCode == http.StatusOK
		}
		for n := range 200 {
			shared := fmt.Sprintf("system:500,subject%d:2000", n%4)
			if n%4 == 1 {
				wg.Go(func() { send(1000+n, shared+",bad:300") })
			}
			wg.Go(func() {
				sent := time.Now()
				served := send(n, shared)
				mu.Lock()
				defer mu.Unlock()
				sound = append(sound, result{sent: sent, served: served})
			})
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		require.NotEmpty(t, f.crashes)
		if len(f.crashes) >= crashesToLearn {
			late := 0
			for _, at := range f.reached {
				if at.Sub(f.crashes[crashesToLearn-1]) > stableBound {
					late++
				}
			}
			require.LessOrEqual(t, late, maxSendsAfterward, "requests with the part still reach endpoints; %d crashed", len(f.crashes))
		}
		learned := f.crashes[min(crashesToLearn, len(f.crashes))-1].Add(2 * stableBound)
		for _, s := range sound {
			if s.sent.After(learned) {
				require.True(t, s.served, "a sound request was not served; %d endpoints crashed", len(f.crashes))
			}
		}
	})
}
