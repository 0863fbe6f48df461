package quarantine

import (
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// eventsBeforeCrash is how many events of a stream may arrive from an endpoint that crashes
// because of the request.
const eventsBeforeCrash = 1

// Attempt follows one attempt of a request at an endpoint, for the quarantine. Exported fields
// are set before the first call. It is not safe for concurrent use.
type Attempt struct {
	// Quarantine is told of answers; nil means that nobody is.
	Quarantine fleet.Quarantine
	Endpoint   string
	// Request is the ID of the request.
	Request string
	// Signatures are those of what the request shares with others and, last, of the request
	// itself.
	Signatures []uint64
	// Sent is when the request was sent.
	Sent time.Time
	// Begun is set by the caller of this package once the response has begun.
	Begun bool

	events int
}

// Events returns how many events of the response have arrived.
func (a *Attempt) Events() int { return a.events }

// AddEvents records that further events of the response have arrived. An endpoint that has
// gone on after the first one does not crash because of what the request shares with others.
func (a *Attempt) AddEvents(n int) {
	running := a.Running()
	a.events += n
	if a.Quarantine != nil && a.Running() && !running {
		a.Quarantine.Answered(a.Signatures[:len(a.Signatures)-1])
	}
}

// Running reports whether the response has gone on so far that what the request shares with
// others does not crash the endpoint.
func (a *Attempt) Running() bool { return a.events > eventsBeforeCrash }

// Complete records that the response has arrived whole.
func (a *Attempt) Complete() {
	if a.Quarantine != nil {
		a.Quarantine.Answered(a.Signatures)
	}
}

// Suspect returns the request as a suspect of a crash of the endpoint. broken is when the
// connection broke.
func (a *Attempt) Suspect(broken time.Time) fleet.Suspect {
	s := fleet.Suspect{
		Endpoint: a.Endpoint, Request: a.Request, Signatures: a.Signatures, Progress: fleet.ProgressWaiting,
		Sent: a.Sent, Broken: broken,
	}
	switch {
	case a.Running():
		s.Progress = fleet.ProgressRunning
		s.Signatures = a.Signatures[len(a.Signatures)-1:]
	case a.Begun:
		s.Progress = fleet.ProgressBegun
	}
	return s
}
