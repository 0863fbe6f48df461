package scheduler

import (
	"time"

	"github.com/greengagestep/greengagestep/internal/member"
)

// SetEndpoints replaces the known endpoints and reassigns their homes.
func (s *Scheduler) SetEndpoints(list []Endpoint, now time.Time) {
	known := map[string]Endpoint{}
	for _, e := range list {
		known[e.Name] = e
	}
	s.endpoints = known
	s.assign(now)
	s.decide(now)
}

// assign works out the home of every endpoint from the live members, takes up
// new duties and drops those that moved away.
func (s *Scheduler) assign(now time.Time) {
	for name := range s.owners {
		if _, ok := s.endpoints[name]; !ok {
			delete(s.owners, name)
			s.drop(name)
		}
	}
	for name, e := range s.endpoints {
		owner := s.ownerOf(e, now)
		s.owners[name] = owner
		if owner != s.self() {
			s.drop(name)
			continue
		}
		if _, ok := s.adopted[name]; !ok {
			s.adopted[name] = now
		}
		settled := s.settled(name, now)
		if now.Before(settled) {
			s.unsettled[name] = true
		} else {
			delete(s.unsettled, name)
		}
		s.home.AddEndpoint(name, e.Service, e.Slots, settled)
		s.home.SetClosed(name, e.Closed)
	}
	s.homes = s.homesByService()
}

// greetTerm is how long an instance that starts waits for the members of other
// domains to be heard before it takes over their duties.
const greetTerm = 3 * time.Second

// ownerOf returns the home of an endpoint: an instance of its own failure domain or,
// if none is live there, of any other, so that its slots do not lie idle. An instance
// that cannot reach the endpoint gets no load report and grants nothing.
func (s *Scheduler) ownerOf(e Endpoint, now time.Time) string {
	duty := "endpoint/" + e.Name
	owner := s.Table.Owner(duty, e.Domain)
	if owner != "" || now.Sub(s.started) < greetTerm {
		return owner
	}
	return s.Table.Owner(duty, "")
}

func (s *Scheduler) drop(name string) {
	if _, ok := s.adopted[name]; !ok {
		return
	}
	delete(s.adopted, name)
	delete(s.unsettled, name)
	s.home.RemoveEndpoint(name)
}

// settled returns from when an endpoint's slots may be granted: as soon as every
// member that might hold one under the earlier home has reported since the duty
// began, at the latest after settleTerm.
func (s *Scheduler) settled(name string, now time.Time) time.Time {
	begun := s.adopted[name]
	latest := begun.Add(settleTerm)
	for _, m := range s.Table.Peers() {
		if m.State == member.StateGone {
			continue
		}
		l := s.links[m.Name]
		if l == nil || !l.synced.After(begun) {
			return latest
		}
	}
	return begun
}

// Observe takes in how many requests an endpoint reports to run.
func (s *Scheduler) Observe(endpoint string, running int) { s.home.ObserveRunning(endpoint, running) }

// Home returns the name of the instance that grants an endpoint's slots, or an
// empty string if there is none.
func (s *Scheduler) Home(endpoint string) string { return s.owners[endpoint] }

// owns tells whether the home of an endpoint is the named instance.
func (s *Scheduler) owns(home string) func(endpoint string) bool {
	return func(endpoint string) bool { return s.owners[endpoint] == home }
}

// homesByService works out, for every service, the peers that are home of one of its
// endpoints, with whether they are in the own failure domain.
func (s *Scheduler) homesByService() map[string]map[string]bool {
	all := map[string]map[string]bool{}
	for name, e := range s.endpoints {
		owner := s.owners[name]
		if e.Closed || owner == "" || owner == s.self() {
			continue
		}
		if all[e.Service] == nil {
			all[e.Service] = map[string]bool{}
		}
		all[e.Service][owner] = e.Domain == s.Table.Self.Domain
	}
	return all
}
