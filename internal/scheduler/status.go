package scheduler

// Status counts the requests that wait and run at the instance, the slots that it
// holds and the endpoints that it is the home of.
type Status struct {
	Waiting   int `json:"waiting"`
	Running   int `json:"running"`
	HeldSlots int `json:"held"`
	// HomeOf lists the endpoints whose slots the instance grants.
	HomeOf []string `json:"homed"`
	// Recovering counts the endpoints in HomeOf whose slots are not granted yet,
	// because instances may still hold them under the earlier home.
	Recovering int `json:"unsettled"`
}

// Status returns the current status of the instance.
func (s *Scheduler) Status() Status {
	return Status{
		Waiting:   s.Queue.Total(),
		Running:   len(s.runs),
		HeldSlots: s.heldLeases.Count(),
		HomeOf:    s.home.Endpoints(),

		Recovering: len(s.recovering),
	}
}

// Standing is a customer's position in the schedule of a service, for metrics and
// explanations.
type Standing struct {
	Service  string
	Customer string
	// Lead is the weighted service by which the customer is ahead of the waiting
	// customer with the lowest virtual time, in units; 0 if no customer waits.
	Lead    float64
	Waiting int
	Running int
}

// Granted returns how many slots of the endpoints that this instance is the home of
// are in use or granted.
func (s *Scheduler) Granted() int {
	granted := 0
	for _, name := range s.home.Endpoints() {
		used, _ := s.home.Used(name)
		granted += used
	}
	return granted
}

// Standings returns the customers with requests waiting or running in the fleet,
// ordered by service and name.
func (s *Scheduler) Standings() []Standing {
	var all []Standing
	for _, st := range s.Ledger.Standings() {
		all = append(all, Standing(st))
	}
	return all
}

// IdleSlots returns the number of slots per service that are neither in use nor granted,
// at the endpoints that this instance is the home of.
func (s *Scheduler) IdleSlots() map[string]int {
	free := map[string]int{}
	for _, name := range s.home.Endpoints() {
		used, slots := s.home.Used(name)
		free[s.endpoints[name].Service] += max(0, slots-used)
	}
	return free
}
