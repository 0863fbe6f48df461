package peer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/audit"
	"github.com/greengagestep/greengagestep/internal/peer"
	"github.com/greengagestep/greengagestep/internal/placement"
	"github.com/greengagestep/greengagestep/internal/quarantine"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// FuzzMessage delivers messages and reservations with any content that are signed with the
// fleet's key, as those of a faulty instance or of another version may be.
func FuzzMessage(f *testing.F) {
	f.Add(`{"f":{"n":"p","d":"a","a":"10.0.0.2:80","i":1},"q":1,"w":"AAAAAQEAAQ==","u":{"a":{"a":1,"s":2}},"m":[{"n":"x","a":"y"}],"d":5,"k":true}`)
	f.Add(`{"f":{"a":"10.0.0.2:80"},"e":{"endpoints":{"n":5,"f":3,"r":[{"k":"i-1","v":"x"}]}},"c":[{"p":"f","e":"i-1"}],"r":[{"e":"i-1","c":[1,2]}]}`)
	f.Add(`{"f":"10.0.0.9:1","e":"i-1","t":-1,"l":-9223372036854775808}`)
	f.Add(`{"u":{"a":{"a":-1e308,"s":1e308}},"f":{"n":"p","a":"b"},"e":{"endpoints":null,"operators":{"n":-1,"w":true}}}`)
	f.Add(`{"f":{"n":"p","a":"10.0.0.2:80","i":1},"q":1,"l":[{"e":"i-1","s":"m","a":"e","t":5},{"e":"i-1","b":-9,"t":-9223372036854775808},{"t":9e18},{}]}`)
	f.Add(`null`)
	f.Fuzz(func(t *testing.T, body string) {
		x := newExchange("key")
		x.Crashes = quarantine.New(&audit.Trail{})
		x.Feeds = map[string]watch.Relay{"endpoints": &watch.Follower[string]{Name: "endpoints", OnBatch: func(watch.Batch[string]) {}}}
		x.Balancer.Put(placement.Endpoint{ID: "i-1", EndpointInfo: fleet.EndpointInfo{Service: "m", Address: "e", Domain: "a", Slots: 1}})
		for path, serve := range map[string]http.HandlerFunc{peer.Path: x.ServeHTTP, peer.ReservePath: x.ServeReserve} {
			purpose := map[string]string{peer.Path: "ask", peer.ReservePath: "reserve"}[path]
			r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
			r.Header.Set("Signature", x.Key.Sign(purpose, []byte(body)))
			w := httptest.NewRecorder()
			serve(w, r)
			require.Contains(t, []int{http.StatusOK, http.StatusBadRequest}, w.Code)
		}
		now := time.Now()
		x.Peers(now)
		x.Ledger.FairShareRatio("a", now)
		x.Balancer.Choose(placement.Request{Service: "m", Tokens: 100}, now)
	})
}
