package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/watch"
)

const (
	// SnapshotPath is where an instance gives everything it has read of a feed.
	SnapshotPath = "/snapshot"
	// feedParameter names the feed in the query.
	feedParameter = "feed"
	// rescueInterval is the pause between two looks for what others know
	// while the platform does not answer.
	rescueInterval = 250 * time.Millisecond
)

// tell composes what a peer lacks of each feed. The lock is held.
func (x *Exchange) tell(to *peer, now time.Time) map[string]json.RawMessage {
	feeds := make(map[string]json.RawMessage, len(x.Feeds))
	for name, f := range x.Feeds {
		place := int64(0)
		if to != nil {
			place = to.places[name]
		}
		data, err := f.EncodeUpdate(place, now)
		if err != nil {
			x.Logger.Warn(event.Odd, zap.String("feed", name), zap.Error(err))
			continue
		}
		feeds[name] = data
	}
	return feeds
}

// hear takes in what a peer tells of feeds.
func (x *Exchange) hear(p *peer, feeds map[string]json.RawMessage, now time.Time) {
	for name, data := range feeds {
		f := x.Feeds[name]
		if f == nil {
			continue
		}
		mark, err := f.Receive(data, now)
		if err != nil {
			x.Logger.Warn(event.Odd, zap.String("feed", name), zap.String("peer", p.Name), zap.Error(err))
			continue
		}
		x.mu.Lock()
		p.places[name] = mark.Next
		x.mu.Unlock()
	}
}

// rescue asks peers for feeds that cannot be read from the platform.
func (x *Exchange) rescue(ctx context.Context, now time.Time) {
	for name, f := range x.Feeds {
		if !f.Unreachable() {
			continue
		}
		own := f.Position(now).Next
		x.mu.Lock()
		address := ""
		for _, p := range x.peers {
			if now.Sub(p.heard) < silent && p.places[name] > own {
				address = p.Address
			}
		}
		x.mu.Unlock()
		if address != "" {
			go x.fetch(ctx, address, name, f)
		}
	}
}

func (x *Exchange) fetch(ctx context.Context, address, name string, f watch.Relay) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+SnapshotPath+"?"+feedParameter+"="+name, nil)
	if err != nil {
		x.Logger.Warn(event.Odd, zap.String("feed", name), zap.Error(err))
		return
	}
	signature := x.Key.sign(useSnapshot, []byte(name))
	req.Header.Set(headerSignature, signature)
	resp, err := x.client.Do(req)
	if err != nil {
		// The next look asks again, or another peer.
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshot))
	if err != nil || resp.StatusCode != http.StatusOK || !x.Key.verify(useAnswer+signature, data, resp.Header.Get(headerSignature)) {
		return
	}
	if _, err := f.Receive(data, time.Now()); err != nil {
		x.Logger.Warn(event.Odd, zap.String("feed", name), zap.String("address", address), zap.Error(err))
		return
	}
	x.Logger.Info(event.Rescued, zap.String("feed", name), zap.String("address", address), zap.Int64("next", f.Position(time.Now()).Next))
}

// maxSnapshot bounds a snapshot, in bytes.
const maxSnapshot = 32 << 20

// ServeSnapshot gives everything that was read of a feed.
func (x *Exchange) ServeSnapshot(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get(feedParameter)
	signature := r.Header.Get(headerSignature)
	if !x.Key.verify(useSnapshot, []byte(name), signature) {
		x.unknown(w, r)
		return
	}
	f := x.Feeds[name]
	if f == nil {
		http.Error(w, "no such feed", http.StatusNotFound)
		return
	}
	data, err := f.EncodeSnapshot(time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set(headerSignature, x.Key.sign(useAnswer+signature, data))
	_, _ = w.Write(data)
}
