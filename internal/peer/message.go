// Package peer exchanges between instances the work that each has sent to endpoints
// and the usage of customers, so that all balance on the load of the whole fleet. None
// of this state is persistent: an instance that receives no messages uses only what it
// observes itself.
package peer

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagestep/greengagestep/internal/admission"
	"github.com/greengagestep/greengagestep/internal/placement"
)

// Member is one instance of the fleet.
type Member struct {
	Name   string `json:"n"`
	Domain string `json:"d"`
	// Address is where the instance listens for its peers, IP:port.
	Address string `json:"a"`
	// Start identifies one start of the instance. Later starts have larger values, unless
	// the clock was set back in between.
	Start int64 `json:"i"`
	// Cores is how much of a processor the instance may use; zero means not known, which
	// counts as 1.
	Cores float64 `json:"c,omitempty"`
}

// digest returns a hash that identifies one start of the instance.
func (m Member) digest() uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(m.Address+m.Name), uint64(m.Start)))
}

// wireMessage is the state that one instance sends to another.
type wireMessage struct {
	From Member `json:"f"`
	// receiverStart is the start of the receiver for which the message was composed.
	receiverStart int64
	// Sequence grows with each message of one start.
	Sequence int64 `json:"q"`
	// ReceivedSequence is that of the newest message that the sender has received from the
	// receiver, zero if there is none, and ReceivedAge how long ago that was, in milliseconds.
	ReceivedSequence int64 `json:"z,omitempty"`
	ReceivedAge      int64 `json:"y,omitempty"`
	// Feeds holds the records that the receiver lacks of each feed.
	Feeds map[string]json.RawMessage `json:"e,omitempty"`
	// Work is the work at endpoints from requests that the sender forwarded, packed.
	Work []byte `json:"w,omitempty"`
	// Partial is set when Work covers only the endpoints whose home is the
	// receiver, including those without work.
	Partial bool `json:"p,omitempty"`
	// Crashes reports crashed endpoints and the requests that they had.
	Crashes json.RawMessage `json:"s,omitempty"`
	// crashesDelivered is called once the message has arrived; nil without a quarantine.
	crashesDelivered func()
	// CacheFills lists the shared prompt parts that endpoints added to their caches for
	// requests of the sender.
	CacheFills []placement.CacheFill `json:"r,omitempty"`
	// Departures lists endpoints that said in answers that they leave.
	Departures []placement.Departure `json:"l,omitempty"`
	// departuresNext is the position in the sender's list of departures after those in the
	// message; moreDepartures is set if that is not the end of the list.
	departuresNext int
	moreDepartures bool
	// Full is set in a full message, whose response is one, too.
	Full bool `json:"h,omitempty"`
	// Usage is the usage by customer at the sender; only full messages carry it.
	Usage map[string]admission.Usage `json:"u,omitempty"`
	// Members lists the live peers of the sender; only full messages to a receiver that
	// knows others carry it.
	Members []Member `json:"m,omitempty"`
	// WantRecords is set in a large fleet if the sender gets the records of feeds from
	// the receiver.
	WantRecords bool `json:"k,omitempty"`
	// Overloaded is set while the sender's processor does not keep up.
	Overloaded bool `json:"b,omitempty"`
	// MembersDigest identifies the set of instances that the sender knows to be live,
	// itself included.
	MembersDigest uint64 `json:"d,omitempty"`
}
