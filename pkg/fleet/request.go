package fleet

import (
	"net/http"
	"time"
)

// Part is one part of a prompt. Requests share parts; an endpoint that keeps a
// part and all parts before it does not read it again.
type Part struct {
	// ID is a hash of the part's name on the wire.
	ID uint64
	// Tokens is the length of the part.
	Tokens int
}

// Ask is what a caller's request says about itself.
type Ask struct {
	// ID is the caller's own ID of this attempt; empty if it sent none.
	ID string
	// Key shows whom the caller belongs to; empty if it sent none.
	Key string
	// Wait is how long the caller waits; zero means that it does not say.
	Wait time.Duration
	// Prompt lists the parts of the prompt in order; the last one belongs to
	// the request alone. It is nil for plain services.
	Prompt []Part
	// Input is the number of prompt tokens, Output the largest number of
	// tokens that may be generated.
	Input, Output int
	// Hint is the caller's estimate of the tokens generated; zero means none.
	Hint int
	// After is the ID of the last event that the caller has of an earlier
	// run; empty means from the start.
	After string
	// Odd names a header that could not be read and counts as missing; empty if
	// there was none.
	Odd string
}

// Shared returns the parts that other requests may have in common with this one.
func (a Ask) Shared() []Part {
	if len(a.Prompt) == 0 {
		return nil
	}
	return a.Prompt[:len(a.Prompt)-1]
}

// Subject identifies what the request is about: the last shared part of its
// prompt. It is zero if there is none.
func (a Ask) Subject() uint64 {
	shared := a.Shared()
	if len(shared) == 0 {
		return 0
	}
	return shared[len(shared)-1].ID
}

// Errand is what an endpoint is told with a request.
type Errand struct {
	// Endpoint must run the request; any other refuses it.
	Endpoint string
	// Customer is the name of the caller's customer; empty for public routes.
	Customer string
	// Left is how long the caller still waits; zero means that it does not say.
	Left time.Duration
	// After is the ID of the last event that the caller has; empty means from
	// the start.
	After string
}

// Reply is what the headers of an endpoint's answer say about it.
type Reply struct {
	// ID is the ID of the request that the answer belongs to.
	ID string
	// Sealed is set when the endpoint vouches for the answer.
	Sealed bool
	// NotRun is set when the endpoint says that it did not run the request
	// and never will.
	NotRun bool
	// Reports is set when the answer carries the endpoint's load.
	Reports bool
	// Running and Waiting count requests at the endpoint; Slots is how many
	// it runs at a time.
	Running, Waiting, Slots int
	// Idle is how long the endpoint keeps an idle connection; zero means that
	// it does not say.
	Idle time.Duration
}

// Dialect translates between the headers on the wire and the fleet's types.
// Implementations are safe for concurrent use.
type Dialect interface {
	// Ask decodes the headers of a caller's request.
	Ask(h http.Header) Ask
	// Direct turns the headers of a caller's request into those that an
	// endpoint gets: whatever only the fleet may say is replaced.
	Direct(h http.Header, e Errand)
	// Reply decodes the headers of an endpoint's answer.
	Reply(status int, h http.Header) Reply
}
