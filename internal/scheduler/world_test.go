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

// The world drives real schedulers over explicit time: arrivals, messages with
// their way, and endpoints that deliver service at a fixed rate per slot.

const (
	loadInterval   = time.Second
	chargeInterval = 100 * time.Millisecond
	// httpBytes is what one exchange costs beyond its body: request line,
	// headers and the empty answer, as measured on the peers' address.
	httpBytes = 140
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

type world struct {
	now     time.Time
	queue   events
	seq     int
	nodes   []*node
	byName  map[string]*node
	jobs    map[string]*job
	units   map[string]fleet.Unit
	rate    map[string]float64 // units per second and slot
	near    time.Duration      // one way within a failure domain
	far     time.Duration      // one way between failure domains
	cut     func(a, b *node) bool
	meter   *meters
	sides   map[string]*meters // by side of a partition
	side    func(n *node) string
	bytes   int64
	sends   int
	busy    time.Duration // processor time of all schedulers
	eps     []scheduler.Endpoint
	used    map[string]int // slots in use per endpoint
	epIndex map[string]int
	worst   map[string]time.Duration // longest wait by customer
	refused int
	alone   bool // instances know nothing of each other
	stray   int  // runs beyond an endpoint's slots
	rng     *rand.Rand
	tune    func(s *scheduler.Scheduler)
	noted   float64 // set by the benchmark
}

type node struct {
	w        *world
	name     string
	domain   string
	inc      uint32
	s        *scheduler.Scheduler
	sending  map[string]bool
	wanted   map[string]bool
	running  map[string]*execution
	down     bool
	launched int
}

type execution struct {
	job       *job
	endpoint  string
	started   time.Time
	delivered float64
	dead      bool
}

func newWorld(seed uint64) *world {
	return &world{
		now:    epoch,
		byName: map[string]*node{},
		jobs:   map[string]*job{},
		units:  map[string]fleet.Unit{},
		rate:   map[string]float64{},
		near:   250 * time.Microsecond,
		far:    1500 * time.Microsecond,
		used:   map[string]int{},
		worst:  map[string]time.Duration{},
		meter:  newMeters(),
		rng:    rand.New(rand.NewPCG(seed, 7)),
	}
}

// timed adds the processor time of a scheduler's work to the count.
func (w *world) timed(f func()) {
	start := time.Now()
	f()
	w.busy += time.Since(start)
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, do})
}

func (w *world) run(until time.Duration) {
	end := epoch.Add(until)
	for w.queue.Len() > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.advance(e.at)
		w.now = e.at
		e.do()
	}
	w.advance(end)
	w.now = end
}

func (w *world) advance(to time.Time) {
	w.meter.advance(to)
	for _, m := range w.sides {
		m.advance(to)
	}
}

// partition cuts one failure domain off from the others for a time. The gap of the
// whole fleet is measured outside of it and from settle after the rejoin on, the gap
// of each side from settle after the cut until its end.
func (w *world) partition(domain string, from, to, settle time.Duration) {
	w.sides = map[string]*meters{"in": newMeters(), "out": newMeters()}
	w.side = func(n *node) string {
		if n.domain == domain {
			return "in"
		}
		return "out"
	}
	for _, m := range w.sides {
		m.quiet(epoch, from+settle)
	}
	w.after(from, func() {
		w.cut = func(a, b *node) bool { return (a.domain == domain) != (b.domain == domain) }
		w.meter.quiet(w.now, to-from+settle)
		w.breakOff(domain)
	})
	w.after(to, func() {
		w.cut = nil
		for _, m := range w.sides {
			m.quiet(w.now, time.Hour)
		}
	})
}

func (w *world) addNode(name, domain string) *node {
	n := &node{w: w, name: name, domain: domain}
	w.nodes = append(w.nodes, n)
	w.byName[name] = n
	n.launch()
	return n
}

// launch starts the instance's process with no memory of what it knew.
func (n *node) launch() {
	n.launched++
	n.inc = uint32(3_000_000_000 + len(n.w.nodes)*1000 + n.launched)
	self := member.Member{Name: n.name, Domain: n.domain, Address: n.name, Incarnation: n.inc}
	n.s = scheduler.New(self, n.w.now)
	n.s.Port = n
	n.s.Policy.Unit = func(service string) fleet.Unit { return n.w.units[service] }
	if n.w.tune != nil {
		n.w.tune(n.s)
	}
	n.sending, n.wanted, n.running = map[string]bool{}, map[string]bool{}, map[string]*execution{}
	n.down = false
}

// begin seeds all members and endpoints and starts the ticks.
func (w *world) begin() {
	w.epIndex = map[string]int{}
	for i, e := range w.eps {
		w.epIndex[e.Name] = i
		w.meter.slots[e.Service] += e.Slots
	}
	for i, n := range w.nodes {
		n.begin(time.Duration(i) * 37 * time.Millisecond)
	}
}

func (n *node) begin(offset time.Duration) {
	var list []fleet.Instance
	for _, o := range n.w.nodes {
		list = append(list, fleet.Instance{Name: o.name, Role: fleet.RoleEntry, Domain: o.domain, Address: o.name})
	}
	n.s.Table.Seed(list)
	n.s.SetEndpoints(n.w.visible(n), n.w.now)
	launch := n.launched
	var tick func()
	tick = func() {
		if n.launched != launch || n.down {
			return
		}
		n.w.timed(func() { n.s.Tick(n.w.now) })
		n.w.after(scheduler.TickInterval, tick)
	}
	n.w.after(offset, tick)
	var charge func()
	charge = func() {
		if n.launched != launch || n.down {
			return
		}
		for _, x := range n.running {
			n.deliver(x)
		}
		n.w.after(chargeInterval, charge)
	}
	n.w.after(offset, charge)
	var load func()
	load = func() {
		if n.launched != launch || n.down {
			return
		}
		for _, name := range n.s.Status().Homed {
			n.s.Observe(name, n.w.used[name])
		}
		n.w.after(loadInterval, load)
	}
	n.w.after(offset, load)
}

// visible returns the endpoints that an instance knows: all, or its own if the
// instances know nothing of each other.
func (w *world) visible(n *node) []scheduler.Endpoint {
	if !w.alone {
		return w.eps
	}
	var own []scheduler.Endpoint
	for _, e := range w.eps {
		if e.Domain == n.domain {
			own = append(own, e)
		}
	}
	return own
}

// kill ends the process with all that runs and waits under it.
func (n *node) kill() {
	n.down = true
	for _, x := range n.running {
		x.dead = true
		n.w.occupy(x.endpoint, -1)
	}
	for _, j := range n.w.jobs {
		if n.w.nodes[j.entry] == n {
			n.left(j)
			delete(n.w.jobs, j.id)
		}
	}
}

func (n *node) restart() {
	n.launch()
	n.begin(0)
}

func (w *world) submit(j *job) {
	n := w.nodes[j.entry]
	if n.down {
		return
	}
	w.jobs[j.id] = j
	w.watched(n, func(m *meters) { m.service(j.key.Service).Arrive(j.key.Customer) })
	var err error
	w.timed(func() {
		err = n.s.Arrive(queue.Request{ID: j.id, Key: j.key, Bytes: 1, ArrivedAt: w.now}, w.now)
	})
	if err != nil {
		w.refused++
		n.left(j)
		delete(w.jobs, j.id)
	}
}

// breakOff ends the requests that run across a cut, as their connections do.
func (w *world) breakOff(domain string) {
	for _, n := range w.nodes {
		for id, x := range n.running {
			e := w.eps[w.epIndex[x.endpoint]]
			if (e.Domain == domain) == (n.domain == domain) {
				continue
			}
			n.deliver(x)
			x.dead = true
			delete(n.running, id)
			w.occupy(x.endpoint, -1)
			n.s.Finish(id, w.now)
		}
	}
}

// watched calls f with the meters that an instance's requests count in.
func (w *world) watched(n *node, f func(m *meters)) {
	f(w.meter)
	if w.side != nil {
		f(w.sides[w.side(n)])
	}
}

// left records that a request waits no longer.
func (n *node) left(j *job) {
	n.w.watched(n, func(m *meters) { m.service(j.key.Service).Leave(j.key.Customer) })
}

// Start implements scheduler.Port.
func (n *node) Start(r scheduler.Run) {
	w := n.w
	j := w.jobs[r.Request.ID]
	if j == nil {
		panic(fmt.Sprintf("request %s started twice", r.Request.ID))
	}
	delete(w.jobs, j.id)
	n.left(j)
	w.worst[j.key.Customer] = max(w.worst[j.key.Customer], w.now.Sub(epoch)-j.at)
	x := &execution{job: j, endpoint: r.Endpoint, started: w.now}
	n.running[j.id] = x
	w.occupy(r.Endpoint, 1)
	w.after(time.Duration(j.cost/w.rate[j.key.Service]*float64(time.Second)), func() {
		if x.dead {
			return
		}
		n.deliver(x)
		delete(n.running, j.id)
		w.occupy(x.endpoint, -1)
		w.timed(func() { n.s.Finish(j.id, w.now) })
	})
}

// occupy counts the use of an endpoint's slots.
func (w *world) occupy(endpoint string, n int) {
	e := w.eps[w.epIndex[endpoint]]
	w.used[endpoint] += n
	w.meter.used[e.Service] += n
	if n > 0 && w.used[endpoint] > e.Slots {
		w.stray++
	}
}

// deliver charges what was streamed since the last call.
func (n *node) deliver(x *execution) {
	total := min(x.job.cost, n.w.now.Sub(x.started).Seconds()*n.w.rate[x.job.key.Service])
	units := total - x.delivered
	x.delivered = total
	k := x.job.key
	n.w.watched(n, func(m *meters) { m.service(k.Service).Serve(k.Customer, k.Kind, units) })
	n.s.Charge(x.job.id, units)
}

// Refuse implements scheduler.Port.
func (n *node) Refuse(r queue.Request, _ fleet.Reason) {
	n.w.refused++
	n.left(n.w.jobs[r.ID])
	delete(n.w.jobs, r.ID)
}

// Wake implements scheduler.Port: one message to a peer is on its way at a time.
func (n *node) Wake(peer string) {
	if n.wanted[peer] {
		return
	}
	n.wanted[peer] = true
	if !n.sending[peer] {
		n.sending[peer] = true
		launch := n.launched
		n.w.after(0, func() { n.send(peer, launch) })
	}
}

func (n *node) send(peer string, launch int) {
	if n.launched != launch || n.down {
		return
	}
	w := n.w
	to := w.byName[peer]
	n.wanted[peer] = false
	var body []byte
	w.timed(func() { body = n.s.Compose(peer, nil, w.now) })
	w.sends++
	w.bytes += int64(len(body) + httpBytes)
	way := w.far
	if to.domain == n.domain {
		way = w.near
	}
	if to.down || (w.cut != nil && w.cut(n, to)) {
		w.after(time.Second, func() { n.sent(peer, launch, false) })
		return
	}
	w.after(way, func() {
		if !to.down {
			w.timed(func() { _, _, _ = to.s.Receive(body, w.now) })
		}
		w.after(way, func() { n.sent(peer, launch, true) })
	})
}

func (n *node) sent(peer string, launch int, ok bool) {
	if n.launched != launch || n.down {
		return
	}
	n.sending[peer] = false
	n.s.Sent(peer, ok)
	if n.wanted[peer] {
		n.wanted[peer] = false
		n.Wake(peer)
	}
}
