package entry_test

import (
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/evacuation"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

func (f *fixture) evacuate(domain string) {
	f.operators.write("emptied/"+domain, &watch.OperatorRecord{Evacuation: &evacuation.Record{Domain: domain}})
}

// takeBack deletes the record that empties a domain.
func (f *fixture) takeBack(domain string) { f.operators.write("emptied/"+domain, nil) }

// requireServed sends a request, which must be served or refused for a reason.
func (f *fixture) requireServed(refusal fleet.Reason) {
	f.t.Helper()
	status, body := f.request(f.callers, "/a/x", "k")
	if refusal == "" {
		require.Equal(f.t, http.StatusOK, status, body)
		return
	}
	require.Equal(f.t, http.StatusServiceUnavailable, status)
	require.Equal(f.t, string(refusal)+"\n", body)
}

// An emptied domain gets no request from one second after its record on, and what runs there ends
// as usual. The last domain is emptied: callers are refused at once, with the reason. Deleting the
// records ends it.
func TestEvacuatedDomainGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.startServing()
		f.processingTime = 3 * time.Second
		long := make(chan int)
		go func() {
			status, _ := f.request(f.callers, "/a/x", "k")
			long <- status
		}()
		time.Sleep(time.Second)
		f.evacuate("a")
		time.Sleep(time.Second)
		began := time.Now()
		f.requireServed(fleet.ReasonEvacuated)
		require.Zero(t, time.Since(began))
		require.Equal(t, http.StatusOK, <-long)
		require.EqualValues(t, 1, f.run.Load())
		_, metrics := f.do(f.metrics, http.MethodGet, "/metrics", "")
		require.Contains(t, metrics, `evacuation_last_send_seconds{domain="a"} 0`)
		require.Contains(t, metrics, `requests_total{how="own",status="503",reason="evacuated"} 1`)
		f.evacuate("a") // again, while it holds
		f.takeBack("a")
		time.Sleep(time.Second)
		f.processingTime = 0
		f.requireServed("")
		f.shutDown()
	})
}

// The record is written before the instance starts, in front of the configuration or behind it: the
// instance knows it before its first request.
func TestEvacuationIsKnownBeforeFirstRequest(t *testing.T) {
	for name, write := range map[string]func(f *fixture){
		"before the configuration": func(f *fixture) { f.evacuate("a"); f.publish(5, "/a/") },
		"after the configuration":  func(f *fixture) { f.publish(5, "/a/"); f.evacuate("a") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.shutDown()
				write(f)
				f.endpoints.write("i-1", &fleet.EndpointInfo{Service: "m", Address: f.endpointAddress, Domain: "a", Slots: 4})
				f.start()
				for range 200 {
					f.request(f.callers, "/a/x", "k")
					time.Sleep(10 * time.Millisecond)
				}
				require.Zero(t, f.run.Load())
				f.requireServed(fleet.ReasonEvacuated)
				f.shutDown()
			})
		})
	}
}

// A domain that does not exist, and records that cannot be read, change nothing: neither what is
// served nor what is emptied.
func TestOddEvacuationChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.startServing()
		f.evacuate("nowhere")
		f.operators.writeInvalid("emptied/", errors.New("names no domain"))
		f.publish(6, "/a/")
		time.Sleep(time.Second)
		f.requireServed("")
		f.evacuate("a")
		f.operators.writeInvalid("emptied/a", errors.New("cannot be read"))
		f.publish(7, "/a/")
		time.Sleep(time.Second)
		f.requireServed(fleet.ReasonEvacuated)
		f.shutDown()
	})
}

// The platform was restored from a copy that is older than an evacuation: the emptied domain got requests
// until the operator had written the record again. If nobody does, the evacuation ends.
func TestEvacuationOutlivesRestoredPlatform(t *testing.T) {
	for _, again := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.operators.epoch = 1
			f.startServing()
			f.evacuate("a")
			time.Sleep(time.Second)
			f.requireServed(fleet.ReasonEvacuated)
			f.operators.restore("emptied/a")
			time.Sleep(1500 * time.Millisecond)
			f.requireServed(fleet.ReasonEvacuated)
			if again {
				f.evacuate("a")
			}
			time.Sleep(3 * time.Second)
			if again {
				f.requireServed(fleet.ReasonEvacuated)
				f.operators.restore()
				time.Sleep(4 * time.Second)
				f.requireServed(fleet.ReasonEvacuated)
			} else {
				f.requireServed("")
			}
			f.shutDown()
		})
	}
}

// The log is trimmed while the record is deleted: the snapshot without it ends the evacuation, and
// one with it keeps it.
func TestSnapshotSaysWhichDomainsAreEmptied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.startServing()
		f.evacuate("a")
		time.Sleep(time.Second)
		f.operators.trim()
		time.Sleep(time.Second)
		f.requireServed(fleet.ReasonEvacuated)
		f.operators.trim("emptied/a")
		time.Sleep(time.Second)
		f.requireServed("")
		f.shutDown()
	})
}
