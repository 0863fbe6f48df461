package fleet

import (
	"context"
	"time"
)

// Reservation asks the home of an endpoint for a place there. The home is the one
// instance that counts what all others send to the endpoint.
type Reservation struct {
	Endpoint string
	// Tokens is how many tokens the endpoint would have to read.
	Tokens int
	// Limit is the longest time that the request may wait at the endpoint.
	Limit time.Duration
}

// Grant says what the home of an endpoint answered.
type Grant string

// The answers of homes.
const (
	// GrantGiven means that the place is counted as taken.
	GrantGiven Grant = "given"
	// GrantRefused means that the request would wait for too long there.
	GrantRefused Grant = "refused"
	// GrantUnheard means that the home did not answer in time: the asker
	// decides by what it knows itself.
	GrantUnheard Grant = "unheard"
)

// Homes reserves places at endpoints. Implementations are safe for concurrent use.
type Homes interface {
	// Reserve asks the home of an endpoint. The place is held only for a
	// moment: the request has to be sent at once.
	Reserve(ctx context.Context, r Reservation) Grant
}
