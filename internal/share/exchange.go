package share

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// wireReport is what instances send each other about accounts. Accounts are named
// once for each link and numbered from then on.
type wireReport struct {
	// Names holds service, customer and kind of the numbers used for the
	// first time.
	Names map[int][3]string `json:"k,omitempty"`
	// Rows holds number, delivered units, waiting and running requests.
	Rows [][4]float64 `json:"r,omitempty"`
	// Lags holds, by number, the virtual times of waiting customers over the
	// lowest of them. Only the reference instance sends them.
	Lags map[int]float64 `json:"l,omitempty"`
	// Complete reports hold every account: nothing waits or runs in others.
	Complete bool `json:"c,omitempty"`
}

// MessageError reports a message that cannot be read.
type MessageError struct {
	Cause error
}

// Error implements error.
func (e *MessageError) Error() string { return fmt.Sprintf("share: unreadable report: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// Sent remembers what a peer was told, so that a report holds only changes. The
// zero value is ready for use and makes the first report complete.
type Sent struct {
	rows    map[Key]Row
	numbers map[Key]int
	reports int
}

// Forget makes the next report complete.
func (s *Sent) Forget() { *s = Sent{} }

// Drop forgets what the peer was told about an account, because it turned out to
// believe something else.
func (s *Sent) Drop(k Key) { delete(s.rows, k) }

// Waiting returns the number of waiting requests that the peer was last told
// about an account.
func (s *Sent) Waiting(k Key) int { return s.rows[k].Waiting }

// number returns the number of an account and names it in the report if the peer
// does not know it.
func (s *Sent) number(k Key, report *wireReport) int {
	n, known := s.numbers[k]
	if known {
		return n
	}
	if s.numbers == nil {
		s.numbers = map[Key]int{}
	}
	n = len(s.numbers)
	s.numbers[k] = n
	if report.Names == nil {
		report.Names = map[int][3]string{}
	}
	report.Names[n] = [3]string{k.Service, k.Customer, k.Kind}
	return n
}

// idleReports is how many regular reports pass between two that hold the accounts
// of customers without waiting work. Their order does not matter, so what they were
// delivered may be known later.
const idleReports = 20

// Report encodes what changed since the last report to the same peer. Regular
// reports hold everything, with reference set also the lags; the others hold only
// what began or ceased to wait and what began or ceased to run for customers that
// wait: a home counts its grants until they show here as running. It returns nil if
// there is nothing to say.
func (b *Book) Report(sent *Sent, regular, reference bool) json.RawMessage {
	report := wireReport{}
	if sent.rows == nil {
		sent.rows = map[Key]Row{}
		regular = true
		report.Complete = true
	}
	all := regular && sent.reports%idleReports == 0
	if regular {
		sent.reports++
	}
	for _, row := range b.Rows() {
		if b.due(sent.rows[row.Key], row, regular, all) {
			sent.rows[row.Key] = row
			n := sent.number(row.Key, &report)
			report.Rows = append(report.Rows, [4]float64{float64(n), row.Delivered, float64(row.Waiting), float64(row.Running)})
		}
	}
	if reference {
		b.addLags(sent, &report)
	}
	if report.Rows == nil && report.Lags == nil && !report.Complete {
		return nil
	}
	data, err := json.Marshal(report)
	if err != nil {
		// Only finite numbers and strings are in it.
		panic(fmt.Sprintf("share: report does not encode: %v", err))
	}
	return data
}

// due tells whether a row belongs in a report.
func (b *Book) due(last, row Row, regular, all bool) bool {
	if (last.Waiting == 0) != (row.Waiting == 0) {
		return true
	}
	waits := b.services[row.Key.Service].customers[row.Key.Customer].waiting > 0
	if waits && last.Running != row.Running {
		return true
	}
	return regular && last != row && (all || waits || last.Waiting != row.Waiting)
}

func (b *Book) addLags(sent *Sent, report *wireReport) {
	for _, s := range b.services {
		lowest := b.lowestWaiting(s)
		for _, c := range s.customers {
			if c.waiting == 0 {
				continue
			}
			if report.Lags == nil {
				report.Lags = map[int]float64{}
			}
			n := sent.number(Key{Service: s.name, Customer: c.name}, report)
			report.Lags[n] = math.Round(b.at(c) - lowest)
		}
	}
}

// Rows returns this instance's own rows, ordered by key.
func (b *Book) Rows() []Row {
	var rows []Row
	for _, s := range b.services {
		for _, c := range s.customers {
			for _, a := range c.kinds {
				if a.delivered == 0 && a.waiting == 0 && a.running == 0 {
					continue
				}
				rows = append(rows, Row{Key: a.key, Delivered: math.Round(a.delivered), Waiting: a.waiting, Running: a.running})
			}
		}
	}
	slices.SortFunc(rows, func(x, y Row) int { return compareKeys(x.Key, y.Key) })
	return rows
}

func compareKeys(x, y Key) int {
	if c := strings.Compare(x.Service, y.Service); c != 0 {
		return c
	}
	if c := strings.Compare(x.Customer, y.Customer); c != 0 {
		return c
	}
	return strings.Compare(x.Kind, y.Kind)
}

func (b *Book) lowestWaiting(s *service) float64 {
	lowest := math.Inf(1)
	for _, c := range s.customers {
		if c.waiting > 0 {
			lowest = math.Min(lowest, b.at(c))
		}
	}
	return lowest
}

// Merge takes in a peer's report. Rows merge by maximum of what was delivered,
// so repeated and reordered reports change nothing. A new incarnation starts
// its counters at zero. It returns the rows of the report.
func (b *Book) Merge(from string, incarnation uint32, data json.RawMessage, now time.Time) ([]Row, error) {
	b.Advance(now)
	p, charge := b.peer(from, incarnation, now)
	if len(data) == 0 {
		return nil, nil
	}
	report := wireReport{}
	if err := json.Unmarshal(data, &report); err != nil {
		return nil, &MessageError{Cause: err}
	}
	for n, name := range report.Names {
		p.names[n] = Key{Service: name[0], Customer: name[1], Kind: name[2]}
	}
	var rows []Row
	for _, v := range report.Rows {
		key, known := p.names[int(v[0])]
		if !known {
			// Numbered for an earlier incarnation of this instance.
			continue
		}
		row := Row{Key: key, Delivered: v[1], Waiting: count(v[2]), Running: count(v[3])}
		b.mergeRow(p, row, charge)
		rows = append(rows, row)
	}
	if report.Complete {
		rows = append(rows, b.ended(p, rows)...)
	}
	b.follow(p, report.Lags)
	return rows, nil
}

// ended returns the rows of the accounts that a complete report does not list, with
// nothing waiting or running any more.
func (b *Book) ended(p *peer, listed []Row) []Row {
	known := map[Key]bool{}
	for _, row := range listed {
		known[row.Key] = true
	}
	var rows []Row
	for k, row := range p.rows {
		if known[k] {
			continue
		}
		row.Key, row.Waiting, row.Running = k, 0, 0
		rows = append(rows, row)
	}
	for _, row := range rows {
		b.mergeRow(p, row, false)
	}
	return rows
}

func count(v float64) int {
	const most = 1 << 30
	if !(v > 0) {
		return 0
	}
	return int(math.Min(v, most))
}

// peer returns the record of a peer and whether what it delivered since its
// last report is to be charged.
func (b *Book) peer(name string, incarnation uint32, now time.Time) (*peer, bool) {
	p := b.peers[name]
	if p != nil && p.incarnation == incarnation {
		connected := now.Sub(p.heard) <= cutAfter
		p.heard = now
		return p, connected || b.PayBack
	}
	if p != nil {
		b.Silence(name)
	}
	restarted := p != nil
	p = &peer{incarnation: incarnation, heard: now, rows: map[Key]Row{}, names: map[int]Key{}, flows: map[Key]flow{}}
	b.peers[name] = p
	return p, restarted
}

func (b *Book) mergeRow(p *peer, row Row, charge bool) {
	s, c, a := b.account(row.Key)
	last := p.rows[row.Key]
	b.shift(s, c, a, row.Waiting-last.Waiting, row.Running-last.Running)
	grown := math.Max(0, row.Delivered-last.Delivered)
	row.Delivered = last.Delivered + grown
	if charge {
		b.advance(c, a, grown)
		b.cover(c, grown, p.flows[row.Key].at)
	}
	b.observe(p, s, c, last, row, charge)
	p.rows[row.Key] = row
}

// Silence drops what a peer reported as waiting and running, because it is gone
// or restarted. What it delivered stays charged.
func (b *Book) Silence(name string) {
	p := b.peers[name]
	if p == nil {
		return
	}
	b.still(p)
	for key, last := range p.rows {
		s, c, a := b.account(key)
		b.shift(s, c, a, -last.Waiting, -last.Running)
		last.Waiting, last.Running = 0, 0
		p.rows[key] = last
	}
}

// follow moves the lags of waiting customers towards those of the reference
// instance. Instances that lifted a customer at different moments, or that were
// on different sides of a partition, come to agree by it.
func (b *Book) follow(p *peer, lags map[int]float64) {
	for n, lag := range lags {
		key := p.names[n]
		s := b.services[key.Service]
		if s == nil || lag < 0 {
			continue
		}
		c := s.customers[key.Customer]
		if c == nil || c.waiting == 0 {
			continue
		}
		c.virtual += lagBlend * (b.lowestWaiting(s) + lag - b.at(c))
	}
}

// PeerWaits reports whether a peer has work waiting for a service.
func (b *Book) PeerWaits(name, service string) bool {
	p := b.peers[name]
	if p == nil {
		return false
	}
	for key, row := range p.rows {
		if key.Service == service && row.Waiting > 0 {
			return true
		}
	}
	return false
}
