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

// scenario is the fleet and the background jobs of one script.
type scenario struct {
	site *demo.Site
	jobs map[string]*job

	mu           sync.Mutex // guards requestCount and the addresses of instances
	requestCount int
}

type scenarioKey struct{}

// job is a named set of requests that a script sends in the background.
type job struct {
	wg sync.WaitGroup

	mu            sync.Mutex
	counts        map[string]int
	reasons       map[string]int
	outcomeByKey  map[string]string // outcome by idempotency key
	lastRequestID string
	bodies        []string
}

func newJob() *job {
	return &job{counts: map[string]int{}, reasons: map[string]int{}, outcomeByKey: map[string]string{}}
}

func (s *scenario) close() {
	if s.site != nil {
		_ = s.site.Close()
	}
}

func scenarioOf(ts *testscript.TestScript) *scenario { return ts.Value(scenarioKey{}).(*scenario) }

// parseArgs splits arguments of the form name=value into a map and returns the others in
// order.
func parseArgs(args []string) (map[string]string, []string) {
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

func intArg(ts *testscript.TestScript, named map[string]string, name string, fallback int) int {
	v, ok := named[name]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	ts.Check(err)
	return n
}

func parseDuration(ts *testscript.TestScript, v string) time.Duration {
	d, err := time.ParseDuration(v)
	ts.Check(err)
	return d
}

func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"site": cmdSite, "publish": cmdPublish, "sleep": cmdSleep, "send": cmdSend, "traffic": cmdTraffic, "await": cmdAwait,
		"node": cmdNode, "net": cmdNet, "log": cmdLog, "list": cmdList, "plain": cmdPlain, "engine": cmdEngine,
		"runs": cmdRuns, "orders": cmdOrders, "status": cmdStatus, "audit": cmdAudit, "explain": cmdExplain,
		"signals": cmdSignals, "leader": cmdLeader, "greengagestep": cmdProgram, "raw": cmdRaw,
	}
}

// site [instances=N] [domains=N] [engines=N] [plains=N] [slots=N] [retention=D] [drain=D]
// [calltime=D] [text=FILE] starts the fleet and publishes its configuration. It closes that of an
// earlier site: the new one has the whole retry budget.
func cmdSite(ts *testscript.TestScript, _ bool, args []string) {
	named, _ := parseArgs(args)
	s := scenarioOf(ts)
	s.close()
	s.site = &demo.Site{
		Network: &standin.MemoryNetwork{}, InstanceCount: intArg(ts, named, "instances", 3), DomainCount: intArg(ts, named, "domains", 3),
		EngineCount: intArg(ts, named, "engines", 3), PlainCount: intArg(ts, named, "plains", 3),
		PlainSlots: intArg(ts, named, "slots", 4), DrainTimeout: 30 * time.Second,
	}
	if v := named["retention"]; v != "" {
		s.site.Retention = parseDuration(ts, v)
	}
	if v := named["drain"]; v != "" {
		s.site.DrainTimeout = parseDuration(ts, v)
	}
	if v := named["calltime"]; v != "" {
		s.site.CallTime = parseDuration(ts, v)
	}
	ts.Check(s.site.Start())
	text := demo.ConfigText()
	if v := named["text"]; v != "" {
		text = ts.ReadFile(v)
	}
	_, err := s.site.Publish(context.Background(), text, 0)
	ts.Check(err)
}

func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	time.Sleep(parseDuration(ts, args[0]))
}

func (s *scenario) node(ts *testscript.TestScript, name string) *demo.Node {
	i := slices.IndexFunc(s.site.Nodes, func(n *demo.Node) bool { return n.Name == name })
	if i < 0 {
		ts.Fatalf("no instance %q", name)
	}
	return s.site.Nodes[i]
}

// node NAME kill|start|stop|restart|freeze|thaw acts on one router instance.
func cmdNode(ts *testscript.TestScript, neg bool, args []string) {
	n := scenarioOf(ts).node(ts, args[0])
	var err error
	switch args[1] {
	case "kill":
		n.Kill()
	case "start":
		err = scenarioOf(ts).start(n)
	case "stop":
		err = n.Stop()
	case "restart":
		if err = n.Stop(); err == nil {
			err = scenarioOf(ts).start(n)
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

func (s *scenario) start(n *demo.Node) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return n.Start()
}

// net cut|join DOMAIN disconnects or reconnects a failure domain; net block|unblock FROM
// TO does so in one direction between two failure domains.
func cmdNet(ts *testscript.TestScript, _ bool, args []string) {
	site := scenarioOf(ts).site
	switch args[0] {
	case "cut", "join":
		site.SetPartitioned(args[1], args[0] == "cut")
	case "block", "unblock":
		site.SetBlocked(args[1], args[2], args[0] == "block")
	}
}

// log up|down|lose N|delay D replaces the faults of the log service.
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
		f.Delay = parseDuration(ts, args[1])
	}
	scenarioOf(ts).site.Log.Set(f)
}

// list up|down|lag D replaces the faults of the instance list.
func cmdList(ts *testscript.TestScript, _ bool, args []string) {
	l := scenarioOf(ts).site.List
	if args[0] == "lag" {
		l.SetLag(parseDuration(ts, args[1]))
		return
	}
	l.SetDown(args[0] == "down")
}

// signaller is a simulated endpoint that tells its callers about itself.
type signaller interface {
	AnnounceLeaving()
	AskForQuiet(d time.Duration)
	FallSilent(d time.Duration)
	Restart()
	SignalCounts() standin.SignalCounts
}

// signal applies the arguments announce, quiet=D, silent=D and replace. It returns false if
// there is none of them.
func (s *scenario) signal(ts *testscript.TestScript, name string, e signaller, args []string) bool {
	named, rest := parseArgs(args)
	switch {
	case slices.Contains(rest, "announce"):
		e.AnnounceLeaving()
	case slices.Contains(rest, "replace"):
		e.Restart()
		s.site.ReplaceEndpoint(name)
	case named["quiet"] != "":
		e.AskForQuiet(parseDuration(ts, named["quiet"]))
	case named["silent"] != "":
		e.FallSilent(parseDuration(ts, named["silent"]))
	default:
		return false
	}
	return true
}

// signals NAME|all prints the requests that arrived at endpoints against what they had told
// the senders.
func cmdSignals(ts *testscript.TestScript, _ bool, args []string) {
	site := scenarioOf(ts).site
	show := func(name string, e signaller) {
		if args[0] == "all" || args[0] == name {
			fmt.Fprintf(ts.Stdout(), "%s %v\n", name, e.SignalCounts())
		}
	}
	for _, e := range site.ModelEngines {
		show(e.Name, e)
	}
	for _, p := range site.PlainServices {
		show(p.Name, p)
	}
}

// plain NAME|all up|down|lose=N|cut=N|poison=BODY|garbage|untyped|leave replaces the faults of plain
// services; leave makes them report that they are leaving. plain NAME|all
// announce|quiet=D|silent=D|replace changes what they tell their callers and keeps their
// faults: announce makes every answer say that they leave, quiet makes them refuse requests,
// silent makes them send nothing, replace starts a new incarnation at the same address.
func cmdPlain(ts *testscript.TestScript, _ bool, args []string) {
	for _, p := range scenarioOf(ts).site.PlainServices {
		if args[0] != "all" && p.Name != args[0] {
			continue
		}
		if scenarioOf(ts).signal(ts, p.Name, p, args[1:]) {
			continue
		}
		named, rest := parseArgs(args[1:])
		f := standin.PlainFaults{Lose: intArg(ts, named, "lose", 0), Cut: intArg(ts, named, "cut", 0), Poison: named["poison"]}
		for _, arg := range rest {
			f.Down = f.Down || arg == "down"
			f.Garbage = f.Garbage || arg == "garbage"
			f.Untyped = f.Untyped || arg == "untyped"
			if arg == "leave" {
				p.SetLeaving()
			}
		}
		p.Set(f)
	}
}

// engine NAME|all up|down|break=N|spoil=N|spoilkind=KIND|failresumed=N|emptyresumed=N|poison=TEXT|unframed|comment|leave|reset
// replaces the faults of model engines; leave makes them report that they are leaving, reset unloads their models. The
// signals are those of the command plain.
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) {
	for _, e := range scenarioOf(ts).site.ModelEngines {
		if args[0] != "all" && e.Name != args[0] {
			continue
		}
		if scenarioOf(ts).signal(ts, e.Name, e, args[1:]) {
			continue
		}
		named, rest := parseArgs(args[1:])
		f := standin.EngineFaults{Break: intArg(ts, named, "break", 0), Spoil: intArg(ts, named, "spoil", 0), FailResumed: intArg(ts, named, "failresumed", 0), EmptyResumed: intArg(ts, named, "emptyresumed", 0), Poison: named["poison"]}
		if kind := named["spoilkind"]; kind != "" {
			f.SpoilKind = standin.SpoilKind(kind)
			if !slices.Contains(append(standin.SpoilKinds(), standin.SpoilPlain), f.SpoilKind) {
				ts.Fatalf("unknown kind %q", kind)
			}
		}
		for _, arg := range rest {
			f.Down = f.Down || arg == "down"
			f.Unframed = f.Unframed || arg == "unframed"
			f.Comment = f.Comment || arg == "comment"
			if arg == "leave" {
				e.SetLeaving()
			}
			if arg == "reset" {
				e.Reset()
			}
		}
		e.Set(f)
	}
}

// publish FILE [edits=N] [actor=NAME] [node=NAME] publishes a configuration through an
// instance and prints the result.
func cmdPublish(ts *testscript.TestScript, neg bool, args []string) {
	named, rest := parseArgs(args)
	s := scenarioOf(ts)
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

func (s *scenario) publish(ts *testscript.TestScript, named map[string]string, text string) (operator.PublishResult, error) {
	name := named["node"]
	if name == "" {
		name = s.site.Nodes[0].Name
	}
	p := operator.Proposal{Actor: named["actor"], BaseVersion: int64(intArg(ts, named, "edits", 1)), Text: text}
	if p.Actor == "" {
		p.Actor = "operator"
	}
	return s.node(ts, name).OperatorClient().Publish(context.Background(), p)
}

// runs KEY prints how many times the plain services executed requests with an
// idempotency key; runs total prints the number of all executions.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	n := 0
	for _, p := range scenarioOf(ts).site.PlainServices {
		if args[0] == "total" {
			n += p.Total()
			continue
		}
		n += p.Runs(args[0])
	}
	fmt.Fprintf(ts.Stdout(), "%d runs\n", n)
}

// orders prints the orders that each engine executed, and how many it refused because
// of an outdated fencing number.
func cmdOrders(ts *testscript.TestScript, _ bool, _ []string) {
	for _, e := range scenarioOf(ts).site.ModelEngines {
		orders, stale := e.Orders()
		var executed []string
		for _, o := range orders {
			executed = append(executed, o.Model+" "+o.Version)
		}
		fmt.Fprintf(ts.Stdout(), "%s: %s; %d stale refused\n", e.Name, strings.Join(executed, ", "), stale)
	}
}

// status NAME prints the state of an instance, its members and its endpoints.
func cmdStatus(ts *testscript.TestScript, _ bool, args []string) {
	st, err := scenarioOf(ts).node(ts, args[0]).OperatorClient().Status(context.Background())
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "version %d waiting %d running %d leader %s\n", st.Version, st.Waiting, st.Running, st.Leader)
	for _, m := range st.Members {
		fmt.Fprintf(ts.Stdout(), "member %s %s\n", m.Name, m.State)
	}
	for _, e := range st.Endpoints {
		fmt.Fprintf(ts.Stdout(), "endpoint %s slots %d closed %q\n", e.Name, e.Slots, e.ClosedReason)
	}
}

// leader NAME sets the script variable LEADER to the leader in the status of an instance,
// and OTHER to another instance.
func cmdLeader(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	st, err := s.node(ts, args[0]).OperatorClient().Status(context.Background())
	ts.Check(err)
	ts.Setenv("LEADER", st.Leader)
	for _, n := range s.site.Nodes {
		if n.Name != st.Leader {
			ts.Setenv("OTHER", n.Name)
		}
	}
}

// audit NAME prints the audit entries of an instance without their times.
func cmdAudit(ts *testscript.TestScript, _ bool, args []string) {
	entries, err := scenarioOf(ts).node(ts, args[0]).OperatorClient().Audit(context.Background())
	ts.Check(err)
	for _, e := range entries {
		fmt.Fprintf(ts.Stdout(), "%s | %s | %s | %s | %s\n", e.Type, e.Subject, e.Change, e.Cause, e.Actor)
	}
}

// explain JOB NODE prints the recorded steps of the last request of a job, as reported
// by an instance.
func cmdExplain(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	e, err := s.node(ts, args[1]).OperatorClient().Explain(context.Background(), s.jobs[args[0]].lastRequestID)
	ts.Check(err)
	for _, step := range e.Steps {
		fmt.Fprintf(ts.Stdout(), "%s | %s | %s\n", step.Instance, step.Step, step.Detail)
	}
	if e.Note != "" {
		fmt.Fprintln(ts.Stdout(), e.Note)
	}
}

// send NAME [n=N] [service=portal|model] [key=K] [body=TEXT] [node=NAME] [tokens=N]
// [customer=N] [kind=K] [timeout=S] [method=M] [after=N] starts requests in the background.
func cmdSend(ts *testscript.TestScript, _ bool, args []string) {
	named, rest := parseArgs(args)
	s := scenarioOf(ts)
	j := newJob()
	s.jobs[rest[0]] = j
	for range intArg(ts, named, "n", 1) {
		r := s.newRequest(ts, named)
		j.wg.Go(func() { j.send(s.site.Client(), r) })
	}
}

// traffic NAME for=D rate=N [arguments of send] sends N requests per second in the
// background.
func cmdTraffic(ts *testscript.TestScript, _ bool, args []string) {
	named, rest := parseArgs(args)
	s := scenarioOf(ts)
	j := newJob()
	s.jobs[rest[0]] = j
	interval := time.Second / time.Duration(intArg(ts, named, "rate", 10))
	until := time.Now().Add(parseDuration(ts, named["for"]))
	j.wg.Go(func() {
		for time.Now().Before(until) {
			r := s.newRequest(ts, named)
			j.wg.Go(func() { j.send(s.site.Client(), r) })
			time.Sleep(interval)
		}
	})
}

// await NAME waits for a job and prints the outcomes of its requests.
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	s := scenarioOf(ts)
	j := s.jobs[args[0]]
	j.wg.Wait()
	c := j.counts
	fmt.Fprintf(ts.Stdout(), "ran %d refused %d unknown %d cut %d wrong %d doubled %d\n",
		c["ran"], c["refused"], c["unknown"], c["cut"], c["wrong"], s.duplicatedKeys(j))
	for reason, n := range j.reasons {
		fmt.Fprintf(ts.Stdout(), "reason %s: %d\n", reason, n)
	}
	for _, body := range j.bodies {
		fmt.Fprintf(ts.Stdout(), "body %s\n", body)
	}
}

// duplicatedKeys counts the idempotency keys that were executed more than once, or at all
// although every request with the key was refused.
func (s *scenario) duplicatedKeys(j *job) int {
	doubled := 0
	for key, outcome := range j.outcomeByKey {
		runs := 0
		for _, p := range s.site.PlainServices {
			runs += p.Runs(key)
		}
		if runs > 1 || (runs > 0 && outcome == "refused") {
			doubled++
		}
	}
	return doubled
}

// preparedRequest holds the parts of a request to be sent.
type preparedRequest struct {
	after   int // tokens of the answer that the caller has already
	address string
	method  string
	path    string
	key     string
	body    string
	header  map[string]string
	prompt  *standin.Prompt
}

func (s *scenario) newRequest(ts *testscript.TestScript, named map[string]string) preparedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestCount++
	node := s.site.Nodes[s.requestCount%len(s.site.Nodes)]
	if name := named["node"]; name != "" {
		node = s.node(ts, name)
	}
	r := preparedRequest{address: node.CallerAddress, method: "POST", path: "/portal/orders", body: named["body"], header: map[string]string{}}
	if r.body == "" {
		r.body = fmt.Sprintf("order %d", s.requestCount)
	}
	if m := named["method"]; m != "" {
		r.method = m
	}
	r.key = named["key"]
	switch {
	case r.key == "each":
		r.key = fmt.Sprintf("key-%d", s.requestCount)
	case r.key != "" && named["body"] == "":
		r.body = "order " + r.key
	}
	r.header["Authorization"] = "Bearer key-" + strconv.Itoa(intArg(ts, named, "customer", 0))
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
			text = fmt.Sprintf("question %d", s.requestCount)
		}
		r.prompt = &standin.Prompt{Prompt: text, Tokens: intArg(ts, named, "tokens", 100)}
		if v := named["after"]; v != "" {
			r.after = intArg(ts, named, "after", 0)
			r.header["Last-Event-ID"] = v
		}
		data, err := json.Marshal(r.prompt)
		ts.Check(err)
		r.body = string(data)
	}
	return r
}

func (j *job) send(client *http.Client, r preparedRequest) {
	outcome, reason, body, id := j.exchange(client, r)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[outcome]++
	if reason != "" {
		j.reasons[reason]++
	}
	if r.key != "" && (j.outcomeByKey[r.key] == "" || j.outcomeByKey[r.key] == "refused") {
		// A refusal applies to its own request only: another one with the same
		// key may have been executed.
		j.outcomeByKey[r.key] = outcome
	}
	if id != "" {
		j.lastRequestID = id
	}
	if len(j.bodies) < 4 && r.prompt == nil {
		j.bodies = append(j.bodies, strings.TrimSpace(body))
	}
}

// exchange sends a request and returns its outcome, the reason of an error response, the
// body and the request ID. The outcome is "cut" if the answer is missing or incomplete,
// and "wrong" if the request is invalid or a stream is not the answer to the prompt.
func (j *job) exchange(client *http.Client, r preparedRequest) (outcome, reason, body, id string) {
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
	if outcome == "ran" && r.prompt != nil && !completeAnswer(r.prompt, r.after, body) {
		outcome = "wrong"
	}
	return outcome, problem.Reason, body, id
}

// completeAnswer reports whether a client that splits a stream at empty lines reads the events of the
// answer after a number of them, in order, and nothing else.
func completeAnswer(p *standin.Prompt, after int, body string) bool {
	answer := &standin.AnswerReader{Prompt: *p, After: after}
	_, _ = answer.Write([]byte(body))
	return answer.Err() == nil
}
