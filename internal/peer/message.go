// Package peer exchanges between instances what each has sent to endpoints and what
// customers got, so that all decide on the load of the whole fleet. Nothing in it
// has to be kept: an instance that hears nothing decides on what it sees itself.
package peer

import (
	"encoding/json"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/placement"
)

// Member is one instance of the fleet.
type Member struct {
	Name   string `json:"n"`
	Domain string `json:"d"`
	// Address is where the instance listens for others, IP:port.
	Address string `json:"a"`
	// Start tells starts of the instance apart; later ones are larger.
	Start int64 `json:"i"`
}

// wireMessage is what an instance tells another.
type wireMessage struct {
	From Member `json:"f"`
	// Sequence grows with each message of one start.
	Sequence int64 `json:"q"`
	// Feeds tells of each feed what the receiver lacks.
	Feeds map[string]json.RawMessage `json:"e,omitempty"`
	// Work is what lies at endpoints because of the sender, packed.
	Work []byte `json:"w,omitempty"`
	// Part is set when Work names only endpoints whose home is the receiver,
	// those without work included.
	Part bool `json:"p,omitempty"`
	// Crashes are requests that crashed endpoints before the sender's eyes.
	Crashes json.RawMessage `json:"c,omitempty"`
	// Reads are shared parts that endpoints read for the sender.
	Reads []placement.CacheFill `json:"r,omitempty"`
	// Usage is left out of most messages.
	Usage map[string]admission.Usage `json:"u,omitempty"`
	// Members lists the instances that the sender hears.
	Members []Member `json:"m,omitempty"`
}
