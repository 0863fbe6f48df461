package admission

import (
	"math"
	"time"
)

// Case is a request that asks to be served.
type Case struct {
	Customer string
	// Wait is the time that the request would wait before its own work begins
	// at the best endpoint.
	Wait time.Duration
	// Aim is the shortest aim of all requests that share the endpoints; zero
	// means that there is none.
	Aim time.Duration
	// Late is set when the request's own aim has passed already: it gets only
	// what nobody on time needs.
	Late bool
}

const (
	// waitPart is the part of the shortest aim that work may wait at an
	// endpoint: the rest is left for the request's own work and the way.
	waitPart = 0.5
	// fairPart is the part of that wait which customers above their share may
	// still use; what lies above is kept for the others.
	fairPart = 0.15
	// latePart is the part that callers who are late already may use.
	latePart = 0.05
	// overShare is the share at which a customer has only fairPart.
	overShare  = 1.3
	underShare = 0.9
)

const (
	// returnPart is the part of a caller's patience after which it may come
	// back at the latest; callers wait for no more than a third.
	returnPart = 1.0 / 3
	// spread is the part of that time over which returns are spread.
	spread = 0.4
	// defaultReturn is the longest pause of callers that do not say how long
	// they wait.
	defaultReturn = 3 * time.Second
)

// Return tells when a refused caller should come back: as late as it leaves the
// caller time, since work that is late anyway is done best when the rush is over.
// Draw is a random number from 0 to 1.
func Return(left time.Duration, draw float64) time.Duration {
	most := defaultReturn
	if left > 0 {
		most = time.Duration(float64(left) * returnPart)
	}
	return time.Duration(float64(most) * (1 - spread*draw))
}

// Admit decides whether a request is sent to an endpoint now.
func (l *Ledger) Admit(c Case, now time.Time) bool { return c.Wait <= l.Limit(c, now) }

// Limit returns the longest time that a request may wait at an endpoint.
func (l *Ledger) Limit(c Case, now time.Time) time.Duration {
	if c.Aim <= 0 {
		return math.MaxInt64
	}
	limit := waitPart * float64(c.Aim)
	if c.Late {
		return time.Duration(latePart * limit)
	}
	share := l.Share(c.Customer, now)
	over := min(max((share-underShare)/(overShare-underShare), 0), 1)
	return time.Duration(limit * (1 - over*(1-fairPart)))
}
