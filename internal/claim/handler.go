package claim

import (
	"context"
	"encoding/json"
	"net/http"
)

// Paths of the calls between instances.
const (
	PathDecide = "/peer/claim/decide"
	PathResult = "/peer/claim/result"
)

// maxClaimBytes bounds the size of a claim in a call.
const maxClaimBytes = 64 << 10

// wireDecision is the reply to PathDecide.
type wireDecision struct {
	Winner Claim `json:"winner"`
	// Unavailable is set if the log could not be used.
	Unavailable bool `json:"unavailable,omitempty"`
}

// Register adds the handlers of the calls between instances to the mux that serves peers.
func (reg *Registry) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathDecide, reg.serveDecide)
	mux.HandleFunc("POST "+PathResult, reg.serveResult)
}

func (reg *Registry) serveDecide(w http.ResponseWriter, r *http.Request) {
	reg.init()
	c, ok := readClaim(w, r)
	if !ok {
		return
	}
	winner, err := reg.shards[c.Shard()].decide(r.Context(), c)
	writeJSON(w, wireDecision{Winner: winner, Unavailable: err != nil})
}

func (reg *Registry) serveResult(w http.ResponseWriter, r *http.Request) {
	c, ok := readClaim(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), resultTimeout)
	defer cancel()
	writeJSON(w, reg.Result(ctx, c))
}

func readClaim(w http.ResponseWriter, r *http.Request) (Claim, bool) {
	var c Claim
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxClaimBytes)).Decode(&c)
	if err != nil || c.ID == "" || c.Key == "" {
		http.Error(w, "claim: unreadable question", http.StatusBadRequest)
		return c, false
	}
	return c, true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
