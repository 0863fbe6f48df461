package share

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// wireReport is the message in which instances report accounts to each other. On each
// link an account is named once and identified by a number from then on.
type wireReport struct {
	// Names holds service, customer and kind of each number that is used for the
	// first time.
	Names map[int][3]string `json:"k,omitempty"`
	// Rows holds account number, delivered units, waiting requests and running
	// requests.
	Rows [][4]float64 `json:"r,omitempty"`
	// Leads holds, by account number, how far the virtual time of each waiting
	// customer is above the lowest of them. Only the reference instance, one per
	// fleet, sends it.
	Leads map[int]float64 `json:"l,omitempty"`
	// Complete marks a report that lists every account: an account that is not
	// listed has nothing waiting or running.
	Complete bool `json:"c,omitempty"`
}

// MessageError reports a message that cannot be decoded.
type MessageError struct {
	Cause error
}

// Error implements error.
func (e *MessageError) Error() string { return fmt.Sprintf("share: unreadable report: %v", e.Cause) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// SentState records what was last sent to one peer, so that a report holds only
// changes. The zero value is ready for use and makes the first report complete.
type SentState struct {
	rows           map[Key]Row
	numbers        map[Key]int
	regularReports int
}

// Reset makes the next report complete.
func (s *SentState) Reset() { *s = SentState{} }

// Invalidate discards what was sent about an account, because the peer turned out to
// hold different values. The next report sends the account again.
func (s *SentState) Invalidate(k Key) { delete(s.rows, k) }

// Waiting returns the number of waiting requests of an account that was last sent to
// the peer.
func (s *SentState) Waiting(k Key) int { return s.rows[k].Waiting }

// number returns the number of an account on this link. If the peer does not know the
// number yet, it adds the account's name to the report.
func (s *SentState) number(k Key, report *wireReport) int {
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

// idleReportInterval is the number of regular reports of which one includes the changed
// accounts of idle customers, which are those without waiting requests. Their position
// in the schedule is not needed until they wait again, so the service delivered to them
// may be reported later.
const idleReportInterval = 20

// Report encodes what changed since the last report to the same peer. A regular report
// holds all changes (those of idle customers only every idleReportInterval reports) and,
// with reference set, also the leads. Any other report holds only the accounts that
// changed between waiting and not waiting, and changes of the running count for
// customers with waiting requests: the home of an endpoint (the instance that grants
// its slots) counts its grants as pending until they appear here as running. Report
// returns nil if there is nothing to report.
func (l *Ledger) Report(sent *SentState, regular, reference bool) json.RawMessage {
	report := wireReport{}
	if sent.rows == nil {
		sent.rows = map[Key]Row{}
		regular = true
		report.Complete = true
	}
	includeIdle := regular && sent.regularReports%idleReportInterval == 0
	if regular {
		sent.regularReports++
	}
	for _, row := range l.Rows() {
		if l.shouldReport(sent.rows[row.Key], row, regular, includeIdle) {
			sent.rows[row.Key] = row
			n := sent.number(row.Key, &report)
			report.Rows = append(report.Rows, [4]float64{float64(n), row.Delivered, float64(row.Waiting), float64(row.Running)})
		}
	}
	if reference {
		l.addLeads(sent, &report)
	}
	if report.Rows == nil && report.Leads == nil && !report.Complete {
		return nil
	}
	data, err := json.Marshal(report)
	if err != nil {
		// The report holds only finite numbers and strings, which always encode.
		panic(fmt.Sprintf("share: failed to encode report: %v", err))
	}
	return data
}

// shouldReport reports whether a row belongs in a report.
func (l *Ledger) shouldReport(last, row Row, regular, includeIdle bool) bool {
	if (last.Waiting == 0) != (row.Waiting == 0) {
		return true
	}
	customerWaits := l.services[row.Key.Service].customers[row.Key.Customer].waiting > 0
	if customerWaits && last.Running != row.Running {
		return true
	}
	return regular && last != row && (includeIdle || customerWaits || last.Waiting != row.Waiting)
}

func (l *Ledger) addLeads(sent *SentState, report *wireReport) {
	for _, s := range l.services {
		lowest := l.lowestWaiting(s)
		for _, c := range s.customers {
			if c.waiting == 0 {
				continue
			}
			if report.Leads == nil {
				report.Leads = map[int]float64{}
			}
			n := sent.number(Key{Service: s.name, Customer: c.name}, report)
			report.Leads[n] = math.Round(l.virtualNow(c) - lowest)
		}
	}
}

// Rows returns the rows of this instance, ordered by key.
func (l *Ledger) Rows() []Row {
	var rows []Row
	for _, s := range l.services {
		for _, c := range s.customers {
			for _, a := range c.accounts {
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

func (l *Ledger) lowestWaiting(s *service) float64 {
	lowest := math.Inf(1)
	for _, c := range s.customers {
		if c.waiting > 0 {
			lowest = math.Min(lowest, l.virtualNow(c))
		}
	}
	return lowest
}

// Merge applies a peer's report and returns its rows. Rows merge by the maximum of what
// was delivered, so repeated and reordered reports change nothing. The counters of a new
// incarnation start at zero. It returns a *MessageError if the report cannot be decoded.
func (l *Ledger) Merge(from string, incarnation uint32, data json.RawMessage, now time.Time) ([]Row, error) {
	l.Advance(now)
	p, charge := l.peer(from, incarnation, now)
	if len(data) == 0 {
		return nil, nil
	}
	report := wireReport{}
	if err := json.Unmarshal(data, &report); err != nil {
		return nil, &MessageError{Cause: err}
	}
	for n, name := range report.Names {
		p.keys[n] = Key{Service: name[0], Customer: name[1], Kind: name[2]}
	}
	var rows []Row
	for _, v := range report.Rows {
		key, known := p.keys[int(v[0])]
		if !known {
			// The number was assigned for an earlier incarnation of this instance.
			continue
		}
		row := Row{Key: key, Delivered: v[1], Waiting: clampCount(v[2]), Running: clampCount(v[3])}
		l.mergeRow(p, row, charge)
		rows = append(rows, row)
	}
	if report.Complete {
		rows = append(rows, l.clearUnlisted(p, rows)...)
	}
	l.applyLeads(p, report.Leads)
	return rows, nil
}

// clearUnlisted sets the waiting and running counts of the accounts that a complete
// report does not list to zero, and returns their rows.
func (l *Ledger) clearUnlisted(p *peer, listed []Row) []Row {
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
		l.mergeRow(p, row, false)
	}
	return rows
}

func clampCount(v float64) int {
	const maxCount = 1 << 30
	if !(v > 0) {
		return 0
	}
	return int(math.Min(v, maxCount))
}

// peer returns the record of a peer, and whether the service that it delivered since
// its last report is to be charged.
func (l *Ledger) peer(name string, incarnation uint32, now time.Time) (*peer, bool) {
	p := l.peers[name]
	if p != nil && p.incarnation == incarnation {
		connected := now.Sub(p.lastReport) <= partitionTimeout
		p.lastReport = now
		return p, connected || l.ChargeAfterPartition
	}
	if p != nil {
		l.ClearPeer(name)
	}
	restarted := p != nil
	p = &peer{incarnation: incarnation, lastReport: now, rows: map[Key]Row{}, keys: map[int]Key{}, rates: map[Key]deliveryRate{}}
	l.peers[name] = p
	return p, restarted
}

func (l *Ledger) mergeRow(p *peer, row Row, charge bool) {
	s, c, a := l.lookup(row.Key)
	last := p.rows[row.Key]
	l.adjustCounts(s, c, a, row.Waiting-last.Waiting, row.Running-last.Running)
	increase := math.Max(0, row.Delivered-last.Delivered)
	row.Delivered = last.Delivered + increase
	if charge {
		l.addVirtual(c, a, increase)
		l.refundIdle(c, increase, p.rates[row.Key].reportedAt)
	}
	l.updateRates(p, s, c, last, row, charge)
	p.rows[row.Key] = row
}

// ClearPeer removes the waiting and running counts that a peer reported, because it
// has failed or restarted. The service that it delivered stays charged.
func (l *Ledger) ClearPeer(name string) {
	p := l.peers[name]
	if p == nil {
		return
	}
	l.dropRates(p)
	for key, last := range p.rows {
		s, c, a := l.lookup(key)
		l.adjustCounts(s, c, a, -last.Waiting, -last.Running)
		last.Waiting, last.Running = 0, 0
		p.rows[key] = last
	}
}

// applyLeads moves the leads of waiting customers towards those of the reference
// instance. By this, instances converge that raised a customer's virtual time at
// different times or were on different sides of a partition.
func (l *Ledger) applyLeads(p *peer, leads map[int]float64) {
	for n, lead := range leads {
		key := p.keys[n]
		s := l.services[key.Service]
		if s == nil || lead < 0 {
			continue
		}
		c := s.customers[key.Customer]
		if c == nil || c.waiting == 0 {
			continue
		}
		c.virtualTime += leadSmoothing * (l.lowestWaiting(s) + lead - l.virtualNow(c))
	}
}

// PeerWaits reports whether a peer has requests waiting for a service.
func (l *Ledger) PeerWaits(name, service string) bool {
	p := l.peers[name]
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
