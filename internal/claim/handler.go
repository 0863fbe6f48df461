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

// maxQuestion bounds the bytes of a question.
const maxQuestion = 64 << 10

// wireVerdict answers PathDecide.
type wireVerdict struct {
	Winner Claim `json:"winner"`
	// Unavailable is set when the log could not be used.
	Unavailable bool `json:"unavailable,omitempty"`
}

// Register adds the calls between instances to the peers' mux.
func (d *Desk) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PathDecide, d.serveDecide)
	mux.HandleFunc("POST "+PathResult, d.serveResult)
}

func (d *Desk) serveDecide(w http.ResponseWriter, r *http.Request) {
	d.init()
	c, ok := question(w, r)
	if !ok {
		return
	}
	winner, err := d.shards[c.Shard()].decide(r.Context(), c)
	writeJSON(w, wireVerdict{Winner: winner, Unavailable: err != nil})
}

func (d *Desk) serveResult(w http.ResponseWriter, r *http.Request) {
	c, ok := question(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), resultTerm)
	defer cancel()
	writeJSON(w, d.Result(ctx, c))
}

func question(w http.ResponseWriter, r *http.Request) (Claim, bool) {
	var c Claim
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestion)).Decode(&c)
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
