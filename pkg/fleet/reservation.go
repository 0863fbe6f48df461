package fleet

import (
	"context"
	"math"
	"time"
)

// NoLimit is the longest wait of a request that may wait for any time.
const NoLimit = time.Duration(math.MaxInt64)

// Reservation is a request to the home instance of an endpoint to reserve capacity
// there. The home is the one instance that counts the requests that all instances send
// to the endpoint.
type Reservation struct {
	Endpoint string
	// Tokens is how many prompt tokens the endpoint would have to process.
	Tokens int
	// MaxWait is the longest time that the request may be queued at the endpoint: NoLimit for any
	// time, zero for none.
	MaxWait time.Duration
	// Start is set if the requesting instance takes the endpoint for cold: then the request
	// needs a start.
	Start bool
}

// ReservationResult is the response of a home instance to a Reservation.
type ReservationResult string

// The results of reservations.
const (
	// GrantAccepted means that the home counts the capacity as in use.
	GrantAccepted ReservationResult = "given"
	// GrantStart means that, too, and that the request may be started at the endpoint although
	// that is cold, shortly after it was requested.
	GrantStart ReservationResult = "start"
	// GrantNoStart means that the endpoint is cold and no start is free, or that its home
	// did not respond.
	GrantNoStart ReservationResult = "no-start"
	// GrantRefused means that the request would be queued at the endpoint for
	// longer than MaxWait.
	GrantRefused ReservationResult = "refused"
	// GrantNoAnswer means that the home did not respond in time: the requesting
	// instance decides from its own data.
	GrantNoAnswer ReservationResult = "unheard"
)

// Homes reserves capacity at endpoints through their home instances. Implementations
// are safe for concurrent use.
type Homes interface {
	// Reserve sends a reservation to the home of its endpoint. A reservation
	// expires after a short time, so the request must be sent immediately.
	Reserve(ctx context.Context, r Reservation) ReservationResult
	// Partial reports whether this instance learns late, or nothing, of requests that
	// others send: then only the home knows whether an endpoint has free capacity.
	Partial() bool
}
