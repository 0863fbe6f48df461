package scheduler

// Status counts what the instance holds.
type Status struct {
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	Held    int `json:"held"`
	// Homed lists the endpoints that the instance grants slots of.
	Homed []string `json:"homed"`
	// Unsettled counts those whose slots are not granted yet.
	Unsettled int `json:"unsettled"`
}

// Status returns what the instance holds now.
func (s *Scheduler) Status() Status {
	return Status{
		Waiting: s.Queue.Total(),
		Running: len(s.runs),
		Held:    s.held.Count(),
		Homed:   s.home.Endpoints(),

		Unsettled: len(s.unsettled),
	}
}

// Account is a customer's standing at a service, for metrics and explanations.
type Account struct {
	Service  string
	Customer string
	// Lag is the weighted service by which the customer is ahead of the
	// lowest waiting one, in units.
	Lag     float64
	Waiting int
	Running int
}

// Granted returns how many slots of the endpoints that this instance is home of are
// in use or granted.
func (s *Scheduler) Granted() int {
	granted := 0
	for _, name := range s.home.Endpoints() {
		used, _ := s.home.Used(name)
		granted += used
	}
	return granted
}

// Accounts returns the customers that have work waiting or running in the fleet,
// ordered by service and name.
func (s *Scheduler) Accounts() []Account {
	var all []Account
	for _, st := range s.Book.Standings() {
		all = append(all, Account(st))
	}
	return all
}

// IdleSlots returns the slots per service that are free at the endpoints that this
// instance is home of.
func (s *Scheduler) IdleSlots() map[string]int {
	free := map[string]int{}
	for _, name := range s.home.Endpoints() {
		used, slots := s.home.Used(name)
		free[s.endpoints[name].Service] += max(0, slots-used)
	}
	return free
}
