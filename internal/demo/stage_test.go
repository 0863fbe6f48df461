package demo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/greengagestep/greengagestep/internal/demo"
	"github.com/greengagestep/greengagestep/internal/standin"
	"github.com/greengagestep/greengagestep/pkg/operator"
)

// stage is the fleet of one script.
type stage struct {
	site *demo.Site
	jobs map[string]*job

	mu     sync.Mutex // guards what follows and the addresses of instances
	serial int
}

type stageKey struct{}

// job is a set of requests that run in the background of a script.
type job struct {
	wg sync.WaitGroup

	mu      sync.Mutex
	counts  map[string]int
	reasons map[string]int
	keys    map[string]string // outcome by idempotency key
	lastID  string
	bodies  []string
}

func newJob() *job {
	return &job{counts: map[string]int{}, reasons: map[string]int{}, keys: map[string]string{}}
}

func (s *stage) close() {
	if s.site != nil {
		_ = s.site.Close()
	}
}

func stageOf(ts *testscript.TestScript) *stage { return ts.Value(stageKey{}).(*stage) }

// params reads arguments of the form name=value; the others are returned in order.
func params(args []string) (map[string]string, []string) {
	named := map[string]string{}
	var rest []string
	for _, a := range args {
		if name, value, ok := strings.Cut(a, "="); ok {
			named[name] = value
			continue
		}
		rest = append(rest, a)
	}
	return named, rest
}

func number(ts *testscript.TestScript, named map[string]string, name string, or int) int {
	v, ok := named[name]
	if !ok {
		return or
	}
	n, err := strconv.Atoi(v)
	ts.Check(err)
	return n
}

func span(ts *testscript.TestScript, v string) time.Duration {
	d, err := time.ParseDuration(v)
	ts.Check(err)
	return d
}

func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"site": cmdSite, "publish": cmdPublish, "sleep": cmdSleep, "send": cmdSend, "traffic": cmdTraffic, "await": cmdAwait,
		"node": cmdNode, "net": cmdNet, "log": cmdLog, "list": cmdList, "plain": cmdPlain, "engine": cmdEngine,
		"runs": cmdRuns, "orders": cmdOrders, "status": cmdStatus, "audit": cmdAudit, "explain": cmdExplain,
		"leader": cmdLeader, "greengagestep": cmdProgram, "raw": cmdRaw,
	}
}

// site [instances=N] [domains=N] [engines=N] [plains=N] [retention=D] [drain=D] [text=FILE]
func cmdSite(ts *testscript.TestScript, _ bool, args []string) {
	named, _ := params(args)
	s := stageOf(ts)
	s.site = &demo.Site{
		Network: &standin.Memory{}, Instances: number(ts, named, "instances", 3), Domains: number(ts, named, "domains", 3),
		Engines: number(ts, named, "engines", 3), Plains: number(ts, named, "plains", 3),
		PlainSlots: number(ts, named, "slots", 4), Drain: 30 * time.Second,
	}
	if v := named["retention"]; v != "" {
		s.site.Retention = span(ts, v)
	}
	if v := named["drain"]; v != "" {
		s.site.Drain = span(ts, v)
	}
	if v := named["calltime"]; v != "" {
		s.site.CallTime = span(ts, v)
	}
	ts.Check(s.site.Start())
	text := demo.Text()
	if v := named["text"]; v != "" {
		text = ts.ReadFile(v)
	}
	_, err := s.site.Publish(context.Background(), text, 0)
	ts.Check(err)
}

func cmdSleep(ts *testscript.TestScript, _ bool, args []string) { time.Sleep(span(ts, args[0])) }

func (s *stage) node(ts *testscript.TestScript, name string) *demo.Node {
	i := slices.IndexFunc(s.site.Nodes, func(n *demo.Node) bool { return n.Name == name })
	if i < 0 {
		ts.Fatalf("no instance %q", name)
	}
	return s.site.Nodes[i]
}

// node NAME kill|start|stop|restart|freeze|thaw
func cmdNode(ts *testscript.TestScript, neg bool, args []string) {
	n := stageOf(ts).node(ts, args[0])
	var err error
	switch args[1] {
	case "kill":
		n.Kill()
	case "start":
		err = stageOf(ts).start(n)
	case "stop":
		err = n.Stop()
	case "restart":
		if err = n.Stop(); err == nil {
			err = stageOf(ts).start(n)
		}
	case "freeze", "thaw":
		n.Freeze(args[1] == "freeze")
	default:
		ts.Fatalf("unknown action %q", args[1])
	}
	if err != nil {
		fmt.Fprintln(ts.Stdout(), err)
	}
	if (err != nil) != neg {
		ts.Fatalf("node %v: %v", args, err)
	}
}

func (s *stage) start(n *demo.Node) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n.Start()
}

// net cut|join DOMAIN, net block|unblock FROM TO
func cmdNet(ts *testscript.TestScript, _ bool, args []string) {
	site := stageOf(ts).site
	switch args[0] {
	case "cut", "join":
		site.Cut(args[1], args[0] == "cut")
	case "block", "unblock":
		site.Block(args[1], args[2], args[0] == "block")
	}
}

// log up, log down, log lose N, log delay D
func cmdLog(ts *testscript.TestScript, _ bool, args []string) {
	f := standin.LogFaults{}
	switch args[0] {
	case "down":
		f.Down = true
	case "lose":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		f.Lose = n
	case "delay":
		f.Delay = span(ts, args[1])
	}
	stageOf(ts).site.Log.Set(f)
}

// list up|down|lag D
func cmdList(ts *testscript.TestScript, _ bool, args []string) {
	l := stageOf(ts).site.List
	if args[0] == "lag" {
		l.SetLag(span(ts, args[1]))
		return
	}
	l.Down(args[0] == "down")
}

// plain NAME|all up|down|lose=N|poison=BODY|garbage|leave
func cmdPlain(ts *testscript.TestScript, _ bool, args []string) {
	for _, p := range stageOf(ts).site.Plain {
		if args[0] != "all" && p.Name != args[0] {
			continue
		}
		named, rest := params(args[1:])
		f := standin.PlainFaults{Lose: number(ts, named, "lose", 0), Poison: named["poison"]}
		for _, word := range rest {
			f.Down = f.Down || word == "down"
			f.Garbage = f.Garbage || word == "garbage"
			if word == "leave" {
				p.Leave()
			}
		}
		p.Set(f)
	}
}

// engine NAME|all up|down|break=N|poison=TEXT|leave|reset
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) {
	for _, e := range stageOf(ts).site.Model {
		if args[0] != "all" && e.Name != args[0] {
			continue
		}
		named, rest := params(args[1:])
		f := standin.EngineFaults{Break: number(ts, named, "break", 0), Poison: named["poison"]}
		for _, word := range rest {
			f.Down = f.Down || word == "down"
			if word == "leave" {
				e.Leave()
			}
			if word == "reset" {
				e.Reset()
			}
		}
		e.Set(f)
	}
}

// publish FILE [edits=N] [actor=NAME] [node=NAME]
func cmdPublish(ts *testscript.TestScript, neg bool, args []string) {
	named, rest := params(args)
	s := stageOf(ts)
	p, err := s.publish(ts, named, ts.ReadFile(rest[0]))
	if err != nil {
		fmt.Fprintln(ts.Stdout(), err)
	} else {
		inForce := 0
		for _, in := range p.Instances {
			if in.InForce {
				inForce++
			}
		}
		fmt.Fprintf(ts.Stdout(), "version %d in force at %d of %d\n", p.Version, inForce, len(p.Instances))
	}
	if (err != nil) != neg {
		ts.Fatalf("publish: %v", err)
	}
}

func (s *stage) publish(ts *testscript.TestScript, named map[string]string, text string) (operator.PublishResult, error) {
	name := named["node"]
	if name == "" {
		name = s.site.Nodes[0].Name
	}
	p := operator.Proposal{Actor: named["actor"], BaseVersion: int64(number(ts, named, "edits", 1)), Text: text}
	if p.Actor == "" {
		p.Actor = "operator"
	}
	return s.node(ts, name).Operator().Publish(context.Background(), p)
}

// runs KEY prints how often a keyed request was executed; runs total all of them.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	n := 0
	for _, p := range stageOf(ts).site.Plain {
		if args[0] == "total" {
			n += p.Total()
			continue
		}
		n += p.Runs(args[0])
	}
	fmt.Fprintf(ts.Stdout(), "%d runs\n", n)
}

// orders prints the orders that each engine carried out and refused.
func cmdOrders(ts *testscript.TestScript, _ bool, _ []string) {
	for _, e := range stageOf(ts).site.Model {
		orders, stale := e.Orders()
		var done []string
		for _, o := range orders {
			done = append(done, o.Model+" "+o.Version)
		}
		fmt.Fprintf(ts.Stdout(), "%s: %s; %d stale refused\n", e.Name, strings.Join(done, ", "), stale)
	}
}

// status NAME
func cmdStatus(ts *testscript.TestScript, _ bool, args []string) {
	st, err := stageOf(ts).node(ts, args[0]).Operator().Status(context.Background())
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "version %d waiting %d running %d leader %s\n", st.Version, st.Waiting, st.Running, st.Leader)
	for _, m := range st.Members {
		fmt.Fprintf(ts.Stdout(), "member %s %s\n", m.Name, m.State)
	}
	for _, e := range st.Endpoints {
		fmt.Fprintf(ts.Stdout(), "endpoint %s slots %d closed %q\n", e.Name, e.Slots, e.ClosedReason)
	}
}

// leader NAME sets LEADER to the leader that an instance knows, and OTHER to another
// instance.
func cmdLeader(ts *testscript.TestScript, _ bool, args []string) {
	s := stageOf(ts)
	st, err := s.node(ts, args[0]).Operator().Status(context.Background())
	ts.Check(err)
	ts.Setenv("LEADER", st.Leader)
	for _, n := range s.site.Nodes {
		if n.Name != st.Leader {
			ts.Setenv("OTHER", n.Name)
		}
	}
}

// audit NAME prints the trail of an instance without times.
func cmdAudit(ts *testscript.TestScript, _ bool, args []string) {
	entries, err := stageOf(ts).node(ts, args[0]).Operator().Audit(context.Background())
	ts.Check(err)
	for _, e := range entries {
		fmt.Fprintf(ts.Stdout(), "%s | %s | %s | %s | %s\n", e.Type, e.Subject, e.Change, e.Cause, e.Actor)
	}
}

// explain JOB NODE prints the way of a job's last request.
func cmdExplain(ts *testscript.TestScript, _ bool, args []string) {
	s := stageOf(ts)
	e, err := s.node(ts, args[1]).Operator().Explain(context.Background(), s.jobs[args[0]].lastID)
	ts.Check(err)
	for _, step := range e.Steps {
		fmt.Fprintf(ts.Stdout(), "%s | %s | %s\n", step.Instance, step.Step, step.Detail)
	}
	if e.Note != "" {
		fmt.Fprintln(ts.Stdout(), e.Note)
	}
}

// send NAME [n=N] [service=portal|model] [key=K] [body=TEXT] [node=NAME] [tokens=N]
// [customer=N] [kind=K] [timeout=S] [method=M] starts requests in the background.
func cmdSend(ts *testscript.TestScript, _ bool, args []string) {
	named, rest := params(args)
	s := stageOf(ts)
	j := newJob()
	s.jobs[rest[0]] = j
	for range number(ts, named, "n", 1) {
		r := s.request(ts, named)
		j.wg.Go(func() { j.send(s.site.Client(), r) })
	}
}

// traffic NAME for=D rate=N [as send] sends requests at a steady rate.
func cmdTraffic(ts *testscript.TestScript, _ bool, args []string) {
	named, rest := params(args)
	s := stageOf(ts)
	j := newJob()
	s.jobs[rest[0]] = j
	pause := time.Second / time.Duration(number(ts, named, "rate", 10))
	until := time.Now().Add(span(ts, named["for"]))
	j.wg.Go(func() {
		for time.Now().Before(until) {
			r := s.request(ts, named)
			j.wg.Go(func() { j.send(s.site.Client(), r) })
			time.Sleep(pause)
		}
	})
}

// await NAME waits for a job and prints what became of its requests.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	s := stageOf(ts)
	j := s.jobs[args[0]]
	j.wg.Wait()
	c := j.counts
	fmt.Fprintf(ts.Stdout(), "ran %d refused %d unknown %d cut %d wrong %d doubled %d\n",
		c["ran"], c["refused"], c["unknown"], c["cut"], c["wrong"], s.doubled(j))
	for reason, n := range j.reasons {
		fmt.Fprintf(ts.Stdout(), "reason %s: %d\n", reason, n)
	}
	for _, body := range j.bodies {
		fmt.Fprintf(ts.Stdout(), "body %s\n", body)
	}
}

// doubled counts the keys that ran more than once, or at all although every request
// with the key was refused.
func (s *stage) doubled(j *job) int {
	doubled := 0
	for key, outcome := range j.keys {
		runs := 0
		for _, p := range s.site.Plain {
			runs += p.Runs(key)
		}
		if runs > 1 || (runs > 0 && outcome == "refused") {
			doubled++
		}
	}
	return doubled
}

// prepared is a request that is ready to be sent.
type prepared struct {
	address string
	method  string
	path    string
	key     string
	body    string
	header  map[string]string
	prompt  *standin.Prompt
}

func (s *stage) request(ts *testscript.TestScript, named map[string]string) prepared {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	node := s.site.Nodes[s.serial%len(s.site.Nodes)]
	if name := named["node"]; name != "" {
		node = s.node(ts, name)
	}
	r := prepared{address: node.Callers, method: "POST", path: "/portal/orders", body: named["body"], header: map[string]string{}}
	if r.body == "" {
		r.body = fmt.Sprintf("order %d", s.serial)
	}
	if m := named["method"]; m != "" {
		r.method = m
	}
	r.key = named["key"]
	switch {
	case r.key == "each":
		r.key = fmt.Sprintf("key-%d", s.serial)
	case r.key != "" && named["body"] == "":
		r.body = "order " + r.key
	}
	r.header["Authorization"] = "Bearer key-" + strconv.Itoa(number(ts, named, "customer", 0))
	if v := named["kind"]; v != "" {
		r.header["Kind"] = v
	}
	if v := named["timeout"]; v != "" {
		r.header["Request-Timeout"] = v
	}
	if named["service"] == "model" {
		r.path = "/model/generate"
		text := named["body"]
		if text == "" {
			text = fmt.Sprintf("question %d", s.serial)
		}
		r.prompt = &standin.Prompt{Prompt: text, Tokens: number(ts, named, "tokens", 100)}
		data, err := json.Marshal(r.prompt)
		ts.Check(err)
		r.body = string(data)
	}
	return r
}

func (j *job) send(client *http.Client, r prepared) {
	outcome, reason, body, id := j.exchange(client, r)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[outcome]++
	if reason != "" {
		j.reasons[reason]++
	}
	if r.key != "" && (j.keys[r.key] == "" || j.keys[r.key] == "refused") {
		// A refusal speaks of its own request only: an earlier one with the
		// same key may have run.
		j.keys[r.key] = outcome
	}
	if id != "" {
		j.lastID = id
	}
	if len(j.bodies) < 4 && r.prompt == nil {
		j.bodies = append(j.bodies, strings.TrimSpace(body))
	}
}

// exchange sends a request and says what became of it.
func (j *job) exchange(client *http.Client, r prepared) (outcome, reason, body, id string) {
	req, err := http.NewRequest(r.method, "http://"+r.address+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return "wrong", err.Error(), "", ""
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
		req.GetBody = nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return "cut", "no answer", "", ""
	}
	defer resp.Body.Close()
	id = resp.Header.Get("Request-Id")
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut", "", "", id
	}
	body = string(data)
	var problem struct{ Reason string }
	_ = json.Unmarshal(data, &problem)
	if outcome = resp.Trailer.Get("Outcome"); outcome == "" {
		outcome = resp.Header.Get("Outcome")
	}
	if outcome == "ran" && r.prompt != nil && !whole(r.prompt, body) {
		outcome = "wrong"
	}
	return outcome, problem.Reason, body, id
}

// whole reports whether a stream holds all tokens of the answer in order.
func whole(p *standin.Prompt, body string) bool {
	at := 0
	for _, line := range strings.Split(body, "\n") {
		word, ok := strings.CutPrefix(line, "data: ")
		if !ok || word == "end" {
			continue
		}
		at++
		if word != standin.Word(p.Prompt, at) {
			return false
		}
	}
	return at == p.Tokens
}
