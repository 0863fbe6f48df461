package peer_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// transitRecorder is a feed that records how long updates were on their way.
type transitRecorder struct {
	watch.Relay
	transit time.Duration
}

func (r *transitRecorder) EncodeUpdate(fleet.Cursor, bool, time.Time) (json.RawMessage, error) {
	return json.RawMessage("{}"), nil
}

func (r *transitRecorder) Receive(_ json.RawMessage, _ bool, _ time.Time, transit time.Duration) (watch.Position, error) {
	r.transit = transit
	return watch.Position{Next: 1}, nil
}

// A message is delivered seconds late by a path that was cut, or to an instance that stood still:
// what it says of the platform counted as current. The message that its sender had received last
// shows how old it is at most.
func TestTransitOfLateMessageIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newExchange("key")
		feed := &transitRecorder{}
		x.Feeds["endpoints"] = feed
		sequence := 0
		// send posts a message whose sender has received the given one an age ago, and
		// returns the sequence of the reply.
		send := func(received int64, age time.Duration) int64 {
			sequence++
			data, err := json.Marshal(map[string]any{
				"f": map[string]any{"n": "p", "a": "10.0.0.2:80", "i": 1}, "q": sequence, "z": received, "y": age.Milliseconds(),
				"e": map[string]any{"endpoints": map[string]any{}},
			})
			require.NoError(t, err)
			var reply struct {
				Sequence int64 `json:"q"`
			}
			body, status := postForReply(x, x.Key.Sign("ask", data), string(data))
			require.Equal(t, http.StatusOK, status)
			require.NoError(t, json.Unmarshal(body, &reply))
			return reply.Sequence
		}
		first := send(0, 0)
		require.Zero(t, feed.transit, "it is not known")
		time.Sleep(100 * time.Millisecond)
		second := send(first, 98*time.Millisecond)
		require.Equal(t, 2*time.Millisecond, feed.transit)
		time.Sleep(3 * time.Second)
		second = send(second, 50*time.Millisecond)
		require.Equal(t, 2950*time.Millisecond, feed.transit)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			second = send(second, 99*time.Millisecond)
			require.Equal(t, time.Millisecond, feed.transit)
		}
		send(first, 0)
		require.Greater(t, feed.transit, time.Second, "the message is older than those that are remembered")
		send(second+1000, 0)
		require.Zero(t, feed.transit, "received from an earlier start of this instance")
	})
}
