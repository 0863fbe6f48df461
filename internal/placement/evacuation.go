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
	delete(b.evacuationEnd, domain)
	if evacuated {
		b.evacuated[domain] = true
	} else {
		delete(b.evacuated, domain)
	}
	for _, s := range b.byID {
		if s.Domain == domain {
			b.setEvacuated(s, evacuated, now)
		}
	}
}

// setEvacuated sets whether the failure domain of an endpoint is emptied. One that is taken back may
// have become cold meanwhile.
func (b *Balancer) setEvacuated(s *endpointState, evacuated bool, now time.Time) {
	ended := s.evacuated && !evacuated
	s.evacuated, s.evacuatedUntil = evacuated, b.evacuationEnd[s.Domain]
	if ended {
		b.markUncertain(s, "its failure domain was emptied", now)
	}
}

// evacuationLead is how long this instance relies on a home that says that a domain is emptied: it
// learns the same from the operator's record within this time.
const evacuationLead = time.Second

// IsEvacuated reports whether the failure domain of an endpoint is emptied. An unknown ID is in
// none.
func (b *Balancer) IsEvacuated(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.byID[id]
	return s != nil && s.evacuated
}

// RecordEvacuated records that the home of an endpoint has said that its failure domain is emptied. It concerns
// endpoints that are listed later, too.
func (b *Balancer) RecordEvacuated(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.byID[id]
	if e == nil {
		return
	}
	if b.evacuationEnd == nil {
		b.evacuationEnd = map[string]time.Time{}
	}
	b.evacuationEnd[e.Domain] = now.Add(evacuationLead)
	for _, s := range b.byID {
		if s.Domain == e.Domain {
			s.evacuatedUntil = now.Add(evacuationLead)
		}
	}
}

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
			elsewhere = elsewhere || s.usable(now)
		case reason == UnavailableEvacuated:
			evacuated = evacuated || !s.down
		case reason == "", reason == UnavailableQuiet, reason == UnavailableReturning, reason == UnavailableCold:
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
