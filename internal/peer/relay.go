package peer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/greengagestep/greengagestep/internal/event"
	"github.com/greengagestep/greengagestep/internal/service"
	"github.com/greengagestep/greengagestep/internal/watch"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

const (
	// SnapshotPath is the HTTP path at which an instance serves everything it
	// has read of a feed.
	SnapshotPath = "/snapshot"
	// feedParameter is the query parameter that holds the name of the feed.
	feedParameter = "feed"
	// sourceFeed is the feed by whose age the source of records is selected: it is the
	// one that changes all the time.
	sourceFeed = "endpoints"
	// feedRecoveryInterval is the pause between two checks for peers that have read
	// more of a feed while the platform does not respond.
	feedRecoveryInterval = 250 * time.Millisecond
)

// composeFeeds returns the records that a peer lacks of each feed. In a large fleet only
// neighbors get any, and only those that want them from this instance, also records that came
// from another one: the others get only the position. The caller holds the lock.
func (x *Exchange) composeFeeds(to *peer, now time.Time) map[string]json.RawMessage {
	if x.sparse && to != nil && !to.neighbor {
		return nil
	}
	feeds := make(map[string]json.RawMessage, len(x.Feeds))
	for name, f := range x.Feeds {
		from := fleet.Cursor{}
		if to != nil && (!x.sparse || to.wantsRecords) {
			from = to.cursors[name]
		}
		data, err := f.EncodeUpdate(from, x.sparse, now)
		if err != nil {
			x.Logger.Warn(event.InvalidData, zap.String("feed", name), zap.Error(err))
			continue
		}
		feeds[name] = data
	}
	return feeds
}

// receiveFeeds applies the records of feeds in a message from a peer that was on its way for transit
// at most.
func (x *Exchange) receiveFeeds(p *peer, feeds map[string]json.RawMessage, now time.Time, transit time.Duration) {
	relay := x.Sparse()
	for name, data := range feeds {
		f := x.Feeds[name]
		if f == nil {
			continue
		}
		position, err := f.Receive(data, relay, now, transit)
		if err != nil {
			x.Logger.Warn(event.InvalidData, zap.String("feed", name), zap.String("peer", p.Name), zap.Error(err))
			continue
		}
		x.mu.Lock()
		p.cursors[name] = position.Cursor()
		if name == sourceFeed {
			p.dataAge = time.Duration(position.Age) * time.Millisecond
			p.dataAt = now.Add(-p.dataAge)
		}
		x.mu.Unlock()
		if relay && f.OutOfDate() && f.Position(now).Epoch < position.Epoch {
			// A snapshot is relayed from neighbor to neighbor sooner than all read the platform.
			service.Go(x.Logger, "snapshot", func() { x.fetchSnapshot(context.Background(), p.Address, name, f) })
		}
	}
}

// recoverFeeds fetches from peers the feeds that cannot be read from the platform.
func (x *Exchange) recoverFeeds(ctx context.Context, now time.Time) {
	for name, f := range x.Feeds {
		if !f.Unreachable() {
			continue
		}
		own := f.Position(now).Cursor()
		x.mu.Lock()
		address := ""
		for _, p := range x.peers {
			if x.live(p, now) && own.Before(p.cursors[name]) {
				address = p.Address
			}
		}
		x.mu.Unlock()
		if address != "" {
			service.Go(x.Logger, "snapshot", func() { x.fetchSnapshot(ctx, address, name, f) })
		}
	}
}

// fetchSnapshot fetches everything that a peer has read of a feed. It does nothing while another one is
// fetched.
func (x *Exchange) fetchSnapshot(ctx context.Context, address, name string, f watch.Relay) {
	if _, fetching := x.fetching.LoadOrStore(name, true); fetching {
		return
	}
	defer x.fetching.Delete(name)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+SnapshotPath+"?"+feedParameter+"="+name, nil)
	if err != nil {
		x.Logger.Warn(event.InvalidData, zap.String("feed", name), zap.Error(err))
		return
	}
	signature := x.Key.sign(purposeSnapshot, []byte(name))
	req.Header.Set(HeaderSignature, signature)
	sent := time.Now()
	resp, err := x.client.Do(req)
	if err != nil {
		// The next check retries, possibly with another peer.
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSnapshotBytes))
	if err != nil || resp.StatusCode != http.StatusOK || !x.Key.verify(purposeResponse+signature, data, resp.Header.Get(HeaderSignature)) {
		return
	}
	now := time.Now()
	if _, err := f.Receive(data, false, now, now.Sub(sent)); err != nil {
		x.Logger.Warn(event.InvalidData, zap.String("feed", name), zap.String("address", address), zap.Error(err))
		return
	}
	x.Logger.Info(event.ReadFromPeer, zap.String("feed", name), zap.String("address", address), zap.Int64("epoch", f.Position(now).Epoch), zap.Int64("next", f.Position(now).Next))
}

// maxSnapshotBytes bounds the size of a snapshot.
const maxSnapshotBytes = 32 << 20

// ServeSnapshot responds with everything this instance has read of a feed.
func (x *Exchange) ServeSnapshot(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get(feedParameter)
	signature := r.Header.Get(HeaderSignature)
	if !x.Key.verify(purposeSnapshot, []byte(name), signature) {
		x.rejectUnauthenticated(w, r)
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
	w.Header().Set(HeaderSignature, x.Key.sign(purposeResponse+signature, data))
	_, _ = w.Write(data)
}
