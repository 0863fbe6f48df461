package placement

import (
	"slices"
	"time"

	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// SetEvacuated sets whether operators have emptied a failure domain: its endpoints, also those
// that are listed later, get no new requests until it is taken back. What runs there goes on.
func (b *Balancer) SetEvacuated(domain string, evacuated bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.evacuated[domain] == evacuated {
		return
	}
	if b.evacuated == nil {
		b.evacuated = map[string]bool{}
	}
	if evacuated {
		b.evacuated[domain] = true
	} else {
		delete(b.evacuated, domain)
	}
	for _, s := range b.byID {
		if s.Domain == domain {
			s.setEvacuated(evacuated, now)
		}
	}
}

func (s *endpointState) setEvacuated(evacuated bool, now time.Time) {
	if s.evacuated && !evacuated {
		s.forgetWarmth(now)
	}
	s.evacuated = evacuated
}

// forgetWarmth records that nothing is known any more of how warm the endpoint is.
func (a *availability) forgetWarmth(now time.Time) { a.unknownSince = now }

// LastSend returns when this instance last sent a request to an endpoint of a failure domain; zero
// means never.
func (b *Balancer) LastSend(domain string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastSends[domain]
}

// HasDomain reports whether an endpoint of a failure domain is listed.
func (b *Balancer) HasDomain(domain string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.byID {
		if s.Domain == domain {
			return true
		}
	}
	return false
}

// AllEvacuated reports whether endpoints are listed and all are in emptied failure domains.
func (b *Balancer) AllEvacuated() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.byID {
		if !s.evacuated {
			return false
		}
	}
	return len(b.byID) > 0
}

// RecordSend records that the request is sent to the endpoint. It is safe for concurrent use.
func (r *Run) RecordSend(now time.Time) {
	r.balancer.mu.Lock()
	defer r.balancer.mu.Unlock()
	if r.balancer.lastSends == nil {
		r.balancer.lastSends = map[string]time.Time{}
	}
	r.balancer.lastSends[r.state.Domain] = now
}

// inRegions reports whether the endpoint is in one of the regions of a Request.
func (s *endpointState) inRegions(regions []string) bool {
	return regions == nil || s.region != "" && slices.Contains(regions, s.region)
}

// RefusalReason returns why Choose finds no endpoint for a request: fleet.ReasonEvacuated if one
// would take it were its failure domain not emptied, fleet.ReasonRegion if one in another region
// would, and otherwise fleet.ReasonNoEndpoint.
func (b *Balancer) RefusalReason(r Request, now time.Time) fleet.Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	evacuated, elsewhere := false, false
	for _, s := range b.services[r.Service] {
		reason := s.unavailability(now)
		switch {
		case !s.inRegions(r.Regions):
			elsewhere = elsewhere || reason == ""
		case reason == UnavailableEvacuated:
			evacuated = evacuated || !s.down
		case reason == "", reason == UnavailableQuiet, reason == UnavailableReturning:
			return fleet.ReasonNoEndpoint
		}
	}
	switch {
	case evacuated:
		return fleet.ReasonEvacuated
	case elsewhere:
		return fleet.ReasonRegion
	}
	return fleet.ReasonNoEndpoint
}
