package peer_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/peer"
)

// reply posts a full message to an instance and returns its response.
func reply(t *testing.T, x *peer.Exchange, m map[string]any) (decoded struct {
	Members []peer.Member `json:"m"`
	Digest  uint64        `json:"d"`
	Full    bool          `json:"h"`
}, size int,
) {
	data, err := json.Marshal(m)
	require.NoError(t, err)
	r := httptest.NewRequest(http.MethodPost, peer.Path, strings.NewReader(string(data)))
	r.Header.Set("Signature", x.Key.Sign("ask", data))
	w := httptest.NewRecorder()
	x.ServeHTTP(w, r)
	require.Equal(t, http.StatusOK, w.Code)
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &decoded))
	return decoded, w.Body.Len()
}

// Hundreds of instances exchange full messages: between two that know the same instances the
// size of a message must not grow with their number. One that knows others gets the list.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	size := map[int]int{}
	for _, n := range []int{10, 300} {
		x := newExchange("key")
		for i := range n {
			deliver(t, x, peer.Member{Name: fmt.Sprintf("front-%d", 2+i), Address: fmt.Sprintf("10.0.%d.%d:80", i/200, 2+i%200), Start: 1})
		}
		first := map[string]any{"f": map[string]any{"n": "front-2", "a": "10.0.0.2:80", "i": 1}, "q": 2, "h": true, "u": map[string]any{}}
		got, _ := reply(t, x, first)
		require.Len(t, got.Members, n, "the sender has not shown that it knows the same instances")
		first["q"], first["d"] = 3, got.Digest
		got, size[n] = reply(t, x, first)
		require.Empty(t, got.Members)
		first["q"], first["d"] = 4, got.Digest+1
		got, _ = reply(t, x, first)
		require.Len(t, got.Members, n)
	}
	require.LessOrEqual(t, size[300], size[10]+16)
}

// Before the first traffic no customer has any usage. Instances learn of each other nevertheless: the
// response to a full message is full, too.
func TestMembersAreToldWithoutTraffic(t *testing.T) {
	x := newExchange("key")
	for n := range 5 {
		deliver(t, x, peer.Member{Name: fmt.Sprintf("front-%d", 2+n), Address: fmt.Sprintf("10.0.0.%d:80", 2+n), Start: 1})
	}
	got, _ := reply(t, x, map[string]any{"f": map[string]any{"n": "front-2", "a": "10.0.0.2:80", "i": 1}, "q": 2, "h": true})
	require.True(t, got.Full)
	require.Len(t, got.Members, 5)
	got, _ = reply(t, x, map[string]any{"f": map[string]any{"n": "front-2", "a": "10.0.0.2:80", "i": 1}, "q": 3, "u": map[string]any{"x": map[string]any{}}})
	require.Len(t, got.Members, 5, "a full message of an earlier version")
	got, _ = reply(t, x, map[string]any{"f": map[string]any{"n": "front-2", "a": "10.0.0.2:80", "i": 1}, "q": 4})
	require.False(t, got.Full)
	require.Empty(t, got.Members)
}
