package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/greengagestep/greengagestep/internal/member"
	"github.com/greengagestep/greengagestep/internal/queue"
	"github.com/greengagestep/greengagestep/internal/scheduler"
	"github.com/greengagestep/greengagestep/internal/share"
	"github.com/greengagestep/greengagestep/pkg/fleet"
)

// The simulation runs real schedulers in simulated time: arrivals, messages with
// their transmission delay, and endpoints that deliver service at a fixed rate per
// slot.

const (
	loadInterval   = time.Second
	chargeInterval = 100 * time.Millisecond
	// httpOverheadBytes is the size of one HTTP exchange without the request body:
	// request line, headers and the empty response, as measured on the listener
	// for messages between instances.
	httpOverheadBytes = 140
)

var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// job is one request of a trace.
type job struct {
	id    string
	key   share.Key
	entry int // index of the instance that receives it
	cost  float64
	at    time.Duration
}

type simulation struct {
	now              time.Time
	queue            events
	seq              int
	nodes            []*node
	byName           map[string]*node
	jobs             map[string]*job
	units            map[string]fleet.Unit
	rate             map[string]float64 // units per second and slot
	sameDomainDelay  time.Duration      // one-way delay within a failure domain
	crossDomainDelay time.Duration      // one-way delay between failure domains
	disconnected     func(a, b *node) bool
	meter            *meters
	sides            map[string]*meters // by side of a partition
	sideOf           func(n *node) string
	messageBytes     int64
	messages         int
	cpuTime          time.Duration // processor time of all schedulers
	endpoints        []scheduler.Endpoint
	used             map[string]int // slots in use per endpoint
	endpointIndex    map[string]int
	maxWait          map[string]time.Duration // longest wait by customer
	refused          int
	isolated         bool // instances exchange no messages
	oversubscribed   int  // runs started beyond an endpoint's slots
	rng              *rand.Rand
	configure        func(s *scheduler.Scheduler)
	otherService     float64 // service of the kinds that do not flood; set by the benchmark
}

type node struct {
	sim         *simulation
	name        string
	domain      string
	incarnation uint32
	s           *scheduler.Scheduler
	sending     map[string]bool
	wakePending map[string]bool
	running     map[string]*execution
	down        bool
	generation  int
}

type execution struct {
	job       *job
	endpoint  string
	started   time.Time
	delivered float64
	aborted   bool
}

func newSimulation(seed uint64) *simulation {
	return &simulation{
		now:              epoch,
		byName:           map[string]*node{},
		jobs:             map[string]*job{},
		units:            map[string]fleet.Unit{},
		rate:             map[string]float64{},
		sameDomainDelay:  250 * time.Microsecond,
		crossDomainDelay: 1500 * time.Microsecond,
		used:             map[string]int{},
		maxWait:          map[string]time.Duration{},
		meter:            newMeters(),
		rng:              rand.New(rand.NewPCG(seed, 7)),
	}
}

// measureCPU adds the time that f takes to the processor time of all schedulers.
func (sim *simulation) measureCPU(f func()) {
	start := time.Now()
	f()
	sim.cpuTime += time.Since(start)
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.seq, do})
}

func (sim *simulation) run(until time.Duration) {
	end := epoch.Add(until)
	for sim.queue.Len() > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.advance(e.at)
		sim.now = e.at
		e.do()
	}
	sim.advance(end)
	sim.now = end
}

func (sim *simulation) advance(to time.Time) {
	sim.meter.advance(to)
	for _, m := range sim.sides {
		m.advance(to)
	}
}

// partition separates one failure domain from the others for a time. The gap of the
// whole fleet is measured before the partition and again from recovery after its end
// on, the gap of each side from recovery after its start until its end.
func (sim *simulation) partition(domain string, from, to, recovery time.Duration) {
	sim.sides = map[string]*meters{"in": newMeters(), "out": newMeters()}
	sim.sideOf = func(n *node) string {
		if n.domain == domain {
			return "in"
		}
		return "out"
	}
	for _, m := range sim.sides {
		m.pause(epoch, from+recovery)
	}
	sim.after(from, func() {
		sim.disconnected = func(a, b *node) bool { return (a.domain == domain) != (b.domain == domain) }
		sim.meter.pause(sim.now, to-from+recovery)
		sim.disconnect(domain)
	})
	sim.after(to, func() {
		sim.disconnected = nil
		for _, m := range sim.sides {
			m.pause(sim.now, time.Hour)
		}
	})
}

func (sim *simulation) addNode(name, domain string) *node {
	n := &node{sim: sim, name: name, domain: domain}
	sim.nodes = append(sim.nodes, n)
	sim.byName[name] = n
	n.launch()
	return n
}

// launch starts the instance's process without any earlier state.
func (n *node) launch() {
	n.generation++
	n.incarnation = uint32(3_000_000_000 + len(n.sim.nodes)*1000 + n.generation)
	self := member.Member{Name: n.name, Domain: n.domain, Address: n.name, Incarnation: n.incarnation}
	n.s = scheduler.New(self, n.sim.now)
	n.s.Port = n
	n.s.Policy.Unit = func(service string) fleet.Unit { return n.sim.units[service] }
	if n.sim.configure != nil {
		n.sim.configure(n.s)
	}
	n.sending, n.wakePending, n.running = map[string]bool{}, map[string]bool{}, map[string]*execution{}
	n.down = false
}

// begin seeds all members and endpoints and starts the timers.
func (sim *simulation) begin() {
	sim.endpointIndex = map[string]int{}
	for i, e := range sim.endpoints {
		sim.endpointIndex[e.Name] = i
		sim.meter.slots[e.Service] += e.Slots
	}
	for i, n := range sim.nodes {
		n.begin(time.Duration(i) * 37 * time.Millisecond)
	}
}

func (n *node) begin(offset time.Duration) {
	var list []fleet.Instance
	for _, o := range n.sim.nodes {
		list = append(list, fleet.Instance{Name: o.name, Role: fleet.RoleEntry, Domain: o.domain, Address: o.name})
	}
	n.s.Table.Seed(list)
	n.s.SetEndpoints(n.sim.visible(n), n.sim.now)
	generation := n.generation
	var tick func()
	tick = func() {
		if n.generation != generation || n.down {
			return
		}
		n.sim.measureCPU(func() { n.s.Tick(n.sim.now) })
		n.sim.after(scheduler.TickInterval, tick)
	}
	n.sim.after(offset, tick)
	var charge func()
	charge = func() {
		if n.generation != generation || n.down {
			return
		}
		for _, x := range n.running {
			n.deliver(x)
		}
		n.sim.after(chargeInterval, charge)
	}
	n.sim.after(offset, charge)
	var load func()
	load = func() {
		if n.generation != generation || n.down {
			return
		}
		for _, name := range n.s.Status().HomeOf {
			n.s.Observe(name, n.sim.used[name])
		}
		n.sim.after(loadInterval, load)
	}
	n.sim.after(offset, load)
}

// visible returns the endpoints that an instance knows: all, or its own if the
// instances are isolated.
func (sim *simulation) visible(n *node) []scheduler.Endpoint {
	if !sim.isolated {
		return sim.endpoints
	}
	var own []scheduler.Endpoint
	for _, e := range sim.endpoints {
		if e.Domain == n.domain {
			own = append(own, e)
		}
	}
	return own
}

// kill ends the process with all requests that run and wait there.
func (n *node) kill() {
	n.down = true
	for _, x := range n.running {
		x.aborted = true
		n.sim.addInUse(x.endpoint, -1)
	}
	for _, j := range n.sim.jobs {
		if n.sim.nodes[j.entry] == n {
			n.leaveQueue(j)
			delete(n.sim.jobs, j.id)
		}
	}
}

func (n *node) restart() {
	n.launch()
	n.begin(0)
}

func (sim *simulation) submit(j *job) {
	n := sim.nodes[j.entry]
	if n.down {
		return
	}
	sim.jobs[j.id] = j
	sim.withMeters(n, func(m *meters) { m.service(j.key.Service).Arrive(j.key.Customer) })
	var err error
	sim.measureCPU(func() {
		err = n.s.Arrive(queue.Request{ID: j.id, Key: j.key, Bytes: 1, ArrivedAt: sim.now}, sim.now)
	})
	if err != nil {
		sim.refused++
		n.leaveQueue(j)
		delete(sim.jobs, j.id)
	}
}

// disconnect ends the requests that run across the partition, as their connections
// break.
func (sim *simulation) disconnect(domain string) {
	for _, n := range sim.nodes {
		for id, x := range n.running {
			e := sim.endpoints[sim.endpointIndex[x.endpoint]]
			if (e.Domain == domain) == (n.domain == domain) {
				continue
			}
			n.deliver(x)
			x.aborted = true
			delete(n.running, id)
			sim.addInUse(x.endpoint, -1)
			n.s.Finish(id, sim.now)
		}
	}
}

// withMeters calls f with the meters that count an instance's requests.
func (sim *simulation) withMeters(n *node, f func(m *meters)) {
	f(sim.meter)
	if sim.sideOf != nil {
		f(sim.sides[sim.sideOf(n)])
	}
}

// leaveQueue records that a request no longer waits.
func (n *node) leaveQueue(j *job) {
	n.sim.withMeters(n, func(m *meters) { m.service(j.key.Service).Leave(j.key.Customer) })
}

// Start implements scheduler.Port.
func (n *node) Start(r scheduler.Run) {
	sim := n.sim
	j := sim.jobs[r.Request.ID]
	if j == nil {
		panic(fmt.Sprintf("request %s started twice", r.Request.ID))
	}
	delete(sim.jobs, j.id)
	n.leaveQueue(j)
	sim.maxWait[j.key.Customer] = max(sim.maxWait[j.key.Customer], sim.now.Sub(epoch)-j.at)
	x := &execution{job: j, endpoint: r.Endpoint, started: sim.now}
	n.running[j.id] = x
	sim.addInUse(r.Endpoint, 1)
	sim.after(time.Duration(j.cost/sim.rate[j.key.Service]*float64(time.Second)), func() {
		if x.aborted {
			return
		}
		n.deliver(x)
		delete(n.running, j.id)
		sim.addInUse(x.endpoint, -1)
		sim.measureCPU(func() { n.s.Finish(j.id, sim.now) })
	})
}

// addInUse adds n to the number of an endpoint's slots in use.
func (sim *simulation) addInUse(endpoint string, n int) {
	e := sim.endpoints[sim.endpointIndex[endpoint]]
	sim.used[endpoint] += n
	sim.meter.used[e.Service] += n
	if n > 0 && sim.used[endpoint] > e.Slots {
		sim.oversubscribed++
	}
}

// deliver charges the service that was delivered since the last call.
func (n *node) deliver(x *execution) {
	total := min(x.job.cost, n.sim.now.Sub(x.started).Seconds()*n.sim.rate[x.job.key.Service])
	units := total - x.delivered
	x.delivered = total
	k := x.job.key
	n.sim.withMeters(n, func(m *meters) { m.service(k.Service).Serve(k.Customer, k.Kind, units) })
	n.s.Charge(x.job.id, units)
}

// Refuse implements scheduler.Port.
func (n *node) Refuse(r queue.Request, _ fleet.Reason) {
	n.sim.refused++
	n.leaveQueue(n.sim.jobs[r.ID])
	delete(n.sim.jobs, r.ID)
}

// Wake implements scheduler.Port. At most one message to a peer is in flight at a
// time.
func (n *node) Wake(peer string) {
	if n.wakePending[peer] {
		return
	}
	n.wakePending[peer] = true
	if !n.sending[peer] {
		n.sending[peer] = true
		generation := n.generation
		n.sim.after(0, func() { n.send(peer, generation) })
	}
}

func (n *node) send(peer string, generation int) {
	if n.generation != generation || n.down {
		return
	}
	sim := n.sim
	to := sim.byName[peer]
	n.wakePending[peer] = false
	var body []byte
	sim.measureCPU(func() { body = n.s.Compose(peer, nil, sim.now) })
	sim.messages++
	sim.messageBytes += int64(len(body) + httpOverheadBytes)
	delay := sim.crossDomainDelay
	if to.domain == n.domain {
		delay = sim.sameDomainDelay
	}
	if to.down || (sim.disconnected != nil && sim.disconnected(n, to)) {
		sim.after(time.Second, func() { n.sent(peer, generation, false) })
		return
	}
	sim.after(delay, func() {
		if !to.down {
			sim.measureCPU(func() { _, _, _ = to.s.Receive(body, sim.now) })
		}
		sim.after(delay, func() { n.sent(peer, generation, true) })
	})
}

func (n *node) sent(peer string, generation int, ok bool) {
	if n.generation != generation || n.down {
		return
	}
	n.sending[peer] = false
	n.s.Sent(peer, ok)
	if n.wakePending[peer] {
		n.wakePending[peer] = false
		n.Wake(peer)
	}
}
