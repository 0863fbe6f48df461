package scheduler

import (
	"time"

	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/share"
)

// SetEndpoints replaces the known endpoints and reassigns their homes.
func (s *Scheduler) SetEndpoints(list []Endpoint, now time.Time) {
	known := map[string]Endpoint{}
	for _, e := range list {
		known[e.Name] = e
	}
	s.endpoints = known
	s.assignHomes(now)
	s.grantSlots(now)
}

// assignHomes determines the home of every endpoint from the live members. It adds
// the endpoints that this instance is now the home of and drops those whose home has
// moved away.
func (s *Scheduler) assignHomes(now time.Time) {
	for name := range s.owners {
		if _, ok := s.endpoints[name]; !ok {
			delete(s.owners, name)
			s.dropEndpoint(name)
		}
	}
	for name, e := range s.endpoints {
		owner := s.homeOf(e, now)
		s.owners[name] = owner
		if owner != s.self() {
			s.dropEndpoint(name)
			continue
		}
		if _, ok := s.homeSince[name]; !ok {
			s.homeSince[name] = now
		}
		grantableFrom := s.grantableFrom(name, now)
		if now.Before(grantableFrom) {
			s.recovering[name] = true
		} else {
			delete(s.recovering, name)
		}
		s.home.AddEndpoint(name, e.Service, e.Slots, grantableFrom)
		s.home.SetClosed(name, e.Closed)
		s.home.SetStartInterval(name, e.StartInterval)
	}
	s.peerHomes = s.homesByService()
}

// startupGrace is how long a starting instance waits for messages of the members of
// other failure domains before it becomes the home of endpoints there.
const startupGrace = 3 * time.Second

// homeOf returns the home of an endpoint: a live instance of the endpoint's failure
// domain or, if there is none, of any other, so that its slots do not stay unused. An
// instance that cannot reach the endpoint gets no load report from it and grants none
// of its slots.
func (s *Scheduler) homeOf(e Endpoint, now time.Time) string {
	task := "endpoint/" + e.Name
	owner := s.Table.Owner(task, e.Domain)
	if owner != "" || now.Sub(s.started) < startupGrace {
		return owner
	}
	return s.Table.Owner(task, "")
}

func (s *Scheduler) dropEndpoint(name string) {
	if _, ok := s.homeSince[name]; !ok {
		return
	}
	delete(s.homeSince, name)
	delete(s.recovering, name)
	s.home.RemoveEndpoint(name)
}

// grantableFrom returns the time from which an endpoint's slots may be granted: as
// soon as every member that might hold one under the earlier home has sent a message
// that acknowledges this incarnation since this instance became the home, and
// recoveryTimeout after that at the latest.
func (s *Scheduler) grantableFrom(name string, now time.Time) time.Time {
	since := s.homeSince[name]
	latest := since.Add(recoveryTimeout)
	for _, m := range s.Table.Peers() {
		if m.State == member.StateGone {
			continue
		}
		p := s.peers[m.Name]
		if p == nil || !p.acknowledgedAt.After(since) {
			return latest
		}
	}
	return since
}

// Observe records how many requests an endpoint reports as running.
func (s *Scheduler) Observe(endpoint string, running int) { s.home.ObserveRunning(endpoint, running) }

// Home returns the name of the instance that grants an endpoint's slots, or an
// empty string if there is none.
func (s *Scheduler) Home(endpoint string) string { return s.owners[endpoint] }

// owns returns a function that reports whether the named instance is the home of an
// endpoint.
func (s *Scheduler) owns(home string) func(endpoint string) bool {
	return func(endpoint string) bool { return s.owners[endpoint] == home }
}

// homesByService returns, for every service, the peers that are the home of one of
// its open endpoints. The value is true if the endpoint is in the failure domain of
// this instance.
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

// domains returns the failure domains whose endpoints may run the requests of an account, nil for all.
func (s *Scheduler) domains(k share.Key) map[string]bool {
	if s.Policy.Domains == nil {
		return nil
	}
	return s.Policy.Domains(k.Customer)
}

// allows reports whether an endpoint may run the requests of an account.
func (s *Scheduler) allows(k share.Key, endpoint string) bool {
	domains := s.domains(k)
	return domains == nil || domains[s.endpoints[endpoint].Domain]
}

// Grant grants the slots of cold endpoints that have become free by time alone. It must be called more
// often than Tick while this instance is the home of a cold endpoint.
func (s *Scheduler) Grant(now time.Time) { s.grantSlots(now) }
